"""Reads uwsgi packets from a ring, and writes packets and HTTP responses as bytes. No I/O.

A packet is a header of 4 bytes (modifier1, the size of the block of variables as 16 bits little-endian, modifier2), the
variables (names and values in turn, each a 16-bit size and that many bytes), and a body of CONTENT_LENGTH bytes.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from marlstep.frontends.errors import (
    BodyTooLargeError,
    InvalidContentLengthError,
    InvalidModifierError,
    InvalidPacketError,
    NoVariablesError,
    UnpairedVariableError,
    VariableSizeError,
)
from marlstep.net.ring import Ring

HEADER_BYTES = 4  # before the block of variables
SIZE_AT = slice(1, 3)  # of the header: the size of the block of variables
SIZE_BYTES = 2  # bytes of the size before each name and value
BODY_SIZE_VARIABLE = "CONTENT_LENGTH"
MAX_CONTENT_LENGTH_DIGITS = 15
UNKNOWN = -1


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
    return {name: block[value].decode("latin-1") for name, value in find_variables(block, None).items()}


def find_variables(block: bytes, names: Collection[str] | None) -> dict[str, slice]:
    """Return where the values of variables are in their block; if a name is repeated, its last value counts.

    Args:
        block: the block of variables, all of which are checked.
        names: the variables to find; None for all.

    Raises:
        InvalidPacketError: a size exceeds the block, or the last name has no value.
    """
    wanted = None if names is None else {name.encode("latin-1") for name in names}
    wanted_sizes = None if wanted is None else {len(name) for name in wanted}
    found: dict[bytes, slice] = {}
    block_size = len(block)
    position = 0
    # One pass without a call or a copy for each variable, as a block may have thousands.
    while position < block_size:
        name_start = position + SIZE_BYTES
        name_end = name_start
        if name_start <= block_size:
            name_end += block[position] | (block[position + 1] << 8)
        value_start = name_end + SIZE_BYTES
        if value_start > block_size:
            raise _incomplete_variable(block_size, name_end)
        value_end = value_start + (block[name_end] | (block[name_end + 1] << 8))
        if value_end > block_size:
            raise VariableSizeError(value_end, block_size)
        if wanted_sizes is None or name_end - name_start in wanted_sizes:
            name = block[name_start:name_end]
            if wanted is None or name in wanted:
                found[name] = slice(value_start, value_end)
        position = value_end
    return {name.decode("latin-1"): value for name, value in found.items()}


def _incomplete_variable(block_size: int, name_end: int) -> InvalidPacketError:
    """Return the error of a variable whose name or whose value's size does not fit into the block."""
    if name_end == block_size:
        return UnpairedVariableError()
    end = name_end if name_end > block_size else name_end + SIZE_BYTES
    return VariableSizeError(end, block_size)


def write_packet(variables: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request's packet."""
    strings = [string.encode("latin-1") for pair in variables.items() for string in pair]
    block = b"".join(len(string).to_bytes(2, "little") + string for string in strings)
    return b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body


class PacketReader:
    """Reads consecutive packets from a stream that arrives in pieces of any size.

    Of an incomplete packet only its bytes are held: its variables may be thousands, and take many times their bytes
    when parsed.
    """

    def __init__(self, body_limit: int, names: Callable[[], Collection[str]] | None = None) -> None:
        """Initialize the reader at the start of a packet.

        Args:
            body_limit: maximum size of a body in bytes.
            names: returns the variables that a packet is to have once it is complete; None for all.
        """
        self._body_limit = body_limit
        self._names = names
        self._raw = bytearray()
        self._variables_end = UNKNOWN  # of the packet, in bytes; the body begins there
        self._body_size = UNKNOWN
        self._found_names: Collection[str] | None = None
        self._found: dict[str, slice] = {}  # the values of variables with these names, in their block

    @property
    def declared_bytes(self) -> int:
        """The size of the packet as far as it has declared it; 0 before its header is complete."""
        return max(self._variables_end, 0) + max(self._body_size, 0)

    @property
    def inside_packet(self) -> bool:
        """Whether a part of a packet has been read."""
        return bool(self._raw)

    def discard(self) -> None:
        """Free the memory of an incomplete packet."""
        self._raw, self._found = bytearray(), {}

    def next(self, ring: Ring, may_scan: Callable[[int], bool] = lambda _size: True) -> Packet | None:
        """Return the next packet; None until it is complete.

        Args:
            ring: the input.
            may_scan: returns whether a block of variables of a size in bytes may be scanned now. If not, the packet
                waits for the next call.

        Raises:
            InvalidPacketError: the packet is malformed, or its body is larger than the limit.
        """
        if self._variables_end == UNKNOWN:
            if not self._fill(ring, HEADER_BYTES):
                return None
            self._variables_end = HEADER_BYTES + self._variables_size()
        if self._body_size == UNKNOWN:
            if not self._fill(ring, self._variables_end) or not may_scan(self._variables_end):
                return None
            self._body_size = self._read_body_size()
        if not self._fill(ring, self._variables_end + self._body_size):
            return None
        return self._take_packet()

    def _fill(self, ring: Ring, size: int) -> bool:
        """Read up to a size of the packet in bytes; False while it has not arrived."""
        if len(self._raw) < size:
            self._raw += ring.take(size - len(self._raw))
        return len(self._raw) >= size

    def _take_packet(self) -> Packet:
        block = self._variables_block()
        if self._names is not None and self._names() != self._found_names:  # the configuration has changed
            self._find_variables(block)
        variables = {name: block[value].decode("latin-1") for name, value in self._found.items()}
        packet = Packet(bytes(self._raw), variables)
        self._raw, self._variables_end, self._body_size = bytearray(), UNKNOWN, UNKNOWN
        return packet

    def _find_variables(self, block: bytes) -> None:
        self._found_names = None if self._names is None else self._names()
        wanted = None if self._found_names is None else {*self._found_names, BODY_SIZE_VARIABLE}
        self._found = find_variables(block, wanted)

    def _variables_block(self) -> bytes:
        with memoryview(self._raw) as raw:
            return bytes(raw[HEADER_BYTES : self._variables_end])

    def _variables_size(self) -> int:
        if self._raw[0] != 0:
            raise InvalidModifierError(self._raw[0])
        size = int.from_bytes(self._raw[SIZE_AT], "little")
        if not size:
            raise NoVariablesError
        return size

    def _read_body_size(self) -> int:
        """Check the variables, and return the size of the body that they declare."""
        block = self._variables_block()
        self._find_variables(block)
        text = block[self._found.get(BODY_SIZE_VARIABLE, slice(0))].decode("latin-1") or "0"
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
