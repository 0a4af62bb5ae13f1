"""Frames on a stream between processes of this program: a header, and a body that holds one message.

4 bytes    magic: which protocol, and its version
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
KEYED_BYTES = 16  # of a keyed checksum


class CorruptError(RemoteProtocolError, ValueError):
    """What another process wrote can't be read. On a stream, nothing after it can be read either."""


class UnknownMagicError(CorruptError):
    """A frame begins with the magic of another protocol or version."""

    def __init__(self, found: bytes) -> None:
        """`found` stands where the magic should."""
        super().__init__(f"no frame of this version: {found!r}")
        self.found = found


class FrameLengthError(CorruptError):
    """A frame's header announces a body that is larger than the protocol allows."""

    def __init__(self, size: int, limit: int) -> None:
        """Sizes are in bytes."""
        super().__init__(f"a message of {size} bytes, {limit} at the most")
        self.size, self.limit = size, limit


class ChecksumError(CorruptError):
    """A frame's body does not have the checksum that its header gives: it was damaged, or has another key."""

    def __init__(self, expected: bytes, found: bytes) -> None:
        """`expected` stands in the header, `found` is that of the body."""
        super().__init__(f"the checksum is wrong: expected {expected.hex()}, found {found.hex()}")
        self.expected, self.found = expected, found


class FrameTooLargeError(LocalProtocolError, ValueError):
    """A body is larger than the protocol allows; the other side would refuse it."""

    def __init__(self, size: int, limit: int) -> None:
        """Sizes are in bytes."""
        super().__init__(f"a message of {size} bytes, {limit} at the most")
        self.size, self.limit = size, limit


def crc(body: bytes) -> bytes:
    """Return the CRC-32 of a body, for connections that only this node's own processes can open."""
    return zlib.crc32(body).to_bytes(4, "big")


def keyed(key: bytes) -> Callable[[bytes], bytes]:
    """Make a checksum that only holders of the key (up to 64 bytes) can compute: BLAKE2b, 16 bytes."""

    def check(body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=KEYED_BYTES, key=key).digest()

    return check


class Framing:
    """Writes and reads the frames of one protocol."""

    def __init__(self, magic: bytes, max_body_bytes: int, checksum: Callable[[bytes], bytes]) -> None:
        """`checksum` returns the same number of bytes for every body."""
        self._magic, self._max_body_bytes, self._checksum = magic, max_body_bytes, checksum
        self._length_end = len(magic) + LENGTH_BYTES
        self._header_bytes = self._length_end + len(checksum(b""))

    def write(self, body: bytes) -> bytes:
        """Return the frame of a body. Raises FrameTooLargeError."""
        if len(body) > self._max_body_bytes:
            raise FrameTooLargeError(len(body), self._max_body_bytes)
        return self._magic + len(body).to_bytes(LENGTH_BYTES, "big") + self._checksum(body) + body

    def read(self, ring: Ring) -> bytes | None:
        """Take the next body out of the ring; None until a whole frame is there. Raises CorruptError."""
        header = ring.peek(self._header_bytes)
        magic = header[: len(self._magic)]
        if not self._magic.startswith(magic):  # checked as soon as the first byte is there
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
