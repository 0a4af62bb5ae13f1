"""What crosses what, on loopback sockets (docs/crossings.md). The settings share nothing with casa-main."""

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


# The notice to leave.


@pytest.mark.parametrize("cut", [1, 3, 30, -1])
def test_sigterm_between_a_request_s_first_and_last_byte(cut: int, tmp_path: Path) -> None:
    # Guards against a connection that was closed on 0.4 s after `0 closing`, in the middle of a request.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send(write_frame(b"ALIVE", b"9"))
        assert await caller.status_word(9) == "healthy"  # it is no newcomer
        whole = caller.frame(1, "list")
        caller.send(whole[:cut])
        connection = harness.only_connection
        await until(lambda: connection.inbox.used or connection._frames.inside)
        await harness.send_sigterm()
        await harness.advance(420)
        await caller.closing_frame()
        await harness.advance(700)
        caller.send(whole[cut:])
        await harness.kernel.command_read("SCHED", 1)  # it came to the machine inside the grace
        harness.kernel.end_run(1)
        assert await caller.response(1) == [b"done", b"done"]
        await harness.run_to_exit()

    rules = {**ALTERNATE_SETTINGS["rules"], "drainGraceUs": 400_000}
    run_with_node(tmp_path, run, stop_ms=3_000, settings={**ALTERNATE_SETTINGS, "rules": rules})


def test_sigterm_between_accept_and_the_first_read(tmp_path: Path) -> None:
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


def test_the_end_of_the_grace_before_a_connection_that_stands_is_accepted(tmp_path: Path) -> None:
    # Guards against requests that lie in the backlog of a socket that a late timer closes: they were reset.
    async def run(harness: NodeHarness) -> None:
        await harness.send_sigterm()
        await harness.advance(GRACE_MS - 40)
        blind = harness.connect_unread()
        blind.sendall(RespClient(harness.waker.now, None, None).frame(1, "ping"))  # type: ignore[arg-type]
        harness.advance_unread(
            200 * MILLISECOND
        )  # the loop is late: its timers come before what it would have read
        caller = await harness.adopt(blind)
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


def test_sigterm_between_a_request_s_reading_and_its_admission(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        submit = harness.core.submit

        def crossed(*told: Any) -> int:
            handle: int = submit(*told)
            os.kill(os.getpid(), signal.SIGTERM)  # before the module's turn
            return handle

        harness.core.submit = crossed
        caller = await harness.connect()
        caller.send_request(1, "book", once="k")
        await harness.kernel.command_read("SCHED", 1)
        assert harness.core.draining
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()

    run_with_node(tmp_path, run)


def test_sigterm_between_sched_and_reap(tmp_path: Path) -> None:
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


def test_sigterm_between_a_call_and_its_reply(tmp_path: Path) -> None:
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


@pytest.mark.parametrize("returns", [True, False])
def test_sigterm_while_the_kernel_s_link_is_down(returns: bool, tmp_path: Path) -> None:
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
        if returns:
            harness.kernel.end_run(1)  # the run went on meanwhile
            harness.kernel.up.set()
            await harness.kernel.command_read("SCHED", 2)
            harness.kernel.end_run(2)
            assert [await caller.status_word(1), await caller.status_word(2)] == ["done", "done"]
        await harness.run_to_exit()
        words = [await caller.status_word(tag) for tag in (1, 2)]
        assert words == (["done", "done"] if returns else ["error", "error"])
        assert (
            caller.response_count(1) == caller.response_count(2) == 1
            and harness.kernel.command_count("SCHED", 1) == 1
        )

    run_with_node(tmp_path, run)


def test_sigterm_before_booted(tmp_path: Path) -> None:
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


def test_sigterm_twice_changes_nothing(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        await harness.send_sigterm()
        stops = harness.core.stops_at
        await harness.advance(300)
        os.kill(os.getpid(), signal.SIGTERM)
        await harness.advance(20)
        assert harness.core.stops_at == stops
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done"
        await harness.run_to_exit()
        await until(lambda: b"renew n1 no" in harness.reports.seen)

    run_with_node(tmp_path, run)


@pytest.mark.parametrize("first", ["SIGTERM", "SIGHUP"])
@pytest.mark.parametrize("grace_us", [400_000, 2_500_000])
def test_sigterm_and_sighup_in_either_order(first: str, grace_us: int, tmp_path: Path) -> None:
    # The grace is the one that the settings named when the notice came.
    async def run(harness: NodeHarness) -> None:
        told = copy.deepcopy(ALTERNATE_SETTINGS)
        told["rules"]["drainGraceUs"] = grace_us
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        if first == "SIGTERM":
            await harness.send_sigterm()
            await harness.reload(settings=told)
        else:
            await harness.reload(settings=told)
            await harness.send_sigterm()
        grace_ms = (ALTERNATE_SETTINGS if first == "SIGTERM" else told)["rules"]["drainGraceUs"] / 1000
        inside = min(grace_ms, 1_500) - 100
        await harness.advance(inside)
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


def test_the_grace_counts_from_the_signal_also_where_the_loop_hears_of_it_late(tmp_path: Path) -> None:
    # Guards against work that is run though it arrived too late: the loop was busy when the notice came.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        await until(lambda: len(harness.node.resp.connections) == 1)
        os.kill(os.getpid(), signal.SIGTERM)
        harness.waker.shift += 400 * MILLISECOND  # what the loop is busy with takes so long
        await until(lambda: harness.core.draining)
        await harness.advance(GRACE_MS - 300)
        caller.send_request(1, "ping")
        assert await caller.status_word(1) == "later"
        await harness.run_to_exit()
        assert harness.kernel.command_count("SCHED", 1) == 0

    run_with_node(tmp_path, run, stop_ms=3_000)


def test_a_deadline_on_the_end_of_the_grace(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        await harness.send_sigterm()
        end = harness.core._shutdown._run_until
        caller = await harness.connect()
        await harness.advance(GRACE_MS - 900 - 50)
        early = int((end - harness.node.timeline.now()) / MILLISECOND) - 900
        at_ms = int(harness.node.timeline.now().timestamp() * 1000) + early
        caller.send_request(1, "ping", at=at_ms)  # a ping is given up after 0.9 s
        await harness.kernel.command_read("SCHED", 1)
        await harness.run_to_exit()
        assert await caller.status_word(1) == "error" and caller.response_count(1) == 1

    run_with_node(tmp_path, run)


# New settings and addresses.


def changed() -> dict[str, Any]:
    """Classes gone, renamed, in another order, of another effect, deadline and worth; more of everything else."""
    told = alternate_settings(
        cpus=2, runMemFactor=3.0, keyKb=1.0, halt="suspend", say="window", ramKb=3_000.0
    )
    ping, lists, book, opens, tally = told["classes"]
    opens.update(name="unlock")
    lists.update(semantics="at_most_once", worth=9.0)
    book.update(hardLimitUs=300_000, aimUs=200_000)
    told["classes"] = [tally, opens, book, lists]
    told["familyInfo"].update(callsByClass=[False, True, True, True], degradedWorth=[0.0] * 4)
    del ping
    return told


@pytest.mark.parametrize("where", ["held", "running", "paused", "at a call", "no link"])
def test_sighup_with_work_at_each_stage_keeps_its_class(where: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        other = "list" if where == "at a call" else "ping"
        if where == "no link":
            harness.kernel.up.clear()
            harness.kernel.drop_link()
            await until(lambda: harness.kernel.link_count == 2)
        caller.send_request(1, other)
        await harness.requests_read(1)
        if where == "no link":
            await until(lambda: f"{1:016x}" in harness.node.kernel._unconfirmed)
        else:
            await harness.kernel.command_read("SCHED", 1)
        if where == "at a call":
            harness.kernel.request_call(1)
            await harness.database.call_read(1)
        if where in ("held", "paused"):
            caller.send_request(2, "open")
            await harness.kernel.command_read("PREEMPT", 1)
            if where == "paused":
                harness.kernel.end_run(1, "cancelled", b"")
                await harness.kernel.command_read("SCHED", 2)
            caller.send_request(3, "ping")
            await harness.requests_read(3)
        await harness.reload(settings=changed())
        if where == "no link":
            harness.kernel.up.set()
            await harness.kernel.command_read("SCHED", 1)
        if where == "at a call":
            await harness.database.reply(1)
            await harness.kernel.command_read("IODONE", 1)
        if where == "held":
            harness.kernel.end_run(1)
            await harness.kernel.command_read("SCHED", 2)
        if where in ("held", "paused"):
            harness.kernel.end_run(2)
            await harness.kernel.command_read("SCHED", 3)
            harness.kernel.end_run(3)
        if where == "paused":
            await harness.kernel.command_read("RESCHED", 1)
        if where != "held":
            harness.kernel.end_run(1)
        tags = (1, 2, 3) if where in ("held", "paused") else (1,)
        assert [await caller.status_word(tag) for tag in tags] == ["done"] * len(tags)
        assert harness.kernel.classes[f"{1:016x}"] == other
        module = harness.core._controller
        assert (
            harness.core.in_flight == 0
            and module.state.entries.memory_kb == 0
            and module.state.entries.count_unfinished() == 0
        )
        caller.send_request(9, "unlock")
        await harness.kernel.command_read("SCHED", 9)
        harness.kernel.end_run(9)
        assert await caller.status_word(9) == "done"

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_sighup_moves_the_addresses_and_the_old_ones_close_under_what_they_still_carry(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, old = await harness.connect(), harness.kernel
        for tag, kind in ((1, "open"), (2, "list")):
            caller.send_request(tag, kind)
            await old.command_read("SCHED", tag)
        old.request_call(1)
        old.request_call(2)
        for tag in (1, 2):
            await harness.database.call_read(tag)
        fresh, database = ScriptedKernel(), ScriptedDatabase()
        await fresh.start()
        await database.start()
        await harness.reload(kernel=fresh.address, db=database.address)
        fresh.notices = old.notices  # it is one kernel
        await until(lambda: fresh.link_count == 1)
        await harness.database.reply(1)  # a call on its way ends where it is
        await fresh.command_read("IODONE", 1)
        harness.database.stop()  # the old addresses close
        old.stop()
        await database.call_read(2)  # safe to repeat: made again, at the new address
        await database.reply(2)
        await fresh.command_read("IODONE", 2)
        for tag in (1, 2):
            fresh.end_run(tag)
            assert await caller.status_word(tag) == "done"
        assert (harness.database.call_count(1), database.call_count(1)) == (1, 0) and fresh.command_count(
            "SCHED", 1
        ) == 0
        fresh.stop()
        database.stop()

    run_with_node(tmp_path, run)


def test_a_second_sighup_before_the_first_is_through(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        silent, last = ScriptedKernel(), ScriptedKernel()
        silent.up.clear()
        await silent.start()
        await last.start()
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        await harness.reload(kernel=silent.address)
        await until(lambda: silent.link_count == 1)  # it never says that it is up
        last.notices = harness.kernel.notices
        await harness.reload(kernel=last.address)
        await until(lambda: last.link_count == 1)
        caller.send_request(2, "list")
        await last.command_read("SCHED", 2)
        for tag in (1, 2):
            last.end_run(tag)
            assert await caller.status_word(tag) == "done"
        assert silent.commands == []
        silent.stop()
        last.stop()

    run_with_node(tmp_path, run)


def test_a_free_value_does_not_outlive_the_way_in_which_callers_read_it(tmp_path: Path) -> None:
    # Guards against a number of requests that is read as a rank: no caller would come any more.
    async def run(harness: NodeHarness) -> None:
        harness.core._dispatcher.execute_all([Advertise(12.0)])  # while callers count requests by the value
        assert harness.core.advertised_value == 12.0
        await harness.reload(settings=alternate_settings(say="threshold"))
        caller = await harness.connect()
        caller.send(write_frame(b"ALIVE", b"1"))
        await caller.response(1)
        assert caller.frames == [[b"1", b"healthy", b"", b""]]

    run_with_node(tmp_path, run, settings=alternate_settings(say="window"))


def test_a_window_that_grows_holds_for_what_ran_before(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "book", b"mine", once="k")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.end_run(1, body=b"booked")
        assert await caller.status_word(1) == "done"
        told = copy.deepcopy(ALTERNATE_SETTINGS)
        told["classes"][2]["repeatWindowUs"] = 6_000_000
        await harness.reload(settings=told)
        await harness.advance(4_000, size=200)
        again = await harness.connect()
        again.send_request(1, "book", b"mine", id=2, once="k")
        assert (
            await again.response(1) == [b"done", b"booked"] and harness.kernel.command_count("SCHED", 2) == 0
        )

    run_with_node(tmp_path, run)


# Connections.


def test_a_connection_reset_with_requests_open_and_its_slot_used_again(tmp_path: Path) -> None:
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


def test_the_idle_close_crosses_a_request_that_a_late_loop_has_not_read(tmp_path: Path) -> None:
    # Guards against a request that lies unread while the timer closes its connection, as timers come first.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send(write_frame(b"ALIVE", b"1"))
        await caller.response(1)
        harness.only_connection.idle()
        await caller.closing_frame()
        blind = caller.writer.get_extra_info("socket")
        os.write(blind.fileno(), caller.frame(2, "ping"))  # it had crossed the word, on its way
        harness.advance_unread(210 * MILLISECOND)
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        assert await caller.status_word(2) == "done"
        await caller.read_to_end()

    run_with_node(tmp_path, run)


def test_the_end_of_patience_crosses_the_rest_of_a_request_that_a_late_loop_has_not_read(
    tmp_path: Path,
) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        whole = caller.frame(1, "open")
        caller.send(whole[:20])
        connection = harness.only_connection
        await until(lambda: connection._frames.inside)
        os.write(caller.writer.get_extra_info("socket").fileno(), whole[20:])
        harness.advance_unread(1_600 * MILLISECOND)
        assert (
            await caller.status_word(1) == "later"
        )  # its own time was over by then, but it was read and answered

    run_with_node(tmp_path, run)


def test_a_half_closed_connection_gets_all_its_answers(tmp_path: Path) -> None:
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
def test_a_connection_that_ends_between_an_answer_s_pieces_leaves_its_slot_and_descriptor_clean(
    how: str, tmp_path: Path
) -> None:
    # One answer is partly written, one waits in the ring, one is not made yet; then the slot, the tags and the
    # descriptor are another's, while `0 closing`, the cut behind it and a result still name the first.
    async def run(harness: NodeHarness) -> None:
        first = await harness.adopt(harness.connect_unread(takes=4_096))
        first.writer.transport.pause_reading()  # type: ignore[attr-defined]
        for tag in (1, 2, 3):
            first.send_request(tag, "list")
            await harness.kernel.command_read("SCHED", tag)
        old = harness.only_connection
        transport: Any = old._transport
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        descriptor = transport.get_extra_info("socket").fileno()
        harness.kernel.end_run(1, body=b"x" * 60_000)
        await until(lambda: not old._writable)
        harness.kernel.end_run(2, body=b"y" * 60_000)
        await until(lambda: old.send_blocked)
        old.idle()
        old.drain()  # the cut comes 0.2 s after
        if how == "reset":
            first.reset()
        else:
            first.writer.transport.abort()
        await until(lambda: len(harness.node.resp.connections) == 0)
        second = await harness.connect()
        second.send_request(3, "list", id=9)
        await harness.kernel.command_read("SCHED", 9)
        new: Any = harness.only_connection._transport
        assert new.get_extra_info("socket").fileno() == descriptor  # the same number stands for another
        harness.kernel.end_run(3, body=b"late")
        await harness.advance(650)  # the cut has come, and come again
        harness.kernel.end_run(9, body=b"mine")
        assert await second.response(3) == [b"done", b"mine"] and second.response_count(3) == 1
        await until(lambda: harness.core.in_flight == 0)

    run_with_node(tmp_path, run)


# The kernel and the database.


def test_reap_crosses_preempt(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "ping")
        await harness.kernel.command_read("SCHED", 1)
        caller.send_request(2, "open")
        await harness.kernel.command_read("PREEMPT", 1)
        harness.kernel.end_run(1)  # it had ended before it was told to stop
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        assert [await caller.status_word(tag) for tag in (1, 2)] == ["done", "done"]
        assert (
            harness.kernel.command_count("RESCHED", 1) == 0 and harness.kernel.command_count("SCHED", 1) == 1
        )

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_a_call_crosses_preempt_and_is_not_taken_for_a_pause(tmp_path: Path) -> None:
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


def test_cancelled_crosses_the_deadline(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "ping")
        await harness.kernel.command_read("SCHED", 1)
        caller.send_request(2, "open")
        await harness.kernel.command_read("PREEMPT", 1)
        await harness.advance(920)  # a ping is given up after 0.9 s
        assert await caller.status_word(1) == "error"
        harness.kernel.end_run(1, "cancelled", b"")
        await harness.kernel.command_read("SCHED", 2)
        harness.kernel.end_run(2)
        assert await caller.status_word(2) == "done" and caller.response_count(1) == 1
        await until(lambda: harness.core.in_flight == 0)

    run_with_node(tmp_path, run, settings=one_core(halt="suspend"))


def test_notices_twice_and_commands_lost_with_the_link(tmp_path: Path) -> None:
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
        assert await caller.status_word(5) == "done"  # the link was read up to here
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


def test_a_reply_for_a_call_that_was_given_up(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "open")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.request_call(1)
        line = await harness.database.call_read(1)
        await harness.advance(1_220)  # an open is given up after 1.2 s
        assert await caller.status_word(1) == "error"
        harness.kernel.end_run(1, "cancelled", b"")
        await until(lambda: harness.core.in_flight == 0)
        line.write(b"%016x ROWS 4\r\nrows\r\n" % 1)
        caller.send_request(2, "ping")
        await harness.kernel.command_read("SCHED", 2)
        assert caller.response_count(1) == 1 and harness.kernel.command_count("IODONE", 1) == 0

    run_with_node(tmp_path, run)


def test_a_reply_that_came_in_time_counts_though_the_loop_is_late(tmp_path: Path) -> None:
    # Guards against a call that is given up, and made again, with its reply lying unread.
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        harness.kernel.request_call(1)
        line = await harness.database.call_read(1)
        call = harness.node.database._calls[f"{1:016x}"]
        os.write(line.get_extra_info("socket").fileno(), b"%016x ROWS 4\r\nrows\r\n" % 1)
        harness.advance_unread(call.until - harness.node.timeline.now() + 60 * MILLISECOND)
        await harness.kernel.command_read("IODONE", 1)
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done" and harness.database.call_count(1) == 1

    run_with_node(tmp_path, run)


def test_a_pooled_connection_is_reset_at_the_moment_it_is_used(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller = await harness.connect()
        for tag in (1, 2):
            caller.send_request(tag, "list")
            await harness.kernel.command_read("SCHED", tag)
            harness.kernel.request_call(tag)
            line = await harness.database.call_read(tag)
            if tag == 2:
                line.transport.abort()
                await harness.database.call_read(2, times=2)  # safe to repeat: once more
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
        )  # it may have run: never again

    run_with_node(tmp_path, run)


# An upgrade (two processes: tests/hot_restart/test_upgrade_races.py).


def test_the_successor_is_lost_before_the_hand_over_is_through(tmp_path: Path) -> None:
    # Guards against a hand-over that closes the door behind a notice to leave that has taken its place.
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


# Bad input at each of these moments.

BAD = {
    "malformed": b"*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$-7\r\n",
    "endless": b"*" * 4_000,
    "cut": b"*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$4\r\npi",
    "out of range": write_frame(b"EXEC", b"1", b"ping", b"id=%016x,at=1,kb=1e300" % 77, b""),
    "unknown class": write_frame(b"EXEC", b"1", b"temp-history", b"id=%016x,at=1,kb=1" % 77, b""),
}


@pytest.mark.parametrize("bad", BAD)
@pytest.mark.parametrize("moment", ["calm", "draining", "reloaded", "link down"])
def test_bad_input_at_any_moment_disturbs_nobody_else(bad: str, moment: str, tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        caller, client = await harness.connect(), await harness.connect()
        caller.send_request(1, "list")
        await harness.kernel.command_read("SCHED", 1)
        client.send(BAD[bad][:3])
        match moment:
            case "draining":
                await harness.send_sigterm()
            case "reloaded":
                await harness.reload(settings=changed())
            case "link down":
                harness.kernel.up.clear()
                harness.kernel.drop_link()
                await until(lambda: harness.kernel.link_count == 2)
        client.send(BAD[bad][3:])
        if bad in ("malformed", "out of range", "unknown class"):
            assert await client.status_word(1) == "error"
        else:
            ends = asyncio.ensure_future(client.read_to_end())
            await harness.advance(1_520)
            await ends  # closed on in its time
        harness.kernel.up.set()
        harness.kernel.end_run(1)
        assert await caller.status_word(1) == "done" and caller.response_count(1) == 1
        assert harness.kernel.command_count("SCHED", 77) == 0

    run_with_node(tmp_path, run, stop_ms=3_000)


# The list.


def test_reports_go_on_through_sighup_and_end_with_the_notice(tmp_path: Path) -> None:
    async def run(harness: NodeHarness) -> None:
        await until(lambda: harness.reports.seen)
        await harness.reload(settings=changed())
        seen = len(harness.reports.seen)
        await harness.advance(700)
        await until(lambda: len(harness.reports.seen) >= seen + 2)
        harness.core.serving_state.quiesce()
        harness.node.serving_state_changed()
        await until(lambda: harness.reports.seen[-1] == b"renew n1 no")
        harness.core.serving_state.resume()
        harness.node.serving_state_changed()
        await until(lambda: harness.reports.seen[-1] == b"renew n1 yes")
        await harness.send_sigterm()
        await until(lambda: harness.reports.seen[-1] == b"renew n1 no")
        seen = len(harness.reports.seen)
        await harness.run_to_exit()
        assert len(harness.reports.seen) == seen

    run_with_node(tmp_path, run)


def test_a_node_that_finds_no_descriptor_for_its_reports_finds_one_later(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a node that is off the list for good, as it once could not open the socket of its reports.
    async def run(harness: NodeHarness) -> None:
        await until(lambda: harness.reports.seen)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
        try:
            harness.node.naming._stop()
            harness.node.naming.open()
            await until(lambda: "no reports to the name service" in caplog.text)
            await harness.advance(350)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        harness.reports.seen.clear()
        await harness.advance(350)
        await until(lambda: harness.reports.seen)

    run_with_node(tmp_path, run)


def silent(harness: NodeHarness) -> int:
    """The name service goes down: its port refuses. Which one."""
    port: int = harness.naming.get_extra_info("sockname")[1]
    harness.naming.close()
    return port


async def back(harness: NodeHarness, port: int) -> NameServiceRecorder:
    loop = asyncio.get_running_loop()
    harness.naming, reports = await loop.create_datagram_endpoint(
        NameServiceRecorder, local_addr=("127.0.0.1", port)
    )
    return reports


@pytest.mark.parametrize("where", ["same address", "moved"])
@pytest.mark.parametrize("meanwhile", ["quiesce", "resume", "drain"])
def test_what_happens_while_the_name_service_is_down_is_what_it_hears_when_it_is_back(
    meanwhile: str, where: str, tmp_path: Path
) -> None:
    async def run(harness: NodeHarness) -> None:
        duty = harness.core.serving_state
        if meanwhile == "resume":
            duty.quiesce()
            harness.node.serving_state_changed()
            await until(lambda: harness.reports.seen[-1] == b"renew n1 no")
        port = silent(harness)
        await harness.advance(700)  # reports that are refused
        match meanwhile:
            case "quiesce":
                duty.quiesce()
            case "resume":
                duty.resume()
        harness.node.serving_state_changed()
        if meanwhile == "drain":
            await harness.send_sigterm()
        reports = await back(harness, port if where == "same address" else 0)
        if where == "moved":
            await harness.reload(naming=f"127.0.0.1:{harness.naming.get_extra_info('sockname')[1]}")
        if meanwhile == "drain":
            await harness.run_to_exit()
            assert reports.seen == []  # its last word was said before; nothing speaks of a node that leaves
            return
        await harness.advance(350)
        await until(lambda: reports.seen)
        await harness.advance(350)
        await until(lambda: len(reports.seen) > 1)
        assert set(reports.seen) == {b"renew n1 no" if meanwhile == "quiesce" else b"renew n1 yes"}

    run_with_node(tmp_path, run)


def test_a_crowd_that_was_told_of_a_cold_node_waits_until_it_is_up_and_does_not_bring_it_down(
    tmp_path: Path,
) -> None:
    # What came before its kernel was up starts only as far as the cold node survives it, and all is answered.
    cold = alternate_settings(cold=True, ramKb=1e9)
    cold["rules"].update(coldShare=0.25, warmAfterUs=60_000_000)
    cold["classes"][1].update(
        aimUs=14_000_000, hardLimitUs=15_000_000
    )  # no machine is so slow that it counts here

    async def run(harness: NodeHarness) -> None:
        kernel, up = harness.kernel, harness.node.timeline.now()
        kernel.up.clear()
        kernel.drop_link()
        await until(lambda: kernel.link_count == 2)
        crowd = [await harness.connect() for _ in range(8)]
        for number, caller in enumerate(crowd):
            sender: Any = {"from": number}
            for tag in range(1, 21):
                caller.send_request(tag, "list", id=100 * number + tag, **sender)
        await harness.requests_read(160)
        kernel.up.set()
        await until(lambda: kernel.commands)
        await harness.advance(5_000)  # none ends, the cores have room, and the running set would grow
        warmed = (harness.node.timeline.now() - up) / (60 * SECOND)
        survives = 3 * (1 + (7 - 1) * (0.25 + 0.75 * warmed))  # cores, multiple and share of the settings
        assert 3 < len(kernel.commands) <= survives
        ended: set[str] = set()
        while harness.core.unanswered:
            for id in [id for word, id in kernel.commands if word == "SCHED" and id not in ended]:
                ended.add(id)
                kernel.end_run(int(id, 16))
            await harness.advance(20)
        words = [await caller.status_word(tag) for caller in crowd for tag in range(1, 21)]
        assert words.count("done") >= 9 and set(words) <= {"done", "later", "error"}
        began = [id for word, id in kernel.commands if word == "SCHED"]
        assert len(began) == len(set(began))

    run_with_node(tmp_path, run, settings=cold)
