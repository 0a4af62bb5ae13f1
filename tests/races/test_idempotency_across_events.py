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
from tests.support.crossing import Caller, Place, at, until
from tests.support.elsewhere import ELSEWHERE, elsewhere

WINDOW_MS = 2_000


def moment(place: Place) -> int:
    return int(place.node.timeline.now().timestamp() * 1000)


def book(caller: Caller, tag: int, id: int, body: bytes = b"mine", **fields: Any) -> None:
    caller.ask(tag, "book", body, id=id, once="k", **fields)


async def served(place: Place, caller: Caller, tag: int, id: int, body: bytes = b"booked") -> None:
    await place.kernel.read("SCHED", id)
    place.kernel.reap(id, body=body)
    assert await caller.answer(tag) == [b"done", body]


def test_two_tries_of_one_name_at_the_same_moment_are_one_run(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        one, two = await place.call(), await place.call()
        book(one, 1, 1)
        book(two, 1, 2)  # nothing was read yet
        await place.read(2)
        await until(lambda: place.kernel.commands)
        [(_, first)] = place.kernel.commands
        place.kernel.reap(int(first, 16), body=b"booked")
        answers = {number: await caller.answer(1) for number, caller in ((1, one), (2, two))}
        assert answers.pop(int(first, 16)) == [b"done", b"booked"]
        # One that was read before the other began gives its place to it, and never ran; a later one shares the run.
        assert next(iter(answers.values())) in ([b"done", b"booked"], [b"later", b""])
        assert len(place.kernel.commands) == 1

    at(tmp_path, run)


@pytest.mark.parametrize(("after_ms", "runs"), [(WINDOW_MS - 1, 0), (WINDOW_MS + 10, 1)])
def test_a_second_try_at_the_last_moment_of_the_window_and_just_past_it(
    after_ms: int, runs: int, tmp_path: Path
) -> None:
    async def run(place: Place) -> None:
        caller, began = await place.call(), moment(place)
        book(caller, 1, 1, at=began)
        await served(place, caller, 1, 1)
        await place.step(WINDOW_MS + 100, size=100)
        book(caller, 2, 2, at=began + after_ms)
        if runs:
            await served(place, caller, 2, 2, b"again")
        else:
            assert await caller.answer(2) == [b"done", b"booked"]
        assert place.kernel.count("SCHED", 2) == runs

    at(tmp_path, run)


@pytest.mark.parametrize("where", ["held", "paused", "running", "at a call"])
def test_a_try_that_was_taken_back_and_its_repeat_are_one_run_at_the_most(where: str, tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller, other, kernel = await place.call(), await place.call(), place.kernel
        if where == "held":
            other.ask(9, "open", id=9)
            await kernel.read("SCHED", 9)
        book(caller, 1, 1)
        await place.read(1 + (where == "held"))
        if where != "held":
            await kernel.read("SCHED", 1)
        if where == "paused":
            other.ask(9, "open", id=9)
            await kernel.read("PREEMPT", 1)
            kernel.reap(1, "cancelled", b"")
            await kernel.read("SCHED", 9)
        if where == "at a call":
            kernel.needs(1)
            await place.database.read(1)
        caller.send(write_frame(b"FORGET", b"1"))
        await until(lambda: place.core.counts["gone"] == 1)
        book(other, 2, 2)
        await place.read(3 if where in ("held", "paused") else 2)
        match where:
            case "held":
                kernel.reap(9)
                await served(place, other, 2, 2)  # the first never ran
            case "paused":
                kernel.reap(9)
                assert await other.word(2) == "error"  # it may have had its effect
            case "running":
                kernel.reap(1, body=b"booked")
                assert await other.answer(2) == [b"done", b"booked"]
            case "at a call":
                kernel.reap(1, "cancelled", b"")
                assert await other.word(2) == "error"
        assert kernel.count("SCHED", 1) + kernel.count("SCHED", 2) == 1 and caller.count(1) == 0
        await until(lambda: place.core.in_flight == 0)
        again = await place.call()
        book(again, 1, 3)  # what has run is never refused
        assert await again.word(1) == ("done" if where in ("held", "running") else "error")
        assert place.core._controller.state.entries.memory_kb == pytest.approx(7.5)  # the one name

    at(tmp_path, run, settings=one_core(halt="suspend"))


@pytest.mark.parametrize("crossing", ["SIGHUP", "SIGTERM", "the end of the grace"])
def test_a_repeat_across_new_settings_and_the_notice_shares_the_run(crossing: str, tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        book(caller, 1, 1)
        await place.kernel.read("SCHED", 1)
        if crossing == "SIGHUP":
            told = copy.deepcopy(ELSEWHERE)
            told["classes"].reverse()
            told["familyInfo"].update(
                callsByClass=[False, True, True, True, False], degradedWorth=[0, 0, 0, 0.4, 0]
            )
            told["classes"][2].update(worth=9.0, hardLimitUs=5_000_000)
            await place.hang_up(settings=told)
        else:
            await place.terminate()
        book(caller, 2, 2)
        await place.read(2)
        if crossing == "the end of the grace":
            await place.step(GRACE_MS + 50)
            book(caller, 3, 3)  # later than anything may be run, and not refused: it has run
            await place.read(3)
        place.kernel.reap(1, body=b"booked")
        tags = (1, 2, 3) if crossing == "the end of the grace" else (1, 2)
        assert [await caller.answer(tag) for tag in tags] == [[b"done", b"booked"]] * len(tags)
        assert len([id for word, id in place.kernel.commands if word == "SCHED"]) == 1

    at(tmp_path, run, stop_ms=3_000)


def test_forget_before_its_request_is_admitted_and_crossing_its_answer(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.send(caller.frame(1, "list") + write_frame(b"FORGET", b"1"))
        await until(lambda: place.core.counts["gone"] == 1)
        caller.ask(2, "list")
        await place.kernel.read("SCHED", 2)
        place.kernel.reap(2)
        await until(lambda: place.core.counts["done"] == 1)  # its answer is on its way
        caller.send(write_frame(b"FORGET", b"2"))
        caller.ask(3, "list")
        await served(place, caller, 3, 3)
        assert (caller.count(1), caller.count(2)) == (0, 1) and place.kernel.count("SCHED", 1) == 0
        caller.reset()
        await until(lambda: len(place.node.resp.connections) == 0)
        assert place.core.in_flight == 0 and place.core._controller.state.entries.memory_kb == 0

    at(tmp_path, run)


@pytest.mark.parametrize("below", ["silent", "refusing", "down"])
def test_calls_in_hand_stay_within_the_told_share_though_the_dependency_is_slow_refuses_or_is_down(
    below: str, tmp_path: Path
) -> None:
    share, over_ms, linger_ms = 2.0, 1_000, 200
    told = elsewhere(callsOut=share, callsOverUs=over_ms * 1000, lingersUs=linger_ms * 1000, cold=True)
    told["classes"][1].update(aimUs=9_000_000, hardLimitUs=9_500_000)

    async def run(place: Place) -> None:
        caller = await place.call()
        for tag in range(1, 31):
            caller.ask(tag, "list", id=tag)
        asked, refused = set[str](), 0
        made = set[int]()  # calls in hand
        gone: list[int] = []  # until when abandoned ones linger
        seen: list[float] = []
        if below == "down":
            place.database.stop()
        for now_ms in range(0, 4_000, 20):
            for word, run_id in place.kernel.commands:
                if word == "SCHED" and run_id not in asked:
                    asked.add(run_id)
                    place.kernel.needs(int(run_id, 16))
            await place.step(20)
            calls = place.database.calls
            if below == "refusing":
                for number, line in calls[refused:]:
                    line.write(f"{number:016x} FULL\r\n".encode())
                refused = len(calls)
            told_now = {id(call) for call in place.node.database._calls.values() if call.connection}
            gone += [now_ms + linger_ms for one in made if one not in told_now and below == "silent"]
            made = told_now
            seen.append(len(made) + sum(end > now_ms for end in gone))
        steps = over_ms // 20
        assert max(sum(seen[at : at + steps]) / steps for at in range(len(seen) - steps)) <= share
        if below == "silent":
            assert len(place.database.calls) > 1  # it goes on asking within its share
        await place.step(6_000, size=100)
        assert {await caller.word(tag) for tag in range(1, 31)} <= {"later", "error"} and len(
            caller.said
        ) == 30

    at(tmp_path, run, settings=told)


def test_a_full_table_of_names_refuses_new_named_work_early_and_runs_none_unrecorded(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        words = []
        for number in range(1, 13):
            caller.ask(number, "book", id=number, once=f"k{number}")
            await place.read(number)
            await until(lambda: place.kernel.count("SCHED", number) or not place.core.unanswered)  # noqa: B023  (awaited within the turn)
            if place.kernel.count("SCHED", number):
                place.kernel.reap(number)
            words.append(await caller.word(number))
        kept = words.count("done")
        assert 0 < kept < 12 and words == ["done"] * kept + ["later"] * (12 - kept)
        assert place.core._controller.state.entries.memory_kb <= 0.8 * 7_000
        assert sum(word == "SCHED" for word, _ in place.kernel.commands) == kept
        caller.ask(20, "list", id=20)  # what is safe goes on
        await served(place, caller, 20, 20)
        caller.ask(21, "book", id=21, once="k1")  # and what has run is known still
        assert await caller.answer(21) == [b"done", b"done"]
        await place.step(WINDOW_MS + 50, size=100)
        caller.ask(22, "book", id=22, once="k12")
        await served(place, caller, 22, 22)

    at(tmp_path, run, settings=elsewhere(keyKb=700.0))


def test_the_state_that_is_reported_and_the_answer_to_health_checks_agree(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller, tag = await place.call(), 0

        async def both(word: str) -> None:
            nonlocal tag
            tag += 1
            caller.send(write_frame(b"ALIVE", b"%d" % tag))
            assert await caller.word(tag) == word
            said = b"renew n1 yes" if word == "healthy" else b"renew n1 no"
            await until(lambda: place.reports.seen[-1] == said)

        duty = place.core.serving_state
        await both("healthy")
        duty.quiesce()
        place.node.serving_state_changed()
        await both("sick")
        await place.step(700)
        await both("sick")
        duty.resume()
        place.node.serving_state_changed()
        await both("healthy")
        await place.terminate()
        await both("sick")
        assert not duty.resume()
        await both("sick")

    at(tmp_path, run)


@pytest.mark.parametrize("fault", ["a tenant that is not named", "keyed work without its name"])
def test_what_the_settings_can_not_place_gets_one_error_and_runs_nothing(fault: str, tmp_path: Path) -> None:
    # Guards against keyed work that runs with nothing to know its repeats by, and worth that belongs to nobody.
    async def run(place: Place) -> None:
        caller = await place.call()
        if fault == "a tenant that is not named":
            caller.ask(1, "list", tenant="west")
        else:
            caller.ask(1, "book")
        assert await caller.word(1) == "error"
        caller.ask(2, "book", tenant="north", once="k")
        await served(place, caller, 2, 2)
        assert caller.count(1) == 1 and len(place.kernel.commands) == 1 and place.core.in_flight == 0

    at(tmp_path, run)


def test_a_tenant_that_new_settings_take_away_is_taken_for_a_while_as_its_callers_hear_late(
    tmp_path: Path,
) -> None:
    async def run(place: Place) -> None:
        caller, told = await place.call(), copy.deepcopy(ELSEWHERE)
        told["realms"].pop()
        await place.hang_up(settings=told)
        caller.ask(1, "list", tenant="south")
        await served(place, caller, 1, 1)
        await place.step(3 * SECOND / MILLISECOND + 50, size=100)
        caller.ask(2, "list", tenant="south")
        assert await caller.word(2) == "error"

    at(tmp_path, run)
