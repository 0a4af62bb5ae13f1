"""Indirect probes on behalf of other nodes: SWIM's ping-req (section 3.1) with Lifeguard's nack (section IV-A)."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.messages import Ack, Nack, OutboundMessage, PingRequest
from marlstep.membership.pings import PingFactory

MAX_INDIRECT_PROBES = 256  # maximum number of unanswered indirect probes


@dataclass(slots=True)
class IndirectProbe:
    """A probe that another node has requested."""

    requester_address: str
    requester_number: int
    nack_at: datetime


class IndirectProbes:
    """The unanswered probes on behalf of other nodes, by the number of the ping that this node sent."""

    def __init__(
        self, broadcasts: BroadcastQueue, pings: PingFactory, probe_timeout: timedelta, counts: Counter[str]
    ) -> None:
        """Initialize without open probes; after `probe_timeout` without an ack the requester is sent a nack."""
        self._broadcasts = broadcasts
        self._pings = pings
        self._probe_timeout = probe_timeout
        self._counts = counts
        self._probes: dict[int, IndirectProbe] = {}

    def due_times(self) -> list[datetime]:
        """Return the times at which nacks are due."""
        return [probe.nack_at for probe in self._probes.values()]

    def start(self, now: datetime, requester_address: str, request: PingRequest) -> list[OutboundMessage]:
        """Return a ping of the requested node, or nothing if too many probes are open."""
        if len(self._probes) >= MAX_INDIRECT_PROBES:
            self._counts["relays refused"] += 1
            return []
        ping = self._pings.make(request.node)
        self._probes[ping.number] = IndirectProbe(
            requester_address, request.number, now + self._probe_timeout
        )
        return [OutboundMessage(request.address, ping)]

    def acknowledge(self, number: int) -> OutboundMessage | None:
        """Return the ack to forward, or None if no indirect probe has that number."""
        probe = self._probes.pop(number, None)
        if probe is None:
            return None
        return OutboundMessage(probe.requester_address, Ack(probe.requester_number, self._broadcasts.take()))

    def expire(self, now: datetime) -> list[OutboundMessage]:
        """Return the nacks that are due. An ack that arrives after the nack is ignored."""
        expired = [number for number, probe in self._probes.items() if now >= probe.nack_at]
        return [self._nack(self._probes.pop(number)) for number in expired]

    def _nack(self, probe: IndirectProbe) -> OutboundMessage:
        return OutboundMessage(probe.requester_address, Nack(probe.requester_number, self._broadcasts.take()))
