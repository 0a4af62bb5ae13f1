"""Frames between processes of this program: a header, and a body with one message.

4 bytes    magic: identifies the protocol and its version
4 bytes    length of the body in bytes, big-endian
n bytes    checksum of the body; its length depends on the protocol
           the body
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable

from marlstep.errors import LocalProtocolError, RemoteProtocolError
from marlstep.net.ring import Ring

LENGTH_BYTES = 4
KEYED_BYTES = 16  # size of a keyed checksum


class CorruptError(RemoteProtocolError, ValueError):
    """Data from another process cannot be read. On a stream, nothing after it can be read either."""


class UnknownMagicError(CorruptError):
    """A frame does not begin with the magic of this protocol and version."""

    def __init__(self, found: bytes) -> None:
        """`found` are the bytes in place of the magic, as many as have arrived."""
        super().__init__(f"no frame of this version: {found!r}")
        self.found = found


class FrameLengthError(CorruptError):
    """A frame's header announces a body that is larger than the protocol allows."""

    def __init__(self, size: int, limit: int) -> None:
        """`size` is the announced size and `limit` the largest allowed one, both in bytes."""
        super().__init__(f"message of {size} bytes exceeds the limit of {limit} bytes")
        self.size, self.limit = size, limit


class ChecksumError(CorruptError):
    """A frame's body does not match the checksum in its header: it was damaged, or the sender has another key."""

    def __init__(self, expected: bytes, found: bytes) -> None:
        """`expected` is the checksum in the header, `found` that of the body."""
        super().__init__(f"wrong checksum in frame: expected {expected.hex()}, found {found.hex()}")
        self.expected, self.found = expected, found


class FrameTooLargeError(LocalProtocolError, ValueError):
    """A body to be written is larger than the protocol allows, so the receiver would reject it."""

    def __init__(self, size: int, limit: int) -> None:
        """`size` is the size of the body and `limit` the largest allowed one, both in bytes."""
        super().__init__(f"message to write of {size} bytes exceeds the limit of {limit} bytes")
        self.size, self.limit = size, limit


def crc(body: bytes) -> bytes:
    """Return the CRC-32 of a body; sufficient for connections that only processes of this node can open."""
    return zlib.crc32(body).to_bytes(4, "big")


def keyed(key: bytes) -> Callable[[bytes], bytes]:
    """Return a checksum function that only holders of `key` (up to 64 bytes) can compute: BLAKE2b, 16 bytes."""

    def check(body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=KEYED_BYTES, key=key).digest()

    return check


class Framing:
    """Writes and reads the frames of one protocol."""

    def __init__(self, magic: bytes, max_body_bytes: int, checksum: Callable[[bytes], bytes]) -> None:
        """Initialize the framing.

        Args:
            magic: the first bytes of every frame.
            max_body_bytes: size of the largest body that is written or read.
            checksum: returns the checksum of a body, which always has the same number of bytes.
        """
        self._magic, self._max_body_bytes, self._checksum = magic, max_body_bytes, checksum
        self._length_end = len(magic) + LENGTH_BYTES
        self._header_bytes = self._length_end + len(checksum(b""))

    def write(self, body: bytes) -> bytes:
        """Return the frame of a body. Raises FrameTooLargeError if the body exceeds the limit."""
        if len(body) > self._max_body_bytes:
            raise FrameTooLargeError(len(body), self._max_body_bytes)
        return self._magic + len(body).to_bytes(LENGTH_BYTES, "big") + self._checksum(body) + body

    def read(self, ring: Ring) -> bytes | None:
        """Remove the next frame from the ring and return its body; None until the frame is complete.

        Raises:
            CorruptError: the magic, the length or the checksum is wrong.
        """
        header = ring.peek(self._header_bytes)
        magic = header[: len(self._magic)]
        if not self._magic.startswith(magic):  # checked from the first byte on
            raise UnknownMagicError(magic)
        if len(header) < self._length_end:
            return None
        size = int.from_bytes(header[len(magic) : self._length_end], "big")
        if size > self._max_body_bytes:
            raise FrameLengthError(size, self._max_body_bytes)
        if ring.used < self._header_bytes + size:
            return None
        ring.skip(self._header_bytes)
        body = ring.take(size)
        checksum = self._checksum(body)
        if checksum != header[self._length_end :]:
            raise ChecksumError(header[self._length_end :], checksum)
        return body
