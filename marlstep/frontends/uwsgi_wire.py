"""Reads uwsgi packets from a ring, and writes packets and HTTP responses as bytes. No I/O.

A packet is a header of 4 bytes (modifier1, the size of the block of variables as 16 bits little-endian, modifier2), the
variables (names and values in turn, each a 16-bit size and that many bytes), and a body of CONTENT_LENGTH bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from marlstep.frontends.errors import (
    BodyTooLargeError,
    InvalidContentLengthError,
    InvalidModifierError,
    NoVariablesError,
    UnpairedVariableError,
    VariableSizeError,
)
from marlstep.net.ring import Ring

HEADER_BYTES = 4  # before the block of variables
SIZE_AT = slice(1, 3)  # of the header: the size of the block of variables
SIZE_BYTES = 2  # bytes of the size before each name and value
MAX_CONTENT_LENGTH_DIGITS = 15


@dataclass(slots=True, frozen=True)
class Packet:
    """A complete uwsgi packet."""

    raw: bytes  # the whole packet, to be forwarded unchanged
    variables: Mapping[str, str]

    @property
    def body(self) -> memoryview:
        """The body, without a copy."""
        variables_size = int.from_bytes(self.raw[SIZE_AT], "little")
        return memoryview(self.raw)[HEADER_BYTES + variables_size :]


def read_variables(block: bytes) -> dict[str, str]:
    """Parse the variables of a packet; if a name is repeated, its last value counts.

    Raises:
        InvalidPacketError: a size exceeds the block, or the last name has no value.
    """
    strings: list[str] = []
    position = 0
    while position < len(block):
        start = position + SIZE_BYTES
        end = start + int.from_bytes(block[position:start], "little")
        if start > len(block) or end > len(block):
            raise VariableSizeError(end, len(block))
        strings.append(block[start:end].decode("latin-1"))
        position = end
    if len(strings) % 2:
        raise UnpairedVariableError
    return dict(zip(strings[::2], strings[1::2], strict=True))


def write_packet(variables: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request's packet."""
    strings = [string.encode("latin-1") for pair in variables.items() for string in pair]
    block = b"".join(len(string).to_bytes(2, "little") + string for string in strings)
    return b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body


class PacketReader:
    """Reads consecutive packets from a stream that arrives in pieces of any size."""

    def __init__(self, body_limit: int) -> None:
        """`body_limit` is the maximum size of a body in bytes."""
        self._body_limit = body_limit
        self._raw = bytearray()
        self._variables: dict[str, str] | None = None
        self._size = HEADER_BYTES  # bytes of the packet up to the end of the part whose size is known

    @property
    def inside_packet(self) -> bool:
        """Whether a part of a packet has been read."""
        return bool(self._raw)

    def next(self, ring: Ring) -> Packet | None:
        """Return the next packet; None until it is complete.

        Raises:
            InvalidPacketError: the packet is malformed, or its body is larger than the limit.
        """
        while True:
            self._raw += ring.take(self._size - len(self._raw))
            if len(self._raw) < self._size:
                return None
            if self._size == HEADER_BYTES:
                self._read_header()
            elif self._variables is None:
                self._variables = read_variables(bytes(self._raw[HEADER_BYTES:]))
                self._size += self._body_length(self._variables)
            if self._variables is not None and len(self._raw) == self._size:
                packet = Packet(bytes(self._raw), self._variables)
                self._raw, self._variables, self._size = bytearray(), None, HEADER_BYTES
                return packet

    def _read_header(self) -> None:
        if self._raw[0] != 0:
            raise InvalidModifierError(self._raw[0])
        size = int.from_bytes(self._raw[SIZE_AT], "little")
        if not size:
            raise NoVariablesError
        self._size += size

    def _body_length(self, variables: Mapping[str, str]) -> int:
        text = variables.get("CONTENT_LENGTH", "") or "0"
        if not (text.isascii() and text.isdigit()) or len(text) > MAX_CONTENT_LENGTH_DIGITS:
            raise InvalidContentLengthError(text)
        if int(text) > self._body_limit:
            raise BodyTooLargeError(text, self._body_limit)
        return int(text)


REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def write_response(status: int, headers: Mapping[str, str], text: str) -> bytes:
    """Return the bytes of an HTTP response with a plain-text body and `Connection: close`."""
    body = text.encode() + b"\n"
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES[status]}", "Content-Type: text/plain; charset=utf-8"]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
