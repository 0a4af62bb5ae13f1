"""Numbered pings that carry membership records for dissemination."""

from __future__ import annotations

import itertools

from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.messages import OutboundMessage, Ping
from marlstep.membership.records import MemberRecord


class PingFactory:
    """Makes all pings of one node. Their numbers match acks to probes."""

    def __init__(self, broadcasts: BroadcastQueue) -> None:
        """Initialize a factory that numbers pings from 1 and takes their records from `broadcasts`."""
        self._broadcasts = broadcasts
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return a number that this process has not used before."""
        return next(self._numbers)

    def make(self, node: str, first: MemberRecord | None = None) -> Ping:
        """Return a ping of the node that carries the record `first`, if given, and queued records."""
        return Ping(self.next_number(), node, self._broadcasts.take(first))

    def make_correction(self, record: MemberRecord, address: str) -> OutboundMessage:
        """Return a ping that carries a node's record to that node, which alone can refute it (SWIM, section 4.2)."""
        return OutboundMessage(address, self.make(record.node, record))
