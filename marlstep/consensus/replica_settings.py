"""Settings of a replica, and the form of its identity."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.election import RaftTiming
from marlstep.leases.settings import LeaseSettings
from marlstep.membership.roster_controller import RosterSettings


@dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """What the operator's configuration says about the group and about what its leader does."""

    timing: RaftTiming
    leases: LeaseSettings
    eligible_nodes: tuple[str, ...]  # the nodes that may have a voter in the group
    roster: RosterSettings | None = None  # None where the group keeps no roster of the cluster's nodes
    quotas: bool = False  # whether tenants' allowances are shared out over the whole cluster


def node_of(identity: str) -> str:
    """Return the node of a replica's identity (`node#store`) or of a process's name (`node/boot`)."""
    return identity.partition("#")[0].partition("/")[0]
