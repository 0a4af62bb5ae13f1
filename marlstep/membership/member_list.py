"""The members that one node knows, with the local time of their changes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.membership.records import REACHABLE_STATES, MemberRecord, MemberState

MAX_MEMBERS = 2_000


@dataclass(slots=True)
class Member:
    """Another node, as this one knows it."""

    record: MemberRecord
    state_since: datetime
    suspected_by: set[str] = field(default_factory=set)  # the nodes that reported it, while it is suspected
    suspicion_ends_at: datetime | None = None
    last_probe_sent: bool = False  # the probe before a suspicion that is only others' times out


@dataclass(slots=True, frozen=True)
class MembershipEvent:
    """A change that operators are shown."""

    at: datetime
    node: str
    event: str
    reported_by: str
    reason: str


class MemberList:
    """The local node's record, and all other nodes by name."""

    def __init__(self, local: MemberRecord) -> None:
        """Start with the local node alone."""
        self.local = local
        self.others: dict[str, Member] = {}

    def alive(self) -> set[str]:
        """Return the nodes that are not known to have failed or left, the local one included."""
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
        """Return process and state of the nodes that are alive, for comparison between nodes.

        A suspected node counts as alive, as suspicions differ between nodes for a while.
        """
        rows = {self.local.node: (self.local.process_id, MemberState.ALIVE.value)}
        for name, member in self.others.items():
            if member.record.state in REACHABLE_STATES:
                rows[name] = (member.record.process_id, MemberState.ALIVE.value)
        return rows

    @property
    def size(self) -> int:
        """The number of nodes that are alive, the local one included."""
        return len(self.alive())

    @property
    def log_size(self) -> float:
        """The logarithm by which timeouts and retransmissions grow with the group, at least 1."""
        return max(1.0, math.log10(self.size + 1))

    def reclaim(self, now: datetime, after: timedelta) -> list[str]:
        """Forget the nodes that failed or left so long ago, and return their names."""
        gone = [
            name
            for name, member in self.others.items()
            if member.record.state not in REACHABLE_STATES and now >= member.state_since + after
        ]
        for name in gone:
            del self.others[name]
        return gone
