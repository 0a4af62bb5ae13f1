"""Settings of a replica, and the format of its identity."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.election import RaftTiming
from marlstep.leases.settings import LeaseSettings
from marlstep.membership.roster_controller import RosterSettings


@dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """The operator's settings for the group and for the duties of its leader."""

    timing: RaftTiming
    leases: LeaseSettings
    eligible_nodes: tuple[str, ...]  # the nodes that may have a voter in the group
    roster: RosterSettings | None = None  # None if the group keeps no roster of the cluster's nodes
    quotas: bool = False  # whether tenants' quotas are divided over the whole cluster


def node_of(identity: str) -> str:
    """Return the node in a replica's identity (`node#store`) or in a process's name (`node/boot`)."""
    return identity.partition("#")[0].partition("/")[0]
