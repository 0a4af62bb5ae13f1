"""Typed settings of a cluster, which `marlstep.config.cluster` reads from `[fleet]` of the operator's file."""

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
    """One scheduled task and the request that it sends."""

    plan: TaskPlan
    variables: Mapping[str, str]  # additional variables of its uwsgi request


@dataclass(slots=True, frozen=True)
class ReplicatedConfigSettings:
    """Settings of the configuration documents that are replicated to all nodes."""

    documents: tuple[DocumentDefinition, ...]
    agree_within: timedelta  # longest time for which two nodes may act on contradicting versions
    quotas_shared: bool = False  # whether a tenant's allowance is for all nodes, divided into quotas per node


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """Settings of the failure detector and the roster on this node."""

    detector: DetectorSettings
    roster: RosterSettings
    zone: str
    seeds: tuple[str, ...]  # names of the nodes that are contacted first


@dataclass(slots=True, frozen=True)
class ClusterConfig:
    """The settings of the cluster, and those of this node as a member.

    Attributes:
        name: of the cluster.
        node: name of this node.
        listen: address of this node for the other nodes.
        nodes: address of each node, by name.
        voters: names of the voters.
        key: shared secret of the nodes.
        store: directory of the voter's store; None on a node that is not a voter.
        leases: settings of the leases.
        heartbeat_interval: interval of the leader's heartbeats.
        election_timeout: minimum time without contact from a leader after which a voter starts an election.
        tasks: the scheduled tasks.
        replicated_config: settings of replicated configuration; None if it is off.
        membership: settings of the failure detector and the roster; None if they are off.
        shared_health_checks: whether one node checks for all nodes if an ejected server has recovered.
    """

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
    shared_health_checks: bool = False

    @property
    def votes(self) -> bool:
        """Whether this node is a voter."""
        return self.node in self.voters
