"""The registry of requests in flight, which assigns their handles and keeps their ids."""

from __future__ import annotations

from collections.abc import Iterator

from marlstep.core.errors import RejectionReason, RequestRejectedError
from marlstep.core.interfaces import Request
from marlstep.slots import SlotTable

# Limit on requests in flight at once. It bounds the memory that they take; see `REQUEST_MEMORY`.
MAX_REQUESTS = 8_192
REQUEST_MEMORY = 5 << 10  # bytes of a request in flight, including its body


class RequestRegistry:
    """Requests in flight, by handle and by id. An id is in use until its request is released.

    Attributes:
        capacity: how many requests this process may hold at once. At most `limit`, and less while two processes of
            the node share its memory.
    """

    def __init__(self, limit: int) -> None:
        """Initialize an empty registry for at most `limit` requests.

        Raises:
            InvalidTableLimitError: `limit` is out of range for a slot table.
        """
        self._slots: SlotTable[Request] = SlotTable(limit)
        self._handles: dict[str, int] = {}  # by request id
        self.capacity = limit

    @property
    def limit(self) -> int:
        """The upper bound for the capacity."""
        return self._slots.limit

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._slots)

    def __iter__(self) -> Iterator[Request]:
        """Iterate over the requests in flight. Requests may be released during the iteration."""
        return iter(self._slots)

    def __contains__(self, request_id: object) -> bool:
        """Return whether a request with this id is in flight."""
        return request_id in self._handles

    def set_capacity(self, capacity: int) -> None:
        """Set the capacity, bounded by `limit`. Requests in flight stay even if they exceed it."""
        self.capacity = min(capacity, self._slots.limit)

    def add(self, request: Request) -> None:
        """Register a request under a new handle and under its id, which must not be in use.

        Raises:
            RequestRejectedError: the number of requests in flight has reached the capacity.
        """
        inbound = request.inbound
        if len(self._slots) >= self.capacity:
            raise RequestRejectedError(RejectionReason.PROCESS_AT_CAPACITY, inbound)
        # The table is not full here, as the capacity is at most its limit.
        request.handle = self._slots.add(request)
        self._handles[inbound.id] = request.handle

    def get(self, handle: int) -> Request | None:
        """Return the request with this handle, or None if it has been released."""
        return self._slots.get(handle)

    def find(self, request_id: str) -> Request | None:
        """Return the request with this id, or None if none is in flight."""
        handle = self._handles.get(request_id)
        return None if handle is None else self._slots.get(handle)

    def release(self, request: Request) -> bool:
        """Free the slot and the id of a request. Returns False if it has been released before."""
        if not self._slots.free(request.handle):
            return False
        del self._handles[request.inbound.id]
        return True
