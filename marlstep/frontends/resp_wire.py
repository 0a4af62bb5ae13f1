"""The platform's frames: RESP arrays of bulk strings, cut out of a ring and put together."""

from __future__ import annotations

import re
from collections.abc import Mapping

from marlstep.net.ring import LineTooLongError, Ring

HEAD_LIMIT = 16  # of the lines that hold a count or a length
LIMITS = (16, 20, 128, 1024, 2048)  # of the words: verb, tag, class, fields, body
VERBS = (b"EXEC", b"ALIVE")
# A request as front ends send it, up to its body. What does not match is read word by word.
REQUEST = re.compile(
    rb"\*5\r\n\$4\r\nEXEC\r\n\$(\d{1,2})\r\n(\d{1,20})\r\n"
    rb"\$(\d{1,3})\r\n([^\r]{0,128})\r\n\$(\d{1,4})\r\n([^\r]{0,1024})\r\n\$(\d{1,4})\r\n"
)


class MalformedFrameError(ValueError):
    """The stream is no frame from here on. `tag` is that of the frame, where it was whole already."""

    def __init__(self, why: str, tag: int | None) -> None:
        super().__init__(why)
        self.tag = tag


def read_tag(word: bytes) -> int | None:
    """A decimal number from 1 up, in its one plain form."""
    good = word.isdigit() and len(word) <= LIMITS[1] and not word.startswith(b"0")
    return int(word) if good else None


class FrameReader:
    """Keeps its place in a frame from one read to the next."""

    def __init__(self) -> None:
        self._words: list[bytes] = []
        self._count = self._length = -1

    @property
    def inside(self) -> bool:
        """Part of a frame has been read."""
        return self._count >= 0

    def next(self, ring: Ring) -> list[bytes] | None:
        """The next whole frame, or None until more is read."""
        if self._count < 0 and ring.used and (words := _whole_request(ring)) is not None:
            return words
        try:
            return self._next(ring)
        except (ValueError, LineTooLongError) as fault:
            known = len(self._words) >= 2 and self._words[0] in VERBS
            raise MalformedFrameError(str(fault), read_tag(self._words[1]) if known else None) from None

    def _next(self, ring: Ring) -> list[bytes] | None:
        if self._count < 0:
            head = self._head(ring, b"*")
            if head is None:
                return None
            if not 1 <= head <= len(LIMITS):
                raise ValueError(f"an array of {head}")
            self._words, self._count = [], head
        while len(self._words) < self._count:
            if self._length < 0:
                head = self._head(ring, b"$")
                if head is None:
                    return None
                if head > LIMITS[len(self._words)]:
                    raise ValueError(f"word {len(self._words)} of {head} bytes")
                self._length = head
            if ring.used < self._length + 2:
                return None
            word = ring.take(self._length)
            self._length = -1
            if ring.take(2) != b"\r\n":
                raise ValueError("a word longer than its length")
            self._words.append(word)
        # Nothing of a whole frame stays: a fault in what follows must not be laid to its tag.
        words, self._words, self._count = self._words, [], -1
        return words

    @staticmethod
    def _head(ring: Ring, mark: bytes) -> int | None:
        line = ring.line(HEAD_LIMIT)
        if line is None:
            return None
        if line[:1] != mark or not line[1:].isdigit():
            raise ValueError(f"no length: {line!r}")
        return int(line[1:])


def _whole_request(ring: Ring) -> list[bytes] | None:
    """The short way for nearly all that comes: a request that lies whole in the ring."""
    data = ring.peek(ring.used)
    found = REQUEST.match(data)
    if found is None:
        return None
    tag_size, tag, kind_size, kind, fields_size, fields, size = found.groups()
    start = found.end()
    end = start + int(size)
    if (
        (int(tag_size), int(kind_size), int(fields_size)) != (len(tag), len(kind), len(fields))
        or int(size) > LIMITS[-1]
        or data[end : end + 2] != b"\r\n"
    ):
        return None
    ring.skip(end + 2)
    return [VERBS[0], tag, kind, fields, data[start:end]]


def write_frame(*words: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


def read_fields(word: bytes) -> dict[str, str]:
    """`name=value,...`; raises ValueError where it is anything else."""
    fields: dict[str, str] = {}
    for part in word.decode("ascii").split(",") if word else []:
        name, equals, value = part.partition("=")
        if not name or not equals or name in fields:
            raise ValueError(f"malformed field {part[:32]!r}")
        fields[name] = value
    return fields


def write_fields(fields: Mapping[str, str]) -> bytes:
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode("ascii")
