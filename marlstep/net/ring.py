"""A ring buffer of fixed size: one for each direction of a connection.

Its memory is taken when the first byte comes: a connection that never says anything costs none.
"""

from __future__ import annotations


class LineTooLongError(ValueError):
    """No line end within the bytes a line may take."""


class Ring:
    __slots__ = ("_data", "_start", "_view", "size", "used")

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0
        self._start = 0
        self._data = bytearray()
        self._view = memoryview(self._data)

    @property
    def free(self) -> int:
        return self.size - self.used

    def space(self) -> memoryview:
        """The free bytes that lie in one piece, to be written in place; then call `wrote`."""
        if not self._view:
            self._data = bytearray(self.size)
            self._view = memoryview(self._data)
        end = (self._start + self.used) % self.size
        return self._view[end : self._start] if end < self._start else self._view[end : end + self._run(end)]

    def _run(self, end: int) -> int:
        return min(self.size - end, self.free)

    def wrote(self, count: int) -> None:
        if not 0 <= count <= self.free:
            raise ValueError("more written than there was room for")
        self.used += count

    def put(self, data: bytes | memoryview) -> int:
        """Copy in as much as there is room for; tell how much that was."""
        done = 0
        while done < len(data) and self.free:
            room = self.space()
            part = min(len(room), len(data) - done)
            room[:part] = data[done : done + part]
            self.wrote(part)
            done += part
        return done

    def peek(self, count: int) -> bytes:
        """The first `count` bytes, or as many as there are."""
        count = min(count, self.used)
        first = min(count, self.size - self._start)
        head = bytes(self._view[self._start : self._start + first])
        return head + bytes(self._view[: count - first]) if count > first else head

    def skip(self, count: int) -> None:
        if not 0 <= count <= self.used:
            raise ValueError("more skipped than there was")
        self.used -= count
        self._start = (self._start + count) % self.size if self.used else 0

    def take(self, count: int) -> bytes:
        if count >= self.used or self._start + count > self.size:
            data = self.peek(count)
            self.skip(len(data))
            return data
        start, self._start = self._start, (self._start + count) % self.size
        self.used -= count
        return bytes(self._view[start : start + count])

    def line(self, limit: int) -> bytes | None:
        """The next line without its CR LF; None while it is not whole, LineTooLongError past the limit."""
        if self._start + self.used <= self.size:  # it lies in one piece: looked at where it is
            most = min(self.used, limit + 2)
            end = self._data.find(b"\r\n", self._start, self._start + most)
            if end >= 0:
                line = bytes(self._view[self._start : end])
                self.skip(len(line) + 2)
                return line
        else:
            head = self.peek(limit + 2)
            most, end = len(head), head.find(b"\r\n")
            if end >= 0:
                self.skip(end + 2)
                return head[:end]
        if most >= limit + 2:
            raise LineTooLongError(f"no line end within {limit} bytes")
        return None
