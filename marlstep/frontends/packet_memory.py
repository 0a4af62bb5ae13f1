"""Bounds the memory of the packets that a frontend reads or runs at a time. No I/O: the time is an argument."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from datetime import datetime
from typing import Generic, TypeVar

from marlstep.units import MILLISECOND

MIN_STALL = 100 * MILLISECOND  # without input; a connection that stalls for less may still send the rest

Holder = TypeVar("Holder", bound=Hashable)


@dataclass(slots=True)
class Reading:
    """A packet that is not complete."""

    began_at: datetime
    last_input_at: datetime


class PacketMemory(Generic[Holder]):
    """Reservations of bytes by connection, and which of them make room for others.

    A connection reserves the size that its packet declares before the packet arrives. Memory is taken back only from
    connections whose packets are incomplete, as their requests have not been received.

    Attributes:
        limit_bytes: bytes for all reservations together.
        reserved_bytes: bytes of all reservations.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Initialize without reservations; `limit_bytes` is for all reservations together."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._sizes: dict[Holder, int] = {}
        self._reading: dict[Holder, Reading] = {}  # in the order in which reading began

    @property
    def is_exceeded(self) -> bool:
        """Whether the reservations exceed the limit."""
        return self.reserved_bytes > self.limit_bytes

    def reserve(self, holder: Holder, packet_bytes: int, now: datetime) -> None:
        """Reserve memory for an incomplete packet from which input has arrived, in place of its earlier reservation."""
        self._resize(holder, packet_bytes)
        reading = self._reading.setdefault(holder, Reading(now, now))
        reading.last_input_at = now

    def mark_complete(self, holder: Holder) -> None:
        """Record that a packet is complete; its memory stays reserved until `release`."""
        self._reading.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Release the reservation of a connection, if it has one."""
        self._reading.pop(holder, None)
        self.reserved_bytes -= self._sizes.pop(holder, 0)

    def holder_to_evict(self, now: datetime) -> Holder | None:
        """Return the connection to close for another one, if any may be.

        It is the one without input for longest. Where all send, it is the one that has been read for longest.
        """
        if not self._reading:
            return None
        stalled = min(self._reading, key=lambda holder: self._reading[holder].last_input_at)
        if now - self._reading[stalled].last_input_at >= MIN_STALL:
            return stalled
        oldest = next(iter(self._reading))
        return oldest if now - self._reading[oldest].began_at >= MIN_STALL else None

    def _resize(self, holder: Holder, size: int) -> None:
        self.reserved_bytes += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
