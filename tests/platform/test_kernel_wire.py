"""Commands and notices in the wire protocol of the kernel."""

from __future__ import annotations

from datetime import timedelta

import pytest

from marlstep.admission.events import Outcome
from marlstep.net.lines import InvalidLengthError, LineProtocolError
from marlstep.platform import kernel_wire
from marlstep.units import MILLISECOND, ZERO


@pytest.mark.parametrize(
    ("line", "notice"),
    [
        ("REAP 7 a complete 1.5 4", kernel_wire.RunEnded(7, "a", Outcome.OK, "1.5")),
        ("REAP 7 a cancelled 1.5 0", kernel_wire.RunEnded(7, "a", Outcome.CANCELLED, "1.5")),
        ("REAP 7 a unknown 0 0", kernel_wire.RunEnded(7, "a", Outcome.NOT_STARTED, "0")),
        ("REAP 7 a later-word 0 0", kernel_wire.RunEnded(7, "a", Outcome.ERROR, "0")),
        ("IOREQ 8 a 3", kernel_wire.CallNeeded(8, "a")),
        ("INFO g1 0.5 1", kernel_wire.GaugeReadings("g1", ["0.5", "1"])),
        ("EINVAL SCHED a", kernel_wire.CommandRejected("SCHED", "a")),
        ("BOOTED hot 12", kernel_wire.KernelStarted("hot", "12")),
        ("DMESG 9 hello there", kernel_wire.KernelMessage(9, "hello there")),
        ("LATER words", kernel_wire.UnknownNotice(["LATER", "words"])),
    ],
)
def test_each_line_is_parsed_into_its_type_of_notice(line: str, notice: kernel_wire.Notice) -> None:
    assert kernel_wire.parse_notice(line.split(" ")) == notice


@pytest.mark.parametrize("line", ["REAP x a complete 1 0", "IOREQ -1 a 0", "DMESG 1.5 text"])
def test_a_notice_with_an_invalid_number_is_a_protocol_error(line: str) -> None:
    with pytest.raises(kernel_wire.InvalidNoticeNumberError):
        kernel_wire.parse_notice(line.split(" "))


def test_the_last_word_of_a_notice_with_a_body_is_the_body_length() -> None:
    assert kernel_wire.notice_body_length(["REAP", "1", "a", "complete", "1", "4"]) == 4
    assert kernel_wire.notice_body_length(["BOOTED", "hot", "4"]) is None


@pytest.mark.parametrize(
    ("line", "error"),
    [("REAP 1 a complete", kernel_wire.MalformedNoticeError), ("IOREQ 1 a 65537", InvalidLengthError)],
)
def test_a_notice_with_a_wrong_word_count_or_body_length_is_a_protocol_error(
    line: str, error: type[LineProtocolError]
) -> None:
    with pytest.raises(error):
        kernel_wire.notice_body_length(line.split(" "))


@pytest.mark.parametrize(
    ("text", "expected"), [("1.5", 1.5 * MILLISECOND), ("-1", ZERO), ("x", None), ("nan", None)]
)
def test_parse_elapsed_returns_none_for_text_that_is_not_a_number(
    text: str, expected: timedelta | None
) -> None:
    assert kernel_wire.parse_elapsed(text) == expected


def test_commands_are_encoded_in_the_format_of_the_protocol() -> None:
    assert kernel_wire.encode_open(7) == b"OPEN 7\r\n"
    assert kernel_wire.encode_gauges_request("g1") == b"SYSINFO g1\r\n"
    assert kernel_wire.encode_start("a", "class", b"body") == b"SCHED a class 4\r\nbody\r\n"
    assert kernel_wire.encode_pause("a") == b"PREEMPT a\r\n"
    assert kernel_wire.encode_resume("a") == b"RESCHED a\r\n"
    assert kernel_wire.encode_reply("a", b"rows") == b"IODONE a 4\r\nrows\r\n"
    assert kernel_wire.encode_skip("a", 7) == b"NOIO a 7\r\n"
