"""Concurrent attempts of keyed work: with another body, at the end of the window, cancelled, or read late."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.idempotency import KeyTable
from marlstep.core.key_record import KeyRecord
from marlstep.core.work_identity import IdempotencyKey, WorkLabel, body_digest
from marlstep.frontends.resp import RespConnection
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import EPOCH, MILLISECOND, SECOND, ZERO
from tests.support.alternate_settings import RespDriver, response_frame
from tests.support.node import START, FakeTransport

ERROR_RESPONSE = response_frame(1, b"error")


def run_first_attempt(driver: RespDriver) -> FakeTransport:
    """Send an attempt with the key k and start it. Returns its connection."""
    wire = driver.connect()
    driver.send_request(wire, 1, "book", b"mine", once="k")
    assert driver.start_count(1) == 1
    return wire


@pytest.mark.parametrize("ended", [False, True])
def test_a_key_with_another_body_gets_an_error_and_no_result_of_other_work(ended: bool) -> None:
    # Guards against a client that gets the result of another client's request by using its key.
    driver = RespDriver()
    owner, intruder = run_first_attempt(driver), driver.connect()
    if ended:
        driver.end_run(1)
    driver.send_request(intruder, 1, "book", b"theirs", id=2, once="k")
    assert intruder.take() == response_frame(1, b"error") and driver.start_count(2) == 0
    if not ended:
        driver.end_run(1)
    assert owner.take() == response_frame(1, b"done", b"result")
    repeat = driver.connect()
    driver.send_request(
        repeat, 1, "book", b"mine", id=3, once="k"
    )  # a repeat with the same body shares the result
    assert repeat.take() == response_frame(1, b"done", b"result") and driver.start_count(3) == 0


@pytest.mark.parametrize("end", ["unknown to the kernel", "rejected", "cancelled", "connection lost"])
def test_a_key_used_first_by_another_client_is_free_once_its_attempt_ends_without_a_run(end: str) -> None:
    # Guards against requests that fail for a whole window because another client has used their key.
    driver = RespDriver(cpus=1)
    intruder = driver.connect()
    if end != "unknown to the kernel":
        for number in range(50, 58):  # all cores are busy, so later requests are queued
            driver.send_request(driver.connect(), 1, "open", id=number)
    arrived_ms = int((driver.clock.now() - EPOCH) / MILLISECOND) - 1_500
    driver.send_request(intruder, 1, "book", b"theirs", id=2, once="k", at=arrived_ms)
    match end:
        case "unknown to the kernel":
            driver.end_run(2, b"", Outcome.NOT_STARTED)
        case "rejected":
            assert driver.start_count(2) == 0
            driver.clock.advance(400)  # its deadline passes
        case "cancelled":
            driver.feed(intruder, write_frame(b"FORGET", b"1"))
        case "connection lost":
            intruder.close()
            driver.clock.settle()
    for number in range(50, 58):
        driver.end_run(number)
    owner = driver.connect()
    driver.send_request(owner, 1, "book", b"mine", id=3, once="k")
    driver.end_run(3)
    assert owner.take() == response_frame(1, b"done", b"result")


@pytest.mark.parametrize(("arrives_after_ms", "runs"), [(1_999, 0), (2_100, 1)])
def test_the_arrival_time_of_an_attempt_counts_even_if_it_is_read_late(
    arrives_after_ms: int, runs: int
) -> None:
    # Guards against a second run of an attempt that arrived inside the window and was read after it.
    driver = RespDriver()
    run_first_attempt(driver)
    driver.end_run(1)
    driver.clock.advance(arrives_after_ms)
    repeat = driver.connect()
    late_frame = driver.frame(1, "book", b"mine", id=2, once="k")
    driver.clock.advance(300)
    driver.feed(repeat, late_frame)
    assert driver.start_count(2) == runs
    if not runs:
        assert repeat.take() == response_frame(1, b"done", b"result")


def test_a_client_clock_that_runs_ahead_allows_no_second_run() -> None:
    driver = RespDriver()
    run_first_attempt(driver)
    repeat = driver.connect()
    future_ms = int((driver.clock.now() - EPOCH) / MILLISECOND) + 60_000
    driver.send_request(repeat, 1, "book", b"mine", id=2, once="k", at=future_ms)
    assert driver.start_count(2) == 0


def test_entries_are_dropped_once_no_unread_attempt_can_need_them() -> None:
    table = KeyTable()
    for number in range(100):
        now = START + number * SECOND
        table.retain(IdempotencyKey("book", f"k{number}"), f"r{number}", now + SECOND, now, SECOND)
    assert len(table) <= 3
    # The record of a key stays until the later of two windows ends.
    table.retain(IdempotencyKey("book", "k99"), "r100", START + 200 * SECOND, START + 99 * SECOND, SECOND)
    table.retain(IdempotencyKey("book", "x"), "r", START + 120 * SECOND, START + 110 * SECOND, ZERO)
    assert table.find(IdempotencyKey("book", "k99"), START + 111 * SECOND) is not None


def test_a_label_carries_the_digest_and_is_an_id_to_processes_without_digests() -> None:
    label = WorkLabel("9b1f03aa5c7e2d41", body_digest(b"body"))
    assert label.encode() == "9b1f03aa5c7e2d41~" + body_digest(b"body")
    assert WorkLabel.decode(label.encode()) == label
    assert WorkLabel.decode("uwsgi~7") == WorkLabel("uwsgi~7") and WorkLabel("r1").encode() == "r1"


def test_work_of_another_or_an_unknown_digest_is_not_the_same() -> None:
    # An unknown digest used to match every other: beside a process that reports none, a request got the result of
    # another client's work under its name.
    assert not KeyRecord("r1", digest="a").is_same_work("")
    assert not KeyRecord("r1").is_same_work("a")
    assert not KeyRecord("r1", digest="a").is_same_work("b")
    assert KeyRecord("r1", digest="a").is_same_work("a") and KeyRecord("r1").is_same_work("")


# Requests that are cancelled by their client.


def test_a_request_cancelled_at_any_stage_gets_no_response_and_runs_at_most_once() -> None:
    driver = RespDriver(cpus=1, halt="suspend")
    wire = driver.connect()
    driver.send_request(wire, 1, "list")
    driver.core.call_needed(f"{1:016x}", b"ask")
    driver.clock.settle()
    driver.send_request(wire, 2, "ping")
    driver.send_request(wire, 3, "open")  # preempts the second request
    driver.end_run(2, b"", Outcome.CANCELLED)
    driver.send_request(wire, 4, "ping")  # queued
    wire.take()
    for tag in (4, 2, 3, 1):
        driver.feed(wire, write_frame(b"FORGET", b"%d" % tag))
        driver.feed(wire, write_frame(b"FORGET", b"%d" % tag))  # twice
    driver.end_run(3)
    driver.end_run(1, b"", Outcome.CANCELLED)
    assert wire.take() == b"" and driver.core.in_flight == 0 and driver.core.unanswered == 0
    assert [driver.start_count(id) for id in (1, 2, 3, 4)] == [1, 1, 1, 0]
    wire.close()  # the reset releases nothing a second time
    driver.clock.settle()
    assert driver.core.in_flight == 0 and len(driver.frontend.connections) == 0


def test_a_cancellation_after_the_response_is_ignored_and_repeated_unknown_ones_close_the_connection() -> (
    None
):
    # Guards against a FORGET that closes the connection, and so drops its other open requests.
    driver = RespDriver()
    wire = driver.connect()
    driver.send_request(wire, 1, "list")
    driver.send_request(wire, 2, "list")
    driver.end_run(1)
    driver.feed(wire, write_frame(b"FORGET", b"1"))  # it crosses the response
    driver.end_run(2)
    assert wire.take() == response_frame(1, b"done", b"result") + response_frame(2, b"done", b"result")
    for tag in range(100, 108):
        assert not wire.closed
        driver.feed(wire, write_frame(b"FORGET", b"%d" % tag))  # unknown
    assert wire.take() == write_frame(b"0", b"closing")
    driver.clock.advance(250)  # longer than the delay of an announced close
    assert wire.closed


def test_keys_of_work_that_never_ran_take_no_memory() -> None:
    # Guards against clients that fill the memory with keys of work that never ran: each was kept for a window.
    driver = RespDriver(keyKb=100.0)
    wire = driver.connect()
    for number in range(1, 200):
        driver.send_request(wire, number, "book", b"theirs", once=f"k{number}")
        driver.end_run(number, b"", Outcome.NOT_STARTED)
    assert driver.core._controller.state.entries.memory_kb == 0
    driver.send_request(wire, 900, "book", once="good")
    assert driver.start_count(900) == 1


def test_an_id_used_again_with_new_keys_frees_the_memory_of_the_older_key() -> None:
    driver = RespDriver(keyKb=100.0)
    for number in range(1, 100):
        wire = driver.connect()
        driver.send_request(wire, 1, "book", id=7, once=f"k{number}")
        driver.end_run(7)
        assert b"done" in wire.take()
        wire.close()
    assert driver.core._controller.state.entries.memory_kb == 100.0


# Responses that a peer does not read.


def test_requests_behind_unread_responses_get_theirs_before_the_close() -> None:
    # Guards against requests that are received but dropped: the peer half-closes, or is asked to close, while its
    # requests wait until it reads earlier responses.
    for end in ("half-closed", "asked to close"):
        driver = RespDriver()
        wire = driver.connect()
        stream = wire.stream
        assert isinstance(stream, RespConnection)
        for tag in range(1, 4):
            driver.send_request(wire, tag, "ping")
        stream.pause_writing()
        for tag in range(1, 4):
            driver.end_run(tag, b"x" * 4_096)
        assert stream.send_blocked
        wire.paused = False
        driver.feed(wire, driver.frame(9, "ping", id=9))  # received, and not parsed yet
        if end == "half-closed":
            stream.eof_received()
        else:
            stream.close_idle()
            driver.clock.advance(500)
        assert not wire.closed
        stream.resume_writing()
        driver.clock.settle()
        driver.end_run(9, b"last")
        frames = wire.take()
        assert response_frame(9, b"done", b"last") in frames and frames.count(b"done") == 4


@pytest.mark.parametrize("stage", ["ended", "running", "queued"])
def test_an_id_used_again_for_other_work_allows_no_second_run(stage: str) -> None:
    # Guards against a second run: the controller identifies attempts by id, and took another client's attempt, which
    # never ran, for the one that had run under this id. No result is shared either.
    driver = RespDriver(cpus=1)
    run_first_attempt(driver)
    driver.end_run(1, b"", Outcome.ERROR)
    if stage == "queued":
        for number in range(50, 58):
            driver.send_request(driver.connect(), 1, "open", id=number)
    intruder, repeat = driver.connect(), driver.connect()
    driver.send_request(intruder, 1, "book", b"theirs", id=1, once="other")
    if stage == "ended":
        driver.end_run(1, b"", Outcome.NOT_STARTED)
    driver.send_request(repeat, 1, "book", b"mine", id=2, once="k")
    assert driver.start_count(2) == 0 and repeat.take() == response_frame(1, b"error")
