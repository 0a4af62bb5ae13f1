"""Settings of a node's part in a cluster, as `cluster` reads them from `[fleet]` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from marlstep.config.readers import Address

if TYPE_CHECKING:
    from marlstep.leases.settings import LeaseSettings
    from marlstep.membership.detector_settings import DetectorSettings
    from marlstep.membership.roster_controller import RosterSettings
    from marlstep.replicated_config.documents import DocumentDefinition
    from marlstep.scheduled_tasks.runner import TaskPlan


@dataclass(slots=True, frozen=True)
class TaskConfig:
    """One scheduled task, and the request that it sends."""

    plan: TaskPlan
    variables: Mapping[str, str]  # of its uwsgi request


@dataclass(slots=True, frozen=True)
class ReplicatedConfigSettings:
    """Documents on which the nodes agree."""

    documents: tuple[DocumentDefinition, ...]
    agree_within: timedelta  # no two nodes act on contradicting versions for longer
    quotas_shared: bool = False  # a tenant's allowance is for the whole service, divided into quotas


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """How this node detects which others are alive."""

    detector: DetectorSettings
    roster: RosterSettings
    zone: str
    seeds: tuple[str, ...]  # nodes that are asked first


@dataclass(slots=True, frozen=True)
class ClusterConfig:
    """The cluster as each of its nodes has it, and this node's place in it."""

    name: str
    node: str
    listen: Address
    nodes: Mapping[str, Address]
    voters: tuple[str, ...]
    key: bytes = field(repr=False)
    store: Path | None
    leases: LeaseSettings
    heartbeat_interval: timedelta
    election_timeout: timedelta
    tasks: tuple[TaskConfig, ...]
    replicated_config: ReplicatedConfigSettings | None = None
    membership: MembershipConfig | None = None
    shared_health_checks: bool = False  # one node checks for all whether an ejected server is back

    @property
    def votes(self) -> bool:
        """Whether this node is a voter."""
        return self.node in self.voters
