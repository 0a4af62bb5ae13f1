"""The connections of one frontend, with the order in which unproven and idle ones make room for others. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from typing import Generic, Protocol, TypeVar

from marlstep.frontends.connection_policy import has_free_slot
from marlstep.slots import SlotTable, TableFullError


class TableEntry(Protocol):
    """What the table keeps on a connection."""

    handle: int  # of its slot


Entry = TypeVar("Entry", bound=TableEntry)


class ConnectionTable(Generic[Entry]):
    """All open connections by handle. It alone knows which of them are unproven and which are idle."""

    def __init__(self, limit: int) -> None:
        """`limit` bounds the slots for good; `capacity` is the part of them that this process may use at present."""
        self._slots: SlotTable[Entry] = SlotTable(limit)
        self.capacity = limit  # less while two processes share the node
        self._unproven: dict[int, Entry] = {}  # by handle, the oldest first
        self._idle: dict[int, tuple[Entry, datetime]] = {}  # by handle, since when; the longest idle first

    def __len__(self) -> int:
        """Count the open connections."""
        return len(self._slots)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the connections as they are now; they may close meanwhile."""
        return iter(self._slots)

    @property
    def limit(self) -> int:
        """How many connections there are at most."""
        return self._slots.limit

    @property
    def unproven_count(self) -> int:
        """How many connections have sent no complete message yet."""
        return len(self._unproven)

    @property
    def idle_count(self) -> int:
        """How many connections are idle."""
        return len(self._idle)

    def get(self, handle: int) -> Entry | None:
        """Look up a connection; None where it has closed."""
        return self._slots.get(handle)

    def add(self, connection: Entry) -> None:
        """Enter a new connection, which is unproven. Raises TableFullError."""
        if not has_free_slot(len(self._slots), self.capacity):
            raise TableFullError.at_limit(self.capacity)
        connection.handle = self._slots.add(connection)
        self._unproven[connection.handle] = connection

    def remove(self, connection: Entry) -> bool:
        """Free the slot of a connection that has closed; False where it had none."""
        if self._slots.get(connection.handle) is not connection:
            return False
        self._unproven.pop(connection.handle, None)
        self._idle.pop(connection.handle, None)
        return self._slots.free(connection.handle)

    # Unproven connections.

    def is_unproven(self, connection: Entry) -> bool:
        """Whether a connection has sent no complete message yet."""
        return connection.handle in self._unproven

    def mark_proven(self, connection: Entry) -> None:
        """Note that a connection has sent a complete message."""
        self._unproven.pop(connection.handle, None)

    def oldest_unproven(self) -> Entry | None:
        """Return the unproven connection that was opened first."""
        return next(iter(self._unproven.values()), None)

    # Idle connections.

    def mark_busy(self, connection: Entry) -> None:
        """Note that a connection is not idle, or is not to be closed for being idle."""
        self._idle.pop(connection.handle, None)

    def mark_idle(self, connection: Entry, now: datetime) -> None:
        """Note that nothing is open on a connection from now on."""
        self._idle.pop(connection.handle, None)
        self._idle[connection.handle] = (connection, now)

    def longest_idle(self) -> Entry | None:
        """Return the connection that has been idle for longest."""
        return next((connection for connection, _ in self._idle.values()), None)

    def longest_idle_since(self) -> datetime | None:
        """Return since when the connection that has been idle for longest is."""
        return next((since for _, since in self._idle.values()), None)

    def idle_connections(self) -> list[tuple[Entry, datetime]]:
        """Return the idle connections as they are now, each with the time since when; the longest idle first."""
        return list(self._idle.values())
