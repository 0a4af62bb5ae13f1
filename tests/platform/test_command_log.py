"""Which commands are resent after a reconnect."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.platform.command_log import Command, CommandLog, run_outcome_of_rejected_command


def add_written_command(log: CommandLog, request_id: str, data: bytes = b"SCHED x\r\n") -> Command:
    command = Command(request_id, data)
    log.add(command)
    log.mark_written(command)
    return command


def test_unconfirmed_commands_are_resent_grouped_by_request() -> None:
    log = CommandLog()
    first, other, second = (
        add_written_command(log, "a"),
        add_written_command(log, "b"),
        add_written_command(log, "a"),
    )
    log.connection_opened()
    assert log.commands_to_resend() == [first, second, other]


def test_a_notice_confirms_all_commands_of_its_request() -> None:
    log = CommandLog()
    add_written_command(log, "a")
    other = add_written_command(log, "b")
    add_written_command(log, "a")
    log.confirm_request("a")
    assert log.commands_to_resend() == [other] and log.unconfirmed_requests() == {"b"}


def test_gauges_confirm_the_commands_written_before_they_were_requested() -> None:
    log = CommandLog()
    add_written_command(log, "a")
    log.gauges_requested("g1")
    after = add_written_command(log, "a")
    log.gauges_received("g0")
    assert len(log.commands_to_resend()) == 2
    log.gauges_received("g1")
    assert log.commands_to_resend() == [after]


def test_gauges_requested_on_an_earlier_connection_confirm_nothing() -> None:
    log = CommandLog()
    command = add_written_command(log, "a")
    log.gauges_requested("g1")
    log.connection_opened()
    log.gauges_received("g1")
    assert log.commands_to_resend() == [command]


def test_a_rejected_command_is_confirmed_by_its_verb_and_request() -> None:
    log = CommandLog()
    add_written_command(log, "a", b"SCHED a\r\n")
    pause = add_written_command(log, "a", b"PREEMPT a\r\n")
    assert log.confirm_rejected("SCHED", "a") and not log.confirm_rejected("SCHED", "a")
    assert not log.confirm_rejected("SCHED", "b") and log.commands_to_resend() == [pause]


@pytest.mark.parametrize(
    ("verb", "outcome"),
    [
        ("SCHED", Outcome.NOT_STARTED),
        ("RESCHED", Outcome.ERROR),
        ("IODONE", Outcome.ERROR),
        ("NOIO", Outcome.ERROR),
        ("PREEMPT", None),
        ("SYSINFO", None),
    ],
)
def test_a_rejected_command_ends_its_run_only_if_the_run_depends_on_it(
    verb: str, outcome: Outcome | None
) -> None:
    assert run_outcome_of_rejected_command(verb) is outcome
