"""A ring buffer of bytes with a fixed size; each connection has one per direction.

The memory is allocated on first use, so that connections without traffic need none.
"""

from __future__ import annotations

from marlstep.errors import LocalProtocolError, RemoteProtocolError


class LineTooLongError(RemoteProtocolError):
    """A peer sent a line that is longer than the limit."""

    def __init__(self, limit: int) -> None:
        """`limit` is the maximum length of a line in bytes, without the line end."""
        super().__init__(f"no line end within {limit} bytes")
        self.limit = limit


class RingRangeError(LocalProtocolError):
    """The number of bytes to commit or skip is negative, or exceeds the free or used bytes of the ring."""

    def __init__(self, count: int, limit: int) -> None:
        """`count` is the number of bytes, `limit` the largest allowed one."""
        super().__init__(f"expected 0 to {limit} bytes, got {count}")
        self.count, self.limit = count, limit


class Ring:
    """A first-in first-out buffer with space for `size` bytes, of which `used` are occupied."""

    __slots__ = ("_data", "_start", "_view", "size", "used")

    def __init__(self, size: int) -> None:
        """`size` is in bytes. The memory is allocated on first use."""
        self.size = size
        self.used = 0
        self._start = 0
        self._data = bytearray()
        self._view = memoryview(self._data)

    @property
    def free(self) -> int:
        """The number of bytes that can be written."""
        return self.size - self.used

    def space(self) -> memoryview:
        """Return contiguous free bytes to write into; call `commit_write` after that."""
        if not self._view:
            self._data = bytearray(self.size)
            self._view = memoryview(self._data)
        end = (self._start + self.used) % self.size
        return (
            self._view[end : self._start]
            if end < self._start
            else self._view[end : end + self._contiguous_free(end)]
        )

    def _contiguous_free(self, end: int) -> int:
        return min(self.size - end, self.free)

    def commit_write(self, count: int) -> None:
        """Commit the first `count` bytes of `space()`. Raises RingRangeError if `count` exceeds the free bytes."""
        if not 0 <= count <= self.free:
            raise RingRangeError(count, self.free)
        self.used += count

    def put(self, data: bytes | memoryview) -> int:
        """Copy as many bytes of `data` into the ring as fit, and return their number."""
        copied = 0
        while copied < len(data) and self.free:
            space = self.space()
            count = min(len(space), len(data) - copied)
            space[:count] = data[copied : copied + count]
            self.commit_write(count)
            copied += count
        return copied

    def peek(self, count: int) -> bytes:
        """Return the first `count` bytes, or all if there are fewer, without removing them."""
        count = min(count, self.used)
        first = min(count, self.size - self._start)
        data = bytes(self._view[self._start : self._start + first])
        return data + bytes(self._view[: count - first]) if count > first else data

    def skip(self, count: int) -> None:
        """Remove the first `count` bytes. Raises RingRangeError if there are fewer."""
        if not 0 <= count <= self.used:
            raise RingRangeError(count, self.used)
        self.used -= count
        self._start = (self._start + count) % self.size if self.used else 0

    def take(self, count: int) -> bytes:
        """Remove and return the first `count` bytes, or all if there are fewer."""
        if count >= self.used or self._start + count > self.size:
            data = self.peek(count)
            self.skip(len(data))
            return data
        start, self._start = self._start, (self._start + count) % self.size
        self.used -= count
        return bytes(self._view[start : start + count])

    def line(self, limit: int) -> bytes | None:
        """Remove and return the next line, without its CR LF; None if it is incomplete.

        Raises:
            LineTooLongError: the line is longer than `limit` bytes.
        """
        if self._start + self.used <= self.size:  # contiguous: searched in place
            searched = min(self.used, limit + 2)
            end = self._data.find(b"\r\n", self._start, self._start + searched)
            if end >= 0:
                line = bytes(self._view[self._start : end])
                self.skip(len(line) + 2)
                return line
        else:
            data = self.peek(limit + 2)
            searched, end = len(data), data.find(b"\r\n")
            if end >= 0:
                self.skip(end + 2)
                return data[:end]
        if searched >= limit + 2:
            raise LineTooLongError(limit)
        return None
