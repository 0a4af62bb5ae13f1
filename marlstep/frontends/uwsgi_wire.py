"""The uwsgi protocol: packets of variables with a body behind them, cut out of a ring.

A packet is 4 bytes (modifier1, the size of the variables as 16 bits little endian, modifier2), the variables
(each a size of 16 bits and that many bytes, name and value in turn), and CONTENT_LENGTH bytes of body.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from marlstep.net.ring import Ring

HEAD = 4


class InvalidPacketError(ValueError):
    """What came is no packet this front takes; `status` is what the client is told."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True, frozen=True)
class Packet:
    raw: bytes  # all of it, to be sent on unchanged
    variables: Mapping[str, str]


def read_variables(block: bytes) -> dict[str, str]:
    """Raises BadPacket where the sizes inside do not add up. Of a name that comes twice the last counts."""
    words: list[str] = []
    at = 0
    while at < len(block):
        end = at + 2 + int.from_bytes(block[at : at + 2], "little")
        if at + 2 > len(block) or end > len(block):
            raise InvalidPacketError("a variable reaches past its block")
        words.append(block[at + 2 : end].decode("latin-1"))
        at = end
    if len(words) % 2:
        raise InvalidPacketError("a name without a value")
    return dict(zip(words[::2], words[1::2], strict=True))


def write_packet(variables: Mapping[str, str], body: bytes = b"") -> bytes:
    words = [word.encode("latin-1") for pair in variables.items() for word in pair]
    block = b"".join(len(word).to_bytes(2, "little") + word for word in words)
    return b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body


class PacketReader:
    """Gathers one packet, however it is cut."""

    def __init__(self, body_limit: int) -> None:
        self._body_limit = body_limit
        self._raw = bytearray()
        self._variables: dict[str, str] | None = None
        self._size = HEAD  # of what is known to come

    @property
    def inside(self) -> bool:
        return bool(self._raw)

    def next(self, ring: Ring) -> Packet | None:
        """The packet, or None until more is read; raises BadPacket."""
        while True:
            self._raw += ring.take(self._size - len(self._raw))
            if len(self._raw) < self._size:
                return None
            if self._size == HEAD:
                self._read_head()
            elif self._variables is None:
                self._variables = read_variables(bytes(self._raw[HEAD:]))
                self._size += self._body_length(self._variables)
            if self._variables is not None and len(self._raw) == self._size:
                packet = Packet(bytes(self._raw), self._variables)
                self._raw, self._variables, self._size = bytearray(), None, HEAD
                return packet

    def _read_head(self) -> None:
        if self._raw[0] != 0:
            raise InvalidPacketError(f"modifier1 is {self._raw[0]}; requests have 0")
        size = int.from_bytes(self._raw[1:3], "little")
        if not size:
            raise InvalidPacketError("a packet without variables")
        self._size += size

    def _body_length(self, variables: Mapping[str, str]) -> int:
        text = variables.get("CONTENT_LENGTH", "") or "0"
        if not (text.isascii() and text.isdigit()) or len(text) > 15:
            raise InvalidPacketError("CONTENT_LENGTH is no length")
        if int(text) > self._body_limit:
            raise InvalidPacketError(f"a body of {text} bytes", 413)
        return int(text)


REASONS = {
    200: "OK",
    400: "Bad Request",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def write_response(status: int, headers: Mapping[str, str], text: str) -> bytes:
    body = text.encode() + b"\n"
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", "Content-Type: text/plain; charset=utf-8"]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
