"""The kernel client applies each notice once, resends commands after a reconnect, and never gets stuck on a notice."""

import dataclasses
from datetime import timedelta

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import Request
from marlstep.platform.kernel import KernelClient
from marlstep.units import MILLISECOND, SECOND, ZERO
from tests.support.node import CoreDriver, FakeTransport, ManualClock, ManualDialer, RecordingSink

OLD_ADDRESS, NEW_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)


class Harness:
    def __init__(self) -> None:
        self.clock, self.sink, self.dial = ManualClock(), RecordingSink(), ManualDialer()
        self.kernel = KernelClient(
            OLD_ADDRESS, ("cpu", "runq"), self.clock.timeline, lambda: self.sink, self.dial
        )
        self.kernel.open()

    def connect(self) -> FakeTransport:
        return self.dial.accept()


def test_the_run_time_of_a_notice_may_have_a_fraction() -> None:
    # Guards against an endless reconnect loop: if `REAP ... 25.382 ...` is rejected as malformed, the connection closes
    # before the notice counts as read, and each new connection begins with the same notice.
    harness = Harness()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 12.5\r\nREAP 1 9b1f03aa5c7e2d41 complete 25.382 2\r\nok\r\n")
    assert harness.sink.events == [("ended", "9b1f03aa5c7e2d41", Outcome.OK, 25.382 * MILLISECOND, b"ok")]
    assert not connection.closed


@pytest.mark.parametrize(
    ("notice", "start"),
    [
        (b"BOOTED chilly 0\r\n", (ZERO, True)),
        (b"BOOTED chilly 2500.5\r\n", (2500.5 * MILLISECOND, True)),
        (b"BOOTED hot 17000\r\n", (17 * SECOND, False)),
        (b"BOOTED hot -4\r\n", (ZERO, False)),
        (b"BOOTED chilly long\r\n", (ZERO, True)),
    ],
)
def test_the_start_of_the_kernel_is_reported_on_each_connection(
    notice: bytes, start: tuple[timedelta, bool]
) -> None:
    # Guards against a warm-up that is not counted from the start of the kernel, which may come up late or start again.
    harness = Harness()
    first = harness.connect()
    first.feed(notice)
    assert harness.sink.starts == [start]
    first.close()
    harness.clock.advance(100)
    harness.connect().feed(notice)
    assert harness.sink.starts == [start, start]


def request_with_id(request_id: str) -> Request:
    driver = CoreDriver()
    driver.submit(1)
    [request] = driver.core._requests
    request.inbound = dataclasses.replace(request.inbound, id=request_id)
    return request


def start_run(harness: Harness, request_id: str) -> None:
    harness.kernel.start(request_with_id(request_id))


def test_commands_issued_while_disconnected_are_sent_once_the_next_connection_is_synced() -> None:
    harness = Harness()
    start_run(harness, "a")
    connection = harness.connect()
    assert connection.take() == b"OPEN 0\r\n"
    connection.feed(b"BOOTED hot 1\r\n")
    assert connection.take() == b"SYSINFO sync\r\n"
    connection.feed(b"INFO sync 0.5 1\r\n")
    assert connection.take() == b"SCHED a temp-history 4\r\nbody\r\n"


def test_after_a_reconnect_commands_confirmed_by_a_notice_are_not_resent() -> None:
    # Guards against starting a run a second time if it ended while the connection was down, e.g. one that sets a
    # setpoint.
    harness = Harness()
    first = harness.connect()
    first.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    start_run(harness, "a")
    start_run(harness, "b")
    first.close()
    harness.clock.advance(10)
    second = harness.connect()
    assert second.take() == b"OPEN 0\r\n"
    second.feed(b"BOOTED hot 1\r\nREAP 1 a complete 1 0\r\n\r\nINFO sync 0 0\r\n")
    assert b"SCHED a" not in second.written and b"SCHED b" in second.written
    second.feed(b"REAP 1 a complete 1 0\r\n\r\n")
    assert [event for event in harness.sink.events if event[0] == "ended"] == [
        ("ended", "a", Outcome.OK, MILLISECOND, b""),
    ]


@pytest.mark.parametrize(
    ("command", "outcome"),
    [("SCHED", Outcome.NOT_STARTED), ("PREEMPT", None), ("SYSINFO", None), ("RESCHED", None)],
)
def test_a_rejected_command_ends_the_run_that_depends_on_it(command: str, outcome: Outcome | None) -> None:
    harness = Harness()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    start_run(harness, "a")
    connection.feed(f"EINVAL {command} a\r\n".encode())
    ends = [event[2] for event in harness.sink.events if event[0] == "ended"]
    assert ends == ([outcome] if outcome else []) and not connection.closed


@pytest.mark.parametrize(
    "malformed_notice", [b"REAP 1 a complete\r\n", b"REAP 1 a complete 1 2\r\nlong\r\n", b"x" * 9000]
)
def test_a_malformed_notice_closes_the_connection_and_reports_nothing(malformed_notice: bytes) -> None:
    harness = Harness()
    connection = harness.connect()
    connection.feed(malformed_notice)
    assert connection.closed and not harness.sink.events


def test_a_lost_connection_is_reopened_immediately_and_a_failed_connect_is_retried_with_backoff() -> None:
    # Guards against ends of runs that are reported late, and idle cores, after the connection could be reopened.
    harness = Harness()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    connection.close()
    assert len(harness.dial.waiting) == 1
    harness.dial.refuse()
    assert not harness.dial.waiting
    harness.clock.advance(21)
    assert len(harness.dial.waiting) == 1


def test_a_notice_truncated_by_a_lost_connection_is_repeated_and_applied_once() -> None:
    harness = Harness()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nREAP 1 a complete 1 0\r\n\r\nREAP 2 b complete 1 4\r\nre")
    connection.close()
    second_connection = harness.connect()
    assert second_connection.take() == b"OPEN 1\r\n"
    second_connection.feed(b"BOOTED hot 1\r\nREAP 2 b complete 1 4\r\nrest\r\nINFO sync 0 0\r\n")
    assert [event[1:] for event in harness.sink.events if event[0] == "ended"] == [
        ("a", Outcome.OK, MILLISECOND, b""),
        ("b", Outcome.OK, MILLISECOND, b"rest"),
    ]


def test_a_connection_to_a_new_address_continues_the_notices_and_unconfirmed_commands() -> None:
    harness = Harness()
    old = harness.connect()
    old.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\nREAP 1 z complete 1 0\r\n\r\n")
    harness.kernel.change_address(NEW_ADDRESS)
    start_run(harness, "a")
    assert b"SCHED a" in old.written and not old.closed  # used until the new connection is open
    harness.kernel.change_address(OLD_ADDRESS)
    harness.kernel.change_address(NEW_ADDRESS)
    [(_, address, _)] = harness.dial.waiting
    assert address == NEW_ADDRESS
    new = harness.connect()
    assert old.closed and new.take() == b"OPEN 1\r\n"
    new.feed(b"BOOTED hot 9\r\nINFO sync 0 0\r\n")
    assert b"SCHED a" in new.written and not harness.dial.waiting


def test_a_missing_notice_is_requested_on_a_new_connection_but_only_once() -> None:
    harness = Harness()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nREAP 1 a complete 1 0\r\n\r\nREAP 3 c complete 1 0\r\n\r\n")
    assert connection.closed
    second_connection = harness.connect()
    assert second_connection.take() == b"OPEN 1\r\n"
    second_connection.feed(b"BOOTED hot 1\r\nREAP 3 c complete 1 0\r\n\r\n")
    assert not second_connection.closed and [event[1] for event in harness.sink.events] == ["a", "c"]


# Commands that are resent after a reconnect.


def synced_harness() -> tuple[Harness, FakeTransport]:
    harness = Harness()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    connection.take()
    return harness, connection


def reconnect_and_take_resent(harness: Harness, connection: FakeTransport) -> bytes:
    """Close the connection, open and sync a new one, and return the commands that are resent on it."""
    connection.close()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    return connection.take().replace(b"OPEN 0\r\nSYSINFO sync\r\n", b"")


def test_commands_confirmed_by_gauges_are_not_resent() -> None:
    # Guards against a run that is started a second time after it has ended, and against a reply that is taken for the
    # reply to the next call. Either happens if the run ends or makes its next call after the last notice on the new
    # connection and before the resent command arrives.
    harness, connection = synced_harness()
    harness.kernel.start(request_with_id("a"))
    harness.kernel.supply(request_with_id("b"), b"rows")
    harness.kernel.request_gauges()
    harness.kernel.start(request_with_id("c"))  # sent after the request for gauges, so not confirmed by them
    connection.feed(b"INFO g1 0 0\r\n")
    assert reconnect_and_take_resent(harness, connection) == b"SCHED c temp-history 4\r\nbody\r\n"


def test_gauges_requested_on_a_broken_connection_confirm_nothing_on_the_next() -> None:
    harness, connection = synced_harness()
    harness.kernel.start(request_with_id("a"))
    harness.kernel.request_gauges()
    connection.close()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\nINFO g1 0 0\r\n")
    assert reconnect_and_take_resent(harness, connection) == b"SCHED a temp-history 4\r\nbody\r\n"


def test_of_two_equal_commands_the_one_that_was_read_is_confirmed() -> None:
    # Guards against a run that stays paused: the first RESCHED was read, the second was lost with the connection.
    harness, connection = synced_harness()
    request = request_with_id("a")
    harness.kernel.resume(request)
    harness.kernel.request_gauges()
    connection.feed(b"REAP 1 a cancelled 1 0\r\n\r\n")  # paused again
    harness.kernel.resume(request)
    connection.feed(b"INFO g1 0 0\r\n")
    connection.close()
    connection = harness.connect()
    connection.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    assert connection.take().endswith(b"RESCHED a\r\n")


def test_while_gauges_are_pending_later_requests_do_not_postpone_the_confirmation() -> None:
    harness, connection = synced_harness()
    harness.kernel.start(request_with_id("a"))
    for _ in range(100):
        harness.kernel.request_gauges()
    connection.feed(b"INFO g1 0 0\r\n")
    assert reconnect_and_take_resent(harness, connection) == b""
