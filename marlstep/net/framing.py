"""Frames on a stream between processes of this program: a mark, a length, a checksum, and one message.

4 bytes    the mark: which conversation, and its version
4 bytes    length of what follows the head
n bytes    checksum of the body, as long as the conversation has it
           the body
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable

from marlstep.errors import MarlstepError
from marlstep.net.ring import Ring

KEYED_BYTES = 16


class CorruptError(MarlstepError, ValueError):
    """What the other process wrote can't be read. Nothing after it can be trusted."""


def crc(body: bytes) -> bytes:
    """For a conversation on a Unix socket in the node's own folder."""
    return zlib.crc32(body).to_bytes(4, "big")


def keyed(key: bytes) -> Callable[[bytes], bytes]:
    """A checksum that only those who have the key (up to 64 bytes) can make: BLAKE2b, 16 bytes."""

    def check(body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=KEYED_BYTES, key=key).digest()

    return check


class Framing:
    """One conversation's frames."""

    def __init__(self, mark: bytes, most: int, check: Callable[[bytes], bytes]) -> None:
        """`most` bytes of one body; `check` gives the same number of bytes for each body."""
        self.mark, self.most, self._check = mark, most, check
        self._width = len(check(b""))
        self.head = len(mark) + 4 + self._width

    def write(self, body: bytes) -> bytes:
        """Raises ValueError where the body is over what the other side takes."""
        if len(body) > self.most:
            raise ValueError(f"a message of {len(body)} bytes, {self.most} at the most")
        return self.mark + len(body).to_bytes(4, "big") + self._check(body) + body

    def read(self, ring: Ring) -> bytes | None:
        """The next body; None until more is read. Raises CorruptError."""
        head = ring.peek(self.head)
        mark = head[: len(self.mark)]
        if not self.mark.startswith(mark):
            raise CorruptError(f"no frame of this version: {mark!r}")
        if len(head) < len(self.mark) + 4:
            return None
        size = int.from_bytes(head[len(mark) : len(mark) + 4], "big")
        if size > self.most:
            raise CorruptError(f"a message of {size} bytes")
        if ring.used < self.head + size:
            return None
        ring.skip(self.head)
        body = ring.take(size)
        if self._check(body) != head[len(mark) + 4 :]:
            raise CorruptError("the checksum is wrong")
        return body
