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
from tests.support.crossing import Caller, HeldDatabase, HeldKernel, Place, Reports, at, until
from tests.support.elsewhere import ELSEWHERE, elsewhere

GRACE_MS = 1_100


def one_core(**info: Any) -> dict[str, Any]:
    return elsewhere(cpus=1, **info)


# The notice to leave.


@pytest.mark.parametrize("cut", [1, 3, 30, -1])
def test_sigterm_between_a_request_s_first_and_last_byte(cut: int, tmp_path: Path) -> None:
    # Guards against a connection that was closed on 0.4 s after `0 closing`, in the middle of a request.
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.send(write_frame(b"ALIVE", b"9"))
        assert await caller.word(9) == "healthy"  # it is no newcomer
        whole = caller.frame(1, "list")
        caller.send(whole[:cut])
        connection = place.connection
        await until(lambda: connection.inbox.used or connection._frames.inside)
        await place.terminate()
        await place.step(420)
        await caller.closing()
        await place.step(700)
        caller.send(whole[cut:])
        await place.kernel.read("SCHED", 1)  # it came to the machine inside the grace
        place.kernel.reap(1)
        assert await caller.answer(1) == [b"done", b"done"]
        await place.ended()

    rules = {**ELSEWHERE["rules"], "drainGraceUs": 400_000}
    at(tmp_path, run, stop_ms=3_000, settings={**ELSEWHERE, "rules": rules})


def test_sigterm_between_accept_and_the_first_read(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        await until(lambda: len(place.node.resp.connections) == 1)
        await place.terminate()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        place.kernel.reap(1)
        assert await caller.word(1) == "done"
        await place.ended()

    at(tmp_path, run)


def test_the_end_of_the_grace_before_a_connection_that_stands_is_accepted(tmp_path: Path) -> None:
    # Guards against requests that lie in the backlog of a socket that a late timer closes: they were reset.
    async def run(place: Place) -> None:
        await place.terminate()
        await place.step(GRACE_MS - 40)
        blind = place.dial_blind()
        blind.sendall(Caller(place.waker.now, None, None).frame(1, "ping"))  # type: ignore[arg-type]
        place.push(200 * MILLISECOND)  # the loop is late: its timers come before what it would have read
        caller = await place.taken(blind)
        await place.kernel.read("SCHED", 1)
        place.kernel.reap(1)
        assert await caller.word(1) == "done"
        await place.ended()

    at(tmp_path, run)


def test_sigterm_between_a_request_s_reading_and_its_admission(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        submit = place.core.submit

        def crossed(*told: Any) -> int:
            handle: int = submit(*told)
            os.kill(os.getpid(), signal.SIGTERM)  # before the module's turn
            return handle

        place.core.submit = crossed
        caller = await place.call()
        caller.ask(1, "book", once="k")
        await place.kernel.read("SCHED", 1)
        assert place.core.draining
        place.kernel.reap(1)
        assert await caller.word(1) == "done"
        await place.ended()

    at(tmp_path, run)


def test_sigterm_between_sched_and_reap(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        await place.terminate()
        await place.step(GRACE_MS - 100)
        assert not place.node.ended.is_set()
        place.kernel.reap(1, body=b"opened")
        assert await caller.answer(1) == [b"done", b"opened"]
        await place.ended()
        assert place.kernel.count("SCHED", 1) == 1

    at(tmp_path, run)


def test_sigterm_between_a_call_and_its_reply(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        place.kernel.needs(1)
        await place.database.read(1)
        await place.terminate()
        await place.step(GRACE_MS / 2)
        await place.database.rows(1)
        await place.kernel.read("IODONE", 1)
        assert place.kernel.bodies["IODONE", f"{1:016x}"] == b"rows"
        place.kernel.reap(1)
        assert await caller.word(1) == "done"
        await place.ended()
        assert place.database.count(1) == 1

    at(tmp_path, run)


@pytest.mark.parametrize("returns", [True, False])
def test_sigterm_while_the_kernel_s_link_is_down(returns: bool, tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        place.kernel.up.clear()
        place.kernel.cut()
        await until(lambda: place.kernel.links == 2)
        caller.ask(2, "book", once="k")
        await place.read(2)
        await place.terminate()
        if returns:
            place.kernel.reap(1)  # the run went on meanwhile
            place.kernel.up.set()
            await place.kernel.read("SCHED", 2)
            place.kernel.reap(2)
            assert [await caller.word(1), await caller.word(2)] == ["done", "done"]
        await place.ended()
        words = [await caller.word(tag) for tag in (1, 2)]
        assert words == (["done", "done"] if returns else ["error", "error"])
        assert caller.count(1) == caller.count(2) == 1 and place.kernel.count("SCHED", 1) == 1

    at(tmp_path, run)


def test_sigterm_before_booted(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        place.kernel.up.clear()
        place.kernel.cut()
        await until(lambda: place.kernel.links == 2)
        caller = await place.call()
        caller.ask(1, "list")
        await place.read()
        await place.terminate()
        await place.ended()
        assert await caller.word(1) == "error"

    at(tmp_path, run)


def test_sigterm_twice_changes_nothing(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "list")
        await place.kernel.read("SCHED", 1)
        await place.terminate()
        stops = place.core.stops_at
        await place.step(300)
        os.kill(os.getpid(), signal.SIGTERM)
        await place.step(20)
        assert place.core.stops_at == stops
        place.kernel.reap(1)
        assert await caller.word(1) == "done"
        await place.ended()
        await until(lambda: b"renew n1 no" in place.reports.seen)

    at(tmp_path, run)


@pytest.mark.parametrize("first", ["SIGTERM", "SIGHUP"])
@pytest.mark.parametrize("grace_us", [400_000, 2_500_000])
def test_sigterm_and_sighup_in_either_order(first: str, grace_us: int, tmp_path: Path) -> None:
    # The grace is the one that the settings named when the notice came.
    async def run(place: Place) -> None:
        told = copy.deepcopy(ELSEWHERE)
        told["rules"]["drainGraceUs"] = grace_us
        caller = await place.call()
        caller.ask(1, "list")
        await place.kernel.read("SCHED", 1)
        if first == "SIGTERM":
            await place.terminate()
            await place.hang_up(settings=told)
        else:
            await place.hang_up(settings=told)
            await place.terminate()
        grace_ms = (ELSEWHERE if first == "SIGTERM" else told)["rules"]["drainGraceUs"] / 1000
        inside = min(grace_ms, 1_500) - 100
        await place.step(inside)
        caller.ask(2, "list")
        await place.kernel.read("SCHED", 2)
        for tag in (1, 2):
            place.kernel.reap(tag)
            assert await caller.word(tag) == "done"
        if grace_ms < 2_000:
            await place.step(140)
            caller.ask(3, "ping")
            assert await caller.word(3) == "later"
        await place.ended()
        assert place.kernel.count("SCHED", 3) == 0

    at(tmp_path, run, stop_ms=2_900)


def test_the_grace_counts_from_the_signal_also_where_the_loop_hears_of_it_late(tmp_path: Path) -> None:
    # Guards against work that is run though it arrived too late: the loop was busy when the notice came.
    async def run(place: Place) -> None:
        caller = await place.call()
        await until(lambda: len(place.node.resp.connections) == 1)
        os.kill(os.getpid(), signal.SIGTERM)
        place.waker.shift += 400 * MILLISECOND  # what the loop is busy with takes so long
        await until(lambda: place.core.draining)
        await place.step(GRACE_MS - 300)
        caller.ask(1, "ping")
        assert await caller.word(1) == "later"
        await place.ended()
        assert place.kernel.count("SCHED", 1) == 0

    at(tmp_path, run, stop_ms=3_000)


def test_a_deadline_on_the_end_of_the_grace(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        await place.terminate()
        end = place.core._shutdown._run_until
        caller = await place.call()
        await place.step(GRACE_MS - 900 - 50)
        early = int((end - place.node.timeline.now()) / MILLISECOND) - 900
        at_ms = int(place.node.timeline.now().timestamp() * 1000) + early
        caller.ask(1, "ping", at=at_ms)  # a ping is given up after 0.9 s
        await place.kernel.read("SCHED", 1)
        await place.ended()
        assert await caller.word(1) == "error" and caller.count(1) == 1

    at(tmp_path, run)


# New settings and addresses.


def changed() -> dict[str, Any]:
    """Classes gone, renamed, in another order, of another effect, deadline and worth; more of everything else."""
    told = elsewhere(cpus=2, runMemFactor=3.0, keyKb=1.0, halt="suspend", say="window", ramKb=3_000.0)
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
    async def run(place: Place) -> None:
        caller = await place.call()
        other = "list" if where == "at a call" else "ping"
        if where == "no link":
            place.kernel.up.clear()
            place.kernel.cut()
            await until(lambda: place.kernel.links == 2)
        caller.ask(1, other)
        await place.read(1)
        if where == "no link":
            await until(lambda: f"{1:016x}" in place.node.kernel._commands.unconfirmed_requests())
        else:
            await place.kernel.read("SCHED", 1)
        if where == "at a call":
            place.kernel.needs(1)
            await place.database.read(1)
        if where in ("held", "paused"):
            caller.ask(2, "open")
            await place.kernel.read("PREEMPT", 1)
            if where == "paused":
                place.kernel.reap(1, "cancelled", b"")
                await place.kernel.read("SCHED", 2)
            caller.ask(3, "ping")
            await place.read(3)
        await place.hang_up(settings=changed())
        if where == "no link":
            place.kernel.up.set()
            await place.kernel.read("SCHED", 1)
        if where == "at a call":
            await place.database.rows(1)
            await place.kernel.read("IODONE", 1)
        if where == "held":
            place.kernel.reap(1)
            await place.kernel.read("SCHED", 2)
        if where in ("held", "paused"):
            place.kernel.reap(2)
            await place.kernel.read("SCHED", 3)
            place.kernel.reap(3)
        if where == "paused":
            await place.kernel.read("RESCHED", 1)
        if where != "held":
            place.kernel.reap(1)
        tags = (1, 2, 3) if where in ("held", "paused") else (1,)
        assert [await caller.word(tag) for tag in tags] == ["done"] * len(tags)
        assert place.kernel.classes[f"{1:016x}"] == other
        module = place.core._controller
        assert (
            place.core.in_flight == 0
            and module.state.entries.memory_kb == 0
            and module.state.entries.count_unfinished() == 0
        )
        caller.ask(9, "unlock")
        await place.kernel.read("SCHED", 9)
        place.kernel.reap(9)
        assert await caller.word(9) == "done"

    at(tmp_path, run, settings=one_core(halt="suspend"))


def test_sighup_moves_the_addresses_and_the_old_ones_close_under_what_they_still_carry(
    tmp_path: Path,
) -> None:
    async def run(place: Place) -> None:
        caller, old = await place.call(), place.kernel
        for tag, kind in ((1, "open"), (2, "list")):
            caller.ask(tag, kind)
            await old.read("SCHED", tag)
        old.needs(1)
        old.needs(2)
        for tag in (1, 2):
            await place.database.read(tag)
        fresh, database = HeldKernel(), HeldDatabase()
        await fresh.start()
        await database.start()
        await place.hang_up(kernel=fresh.address, db=database.address)
        fresh.notices = old.notices  # it is one kernel
        await until(lambda: fresh.links == 1)
        await place.database.rows(1)  # a call on its way ends where it is
        await fresh.read("IODONE", 1)
        place.database.stop()  # the old addresses close
        old.stop()
        await database.read(2)  # safe to repeat: made again, at the new address
        await database.rows(2)
        await fresh.read("IODONE", 2)
        for tag in (1, 2):
            fresh.reap(tag)
            assert await caller.word(tag) == "done"
        assert (place.database.count(1), database.count(1)) == (1, 0) and fresh.count("SCHED", 1) == 0
        fresh.stop()
        database.stop()

    at(tmp_path, run)


def test_a_second_sighup_before_the_first_is_through(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        silent, last = HeldKernel(), HeldKernel()
        silent.up.clear()
        await silent.start()
        await last.start()
        caller = await place.call()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        await place.hang_up(kernel=silent.address)
        await until(lambda: silent.links == 1)  # it never says that it is up
        last.notices = place.kernel.notices
        await place.hang_up(kernel=last.address)
        await until(lambda: last.links == 1)
        caller.ask(2, "list")
        await last.read("SCHED", 2)
        for tag in (1, 2):
            last.reap(tag)
            assert await caller.word(tag) == "done"
        assert silent.commands == []
        silent.stop()
        last.stop()

    at(tmp_path, run)


def test_a_free_value_does_not_outlive_the_way_in_which_callers_read_it(tmp_path: Path) -> None:
    # Guards against a number of requests that is read as a rank: no caller would come any more.
    async def run(place: Place) -> None:
        place.core._dispatcher.execute_all([Advertise(12.0)])  # while callers count requests by the value
        assert place.core.advertised_value == 12.0
        await place.hang_up(settings=elsewhere(say="threshold"))
        caller = await place.call()
        caller.send(write_frame(b"ALIVE", b"1"))
        await caller.answer(1)
        assert caller.said == [[b"1", b"healthy", b"", b""]]

    at(tmp_path, run, settings=elsewhere(say="window"))


def test_a_window_that_grows_holds_for_what_ran_before(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "book", b"mine", once="k")
        await place.kernel.read("SCHED", 1)
        place.kernel.reap(1, body=b"booked")
        assert await caller.word(1) == "done"
        told = copy.deepcopy(ELSEWHERE)
        told["classes"][2]["repeatWindowUs"] = 6_000_000
        await place.hang_up(settings=told)
        await place.step(4_000, size=200)
        again = await place.call()
        again.ask(1, "book", b"mine", id=2, once="k")
        assert await again.answer(1) == [b"done", b"booked"] and place.kernel.count("SCHED", 2) == 0

    at(tmp_path, run)


# Connections.


def test_a_connection_reset_with_requests_open_and_its_slot_used_again(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        first = await place.call()
        first.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        first.reset()
        await until(lambda: len(place.node.resp.connections) == 0)
        assert place.core.counts["gone"] == 1
        second = await place.call()
        second.ask(1, "open", id=2)  # the same slot and the same tag
        await place.kernel.read("SCHED", 2)
        place.kernel.reap(1, body=b"late")
        place.kernel.reap(2, body=b"mine")
        assert await second.answer(1) == [b"done", b"mine"] and second.count(1) == 1
        await until(lambda: place.core.in_flight == 0)

    at(tmp_path, run)


def test_the_idle_close_crosses_a_request_that_a_late_loop_has_not_read(tmp_path: Path) -> None:
    # Guards against a request that lies unread while the timer closes its connection, as timers come first.
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.send(write_frame(b"ALIVE", b"1"))
        await caller.answer(1)
        place.connection.close_idle()
        await caller.closing()
        blind = caller.writer.get_extra_info("socket")
        os.write(blind.fileno(), caller.frame(2, "ping"))  # it had crossed the word, on its way
        place.push(210 * MILLISECOND)
        await place.kernel.read("SCHED", 2)
        place.kernel.reap(2)
        assert await caller.word(2) == "done"
        await caller.rest()

    at(tmp_path, run)


def test_the_end_of_patience_crosses_the_rest_of_a_request_that_a_late_loop_has_not_read(
    tmp_path: Path,
) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        whole = caller.frame(1, "open")
        caller.send(whole[:20])
        connection = place.connection
        await until(lambda: connection._frames.inside)
        os.write(caller.writer.get_extra_info("socket").fileno(), whole[20:])
        place.push(1_600 * MILLISECOND)
        assert await caller.word(1) == "later"  # its own time was over by then, but it was read and answered

    at(tmp_path, run)


def test_a_half_closed_connection_gets_all_its_answers(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        for tag in (1, 2):
            caller.ask(tag, "list")
        caller.writer.write_eof()
        for tag in (2, 1):
            await place.kernel.read("SCHED", tag)
            place.kernel.reap(tag)
            assert await caller.word(tag) == "done"
        assert len(await caller.rest()) == 2

    at(tmp_path, run)


@pytest.mark.parametrize("how", ["reset", "closed"])
def test_a_connection_that_ends_between_an_answer_s_pieces_leaves_its_slot_and_descriptor_clean(
    how: str, tmp_path: Path
) -> None:
    # One answer is partly written, one waits in the ring, one is not made yet; then the slot, the tags and the
    # descriptor are another's, while `0 closing`, the cut behind it and a result still name the first.
    async def run(place: Place) -> None:
        first = await place.taken(place.dial_blind(takes=4_096))
        first.writer.transport.pause_reading()  # type: ignore[attr-defined]
        for tag in (1, 2, 3):
            first.ask(tag, "list")
            await place.kernel.read("SCHED", tag)
        old = place.connection
        transport: Any = old._transport
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        descriptor = transport.get_extra_info("socket").fileno()
        place.kernel.reap(1, body=b"x" * 60_000)
        await until(lambda: not old._writable)
        place.kernel.reap(2, body=b"y" * 60_000)
        await until(lambda: old.send_blocked)
        old.close_idle()
        old.drain()  # the cut comes 0.2 s after
        if how == "reset":
            first.reset()
        else:
            first.writer.transport.abort()
        await until(lambda: len(place.node.resp.connections) == 0)
        second = await place.call()
        second.ask(3, "list", id=9)
        await place.kernel.read("SCHED", 9)
        new: Any = place.connection._transport
        assert new.get_extra_info("socket").fileno() == descriptor  # the same number stands for another
        place.kernel.reap(3, body=b"late")
        await place.step(650)  # the cut has come, and come again
        place.kernel.reap(9, body=b"mine")
        assert await second.answer(3) == [b"done", b"mine"] and second.count(3) == 1
        await until(lambda: place.core.in_flight == 0)

    at(tmp_path, run)


# The kernel and the database.


def test_reap_crosses_preempt(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "ping")
        await place.kernel.read("SCHED", 1)
        caller.ask(2, "open")
        await place.kernel.read("PREEMPT", 1)
        place.kernel.reap(1)  # it had ended before it was told to stop
        await place.kernel.read("SCHED", 2)
        place.kernel.reap(2)
        assert [await caller.word(tag) for tag in (1, 2)] == ["done", "done"]
        assert place.kernel.count("RESCHED", 1) == 0 and place.kernel.count("SCHED", 1) == 1

    at(tmp_path, run, settings=one_core(halt="suspend"))


def test_a_call_crosses_preempt_and_is_not_taken_for_a_pause(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "list")
        await place.kernel.read("SCHED", 1)
        caller.ask(2, "open")
        await place.kernel.read("PREEMPT", 1)
        place.kernel.needs(1)
        await place.kernel.read("SCHED", 2)
        await place.database.rows(1)
        await place.kernel.read("IODONE", 1)
        place.kernel.reap(1)
        place.kernel.reap(2)
        assert [await caller.word(tag) for tag in (1, 2)] == ["done", "done"]
        assert place.kernel.count("RESCHED", 1) == 0

    at(tmp_path, run, settings=one_core(halt="suspend"))


def test_cancelled_crosses_the_deadline(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "ping")
        await place.kernel.read("SCHED", 1)
        caller.ask(2, "open")
        await place.kernel.read("PREEMPT", 1)
        await place.step(920)  # a ping is given up after 0.9 s
        assert await caller.word(1) == "error"
        place.kernel.reap(1, "cancelled", b"")
        await place.kernel.read("SCHED", 2)
        place.kernel.reap(2)
        assert await caller.word(2) == "done" and caller.count(1) == 1
        await until(lambda: place.core.in_flight == 0)

    at(tmp_path, run, settings=one_core(halt="suspend"))


def test_notices_twice_and_commands_lost_with_the_link(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        place.kernel.needs(1)
        await place.database.read(1)
        place.kernel.cut()
        await until(lambda: place.kernel.links == 2)
        await place.database.rows(1)
        await place.kernel.read("IODONE", 1)
        caller.ask(5, "ping")
        await place.kernel.read("SCHED", 5)
        place.kernel._link.write(place.kernel.notices[0])  # type: ignore[union-attr]
        place.kernel.reap(5)
        assert await caller.word(5) == "done"  # the link was read up to here
        await place.step(20)
        place.kernel.reap(1, body=b"opened")
        place.kernel._link.write(place.kernel.notices[1])  # type: ignore[union-attr]
        assert await caller.answer(1) == [b"done", b"opened"]
        caller.send(write_frame(b"ALIVE", b"2"))
        await caller.answer(2)
        assert caller.count(1) == 1 and place.database.count(1) == 1
        assert place.kernel.count("SCHED", 1) == 1 and place.kernel.count("IODONE", 1) == 1

    at(tmp_path, run)


def test_a_reply_for_a_call_that_was_given_up(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "open")
        await place.kernel.read("SCHED", 1)
        place.kernel.needs(1)
        line = await place.database.read(1)
        await place.step(1_220)  # an open is given up after 1.2 s
        assert await caller.word(1) == "error"
        place.kernel.reap(1, "cancelled", b"")
        await until(lambda: place.core.in_flight == 0)
        line.write(b"%016x ROWS 4\r\nrows\r\n" % 1)
        caller.ask(2, "ping")
        await place.kernel.read("SCHED", 2)
        assert caller.count(1) == 1 and place.kernel.count("IODONE", 1) == 0

    at(tmp_path, run)


def test_a_reply_that_came_in_time_counts_though_the_loop_is_late(tmp_path: Path) -> None:
    # Guards against a call that is given up, and made again, with its reply lying unread.
    async def run(place: Place) -> None:
        caller = await place.call()
        caller.ask(1, "list")
        await place.kernel.read("SCHED", 1)
        place.kernel.needs(1)
        line = await place.database.read(1)
        call = place.node.database._calls[f"{1:016x}"]
        os.write(line.get_extra_info("socket").fileno(), b"%016x ROWS 4\r\nrows\r\n" % 1)
        place.push(call.until - place.node.timeline.now() + 60 * MILLISECOND)
        await place.kernel.read("IODONE", 1)
        place.kernel.reap(1)
        assert await caller.word(1) == "done" and place.database.count(1) == 1

    at(tmp_path, run)


def test_a_pooled_connection_is_reset_at_the_moment_it_is_used(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        caller = await place.call()
        for tag in (1, 2):
            caller.ask(tag, "list")
            await place.kernel.read("SCHED", tag)
            place.kernel.needs(tag)
            line = await place.database.read(tag)
            if tag == 2:
                line.transport.abort()
                await place.database.read(2, times=2)  # safe to repeat: once more
            await place.database.rows(tag, times=tag)
            await place.kernel.read("IODONE", tag)
            place.kernel.reap(tag)
            assert await caller.word(tag) == "done"
        caller.ask(3, "open")
        await place.kernel.read("SCHED", 3)
        place.kernel.needs(3)
        (await place.database.read(3)).transport.abort()
        assert (
            await caller.word(3) == "error" and place.database.count(3) == 1
        )  # it may have run: never again

    at(tmp_path, run)


# An upgrade (two processes: tests/hot_restart/test_upgrade_races.py).


def test_the_successor_is_lost_before_the_hand_over_is_through(tmp_path: Path) -> None:
    # Guards against a hand-over that closes the door behind a notice to leave that has taken its place.
    async def run(place: Place) -> None:
        place.core.begin_hand_over(place.node.timeline.now() + 3_700 * MILLISECOND)
        place.node.drain_controller.successor_lost()
        await place.step(40)
        caller = await place.call()
        caller.ask(1, "list")
        await place.kernel.read("SCHED", 1)
        place.kernel.reap(1)
        assert await caller.word(1) == "done"
        await place.step(GRACE_MS)
        assert await caller.rest() and not place.node.resp.listening
        await place.ended()

    at(tmp_path, run)


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
    async def run(place: Place) -> None:
        caller, client = await place.call(), await place.call()
        caller.ask(1, "list")
        await place.kernel.read("SCHED", 1)
        client.send(BAD[bad][:3])
        match moment:
            case "draining":
                await place.terminate()
            case "reloaded":
                await place.hang_up(settings=changed())
            case "link down":
                place.kernel.up.clear()
                place.kernel.cut()
                await until(lambda: place.kernel.links == 2)
        client.send(BAD[bad][3:])
        if bad in ("malformed", "out of range", "unknown class"):
            assert await client.word(1) == "error"
        else:
            ends = asyncio.ensure_future(client.rest())
            await place.step(1_520)
            await ends  # closed on in its time
        place.kernel.up.set()
        place.kernel.reap(1)
        assert await caller.word(1) == "done" and caller.count(1) == 1
        assert place.kernel.count("SCHED", 77) == 0

    at(tmp_path, run, stop_ms=3_000)


# The list.


def test_reports_go_on_through_sighup_and_end_with_the_notice(tmp_path: Path) -> None:
    async def run(place: Place) -> None:
        await until(lambda: place.reports.seen)
        await place.hang_up(settings=changed())
        seen = len(place.reports.seen)
        await place.step(700)
        await until(lambda: len(place.reports.seen) >= seen + 2)
        place.core.serving_state.quiesce()
        place.node.serving_state_changed()
        await until(lambda: place.reports.seen[-1] == b"renew n1 no")
        place.core.serving_state.resume()
        place.node.serving_state_changed()
        await until(lambda: place.reports.seen[-1] == b"renew n1 yes")
        await place.terminate()
        await until(lambda: place.reports.seen[-1] == b"renew n1 no")
        seen = len(place.reports.seen)
        await place.ended()
        assert len(place.reports.seen) == seen

    at(tmp_path, run)


def test_a_node_that_finds_no_descriptor_for_its_reports_finds_one_later(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a node that is off the list for good, as it once could not open the socket of its reports.
    async def run(place: Place) -> None:
        await until(lambda: place.reports.seen)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
        try:
            place.node.naming._stop()
            place.node.naming.open()
            await until(lambda: "name service reports failed" in caplog.text)
            await place.step(350)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        place.reports.seen.clear()
        await place.step(350)
        await until(lambda: place.reports.seen)

    at(tmp_path, run)


def silent(place: Place) -> int:
    """The name service goes down: its port refuses. Which one."""
    port: int = place.naming.get_extra_info("sockname")[1]
    place.naming.close()
    return port


async def back(place: Place, port: int) -> Reports:
    loop = asyncio.get_running_loop()
    place.naming, reports = await loop.create_datagram_endpoint(Reports, local_addr=("127.0.0.1", port))
    return reports


@pytest.mark.parametrize("where", ["same address", "moved"])
@pytest.mark.parametrize("meanwhile", ["quiesce", "resume", "drain"])
def test_what_happens_while_the_name_service_is_down_is_what_it_hears_when_it_is_back(
    meanwhile: str, where: str, tmp_path: Path
) -> None:
    async def run(place: Place) -> None:
        duty = place.core.serving_state
        if meanwhile == "resume":
            duty.quiesce()
            place.node.serving_state_changed()
            await until(lambda: place.reports.seen[-1] == b"renew n1 no")
        port = silent(place)
        await place.step(700)  # reports that are refused
        match meanwhile:
            case "quiesce":
                duty.quiesce()
            case "resume":
                duty.resume()
        place.node.serving_state_changed()
        if meanwhile == "drain":
            await place.terminate()
        reports = await back(place, port if where == "same address" else 0)
        if where == "moved":
            await place.hang_up(naming=f"127.0.0.1:{place.naming.get_extra_info('sockname')[1]}")
        if meanwhile == "drain":
            await place.ended()
            assert reports.seen == []  # its last word was said before; nothing speaks of a node that leaves
            return
        await place.step(350)
        await until(lambda: reports.seen)
        await place.step(350)
        await until(lambda: len(reports.seen) > 1)
        assert set(reports.seen) == {b"renew n1 no" if meanwhile == "quiesce" else b"renew n1 yes"}

    at(tmp_path, run)


def test_a_crowd_that_was_told_of_a_cold_node_waits_until_it_is_up_and_does_not_bring_it_down(
    tmp_path: Path,
) -> None:
    # What came before its kernel was up starts only as far as the cold node survives it, and all is answered.
    cold = elsewhere(cold=True, ramKb=1e9)
    cold["rules"].update(coldShare=0.25, warmAfterUs=60_000_000)
    cold["classes"][1].update(
        aimUs=14_000_000, hardLimitUs=15_000_000
    )  # no machine is so slow that it counts here

    async def run(place: Place) -> None:
        kernel, up = place.kernel, place.node.timeline.now()
        kernel.up.clear()
        kernel.cut()
        await until(lambda: kernel.links == 2)
        crowd = [await place.call() for _ in range(8)]
        for number, caller in enumerate(crowd):
            sender: Any = {"from": number}
            for tag in range(1, 21):
                caller.ask(tag, "list", id=100 * number + tag, **sender)
        await place.read(160)
        kernel.up.set()
        await until(lambda: kernel.commands)
        await place.step(5_000)  # none ends, the cores have room, and the running set would grow
        warmed = (place.node.timeline.now() - up) / (60 * SECOND)
        survives = 3 * (1 + (7 - 1) * (0.25 + 0.75 * warmed))  # cores, multiple and share of the settings
        assert 3 < len(kernel.commands) <= survives
        ended: set[str] = set()
        while place.core.unanswered:
            for id in [id for word, id in kernel.commands if word == "SCHED" and id not in ended]:
                ended.add(id)
                kernel.reap(int(id, 16))
            await place.step(20)
        words = [await caller.word(tag) for caller in crowd for tag in range(1, 21)]
        assert words.count("done") >= 9 and set(words) <= {"done", "later", "error"}
        began = [id for word, id in kernel.commands if word == "SCHED"]
        assert len(began) == len(set(began))

    at(tmp_path, run, settings=cold)
