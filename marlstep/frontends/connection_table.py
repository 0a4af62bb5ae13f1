"""The connections of one frontend, and the order in which unproven and idle ones are evicted. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from typing import Generic, Protocol, TypeVar

from marlstep.frontends.connection_policy import has_free_slot
from marlstep.slots import SlotTable, TableFullError


class TableEntry(Protocol):
    """The attribute that the table sets on each connection."""

    handle: int  # of the slot that the connection occupies


Entry = TypeVar("Entry", bound=TableEntry)


class ConnectionTable(Generic[Entry]):
    """All open connections by handle, and which of them are unproven or idle."""

    def __init__(self, limit: int) -> None:
        """Create an empty table with `limit` slots, all of which may be used until `capacity` is lowered."""
        self._slots: SlotTable[Entry] = SlotTable(limit)
        self.capacity = limit  # slots that this process may use; lower while two processes share the node
        self._unproven: dict[int, Entry] = {}  # by handle, the oldest first
        self._idle: dict[int, tuple[Entry, datetime]] = {}  # with idle-since time; longest idle first

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._slots)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over a snapshot of the connections, so that they may close during the iteration."""
        return iter(self._slots)

    @property
    def limit(self) -> int:
        """The number of slots."""
        return self._slots.limit

    @property
    def unproven_count(self) -> int:
        """The number of connections that have sent no complete message yet."""
        return len(self._unproven)

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    def get(self, handle: int) -> Entry | None:
        """Return the connection with this handle; None if it has closed."""
        return self._slots.get(handle)

    def add(self, connection: Entry) -> None:
        """Add a new connection as unproven and set its handle. Raises TableFullError if `capacity` is reached."""
        if not has_free_slot(len(self._slots), self.capacity):
            raise TableFullError.at_limit(self.capacity)
        connection.handle = self._slots.add(connection)
        self._unproven[connection.handle] = connection

    def remove(self, connection: Entry) -> bool:
        """Free the slot of a connection that has closed; False if it had none."""
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
        """Record that a connection has sent a complete message."""
        self._unproven.pop(connection.handle, None)

    def mark_unproven(self, connection: Entry) -> None:
        """Put a connection at the end of the unproven ones, if it has a slot."""
        if self._slots.get(connection.handle) is connection:
            self._unproven[connection.handle] = connection

    def oldest_unproven(self) -> Entry | None:
        """Return the unproven connection that was opened first, if any."""
        return next(self.unproven(), None)

    def unproven(self) -> Iterator[Entry]:
        """Iterate over the unproven connections, the oldest first. The table must not change meanwhile."""
        return iter(self._unproven.values())

    # Idle connections.

    def mark_busy(self, connection: Entry) -> None:
        """Take a connection off the idle list: it has an open request, or its closing was announced already."""
        self._idle.pop(connection.handle, None)

    def mark_idle(self, connection: Entry, now: datetime) -> None:
        """Put a connection at the end of the idle list, idle since `now`."""
        self._idle.pop(connection.handle, None)
        self._idle[connection.handle] = (connection, now)

    def longest_idle(self) -> Entry | None:
        """Return the connection that has been idle for longest, if any is idle."""
        return next((connection for connection, _ in self._idle.values()), None)

    def longest_idle_since(self) -> datetime | None:
        """Return the time since which the longest idle connection has been idle, if any is idle."""
        return next((since for _, since in self._idle.values()), None)

    def idle_connections(self) -> list[tuple[Entry, datetime]]:
        """Return a copy of the idle list: connection and time since which it is idle, the longest idle first."""
        return list(self._idle.values())
