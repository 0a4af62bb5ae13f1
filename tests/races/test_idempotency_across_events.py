"""Named work, callers that take back, a dependency that all share, and settings that name who may ask: on sockets.

As tests/races/test_shutdown_and_reload.py; the rows stand in docs/crossings.md.
"""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest

from marlstep.frontends.resp_wire import write_frame
from marlstep.units import MILLISECOND, SECOND
from tests.races.test_shutdown_and_reload import GRACE_MS, one_core
from tests.support.alternate_settings import ALTERNATE_SETTINGS, alternate_settings
from tests.support.node_on_sockets import NodeHarness, RespClient, run_with_node, until

WINDOW_MS = 2_000


def moment(harness: NodeHarness) -> int:
    return int(harness.node.timeline.now().timestamp() * 1000)


def book(caller: RespClient, tag: int, id: int, body: bytes = b"mine", **fields: Any) -> None:
    caller.send_request(tag, "book", body, id=id, once="k", **fields)


async def served(
    harness: NodeHarness, caller: RespClient, tag: int, id: int, body: bytes = b"booked"
) -> None:
    await harness.kernel.command_read("SCHED", id)
    harness.kernel.end_run(id, body=body)
    assert await caller.response(tag) == [b"done", body]


def test_two_tries_of_one_name_at_the_same_moment_are_one_run(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        one, two = await harness.connect(), await harness.connect()
        book(one, 1, 1)
        book(two, 1, 2)  # nothing was read yet
        await harness.requests_read(2)
        await until(lambda: harness.kernel.commands)
        [(_, first)] = harness.kernel.commands
        harness.kernel.end_run(int(first, 16), body=b"booked")
        answers = {number: await caller.response(1) for number, caller in ((1, one), (2, two))}
        assert answers.pop(int(first, 16)) == [b"done", b"booked"]
        # One that was read before the other began gives its place to it, and never ran; a later one shares the run.
        assert next(iter(answers.values())) in ([b"done", b"booked"], [b"later", b""])
        assert len(harness.kernel.commands) == 1

    run_with_node(tmp_path, run)


@pytest.mark.parametrize(("after_ms", "runs"), [(WINDOW_MS - 1, 0), (WINDOW_MS + 10, 1)])
def test_a_second_try_at_the_last_moment_of_the_window_and_just_past_it(
    after_ms: int, runs: int, tmp_path: Path
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, began = await harness.connect(), moment(harness)
        book(caller, 1, 1, at=began)
        await served(harness, caller, 1, 1)
        await harness.advance(WINDOW_MS + 100, size=100)
        book(caller, 2, 2, at=began + after_ms)
        if runs:
            await served(harness, caller, 2, 2, b"again")
        else:
            assert await caller.response(2) == [b"done", b"booked"]
        assert harness.kernel.command_count("SCHED", 2) == runs

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("where", ["held", "paused", "running", "at a call"])
def test_a_try_that_was_taken_back_and_its_repeat_are_one_run_at_the_most(where: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, other, kernel = await harness.connect(), await harness.connect(), harness.kernel
        if where == "held":
            other.send_request(9, "open", id=9)
            await kernel.command_read("SCHED", 9)
        book(caller, 1, 1)
        await harness.requests_read(1 + (where == "held"))
        if where != "held":
            await kernel.command_read("SCHED", 1)
        if where == "paused":
            other.send_request(9, "open", id=9)
            await kernel.command_read("PREEMPT", 1)
            kernel.end_run(1, "cancelled", b"")
            await kernel.command_read("SCHED", 9)
        if where == "at a call":
            kernel.request_call(1)
            await harness.database.call_read(1)
        caller.send(write_frame(b"FORGET", b"1"))
        await until(lambda: harness.core.counts["gone"] == 1)
        book(other, 2, 2)
        await harness.requests_read(3 if where in ("held", "paused") else 2)
        match where:
            case "held":
                kernel.end_run(9)
                await served(harness, other, 2, 2)  # the first never ran
            case "paused":
                kernel.end_run(9)
                assert await other.status_word(2) == "error"  # it may have had its effect
            case "running":
                kernel.end_run(1, body=b"booked")
                assert await other.response(2) == [b"done", b"booked"]
            case "at a call":
                kernel.end_run(1, "cancelled", b"")
                assert await other.status_word(2) == "error"
        assert (
            kernel.command_count("SCHED", 1) + kernel.command_count("SCHED", 2) == 1
            and caller.response_count(1) == 0
        )
        await until(lambda: harness.core.in_flight == 0)
        again = await harness.connect()
        book(again, 1, 3)  # what has run is never refused
        assert await again.status_word(1) == ("done" if where in ("held", "running") else "error")
        assert harness.core._controller.state.entries.memory_kb == pytest.approx(7.5)  # the one name

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


@pytest.mark.parametrize("crossing", ["SIGHUP", "SIGTERM", "the end of the grace"])
def test_a_repeat_across_new_settings_and_the_notice_shares_the_run(crossing: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        book(caller, 1, 1)
        await harness.kernel.command_read("SCHED", 1)
        if crossing == "SIGHUP":
            told = copy.deepcopy(ALTERNATE_SETTINGS)
            told["classes"].reverse()
            told["familyInfo"].update(
                callsByClass=[False, True, True, True, False], degradedWorth=[0, 0, 0, 0.4, 0]
            )
            told["classes"][2].update(worth=9.0, hardLimitUs=5_000_000)
            await harness.reload(settings=told)
        else:
            await harness.send_sigterm()
        book(caller, 2, 2)
        await harness.requests_read(2)
        if crossing == "the end of the grace":
            await harness.advance(GRACE_MS + 50)
            book(caller, 3, 3)  # later than anything may be run, and not refused: it has run
            await harness.requests_read(3)
        harness.kernel.end_run(1, body=b"booked")
        tags = (1, 2, 3) if crossing == "the end of the grace" else (1, 2)
        assert [await caller.response(tag) for tag in tags] == [[b"done", b"booked"]] * len(tags)
        assert len([id for word, id in harness.kernel.commands if word == "SCHED"]) == 1

    run_with_node(tmp_path, run, stop_ms=3_000)


def test_forget_before_its_request_is_admitted_and_crossing_its_answer(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send(caller.frame(1, "list") + write_frame(b"FORGET", b"1"))
        await until(lambda: harness.core.counts["gone"] == 1)
        caller.send_request(2, "list")
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        await until(lambda: harness.core.counts["done"] == 1)  # its answer is on its way
        caller.send(write_frame(b"FORGET", b"2"))
        caller.send_request(3, "list")
        await served(harness, caller, 3, 3)
        assert (caller.response_count(1), caller.response_count(2)) == (
            0,
            1,
        ) and harness.kernel.command_count("SCHED", 1) == 0
        caller.reset()
        await until(lambda: len(harness.node.resp.connections) == 0)
        assert harness.core.in_flight == 0 and harness.core._controller.state.entries.memory_kb == 0

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("below", ["silent", "refusing", "down"])
def test_calls_in_hand_stay_within_the_told_share_though_the_dependency_is_slow_refuses_or_is_down(
    below: str, tmp_path: Path
) -> None:
    share, over_ms, linger_ms = 2.0, 1_000, 200
    told = alternate_settings(
        callsOut=share, callsOverUs=over_ms * 1000, lingersUs=linger_ms * 1000, cold=True
    )
    told["classes"][1].update(aimUs=9_000_000, hardLimitUs=9_500_000)

    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        for tag in range(1, 31):
            caller.send_request(tag, "list", id=tag)
        asked, refused = set[str](), 0
        made = set[int]()  # calls in hand
        gone: list[int] = []  # until when abandoned ones linger
        seen: list[float] = []
        if below == "down":
            harness.database.stop()
        for now_ms in range(0, 4_000, 20):
            for word, run_id in harness.kernel.commands:
                if word == "SCHED" and run_id not in asked:
                    asked.add(run_id)
                    harness.kernel.request_call(int(run_id, 16))
            await harness.advance(20)
            calls = harness.database.calls
            if below == "refusing":
                for number, line in calls[refused:]:
                    line.write(f"{number:016x} FULL\r\n".encode())
                refused = len(calls)
            told_now = {id(call) for call in harness.node.database._calls.values() if call.link}
            gone += [now_ms + linger_ms for one in made if one not in told_now and below == "silent"]
            made = told_now
            seen.append(len(made) + sum(end > now_ms for end in gone))
        steps = over_ms // 20
        assert max(sum(seen[at : at + steps]) / steps for at in range(len(seen) - steps)) <= share
        if below == "silent":
            assert len(harness.database.calls) > 1  # it goes on asking within its share
        await harness.advance(6_000, size=100)
        assert {await caller.status_word(tag) for tag in range(1, 31)} <= {"later", "error"} and len(
            caller.frames
        ) == 30

    run_with_node(tmp_path, run, settings=told)


def test_a_full_table_of_names_refuses_new_named_work_early_and_runs_none_unrecorded(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        words = []
        for number in range(1, 13):
            caller.send_request(number, "book", id=number, once=f"k{number}")
            await harness.requests_read(number)
            await until(lambda: harness.kernel.command_count("SCHED", number) or not harness.core.unanswered)  # noqa: B023  (awaited within the turn)
            if harness.kernel.command_count("SCHED", number):
                harness.kernel.end_run(number)
            words.append(await caller.status_word(number))
        kept = words.count("done")
        assert 0 < kept < 12 and words == ["done"] * kept + ["later"] * (12 - kept)
        assert harness.core._controller.state.entries.memory_kb <= 0.8 * 7_000
        assert sum(word == "SCHED" for word, _ in harness.kernel.commands) == kept
        caller.send_request(20, "list", id=20)  # what is safe goes on
        await served(harness, caller, 20, 20)
        caller.send_request(21, "book", id=21, once="k1")  # and what has run is known still
        assert await caller.response(21) == [b"done", b"done"]
        await harness.advance(WINDOW_MS + 50, size=100)
        caller.send_request(22, "book", id=22, once="k12")
        await served(harness, caller, 22, 22)

    run_with_node(tmp_path, run, settings=alternate_settings(keyKb=700.0))


def test_the_state_that_is_reported_and_the_answer_to_health_checks_agree(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, tag = await harness.connect(), 0

        async def both(word: str) -> None:
            nonlocal tag
            tag += 1
            caller.send(write_frame(b"ALIVE", b"%d" % tag))
            assert await caller.status_word(tag) == word
            said = b"renew n1 yes" if word == "healthy" else b"renew n1 no"
            await until(lambda: harness.reports.seen[-1] == said)

        duty = harness.core.serving_state
        await both("healthy")
        duty.quiesce()
        harness.node.serving_state_changed()
        await both("sick")
        await harness.advance(700)
        await both("sick")
        duty.resume()
        harness.node.serving_state_changed()
        await both("healthy")
        await harness.send_sigterm()
        await both("sick")
        assert not duty.resume()
        await both("sick")

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("fault", ["a tenant that is not named", "keyed work without its name"])
def test_what_the_settings_can_not_place_gets_one_error_and_runs_nothing(fault: str, tmp_path: Path) -> None:
    # Guards against keyed work that runs with nothing to know its repeats by, and worth that belongs to nobody.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        if fault == "a tenant that is not named":
            caller.send_request(1, "list", tenant="west")
        else:
            caller.send_request(1, "book")
        assert await caller.status_word(1) == "error"
        caller.send_request(2, "book", tenant="north", once="k")
        await served(harness, caller, 2, 2)
        assert (
            caller.response_count(1) == 1
            and len(harness.kernel.commands) == 1
            and harness.core.in_flight == 0
        )

    run_with_node(tmp_path, run)


def test_a_tenant_that_new_settings_take_away_is_taken_for_a_while_as_its_callers_hear_late(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, told = await harness.connect(), copy.deepcopy(ALTERNATE_SETTINGS)
        told["realms"].pop()
        await harness.reload(settings=told)
        caller.send_request(1, "list", tenant="south")
        await served(harness, caller, 1, 1)
        await harness.advance(3 * SECOND / MILLISECOND + 50, size=100)
        caller.send_request(2, "list", tenant="south")
        assert await caller.status_word(2) == "error"

    run_with_node(tmp_path, run)
