"""Reads and writes the frames of the platform's protocol: RESP arrays of bulk strings. No I/O.

The words (bulk strings) of a frame are the verb, the tag and, for a request, its class, fields and body.
`resp_commands.py` parses them into commands.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from marlstep.frontends.errors import FrameFault, InvalidFieldError, MalformedFrameError
from marlstep.net.ring import LineTooLongError, Ring

MAX_HEAD_BYTES = 16  # length of a line with a count or a length
MAX_WORD_BYTES = (16, 20, 128, 1024, 2048)  # by position: verb, tag, class, fields, body
TAG_WORD = 1  # index of the tag among the words
MAX_TAG_BYTES = MAX_WORD_BYTES[TAG_WORD]
VERBS_WITH_RESPONSE = (b"EXEC", b"ALIVE")  # a malformed frame with one of these gets `error` on its tag
UNKNOWN = -1
WORD_END = b"\r\n"
RESPONSE_FRAME = b"*4\r\n" + 4 * b"$%d\r\n%b\r\n"  # tag, status, fields, body
# The head of a request in the form that clients usually send, up to its body. Other frames are read word by word.
WHOLE_REQUEST = re.compile(
    rb"\*5\r\n\$4\r\nEXEC\r\n\$(\d{1,2})\r\n(\d{1,20})\r\n"
    rb"\$(\d{1,3})\r\n([^\r]{0,128})\r\n\$(\d{1,4})\r\n([^\r]{0,1024})\r\n\$(\d{1,4})\r\n"
)


def read_tag(word: bytes) -> int | None:
    """Return the tag, a decimal number from 1 up without leading zeros; None if the word is not a tag."""
    is_tag = word.isdigit() and len(word) <= MAX_TAG_BYTES and not word.startswith(b"0")
    return int(word) if is_tag else None


class FrameReader:
    """Divides a stream into frames, and keeps the state of an incomplete frame between reads."""

    def __init__(self) -> None:
        """Initialize the reader at the start of a frame."""
        self._words: list[bytes] = []
        self._count = UNKNOWN  # number of words in the frame being read
        self._length = UNKNOWN  # bytes in the word being read

    @property
    def inside_frame(self) -> bool:
        """Whether a part of a frame has been read."""
        return self._count >= 0

    def next(self, ring: Ring) -> list[bytes] | None:
        """Return the words of the next frame; None until it is complete.

        Raises:
            MalformedFrameError: the input is not a valid frame. Nothing after it can be read.
        """
        if self._count < 0 and ring.used and (words := _read_whole_request(ring)) is not None:
            return words
        if self._count < 0:
            count = self._read_head(ring, b"*")
            if count is None:
                return None
            if not 1 <= count <= len(MAX_WORD_BYTES):
                raise self._malformed(FrameFault.WORD_COUNT, str(count))
            self._words, self._count = [], count
        while len(self._words) < self._count:
            word = self._read_word(ring)
            if word is None:
                return None
            self._words.append(word)
        # Reset the state, so that a fault in the next frame is not attributed to the tag of this one.
        words, self._words, self._count = self._words, [], UNKNOWN
        return words

    def _read_word(self, ring: Ring) -> bytes | None:
        """Return the next word of the frame; None until it is complete."""
        if self._length < 0:
            length = self._read_head(ring, b"$")
            if length is None:
                return None
            if length > MAX_WORD_BYTES[len(self._words)]:
                raise self._malformed(FrameFault.WORD_LENGTH, str(length))
            self._length = length
        if ring.used < self._length + len(WORD_END):
            return None
        word = ring.take(self._length)
        self._length = UNKNOWN
        end = ring.take(len(WORD_END))
        if end != WORD_END:
            raise self._malformed(FrameFault.WORD_END, end)
        return word

    def _read_head(self, ring: Ring, mark: bytes) -> int | None:
        """Return the number on a line that begins with `mark`; None until the line is complete."""
        try:
            line = ring.line(MAX_HEAD_BYTES)
        except LineTooLongError:
            raise self._malformed(FrameFault.HEAD, ring.peek(MAX_HEAD_BYTES)) from None
        if line is None:
            return None
        if line[:1] != mark or not line[1:].isdigit():
            raise self._malformed(FrameFault.HEAD, line)
        return int(line[1:])

    def _malformed(self, fault: FrameFault, found: str | bytes | None) -> MalformedFrameError:
        """Create the error, with the frame's tag if it was read and the verb gets a response."""
        has_tag = len(self._words) > TAG_WORD and self._words[0] in VERBS_WITH_RESPONSE
        return MalformedFrameError(fault, found, read_tag(self._words[TAG_WORD]) if has_tag else None)


def _read_whole_request(ring: Ring) -> list[bytes] | None:
    """Fast path: read a request that is complete in the ring; None if it must be read word by word."""
    data = ring.peek(ring.used)
    match = WHOLE_REQUEST.match(data)
    if match is None:
        return None
    tag_size, tag, class_size, request_class, fields_size, fields, body_size = match.groups()
    start = match.end()
    end = start + int(body_size)
    expected_sizes = (int(tag_size), int(class_size), int(fields_size))
    sizes_agree = expected_sizes == (len(tag), len(request_class), len(fields))
    if not sizes_agree or int(body_size) > MAX_WORD_BYTES[-1] or data[end : end + 2] != WORD_END:
        return None
    ring.skip(end + 2)
    return [b"EXEC", tag, request_class, fields, data[start:end]]


def write_frame(*words: bytes) -> bytes:
    """Return the frame with these words."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


def write_response_frame(tag: int, word: bytes, fields: bytes, body: bytes) -> bytes:
    """Return the frame of a response; a faster equivalent of `write_frame` with its four words."""
    tag_word = b"%d" % tag
    return RESPONSE_FRAME % (len(tag_word), tag_word, len(word), word, len(fields), fields, len(body), body)


def read_fields(word: bytes) -> dict[str, str]:
    """Parse `name=value,...`.

    Raises:
        InvalidFieldError: the word is not ASCII, a part is not `name=value`, or a name is empty or repeated.
    """
    try:
        text = word.decode("ascii")
    except UnicodeDecodeError:
        raise InvalidFieldError("", "fields in ASCII", word) from None
    parts = text.split(",") if text else []
    try:
        fields = dict([part.split("=", 1) for part in parts])
    except ValueError:
        raise InvalidFieldError("", "name=value in each part", text) from None
    if len(fields) != len(parts) or "" in fields:
        raise InvalidFieldError("", "each name once", text)
    return fields


def write_fields(fields: Mapping[str, str]) -> bytes:
    """Return the fields as `name=value,...`."""
    return ",".join([f"{name}={value}" for name, value in fields.items()]).encode("ascii")
