"""Which commands are sent again after a break."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.platform.command_log import Command, CommandLog, run_outcome_of_rejected


def written(log: CommandLog, request_id: str, data: bytes = b"SCHED x\r\n") -> Command:
    command = Command(request_id, data)
    log.add(command)
    log.mark_written(command)
    return command


def test_commands_that_nothing_confirmed_are_sent_again_by_request() -> None:
    log = CommandLog()
    first, other, second = written(log, "a"), written(log, "b"), written(log, "a")
    log.connection_opened()
    assert log.commands_to_resend() == [first, second, other]


def test_a_notice_confirms_all_commands_of_its_request() -> None:
    log = CommandLog()
    written(log, "a")
    other = written(log, "b")
    written(log, "a")
    log.confirm_request("a")
    assert log.commands_to_resend() == [other] and log.unconfirmed_requests() == {"b"}


def test_gauges_confirm_what_was_written_before_they_were_requested() -> None:
    log = CommandLog()
    written(log, "a")
    log.gauges_requested("g1")
    after = written(log, "a")
    log.gauges_received("g0")
    assert len(log.commands_to_resend()) == 2
    log.gauges_received("g1")
    assert log.commands_to_resend() == [after]


def test_gauges_of_the_connection_before_confirm_nothing() -> None:
    log = CommandLog()
    command = written(log, "a")
    log.gauges_requested("g1")
    log.connection_opened()
    log.gauges_received("g1")
    assert log.commands_to_resend() == [command]


def test_a_rejected_command_has_been_read_and_is_known_by_its_word() -> None:
    log = CommandLog()
    written(log, "a", b"SCHED a\r\n")
    pause = written(log, "a", b"PREEMPT a\r\n")
    assert log.take_rejected("SCHED", "a") and not log.take_rejected("SCHED", "a")
    assert not log.take_rejected("SCHED", "b") and log.commands_to_resend() == [pause]


@pytest.mark.parametrize(
    ("word", "outcome"),
    [
        ("SCHED", Outcome.NOT_STARTED),
        ("RESCHED", Outcome.ERROR),
        ("IODONE", Outcome.ERROR),
        ("NOIO", Outcome.ERROR),
        ("PREEMPT", None),
        ("SYSINFO", None),
    ],
)
def test_a_run_ends_with_the_command_that_it_depends_on(word: str, outcome: Outcome | None) -> None:
    assert run_outcome_of_rejected(word) is outcome
