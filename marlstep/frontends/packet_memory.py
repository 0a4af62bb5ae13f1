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
    connections that await input: the requests of the others may have been received.

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
        """Reserve memory for a packet of which input has arrived and more is awaited, in place of its reservation."""
        self._resize(holder, packet_bytes)
        reading = self._reading.setdefault(holder, Reading(now, now))
        reading.last_input_at = now

    def mark_received(self, holder: Holder) -> None:
        """Record that a packet has been received whole, or may have been. Its memory stays reserved."""
        self._reading.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Release the reservation of a connection, if it has one."""
        self._reading.pop(holder, None)
        self.reserved_bytes -= self._sizes.pop(holder, 0)

    def evictable(self, now: datetime) -> list[Holder]:
        """Return the connections that may be closed for another one, the first to close first.

        First come those without input for longest. Where all send, those follow that have been read for longest.
        """
        by_input = sorted(self._reading.items(), key=lambda item: item[1].last_input_at)
        stalled = [holder for holder, reading in by_input if now - reading.last_input_at >= MIN_STALL]
        if stalled:
            return stalled
        return [holder for holder, reading in self._reading.items() if now - reading.began_at >= MIN_STALL]

    def _resize(self, holder: Holder, size: int) -> None:
        self.reserved_bytes += size - self._sizes.get(holder, 0)
        self._sizes[holder] = size
