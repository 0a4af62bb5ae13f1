"""Dissemination of membership records by piggybacking them on other messages (SWIM, section 4.1)."""

from __future__ import annotations

import math

from marlstep.membership.member_list import MemberList
from marlstep.membership.records import MemberRecord


class BroadcastQueue:
    """The nodes whose records are still to be sent, with the number of transmissions of each.

    The transmission limit of a record is `retransmit_multiplier` times the logarithm of the group size. Records with
    the fewest transmissions are sent first.
    """

    def __init__(self, members: MemberList, retransmit_multiplier: float, records_per_message: int) -> None:
        """Initialize an empty queue.

        Args:
            members: the records to send, looked up at the time of each transmission.
            retransmit_multiplier: factor on the logarithm of the group size.
            records_per_message: the maximum number of records in one message.
        """
        self._members = members
        self._retransmit_multiplier = retransmit_multiplier
        self._records_per_message = records_per_message
        self._transmissions: dict[str, int] = {}

    def enqueue(self, node: str) -> None:
        """Queue the node's record, and reset its number of transmissions."""
        self._transmissions[node] = 0

    def discard(self, node: str) -> None:
        """Remove the node from the queue."""
        self._transmissions.pop(node, None)

    def take(self, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Return the records for one message, and count their transmission.

        Args:
            first: a record to place first whether or not it is queued: that of a node that has to refute it.
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
