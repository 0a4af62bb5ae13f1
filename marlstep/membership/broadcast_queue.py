"""Dissemination of records by piggybacking them on other messages (SWIM, section 4.1)."""

from __future__ import annotations

import math

from marlstep.membership.member_list import MemberList
from marlstep.membership.records import MemberRecord


class BroadcastQueue:
    """The nodes whose records are still to be sent, and how often each was.

    A record is sent `retransmit_multiplier` times the logarithm of the group's size, the least often sent ones first.
    """

    def __init__(self, members: MemberList, retransmit_multiplier: float, records_per_message: int) -> None:
        """Start with an empty queue."""
        self._members = members
        self._retransmit_multiplier = retransmit_multiplier
        self._records_per_message = records_per_message
        self._transmissions: dict[str, int] = {}

    def enqueue(self, node: str) -> None:
        """Send that node's record, from the first transmission on."""
        self._transmissions[node] = 0

    def discard(self, node: str) -> None:
        """Send nothing more of that node."""
        self._transmissions.pop(node, None)

    def take(self, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Return the records for one message, and count their transmission.

        `first` is in the message in any case: the receiver's own record, where it has to refute that.
        """
        chosen = [] if first is None else [first]
        limit = math.ceil(self._retransmit_multiplier * self._members.log_size)
        least_sent = sorted(self._transmissions, key=lambda name: self._transmissions[name])
        for name in least_sent[: self._records_per_message]:
            record = self._record(name)
            if record is not None and record not in chosen:
                chosen.append(record)
            self._transmissions[name] += 1
            if self._transmissions[name] >= limit or record is None:
                del self._transmissions[name]
        return tuple(chosen[: self._records_per_message])

    def _record(self, name: str) -> MemberRecord | None:
        if name == self._members.local.node:
            return self._members.local
        member = self._members.others.get(name)
        return None if member is None else member.record
