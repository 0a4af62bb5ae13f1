"""The registry of requests in flight: the one owner of their slots and ids."""

from __future__ import annotations

from collections.abc import Iterator

from marlstep.core.errors import RejectionReason, RequestRejectedError
from marlstep.core.interfaces import Request
from marlstep.slots import SlotTable

MAX_REQUESTS = 8_192  # requests in flight at once; bounds their memory, see `resource_budget.REQUEST_MEMORY`


class RequestRegistry:
    """Requests in flight, by handle and by id. An id is in use until its request is released.

    Attributes:
        capacity: requests that this process may hold at once; at most `limit`, and less while two processes
            of the node share its memory.
    """

    def __init__(self, limit: int) -> None:
        """Make an empty registry for at most `limit` requests. Raises InvalidTableLimitError."""
        self._slots: SlotTable[Request] = SlotTable(limit)
        self._handles: dict[str, int] = {}  # by request id
        self.capacity = limit

    @property
    def limit(self) -> int:
        """The most requests that the registry can hold, whatever the capacity is."""
        return self._slots.limit

    def __len__(self) -> int:
        """Count the requests in flight."""
        return len(self._slots)

    def __iter__(self) -> Iterator[Request]:
        """Iterate over the requests as they are now; some may be released meanwhile."""
        return iter(self._slots)

    def __contains__(self, request_id: object) -> bool:
        """Check whether a request with this id is in flight."""
        return request_id in self._handles

    def set_capacity(self, capacity: int) -> None:
        """Hold at most so many requests from now on; those that are in flight stay."""
        self.capacity = min(capacity, self._slots.limit)

    def add(self, request: Request) -> None:
        """Register a request under a new handle and under its id, which must not be in use.

        Raises:
            RequestRejectedError: as many requests as the capacity allows are in flight.
        """
        inbound = request.inbound
        if len(self._slots) >= self.capacity:
            raise RequestRejectedError(RejectionReason.PROCESS_AT_CAPACITY, inbound)
        request.handle = self._slots.add(request)  # never full: the capacity is at most its limit
        self._handles[inbound.id] = request.handle

    def get(self, handle: int) -> Request | None:
        """Look up a request by its handle; None once it has been released."""
        return self._slots.get(handle)

    def find(self, request_id: str) -> Request | None:
        """Look up a request by its id; None where none is in flight."""
        handle = self._handles.get(request_id)
        return None if handle is None else self._slots.get(handle)

    def release(self, request: Request) -> bool:
        """Give a request's slot and id back. Returns False where that has been done before."""
        if not self._slots.free(request.handle):
            return False
        del self._handles[request.inbound.id]
        return True
