"""Races of keyed work, cancellations, downstream calls and tenants with other events.

The tests use a whole node on loopback sockets, as in test_shutdown_and_reload.py. docs/crossings.md lists the expected
results.
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


def node_time_ms(harness: NodeHarness) -> int:
    return int(harness.node.timeline.now().timestamp() * 1000)


def send_booking(caller: RespClient, tag: int, id: int, body: bytes = b"mine", **fields: Any) -> None:
    caller.send_request(tag, "book", body, id=id, once="k", **fields)


async def run_and_check_response(
    harness: NodeHarness, caller: RespClient, tag: int, id: int, body: bytes = b"booked"
) -> None:
    await harness.kernel.command_read("SCHED", id)
    harness.kernel.end_run(id, body=body)
    assert await caller.response(tag) == [b"done", body]


def test_two_attempts_with_one_key_at_the_same_moment_run_once(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        first_caller, second_caller = await harness.connect(), await harness.connect()
        send_booking(first_caller, 1, 1)
        send_booking(second_caller, 1, 2)  # the node has read neither attempt yet
        await harness.requests_read(2)
        await until(lambda: harness.kernel.commands)
        [(_, started_id)] = harness.kernel.commands
        harness.kernel.end_run(int(started_id, 16), body=b"booked")
        responses = {
            number: await caller.response(1) for number, caller in ((1, first_caller), (2, second_caller))
        }
        assert responses.pop(int(started_id, 16)) == [b"done", b"booked"]
        # An attempt read before the other starts is replaced by it and rejected; one read later shares the run.
        assert next(iter(responses.values())) in ([b"done", b"booked"], [b"later", b""])
        assert len(harness.kernel.commands) == 1

    run_with_node(tmp_path, run)


@pytest.mark.parametrize(("after_ms", "runs"), [(WINDOW_MS - 1, 0), (WINDOW_MS + 10, 1)])
def test_a_second_attempt_shares_the_result_until_the_window_ends_and_runs_after_it(
    after_ms: int, runs: int, tmp_path: Path
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, began_ms = await harness.connect(), node_time_ms(harness)
        send_booking(caller, 1, 1, at=began_ms)
        await run_and_check_response(harness, caller, 1, 1)
        await harness.advance(WINDOW_MS + 100, size=100)
        send_booking(caller, 2, 2, at=began_ms + after_ms)
        if runs:
            await run_and_check_response(harness, caller, 2, 2, b"again")
        else:
            assert await caller.response(2) == [b"done", b"booked"]
        assert harness.kernel.command_count("SCHED", 2) == runs

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("where", ["queued", "paused", "running", "at a call"])
def test_a_cancelled_attempt_and_its_repeat_run_at_most_once(where: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, other, kernel = await harness.connect(), await harness.connect(), harness.kernel
        if where == "queued":
            other.send_request(9, "open", id=9)
            await kernel.command_read("SCHED", 9)
        send_booking(caller, 1, 1)
        await harness.requests_read(1 + (where == "queued"))
        if where != "queued":
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
        send_booking(other, 2, 2)
        await harness.requests_read(3 if where in ("queued", "paused") else 2)
        match where:
            case "queued":
                kernel.end_run(9)
                await run_and_check_response(harness, other, 2, 2)  # the first attempt has not run
            case "paused":
                kernel.end_run(9)
                assert await other.status_word(2) == "error"  # the paused run may have had its effect
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
        new_caller = await harness.connect()
        send_booking(new_caller, 1, 3)  # a repeat of work that has run is never rejected
        assert await new_caller.status_word(1) == ("done" if where in ("queued", "running") else "error")
        assert harness.core._controller.state.entries.memory_kb == pytest.approx(7.5)  # the memory of one key

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


@pytest.mark.parametrize("event", ["SIGHUP", "SIGTERM", "the end of the grace"])
def test_a_repeat_after_sighup_or_sigterm_shares_the_run(event: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        send_booking(caller, 1, 1)
        await harness.kernel.command_read("SCHED", 1)
        if event == "SIGHUP":
            changed = copy.deepcopy(ALTERNATE_SETTINGS)
            changed["classes"].reverse()
            changed["familyInfo"].update(
                callsByClass=[False, True, True, True, False], degradedWorth=[0, 0, 0, 0.4, 0]
            )
            changed["classes"][2].update(worth=9.0, hardLimitUs=5_000_000)
            await harness.reload(settings=changed)
        else:
            await harness.send_sigterm()
        send_booking(caller, 2, 2)
        await harness.requests_read(2)
        if event == "the end of the grace":
            await harness.advance(GRACE_MS + 50)
            send_booking(caller, 3, 3)  # after the grace period, but not rejected, because the work has run
            await harness.requests_read(3)
        harness.kernel.end_run(1, body=b"booked")
        tags = (1, 2, 3) if event == "the end of the grace" else (1, 2)
        assert [await caller.response(tag) for tag in tags] == [[b"done", b"booked"]] * len(tags)
        assert len([id for word, id in harness.kernel.commands if word == "SCHED"]) == 1

    run_with_node(tmp_path, run, stop_ms=3_000)


def test_a_cancellation_before_admission_or_crossing_the_response_leaves_nothing_behind(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send(caller.frame(1, "list") + write_frame(b"FORGET", b"1"))
        await until(lambda: harness.core.counts["gone"] == 1)
        caller.send_request(2, "list")
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        await until(lambda: harness.core.counts["done"] == 1)  # the response is sent but not read
        caller.send(write_frame(b"FORGET", b"2"))
        caller.send_request(3, "list")
        await run_and_check_response(harness, caller, 3, 3)
        assert (caller.response_count(1), caller.response_count(2)) == (
            0,
            1,
        ) and harness.kernel.command_count("SCHED", 1) == 0
        caller.reset()
        await until(lambda: len(harness.node.resp.connections) == 0)
        assert harness.core.in_flight == 0 and harness.core._controller.state.entries.memory_kb == 0

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("dependency", ["silent", "rejecting", "down"])
def test_calls_in_flight_stay_within_their_mean_although_the_dependency_is_slow_or_down(
    dependency: str, tmp_path: Path
) -> None:
    mean_calls, averaging_ms, abandoned_ms = 2.0, 1_000, 200
    changed = alternate_settings(
        callsOut=mean_calls, callsOverUs=averaging_ms * 1000, lingersUs=abandoned_ms * 1000, cold=True
    )
    changed["classes"][1].update(aimUs=9_000_000, hardLimitUs=9_500_000)

    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        for tag in range(1, 31):
            caller.send_request(tag, "list", id=tag)
        with_call, rejected_count = set[str](), 0
        in_flight = set[int]()  # ids of the calls in flight
        leave_at_ms: list[int] = []  # when each abandoned call leaves the dependency, ms
        call_counts: list[float] = []
        if dependency == "down":
            harness.database.stop()
        for now_ms in range(0, 4_000, 20):
            for command, run_id in harness.kernel.commands:
                if command == "SCHED" and run_id not in with_call:
                    with_call.add(run_id)
                    harness.kernel.request_call(int(run_id, 16))
            await harness.advance(20)
            calls_read = harness.database.calls
            if dependency == "rejecting":
                for number, writer in calls_read[rejected_count:]:
                    writer.write(f"{number:016x} FULL\r\n".encode())
                rejected_count = len(calls_read)
            in_flight_now = {id(call) for call in harness.node.database._calls.values() if call.connection}
            leave_at_ms += [
                now_ms + abandoned_ms
                for call_id in in_flight
                if call_id not in in_flight_now and dependency == "silent"
            ]
            in_flight = in_flight_now
            call_counts.append(len(in_flight) + sum(leave_ms > now_ms for leave_ms in leave_at_ms))
        window_steps = averaging_ms // 20
        assert (
            max(
                sum(call_counts[start : start + window_steps]) / window_steps
                for start in range(len(call_counts) - window_steps)
            )
            <= mean_calls
        )
        if dependency == "silent":
            assert len(harness.database.calls) > 1  # further calls are made within the mean
        await harness.advance(6_000, size=100)
        assert {await caller.status_word(tag) for tag in range(1, 31)} <= {"later", "error"} and len(
            caller.frames
        ) == 30

    run_with_node(tmp_path, run, settings=changed)


def test_new_keyed_work_is_rejected_once_keys_fill_the_memory_and_none_runs_unrecorded(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        status_words = []
        for number in range(1, 13):
            caller.send_request(number, "book", id=number, once=f"k{number}")
            await harness.requests_read(number)
            await until(lambda: harness.kernel.command_count("SCHED", number) or not harness.core.unanswered)  # noqa: B023  (awaited within the iteration)
            if harness.kernel.command_count("SCHED", number):
                harness.kernel.end_run(number)
            status_words.append(await caller.status_word(number))
        done_count = status_words.count("done")
        assert 0 < done_count < 12 and status_words == ["done"] * done_count + ["later"] * (12 - done_count)
        assert harness.core._controller.state.entries.memory_kb <= 0.8 * 7_000
        assert sum(command == "SCHED" for command, _ in harness.kernel.commands) == done_count
        caller.send_request(20, "list", id=20)  # idempotent work still runs
        await run_and_check_response(harness, caller, 20, 20)
        caller.send_request(21, "book", id=21, once="k1")  # the result of keyed work that ran is still shared
        assert await caller.response(21) == [b"done", b"done"]
        await harness.advance(WINDOW_MS + 50, size=100)
        caller.send_request(22, "book", id=22, once="k12")
        await run_and_check_response(harness, caller, 22, 22)

    run_with_node(tmp_path, run, settings=alternate_settings(keyKb=700.0))


def test_reports_and_health_checks_agree_on_the_state(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, tag = await harness.connect(), 0

        async def check_both_report(status: str) -> None:
            nonlocal tag
            tag += 1
            caller.send(write_frame(b"ALIVE", b"%d" % tag))
            assert await caller.status_word(tag) == status
            report = b"renew n1 yes" if status == "healthy" else b"renew n1 no"
            await until(lambda: harness.reports.datagrams[-1] == report)

        state = harness.core.serving_state
        await check_both_report("healthy")
        state.quiesce()
        harness.node.serving_state_changed()
        await check_both_report("sick")
        await harness.advance(700)
        await check_both_report("sick")
        state.resume()
        harness.node.serving_state_changed()
        await check_both_report("healthy")
        await harness.send_sigterm()
        await check_both_report("sick")
        assert not state.resume()
        await check_both_report("sick")

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("fault", ["an unknown tenant", "keyed work without its key"])
def test_an_unknown_tenant_or_a_missing_key_gets_one_error_and_runs_nothing(
    fault: str, tmp_path: Path
) -> None:
    # Guards against keyed work whose repeats can't be recognised, and against load that counts towards no tenant.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        if fault == "an unknown tenant":
            caller.send_request(1, "list", tenant="west")
        else:
            caller.send_request(1, "book")
        assert await caller.status_word(1) == "error"
        caller.send_request(2, "book", tenant="north", once="k")
        await run_and_check_response(harness, caller, 2, 2)
        assert (
            caller.response_count(1) == 1
            and len(harness.kernel.commands) == 1
            and harness.core.in_flight == 0
        )

    run_with_node(tmp_path, run)


def test_a_removed_tenant_is_accepted_for_a_grace_and_then_rejected(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, changed = await harness.connect(), copy.deepcopy(ALTERNATE_SETTINGS)
        changed["realms"].pop()
        await harness.reload(settings=changed)
        caller.send_request(1, "list", tenant="south")
        await run_and_check_response(harness, caller, 1, 1)
        await harness.advance(3 * SECOND / MILLISECOND + 50, size=100)
        caller.send_request(2, "list", tenant="south")
        assert await caller.status_word(2) == "error"

    run_with_node(tmp_path, run)
