"""Numbered pings that carry the records to be disseminated."""

from __future__ import annotations

import itertools

from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.messages import OutboundMessage, Ping
from marlstep.membership.records import MemberRecord


class PingFactory:
    """Makes all pings of one node. The numbers match acknowledgements with probes."""

    def __init__(self, broadcasts: BroadcastQueue) -> None:
        """Number from 1; records come from `broadcasts`."""
        self._broadcasts = broadcasts
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return a number that no message of this process has had."""
        return next(self._numbers)

    def make(self, node: str, first: MemberRecord | None = None) -> Ping:
        """Return a ping of that node; `first` is the record that it has to hear of."""
        return Ping(self.next_number(), node, self._broadcasts.take(first))

    def correcting(self, record: MemberRecord, address: str) -> OutboundMessage:
        """Return a ping that shows a node its own record, as only itself can refute that (SWIM, section 4.2)."""
        return OutboundMessage(address, self.make(record.node, record))
