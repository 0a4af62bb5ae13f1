"""The members that one node knows, with the local times at which their states changed."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.membership.records import REACHABLE_STATES, MemberRecord, MemberState

MAX_MEMBERS = 2_000


@dataclass(slots=True)
class Member:
    """What the local node knows about another node."""

    record: MemberRecord
    state_since: datetime
    suspected_by: set[str] = field(default_factory=set)  # nodes that reported the current suspicion
    suspicion_ends_at: datetime | None = None
    last_probe_sent: bool = False  # whether a suspicion reported only by other nodes got a last probe


@dataclass(slots=True, frozen=True)
class MembershipEvent:
    """A membership change that is reported to operators."""

    at: datetime
    node: str
    event: str
    reported_by: str
    reason: str


class MemberList:
    """The local node's record, and what is known about all other nodes, by name."""

    def __init__(self, local: MemberRecord) -> None:
        """Initialize with `local`, the record of the local node, and no others."""
        self.local = local
        self.others: dict[str, Member] = {}

    def alive(self) -> set[str]:
        """Return the nodes that are not known to have failed or left, including the local node."""
        return {self.local.node, *self.reachable_names()}

    def in_state(self, state: MemberState) -> set[str]:
        """Return the other nodes in that state."""
        return {name for name, member in self.others.items() if member.record.state is state}

    def reachable_names(self) -> list[str]:
        """Return the other nodes that are alive or suspected."""
        return [name for name, member in self.others.items() if member.record.state in REACHABLE_STATES]

    def reachable_addresses(self) -> list[str]:
        """Return the addresses of the other nodes that are alive or suspected."""
        return [
            member.record.address
            for member in self.others.values()
            if member.record.state in REACHABLE_STATES
        ]

    def view(self) -> dict[str, tuple[str, str]]:
        """Return process and state of each node that is alive, by name, to compare the views of nodes.

        A suspected node counts as alive, since nodes may temporarily differ in whom they suspect.
        """
        rows = {self.local.node: (self.local.process_id, MemberState.ALIVE.value)}
        for name, member in self.others.items():
            if member.record.state in REACHABLE_STATES:
                rows[name] = (member.record.process_id, MemberState.ALIVE.value)
        return rows

    @property
    def size(self) -> int:
        """The number of nodes that are alive, including the local node."""
        return len(self.alive())

    @property
    def log_size(self) -> float:
        """The logarithm of the group size, at least 1, with which timeouts and retransmissions scale."""
        return max(1.0, math.log10(self.size + 1))

    def reclaim(self, now: datetime, after: timedelta) -> list[str]:
        """Forget the nodes that failed or left at least `after` ago, and return their names."""
        reclaimed = [
            name
            for name, member in self.others.items()
            if member.record.state not in REACHABLE_STATES and now >= member.state_since + after
        ]
        for name in reclaimed:
            del self.others[name]
        return reclaimed
