"""Line-based messages with and without a body."""

from __future__ import annotations

import pytest

from marlstep.net.lines import InvalidLengthError, LineStream, parse_length
from tests.support.node import FakeTransport


class Recorder(LineStream):
    """Records messages. The second word of a line that begins with `body` is the length of its body."""

    def __init__(self) -> None:
        super().__init__(64, 16)
        self.messages: list[tuple[list[str], bytes]] = []

    def closed(self) -> None:
        pass

    def body_length(self, words: list[str]) -> int | None:
        return parse_length(words[1], 8) if words[0] == "body" else None

    def message(self, words: list[str], body: bytes) -> None:
        self.messages.append((words, body))


@pytest.mark.parametrize("step", [1, 2, 64])
def test_messages_are_reassembled_however_the_stream_is_divided(step: int) -> None:
    stream = Recorder()
    transport = FakeTransport(stream)
    transport.feed(b"one two\r\nbody 4\r\n\r\n\r\n\r\nthree\r\n", step)
    assert stream.messages == [(["one", "two"], b""), (["body", "4"], b"\r\n\r\n"), (["three"], b"")]
    assert not transport.closed and not stream.partial


@pytest.mark.parametrize(
    "malformed", [b"body 9\r\n", b"body x\r\n", b"body -1\r\n", b"body 1\r\nabc", b"x" * 18]
)
def test_a_malformed_message_closes_the_connection(malformed: bytes) -> None:
    stream = Recorder()
    transport = FakeTransport(stream)
    transport.feed(b"one\r\n" + malformed)
    assert transport.closed and stream.messages == [(["one"], b"")]


def test_the_end_of_the_stream_closes_the_connection() -> None:
    stream = Recorder()
    transport = FakeTransport(stream)
    stream.eof_received()
    assert transport.closed


def test_an_invalid_length_error_has_the_word_and_the_limit() -> None:
    with pytest.raises(InvalidLengthError) as raised:
        parse_length("9", 8)
    assert (raised.value.word, raised.value.limit) == ("9", 8)
