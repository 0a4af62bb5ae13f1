"""Calls and replies in the wire protocol of the database."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.platform.database_wire import (
    Reply,
    UnknownReplyError,
    encode_call,
    parse_reply,
    reply_body_length,
)
from marlstep.units import MILLISECOND, ZERO


@pytest.mark.parametrize(
    ("line", "outcome"),
    [
        ("a ROWS 4", Outcome.OK),
        ("a FULL", Outcome.REJECTED),
        ("a FAIL", Outcome.ERROR),
        ("a TIMEOUT", Outcome.TIMEOUT),
        ("a NONE", Outcome.NOT_STARTED),
    ],
)
def test_the_word_of_a_reply_determines_its_outcome(line: str, outcome: Outcome) -> None:
    assert parse_reply(line.split(" ")) == Reply("a", outcome)


@pytest.mark.parametrize("line", ["a", "a WHAT", "a FULL 4", "a ROWS", "a ROWS 4 4"])
def test_any_other_reply_is_a_protocol_error(line: str) -> None:
    with pytest.raises(UnknownReplyError):
        parse_reply(line.split(" "))


def test_only_rows_have_a_body() -> None:
    assert reply_body_length(["a", "ROWS", "4"]) == 4
    assert reply_body_length(["a", "FULL"]) is None


def test_a_call_carries_the_time_left_but_at_least_one_millisecond() -> None:
    assert encode_call("a", b"ask", 1.2 * MILLISECOND) == b"Q a 2 3\r\nask\r\n"
    assert encode_call("a", b"ask", ZERO) == b"Q a 1 3\r\nask\r\n"
