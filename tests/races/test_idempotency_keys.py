"""Named work whose tries cross: with another body, at the edge of the window, taken back, or read late."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.idempotency import (
    IdempotencyKey,
    KeyRecord,
    KeyTable,
    body_digest,
    decode_label,
    encode_label,
)
from marlstep.frontends.resp import RespConnection
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import EPOCH, MILLISECOND, SECOND, ZERO
from tests.support.elsewhere import Elsewhere, answered
from tests.support.node import START, Wire

BUSY = answered(1, b"error")


def first(desk: Elsewhere, kind: str = "book") -> Wire:
    """A try of the work k that runs."""
    wire = desk.connect()
    desk.ask(wire, 1, kind, b"mine", once="k")
    assert desk.starts(1) == 1
    return wire


@pytest.mark.parametrize("over", [False, True])
def test_a_name_with_another_body_gets_an_error_and_no_result_of_the_other_s_work(over: bool) -> None:
    # Guards against what a bad client got: the result of a good request whose name it had used.
    desk = Elsewhere()
    good, bad = first(desk), desk.connect()
    if over:
        desk.ended(1)
    desk.ask(bad, 1, "book", b"theirs", id=2, once="k")
    assert bad.take() == answered(1, b"error") and desk.starts(2) == 0
    if not over:
        desk.ended(1)
    assert good.take() == answered(1, b"done", b"result")
    again = desk.connect()
    desk.ask(again, 1, "book", b"mine", id=3, once="k")  # a repeat shares it, as ever
    assert again.take() == answered(1, b"done", b"result") and desk.starts(3) == 0


@pytest.mark.parametrize("how", ["no work of the kernel's", "turned away", "taken back", "connection lost"])
def test_a_name_that_a_bad_client_used_first_is_free_once_its_try_is_over(how: str) -> None:
    # Guards against good requests that fail for a whole window, as somebody else has used their name.
    desk = Elsewhere(cpus=1)
    bad = desk.connect()
    if how != "no work of the kernel's":
        for number in range(50, 58):  # the cores are full: what comes is held
            desk.ask(desk.connect(), 1, "open", id=number)
    came = int((desk.clock.now() - EPOCH) / MILLISECOND) - 1_500
    desk.ask(bad, 1, "book", b"theirs", id=2, once="k", at=came)
    match how:
        case "no work of the kernel's":
            desk.ended(2, b"", Outcome.NOT_STARTED)
        case "turned away":
            assert desk.starts(2) == 0
            desk.clock.advance(400)  # it is due
        case "taken back":
            desk.feed(bad, write_frame(b"FORGET", b"1"))
        case "connection lost":
            bad.close()
            desk.clock.settle()
    for number in range(50, 58):
        desk.ended(number)
    good = desk.connect()
    desk.ask(good, 1, "book", b"mine", id=3, once="k")
    desk.ended(3)
    assert good.take() == answered(1, b"done", b"result")


@pytest.mark.parametrize(("came_ms", "runs"), [(1_999, 0), (2_100, 1)])
def test_a_try_counts_by_its_arrival_however_late_it_is_read(came_ms: int, runs: int) -> None:
    # Guards against a second run where a try came inside the window and was read after it.
    desk = Elsewhere()
    first(desk)
    desk.ended(1)
    desk.clock.advance(came_ms)
    again = desk.connect()
    late = desk.frame(1, "book", b"mine", id=2, once="k")
    desk.clock.advance(300)
    desk.feed(again, late)
    assert desk.starts(2) == runs
    if not runs:
        assert again.take() == answered(1, b"done", b"result")


def test_a_caller_s_clock_that_runs_ahead_opens_no_window() -> None:
    desk = Elsewhere()
    first(desk)
    again = desk.connect()
    fast = int((desk.clock.now() - EPOCH) / MILLISECOND) + 60_000
    desk.ask(again, 1, "book", b"mine", id=2, once="k", at=fast)
    assert desk.starts(2) == 0


def test_what_is_remembered_of_names_ends_with_the_longest_wait_for_a_read() -> None:
    table = KeyTable()
    for number in range(100):
        now = START + number * SECOND
        table.retain(IdempotencyKey("book", f"k{number}"), f"r{number}", now + SECOND, now, SECOND)
    assert len(table) <= 3
    # A later window for the same name outlives the end of the one before.
    table.retain(IdempotencyKey("book", "k99"), "r100", START + 200 * SECOND, START + 99 * SECOND, SECOND)
    table.retain(IdempotencyKey("book", "x"), "r", START + 120 * SECOND, START + 110 * SECOND, ZERO)
    assert table.find(IdempotencyKey("book", "k99"), START + 111 * SECOND) is not None


def test_other_processes_hear_the_digest_and_those_that_know_none_still_know_the_try() -> None:
    one = encode_label("9b1f03aa5c7e2d41", body_digest(b"body"))
    assert decode_label(one) == ("9b1f03aa5c7e2d41", body_digest(b"body"))
    assert decode_label("uwsgi~7") == ("uwsgi~7", "") and encode_label("r1", "") == "r1"
    assert (
        KeyRecord("r1", digest="a").matches_body("")
        and KeyRecord("r1").matches_body("a")
        and not KeyRecord("r1", digest="a").matches_body("b")
    )


# A request that its caller takes back.


def test_taken_back_while_held_paused_running_or_at_a_call_it_is_owed_no_answer_and_runs_once() -> None:
    desk = Elsewhere(cpus=1, halt="suspend")
    wire = desk.connect()
    desk.ask(wire, 1, "list")
    desk.core.call_needed(f"{1:016x}", b"ask")
    desk.clock.settle()
    desk.ask(wire, 2, "ping")
    desk.ask(wire, 3, "open")  # the second is paused for it
    desk.ended(2, b"", Outcome.CANCELLED)
    desk.ask(wire, 4, "ping")  # held
    wire.take()
    for tag in (4, 2, 3, 1):
        desk.feed(wire, write_frame(b"FORGET", b"%d" % tag))
        desk.feed(wire, write_frame(b"FORGET", b"%d" % tag))  # twice
    desk.ended(3)
    desk.ended(1, b"", Outcome.CANCELLED)
    assert wire.take() == b"" and desk.core.in_flight == 0 and desk.core.unanswered == 0
    assert [desk.starts(id) for id in (1, 2, 3, 4)] == [1, 1, 1, 0]
    wire.close()  # the reset behind it gives nothing back twice
    desk.clock.settle()
    assert desk.core.in_flight == 0 and len(desk.front.connections) == 0


def test_taking_back_what_was_answered_breaks_no_connection_and_asking_for_it_without_end_does() -> None:
    # Guards against the close that a FORGET brought, and with it the loss of all that was open there.
    desk = Elsewhere()
    wire = desk.connect()
    desk.ask(wire, 1, "list")
    desk.ask(wire, 2, "list")
    desk.ended(1)
    desk.feed(wire, write_frame(b"FORGET", b"1"))  # it crosses the answer
    desk.ended(2)
    assert wire.take() == answered(1, b"done", b"result") + answered(2, b"done", b"result")
    for tag in range(100, 108):
        assert not wire.closed
        desk.feed(wire, write_frame(b"FORGET", b"%d" % tag))  # never came
    assert wire.closed


def test_names_of_work_that_the_kernel_does_not_know_take_no_memory_of_the_module() -> None:
    # Guards against a hold that bad clients fill: each of their names took room for a whole window, though none ran.
    desk = Elsewhere(keyKb=100.0)
    wire = desk.connect()
    for number in range(1, 200):
        desk.ask(wire, number, "book", b"theirs", once=f"k{number}")
        desk.ended(number, b"", Outcome.NOT_STARTED)
    assert desk.core._controller.state.entries.memory_kb == 0
    desk.ask(wire, 900, "book", once="good")
    assert desk.starts(900) == 1


def test_an_id_that_comes_again_with_new_names_gives_the_older_name_s_memory_back() -> None:
    desk = Elsewhere(keyKb=100.0)
    for number in range(1, 100):
        wire = desk.connect()
        desk.ask(wire, 1, "book", id=7, once=f"k{number}")
        desk.ended(7)
        assert b"done" in wire.take()
        wire.close()
    assert desk.core._controller.state.entries.memory_kb == 100.0


# Answers that a peer does not take.


def test_requests_behind_answers_that_are_not_taken_are_answered_before_the_close() -> None:
    # Guards against requests that were written and dropped: the peer had ended its side, or was told to close, while
    # what it had sent waited for it to take its answers.
    for end in ("half-closed", "told to close"):
        desk = Elsewhere()
        wire = desk.connect()
        stream = wire.stream
        assert isinstance(stream, RespConnection)
        for tag in range(1, 4):
            desk.ask(wire, tag, "ping")
        stream.pause_writing()
        for tag in range(1, 4):
            desk.ended(tag, b"x" * 4_096)
        assert stream.send_blocked
        wire.paused = False
        desk.feed(wire, desk.frame(9, "ping", id=9))  # read into the ring, and not taken out of it
        if end == "half-closed":
            stream.eof_received()
        else:
            stream.close_idle()
            desk.clock.advance(500)
        assert not wire.closed
        stream.resume_writing()
        desk.clock.settle()
        desk.ended(9, b"last")
        said = wire.take()
        assert answered(9, b"done", b"last") in said and said.count(b"done") == 4


@pytest.mark.parametrize("stage", ["over", "running", "held"])
def test_the_id_of_a_try_that_ran_used_again_for_other_work_opens_no_second_run(stage: str) -> None:
    # Guards against a second run, seen on a join day of porto-lock: the module knows tries by their ids, and took the
    # bad client's, which never ran, for the one that had run under this id before. Nor is a result of it shared.
    desk = Elsewhere(cpus=1)
    first(desk)
    desk.ended(1, b"", Outcome.ERROR)
    if stage == "held":
        for number in range(50, 58):
            desk.ask(desk.connect(), 1, "open", id=number)
    bad, again = desk.connect(), desk.connect()
    desk.ask(bad, 1, "book", b"theirs", id=1, once="other")
    if stage == "over":
        desk.ended(1, b"", Outcome.NOT_STARTED)
    desk.ask(again, 1, "book", b"mine", id=2, once="k")
    assert desk.starts(2) == 0 and again.take() == answered(1, b"error")
