"""Races between shutdown, reload, connections, kernel and database, with a whole node on loopback sockets.

docs/crossings.md lists the expected results. The settings differ from those of all other tests on purpose.
"""

from __future__ import annotations

import asyncio
import copy
import os
import resource
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from marlstep.admission.actions import Advertise
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import MILLISECOND, SECOND
from tests.support.alternate_settings import ALTERNATE_SETTINGS, alternate_settings
from tests.support.node_on_sockets import (
    NameServiceRecorder,
    NodeHarness,
    RespClient,
    ScriptedDatabase,
    ScriptedKernel,
    run_with_node,
    until,
)

GRACE_MS = 1_100


def one_core(**info: Any) -> dict[str, Any]:
    return alternate_settings(cpus=1, **info)


# Graceful shutdown: events at SIGTERM and around the end of the grace period.


@pytest.mark.parametrize("cut_at", [1, 3, 30, -1])
def test_a_request_half_read_at_sigterm_is_read_to_its_end_and_runs(cut_at: int, tmp_path: Path) -> None:
    # Guards against a connection that is closed in the middle of a request, 0.4 s after `0 closing`.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send(write_frame(b"ALIVE", b"9"))
        # After one valid request the node trusts the connection.
        assert await caller.status_word(9) == "healthy"
        frame = caller.frame(1, "list")
        caller.send(frame[:cut_at])
        connection = harness.only_connection
        await until(lambda: connection.inbox.used or connection._frames.inside_frame)
        await harness.send_sigterm()
        await harness.advance(420)
        await caller.closing_frame()
        await harness.advance(700)
        caller.send(frame[cut_at:])
        await harness.kernel.command_read("SCHED", 1)  # its first byte arrived within the grace period
        harness.kernel.end_run(1)
        assert await caller.response(1) == [b"done", b"done"]
        await harness.run_to_exit()

    rules = {**ALTERNATE_SETTINGS["rules"], "drainGraceUs": 400_000}
    run_with_node(tmp_path, run, stop_ms=3_000, settings={**ALTERNATE_SETTINGS, "rules": rules})


def test_a_connection_accepted_but_unread_at_sigterm_is_served(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        await until(lambda: len(harness.node.resp.connections) == 1)
        await harness.send_sigterm()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


def test_a_connection_in_the_backlog_at_the_end_of_the_grace_is_served(tmp_path: Path) -> None:
    # Guards against requests that are reset in the accept backlog when a late timer closes the listening socket.
    async def run(harness: NodeHarness) -> None:
        await harness.send_sigterm()
        await harness.advance(GRACE_MS - 40)
        unread_socket = harness.connect_unread()
        unread_socket.sendall(RespClient(harness.waker.now, None, None).frame(1, "ping"))  # type: ignore[arg-type]
        harness.advance_unread(200 * MILLISECOND)  # the loop is late: its timers run before it reads
        caller = await harness.adopt(unread_socket)
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


def test_all_connections_in_the_backlog_at_the_end_of_the_grace_get_responses(tmp_path: Path) -> None:
    # Guards against a listening socket that closes with connections in its backlog: the loop accepts one at a time.
    tags = range(1, 7)

    async def run(harness: NodeHarness) -> None:
        async def end_runs() -> None:
            for tag in tags:
                await harness.kernel.command_read("SCHED", tag)
                harness.kernel.end_run(tag)

        await harness.send_sigterm()
        await harness.advance(GRACE_MS - 200)
        unread_sockets = {tag: harness.connect_unread() for tag in tags}
        client = RespClient(harness.waker.now, None, None)  # type: ignore[arg-type]
        for tag, unread_socket in unread_sockets.items():
            unread_socket.sendall(client.frame(tag, "ping"))
        harness.advance_unread(400 * MILLISECOND)  # the loop is late: its timers run before it reads
        callers = {tag: await harness.adopt(unread_socket) for tag, unread_socket in unread_sockets.items()}
        ending_runs = asyncio.create_task(end_runs())
        for tag in tags:
            await callers[tag].response(tag)  # of any status; fails if the connection is closed without one
        ending_runs.cancel()
        await until(lambda: not harness.node.resp.listening)
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


def test_a_request_read_but_not_admitted_at_sigterm_runs(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        submit = harness.core.submit

        def submit_and_signal(*arguments: Any) -> int:
            handle: int = submit(*arguments)
            os.kill(os.getpid(), signal.SIGTERM)  # before the controller handles the request
            return handle

        harness.core.submit = submit_and_signal
        caller = await harness.connect()
        caller.send_request(1, "book", once="k")
        await harness.kernel.command_read("SCHED", 1)
        assert harness.core.is_shutting_down
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


def test_a_run_in_progress_at_sigterm_delivers_its_result(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        await harness.send_sigterm()
        await harness.advance(GRACE_MS - 100)
        assert not harness.node.ended.is_set()
        harness.kernel.end_run(1, body=b"opened")
        assert await caller.response(1) == [b"done", b"opened"]
        await harness.run_to_exit()
        assert harness.kernel.command_count("SCHED", 1) == 1

    run_with_node(tmp_path, run)


def test_a_downstream_call_in_flight_at_sigterm_completes(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.request_call(1)
        await harness.database.call_read(1)
        await harness.send_sigterm()
        await harness.advance(GRACE_MS / 2)
        await harness.database.reply(1)
        await harness.kernel.command_read("IODONE", 1)
        assert harness.kernel.bodies["IODONE", f"{1:016x}"] == b"rows"
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()
        assert harness.database.call_count(1) == 1

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("link_returns", [True, False])
def test_requests_at_sigterm_without_a_kernel_link_get_one_response_each(
    link_returns: bool, tmp_path: Path
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.up.clear()
        harness.kernel.drop_link()
        await until(lambda: harness.kernel.link_count == 2)
        caller.send_request(2, "book", once="k")
        await harness.requests_read(2)
        await harness.send_sigterm()
        if link_returns:
            harness.kernel.end_run(1)  # the run continued without the link
            harness.kernel.up.set()
            await harness.kernel.command_read("SCHED", 2)
            harness.kernel.end_run(2)
            assert [await caller.status_word(1), await caller.status_word(2)] == ["done", "done"]
        await harness.run_to_exit()
        status_words = [await caller.status_word(tag) for tag in (1, 2)]
        assert status_words == (["done", "done"] if link_returns else ["error", "error"])
        assert (
            caller.response_count(1) == caller.response_count(2) == 1
            and harness.kernel.command_count("SCHED", 1) == 1
        )

    run_with_node(tmp_path, run)


def test_a_request_at_sigterm_before_the_kernel_is_up_gets_an_error(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        harness.kernel.up.clear()
        harness.kernel.drop_link()
        await until(lambda: harness.kernel.link_count == 2)
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.requests_read()
        await harness.send_sigterm()
        await harness.run_to_exit()
        assert await caller.status_word(1) == "error"

    run_with_node(tmp_path, run)


def test_a_second_sigterm_changes_nothing(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        await harness.send_sigterm()
        stops_at = harness.core.stops_at
        await harness.advance(300)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.advance(20)
        assert harness.core.stops_at == stops_at
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()
        await until(lambda: b"renew n1 no" in harness.reports.datagrams)

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("first", ["SIGTERM", "SIGHUP"])
@pytest.mark.parametrize("grace_us", [400_000, 2_500_000])
def test_the_drain_grace_is_that_of_the_settings_in_force_at_sigterm(
    first: str, grace_us: int, tmp_path: Path
) -> None:
    async def run(harness: NodeHarness) -> None:
        changed = copy.deepcopy(ALTERNATE_SETTINGS)
        changed["rules"]["drainGraceUs"] = grace_us
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        if first == "SIGTERM":
            await harness.send_sigterm()
            await harness.reload(settings=changed)
        else:
            await harness.reload(settings=changed)
            await harness.send_sigterm()
        grace_ms = (ALTERNATE_SETTINGS if first == "SIGTERM" else changed)["rules"]["drainGraceUs"] / 1000
        within_grace_ms = min(grace_ms, 1_500) - 100
        await harness.advance(within_grace_ms)
        caller.send_request(2, "list")
        await harness.kernel.command_read("SCHED", 2)
        for tag in (1, 2):
            harness.kernel.end_run(tag)
            assert await caller.status_word(tag) == "done"
        if grace_ms < 2_000:
            await harness.advance(140)
            caller.send_request(3, "ping")
            assert await caller.status_word(3) == "later"
        await harness.run_to_exit()
        assert harness.kernel.command_count("SCHED", 3) == 0

    run_with_node(tmp_path, run, stop_ms=2_900)


def test_the_drain_grace_counts_from_the_signal_although_the_loop_handles_it_late(tmp_path: Path) -> None:
    # Guards against work that runs although it arrived after the grace period, because the loop was busy at the signal.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        await until(lambda: len(harness.node.resp.connections) == 1)
        os.kill(os.getpid(), signal.SIGTERM)
        harness.waker.shift += 400 * MILLISECOND  # the loop is busy for 0.4 s
        await until(lambda: harness.core.is_shutting_down)
        await harness.advance(GRACE_MS - 300)
        caller.send_request(1, "ping")
        assert await caller.status_word(1) == "later"
        await harness.run_to_exit()
        assert harness.kernel.command_count("SCHED", 1) == 0

    run_with_node(tmp_path, run, stop_ms=3_000)


def test_a_deadline_at_the_end_of_the_grace_gives_one_response(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        await harness.send_sigterm()
        grace_end = harness.core._shutdown._run_until
        caller = await harness.connect()
        await harness.advance(GRACE_MS - 900 - 50)
        offset_ms = int((grace_end - harness.node.timeline.now()) / MILLISECOND) - 900
        at_ms = int(harness.node.timeline.now().timestamp() * 1000) + offset_ms
        caller.send_request(1, "ping", at=at_ms)  # the deadline of a ping is 0.9 s
        await harness.kernel.command_read("SCHED", 1)
        await harness.run_to_exit()
        assert await caller.status_word(1) == "error" and caller.response_count(1) == 1

    run_with_node(tmp_path, run)


# SIGHUP: new settings and addresses with requests in flight.


def changed_settings() -> dict[str, Any]:
    """Return settings with classes removed, renamed, reordered, and with another effect, deadline and weight."""
    settings = alternate_settings(
        cpus=2, runMemFactor=3.0, keyKb=1.0, halt="suspend", say="window", ramKb=3_000.0
    )
    ping_class, list_class, book_class, open_class, tally_class = settings["classes"]
    open_class.update(name="unlock")
    list_class.update(semantics="at_most_once", worth=9.0)
    book_class.update(hardLimitUs=300_000, aimUs=200_000)
    settings["classes"] = [tally_class, open_class, book_class, list_class]
    settings["familyInfo"].update(callsByClass=[False, True, True, True], degradedWorth=[0.0] * 4)
    del ping_class
    return settings


@pytest.mark.parametrize("where", ["queued", "running", "paused", "at a call", "no link"])
def test_requests_in_flight_at_sighup_keep_their_class(where: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        request_class = "list" if where == "at a call" else "ping"
        if where == "no link":
            harness.kernel.up.clear()
            harness.kernel.drop_link()
            await until(lambda: harness.kernel.link_count == 2)
        caller.send_request(1, request_class)
        await harness.requests_read(1)
        if where == "no link":
            await until(lambda: f"{1:016x}" in harness.node.kernel._commands.unconfirmed_requests())
        else:
            await harness.kernel.command_read("SCHED", 1)
        if where == "at a call":
            harness.kernel.request_call(1)
            await harness.database.call_read(1)
        if where in ("queued", "paused"):
            caller.send_request(2, "open")
            await harness.kernel.command_read("PREEMPT", 1)
            if where == "paused":
                harness.kernel.end_run(1, "cancelled", b"")
                await harness.kernel.command_read("SCHED", 2)
            caller.send_request(3, "ping")
            await harness.requests_read(3)
        await harness.reload(settings=changed_settings())
        if where == "no link":
            harness.kernel.up.set()
            await harness.kernel.command_read("SCHED", 1)
        if where == "at a call":
            await harness.database.reply(1)
            await harness.kernel.command_read("IODONE", 1)
        if where == "queued":
            harness.kernel.end_run(1)
            await harness.kernel.command_read("SCHED", 2)
        if where in ("queued", "paused"):
            harness.kernel.end_run(2)
            await harness.kernel.command_read("SCHED", 3)
            harness.kernel.end_run(3)
        if where == "paused":
            await harness.kernel.command_read("RESCHED", 1)
        if where != "queued":
            harness.kernel.end_run(1)
        tags = (1, 2, 3) if where in ("queued", "paused") else (1,)
        assert [await caller.status_word(tag) for tag in tags] == ["done"] * len(tags)
        assert harness.kernel.classes[f"{1:016x}"] == request_class
        controller = harness.core._controller
        assert (
            harness.core.in_flight == 0
            and controller.state.entries.memory_kb == 0
            and controller.state.entries.count_in_flight() == 0
        )
        caller.send_request(9, "unlock")
        await harness.kernel.command_read("SCHED", 9)
        harness.kernel.end_run(9)
        assert await caller.status_word(9) == "done"

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_calls_in_flight_survive_a_change_of_addresses_and_the_close_of_the_old_ones(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, old_kernel = await harness.connect(), harness.kernel
        for tag, request_class in ((1, "open"), (2, "list")):
            caller.send_request(tag, request_class)
            await old_kernel.command_read("SCHED", tag)
        old_kernel.request_call(1)
        old_kernel.request_call(2)
        for tag in (1, 2):
            await harness.database.call_read(tag)
        new_kernel, new_database = ScriptedKernel(), ScriptedDatabase()
        await new_kernel.start()
        await new_database.start()
        await harness.reload(kernel=new_kernel.address, db=new_database.address)
        new_kernel.notices = old_kernel.notices  # the same kernel at another address
        await until(lambda: new_kernel.link_count == 1)
        await harness.database.reply(1)  # a call in flight finishes on its old connection
        await new_kernel.command_read("IODONE", 1)
        harness.database.stop()  # the old addresses close
        old_kernel.stop()
        await new_database.call_read(2)  # idempotent: retried at the new address
        await new_database.reply(2)
        await new_kernel.command_read("IODONE", 2)
        for tag in (1, 2):
            new_kernel.end_run(tag)
            assert await caller.status_word(tag) == "done"
        assert (harness.database.call_count(1), new_database.call_count(1)) == (
            1,
            0,
        ) and new_kernel.command_count("SCHED", 1) == 0
        new_kernel.stop()
        new_database.stop()

    run_with_node(tmp_path, run)


def test_a_second_sighup_before_the_first_takes_effect_skips_its_address(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        silent_kernel, last_kernel = ScriptedKernel(), ScriptedKernel()
        silent_kernel.up.clear()
        await silent_kernel.start()
        await last_kernel.start()
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        await harness.reload(kernel=silent_kernel.address)
        await until(lambda: silent_kernel.link_count == 1)  # this kernel never reports that it has booted
        last_kernel.notices = harness.kernel.notices
        await harness.reload(kernel=last_kernel.address)
        await until(lambda: last_kernel.link_count == 1)
        caller.send_request(2, "list")
        await last_kernel.command_read("SCHED", 2)
        for tag in (1, 2):
            last_kernel.end_run(tag)
            assert await caller.status_word(tag) == "done"
        assert silent_kernel.commands == []
        silent_kernel.stop()
        last_kernel.stop()

    run_with_node(tmp_path, run)


def test_an_advertised_value_is_dropped_when_callers_read_it_in_another_way(tmp_path: Path) -> None:
    # Guards against a request count that callers read as a rank, after which no caller would send requests.
    async def run(harness: NodeHarness) -> None:
        harness.core._dispatcher.execute_all([Advertise(12.0)])  # read by callers as a request count
        assert harness.core.advertised_value == 12.0
        await harness.reload(settings=alternate_settings(say="threshold"))
        caller = await harness.connect()
        caller.send(write_frame(b"ALIVE", b"1"))
        await caller.response(1)
        assert caller.frames == [[b"1", b"healthy", b"", b""]]

    run_with_node(tmp_path, run, settings=alternate_settings(say="window"))


def test_a_longer_idempotency_window_covers_work_that_ran_before_it(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "book", b"mine", once="k")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.end_run(1, body=b"booked")
        assert await caller.status_word(1) == "done"
        changed = copy.deepcopy(ALTERNATE_SETTINGS)
        changed["classes"][2]["repeatWindowUs"] = 6_000_000
        await harness.reload(settings=changed)
        await harness.advance(4_000, size=200)
        new_caller = await harness.connect()
        new_caller.send_request(1, "book", b"mine", id=2, once="k")
        assert (
            await new_caller.response(1) == [b"done", b"booked"]
            and harness.kernel.command_count("SCHED", 2) == 0
        )

    run_with_node(tmp_path, run)


# Connections that are reset, idle, half-closed or not read by their peer.


def test_a_late_result_for_a_reset_connection_does_not_reach_the_next_one_in_its_slot(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        first = await harness.connect()
        first.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        first.reset()
        await until(lambda: len(harness.node.resp.connections) == 0)
        assert harness.core.counts["gone"] == 1
        second = await harness.connect()
        second.send_request(1, "open", id=2)  # the same slot and the same tag
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(1, body=b"late")
        harness.kernel.end_run(2, body=b"mine")
        assert await second.response(1) == [b"done", b"mine"] and second.response_count(1) == 1
        await until(lambda: harness.core.in_flight == 0)

    run_with_node(tmp_path, run)


async def connect_until_idle_close(harness: NodeHarness) -> RespClient:
    """Return a client whose connection was idle, and to which the node has announced to close it."""
    client = await harness.connect()
    client.send(write_frame(b"ALIVE", b"1"))
    await client.response(1)
    harness.only_connection.close_idle()
    await client.closing_frame()
    return client


def test_a_request_that_crosses_the_idle_close_is_served_although_the_loop_is_late(tmp_path: Path) -> None:
    # Guards against a connection closed with a request unread: a late loop runs timers before it reads.
    async def run(harness: NodeHarness) -> None:
        caller = await connect_until_idle_close(harness)
        unread_socket = caller.writer.get_extra_info("socket")
        os.write(unread_socket.fileno(), caller.frame(2, "ping"))  # sent before the peer read `0 closing`
        harness.advance_unread(210 * MILLISECOND)
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        assert await caller.status_word(2) == "done"
        await caller.read_to_end()

    run_with_node(tmp_path, run)


def test_many_long_requests_that_cross_the_idle_close_are_all_served_although_the_loop_is_late(
    tmp_path: Path,
) -> None:
    # Guards against a connection closed with more unread than it reads in one iteration of the loop.
    async def run(harness: NodeHarness) -> None:
        caller = await connect_until_idle_close(harness)
        tags = range(2, 34)
        frames = b"".join(caller.frame(tag, "ping", b"x" * 2_048) for tag in tags)
        unread_socket = caller.writer.get_extra_info("socket")
        assert os.write(unread_socket.fileno(), frames) == len(frames)
        harness.advance_unread(210 * MILLISECOND)
        await harness.requests_read(len(tags))
        await harness.advance(2_000)
        assert {await caller.status_word(tag) for tag in tags} <= {"done", "later", "error"}

    run_with_node(tmp_path, run)


def test_the_rest_of_a_request_that_crosses_the_read_timeout_is_read_although_the_loop_is_late(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        frame = caller.frame(1, "open")
        caller.send(frame[:20])
        connection = harness.only_connection
        await until(lambda: connection._frames.inside_frame)
        os.write(caller.writer.get_extra_info("socket").fileno(), frame[20:])
        harness.advance_unread(1_600 * MILLISECOND)
        assert await caller.status_word(1) == "later"  # read, although its deadline has passed

    run_with_node(tmp_path, run)


def test_a_half_closed_connection_gets_all_its_responses(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        for tag in (1, 2):
            caller.send_request(tag, "list")
        caller.writer.write_eof()
        for tag in (2, 1):
            await harness.kernel.command_read("SCHED", tag)
            harness.kernel.end_run(tag)
            assert await caller.status_word(tag) == "done"
        assert len(await caller.read_to_end()) == 2

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("how", ["reset", "closed"])
def test_a_connection_that_ends_within_a_response_leaves_its_slot_and_descriptor_clean(
    how: str, tmp_path: Path
) -> None:
    # One response is partly written, one is buffered and one does not exist yet. Then another connection gets the
    # slot, a tag and the descriptor, while `0 closing`, its timer and a result still refer to the first connection.
    async def run(harness: NodeHarness) -> None:
        first = await harness.adopt(harness.connect_unread(receive_buffer=4_096))
        first.writer.transport.pause_reading()  # type: ignore[attr-defined]
        for tag in (1, 2, 3):
            first.send_request(tag, "list")
            await harness.kernel.command_read("SCHED", tag)
        old_connection = harness.only_connection
        old_transport: Any = old_connection._transport
        old_transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        descriptor = old_transport.get_extra_info("socket").fileno()
        harness.kernel.end_run(1, body=b"x" * 60_000)
        await until(lambda: not old_connection._writable)
        harness.kernel.end_run(2, body=b"y" * 60_000)
        await until(lambda: old_connection.send_blocked)
        old_connection.close_idle()
        old_connection.drain()  # the connection is closed 0.2 s later
        if how == "reset":
            first.reset()
        else:
            first.writer.transport.abort()
        await until(lambda: len(harness.node.resp.connections) == 0)
        second = await harness.connect()
        second.send_request(3, "list", id=9)
        await harness.kernel.command_read("SCHED", 9)
        new_transport: Any = harness.only_connection._transport
        assert new_transport.get_extra_info("socket").fileno() == descriptor  # reused by the new connection
        harness.kernel.end_run(3, body=b"late")
        await harness.advance(650)  # the timer has run twice
        harness.kernel.end_run(9, body=b"mine")
        assert await second.response(3) == [b"done", b"mine"] and second.response_count(3) == 1
        await until(lambda: harness.core.in_flight == 0)

    run_with_node(tmp_path, run)


# Kernel notices and database replies that arrive late, twice or not at all.


def test_a_run_that_ends_before_its_preemption_arrives_is_not_resumed(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "ping")
        await harness.kernel.command_read("SCHED", 1)
        caller.send_request(2, "open")
        await harness.kernel.command_read("PREEMPT", 1)
        harness.kernel.end_run(1)  # the run ends before the preemption arrives
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        assert [await caller.status_word(tag) for tag in (1, 2)] == ["done", "done"]
        assert (
            harness.kernel.command_count("RESCHED", 1) == 0 and harness.kernel.command_count("SCHED", 1) == 1
        )

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_a_run_that_needs_a_call_before_its_preemption_arrives_is_not_paused(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        caller.send_request(2, "open")
        await harness.kernel.command_read("PREEMPT", 1)
        harness.kernel.request_call(1)
        await harness.kernel.command_read("SCHED", 2)
        await harness.database.reply(1)
        await harness.kernel.command_read("IODONE", 1)
        harness.kernel.end_run(1)
        harness.kernel.end_run(2)
        assert [await caller.status_word(tag) for tag in (1, 2)] == ["done", "done"]
        assert harness.kernel.command_count("RESCHED", 1) == 0

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_a_run_cancelled_after_its_deadline_gives_one_response(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "ping")
        await harness.kernel.command_read("SCHED", 1)
        caller.send_request(2, "open")
        await harness.kernel.command_read("PREEMPT", 1)
        await harness.advance(920)  # the deadline of a ping is 0.9 s
        assert await caller.status_word(1) == "error"
        harness.kernel.end_run(1, "cancelled", b"")
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        assert await caller.status_word(2) == "done" and caller.response_count(1) == 1
        await until(lambda: harness.core.in_flight == 0)

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_repeated_kernel_notices_are_applied_once(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.request_call(1)
        await harness.database.call_read(1)
        harness.kernel.drop_link()
        await until(lambda: harness.kernel.link_count == 2)
        await harness.database.reply(1)
        await harness.kernel.command_read("IODONE", 1)
        caller.send_request(5, "ping")
        await harness.kernel.command_read("SCHED", 5)
        harness.kernel._link.write(harness.kernel.notices[0])  # type: ignore[union-attr]
        harness.kernel.end_run(5)
        assert await caller.status_word(5) == "done"  # so the node has read all notices up to this one
        await harness.advance(20)
        harness.kernel.end_run(1, body=b"opened")
        harness.kernel._link.write(harness.kernel.notices[1])  # type: ignore[union-attr]
        assert await caller.response(1) == [b"done", b"opened"]
        caller.send(write_frame(b"ALIVE", b"2"))
        await caller.response(2)
        assert caller.response_count(1) == 1 and harness.database.call_count(1) == 1
        assert (
            harness.kernel.command_count("SCHED", 1) == 1 and harness.kernel.command_count("IODONE", 1) == 1
        )

    run_with_node(tmp_path, run)


def test_a_reply_to_an_abandoned_call_is_not_passed_on(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.request_call(1)
        writer = await harness.database.call_read(1)
        await harness.advance(1_220)  # the deadline of an open is 1.2 s
        assert await caller.status_word(1) == "error"
        harness.kernel.end_run(1, "cancelled", b"")
        await until(lambda: harness.core.in_flight == 0)
        writer.write(b"%016x ROWS 4\r\nrows\r\n" % 1)
        caller.send_request(2, "ping")
        await harness.kernel.command_read("SCHED", 2)
        assert caller.response_count(1) == 1 and harness.kernel.command_count("IODONE", 1) == 0

    run_with_node(tmp_path, run)


def test_a_reply_received_in_time_counts_although_the_loop_is_late(tmp_path: Path) -> None:
    # Guards against a call that is abandoned and retried although its reply has arrived but is unread.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.request_call(1)
        writer = await harness.database.call_read(1)
        call = harness.node.database._calls[f"{1:016x}"]
        os.write(writer.get_extra_info("socket").fileno(), b"%016x ROWS 4\r\nrows\r\n" % 1)
        harness.advance_unread(call.until - harness.node.timeline.now() + 60 * MILLISECOND)
        await harness.kernel.command_read("IODONE", 1)
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done" and harness.database.call_count(1) == 1

    run_with_node(tmp_path, run)


def test_a_call_on_a_reset_pooled_connection_is_retried_only_if_it_is_idempotent(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        for tag in (1, 2):
            caller.send_request(tag, "list")
            await harness.kernel.command_read("SCHED", tag)
            harness.kernel.request_call(tag)
            writer = await harness.database.call_read(tag)
            if tag == 2:
                writer.transport.abort()
                await harness.database.call_read(2, times=2)  # idempotent: retried
            await harness.database.reply(tag, times=tag)
            await harness.kernel.command_read("IODONE", tag)
            harness.kernel.end_run(tag)
            assert await caller.status_word(tag) == "done"
        caller.send_request(3, "open")
        await harness.kernel.command_read("SCHED", 3)
        harness.kernel.request_call(3)
        (await harness.database.call_read(3)).transport.abort()
        assert (
            await caller.status_word(3) == "error" and harness.database.call_count(3) == 1
        )  # not retried, because it may have run

    run_with_node(tmp_path, run)


# Hot restart in one process. Races of two processes: tests/hot_restart/test_process_races.py.


def test_a_successor_lost_during_the_hot_restart_leaves_the_drain_grace_in_force(tmp_path: Path) -> None:
    # Guards against a hand-over that stops accepting although a drain with a later grace period has replaced it.
    async def run(harness: NodeHarness) -> None:
        harness.core.begin_hand_over(harness.node.timeline.now() + 3_700 * MILLISECOND)
        harness.node.drain_controller.successor_lost()
        await harness.advance(40)
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.advance(GRACE_MS)
        assert await caller.read_to_end() and not harness.node.resp.listening
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


# Malformed, truncated and out-of-range input.

BAD_INPUT = {
    "malformed": b"*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$-7\r\n",
    "endless": b"*" * 4_000,
    "cut": b"*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$4\r\npi",
    "out of range": write_frame(b"EXEC", b"1", b"ping", b"id=%016x,at=1,kb=1e300" % 77, b""),
    "unknown class": write_frame(b"EXEC", b"1", b"temp-history", b"id=%016x,at=1,kb=1" % 77, b""),
}


@pytest.mark.parametrize("bad_input", BAD_INPUT)
@pytest.mark.parametrize("moment", ["calm", "draining", "reloaded", "link down"])
def test_bad_input_at_any_moment_affects_no_other_connection(
    bad_input: str, moment: str, tmp_path: Path
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, client = await harness.connect(), await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        client.send(BAD_INPUT[bad_input][:3])
        match moment:
            case "draining":
                await harness.send_sigterm()
            case "reloaded":
                await harness.reload(settings=changed_settings())
            case "link down":
                harness.kernel.up.clear()
                harness.kernel.drop_link()
                await until(lambda: harness.kernel.link_count == 2)
        client.send(BAD_INPUT[bad_input][3:])
        if bad_input in ("malformed", "out of range", "unknown class"):
            assert await client.status_word(1) == "error"
        else:
            close_task = asyncio.ensure_future(client.read_to_end())
            await harness.advance(1_520)
            await close_task  # the read timeout closes the connection
        harness.kernel.up.set()
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done" and caller.response_count(1) == 1
        assert harness.kernel.command_count("SCHED", 77) == 0

    run_with_node(tmp_path, run, stop_ms=3_000)


# Reports to the name service.


def test_reports_continue_through_sighup_and_end_with_sigterm(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        await until(lambda: harness.reports.datagrams)
        await harness.reload(settings=changed_settings())
        report_count = len(harness.reports.datagrams)
        await harness.advance(700)
        await until(lambda: len(harness.reports.datagrams) >= report_count + 2)
        harness.core.serving_state.quiesce()
        harness.node.serving_state_changed()
        await until(lambda: harness.reports.datagrams[-1] == b"renew n1 no")
        harness.core.serving_state.resume()
        harness.node.serving_state_changed()
        await until(lambda: harness.reports.datagrams[-1] == b"renew n1 yes")
        await harness.send_sigterm()
        await until(lambda: harness.reports.datagrams[-1] == b"renew n1 no")
        report_count = len(harness.reports.datagrams)
        await harness.run_to_exit()
        assert len(harness.reports.datagrams) == report_count

    run_with_node(tmp_path, run)


def test_reports_begin_once_a_descriptor_is_available(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a node that stays off the endpoint list after it failed once to open its socket for reports.
    async def run(harness: NodeHarness) -> None:
        await until(lambda: harness.reports.datagrams)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
        try:
            harness.node.naming._stop()
            harness.node.naming.open()
            await until(lambda: "name service reports failed" in caplog.text)
            await harness.advance(350)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        harness.reports.datagrams.clear()
        await harness.advance(350)
        await until(lambda: harness.reports.datagrams)

    run_with_node(tmp_path, run)


def stop_name_service(harness: NodeHarness) -> int:
    """Stop the name service, and return its port, which rejects datagrams from now on."""
    port: int = harness.naming.get_extra_info("sockname")[1]
    harness.naming.close()
    return port


async def start_name_service(harness: NodeHarness, port: int) -> NameServiceRecorder:
    """Start the name service on this port, or on any free port if 0."""
    loop = asyncio.get_running_loop()
    harness.naming, reports = await loop.create_datagram_endpoint(
        NameServiceRecorder, local_addr=("127.0.0.1", port)
    )
    return reports


@pytest.mark.parametrize("where", ["same address", "moved"])
@pytest.mark.parametrize("meanwhile", ["quiesce", "resume", "drain"])
def test_a_restarted_name_service_gets_the_current_state(meanwhile: str, where: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        serving_state = harness.core.serving_state
        if meanwhile == "resume":
            serving_state.quiesce()
            harness.node.serving_state_changed()
            await until(lambda: harness.reports.datagrams[-1] == b"renew n1 no")
        port = stop_name_service(harness)
        await harness.advance(700)  # reports in this time are lost
        match meanwhile:
            case "quiesce":
                serving_state.quiesce()
            case "resume":
                serving_state.resume()
        harness.node.serving_state_changed()
        if meanwhile == "drain":
            await harness.send_sigterm()
        reports = await start_name_service(harness, port if where == "same address" else 0)
        if where == "moved":
            await harness.reload(naming=f"127.0.0.1:{harness.naming.get_extra_info('sockname')[1]}")
        if meanwhile == "drain":
            await harness.run_to_exit()
            assert reports.datagrams == []  # the last report was sent while the name service was down
            return
        await harness.advance(350)
        await until(lambda: reports.datagrams)
        await harness.advance(350)
        await until(lambda: len(reports.datagrams) > 1)
        assert set(reports.datagrams) == {b"renew n1 no" if meanwhile == "quiesce" else b"renew n1 yes"}

    run_with_node(tmp_path, run)


def test_a_burst_at_a_node_without_a_kernel_starts_only_what_the_warming_node_survives(
    tmp_path: Path,
) -> None:
    # Of requests that arrive before the kernel is up, only as many start as the node can survive; all get a response.
    settings = alternate_settings(cold=True, ramKb=1e9)
    settings["rules"].update(coldShare=0.25, warmAfterUs=60_000_000)
    # Objectives far longer than a slow machine needs, for all classes: the shortest one bounds the reading lag at which
    # the controller takes cores back from runs.
    for request_class in settings["classes"]:
        request_class.update(aimUs=14_000_000, hardLimitUs=15_000_000)

    async def run(harness: NodeHarness) -> None:
        kernel, started_at = harness.kernel, harness.node.timeline.now()
        kernel.up.clear()
        kernel.drop_link()
        await until(lambda: kernel.link_count == 2)
        callers = [await harness.connect() for _ in range(8)]
        for index, caller in enumerate(callers):
            sender_field: Any = {"from": index}
            for tag in range(1, 21):
                caller.send_request(tag, "list", id=100 * index + tag, **sender_field)
        await harness.requests_read(160)
        kernel.up.set()
        await until(lambda: kernel.commands)
        await harness.advance(5_000)  # no run ends, and cores are free
        warmed_share = (harness.node.timeline.now() - started_at) / (60 * SECOND)
        # 3 cores, overload factor 7, initial capacity share 0.25
        max_runs = 3 * (1 + (7 - 1) * (0.25 + 0.75 * warmed_share))
        assert 3 < len(kernel.commands) <= max_runs
        ended_ids: set[str] = set()
        while harness.core.unanswered:
            for id in [id for command, id in kernel.commands if command == "SCHED" and id not in ended_ids]:
                ended_ids.add(id)
                kernel.end_run(int(id, 16))
            await harness.advance(20)
        status_words = [await caller.status_word(tag) for caller in callers for tag in range(1, 21)]
        assert status_words.count("done") >= 9 and set(status_words) <= {"done", "later", "error"}
        started_ids = [id for command, id in kernel.commands if command == "SCHED"]
        assert len(started_ids) == len(set(started_ids))

    run_with_node(tmp_path, run, settings=settings)
