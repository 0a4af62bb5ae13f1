"""The restart channel: finding the predecessor's socket, and the behaviour if no process answers there."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import uvloop

from marlstep.core.interfaces import ResponseStatus
from marlstep.hot_restart import discovery
from marlstep.hot_restart.channel import RestartChannel
from marlstep.hot_restart.connection import PeerConnection, PeerRole
from marlstep.units import MILLISECOND
from tests.support.node import ManualClock
from tests.support.restart_pair import RETRY_WINDOW, TERMINATION_TIMEOUT, SimulatedProcess


@contextlib.contextmanager
def listening_with_full_backlog(path: Path) -> Iterator[None]:
    """Listen at a path with a full backlog: the next connection is neither established nor refused."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket(socket.AF_UNIX))
        server.bind(str(path))
        server.listen(0)
        with contextlib.suppress(BlockingIOError):
            while True:
                client = stack.enter_context(socket.socket(socket.AF_UNIX))
                client.setblocking(False)
                client.connect(str(path))
        yield


async def open_channel(folder: Path, process: SimulatedProcess) -> RestartChannel:
    channel = RestartChannel(folder, "n1", process.driver.clock.timeline, lambda _: process.hot_restart)
    assert not await channel.open()
    process.hot_restart.backend_ready(process.driver.clock.now())
    return channel


@pytest.mark.parametrize("cause", ["the backlog is full", "the dial times out"])
def test_a_process_whose_predecessor_does_not_answer_runs_no_keyed_request_in_its_window(
    cause: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a second run of a keyed request: the predecessor may be alive, but has sent none of its keys.
    async def run() -> None:
        clock = ManualClock()
        predecessor = RestartChannel(
            tmp_path, "n1", clock.timeline, lambda _: SimulatedProcess(clock, 1).hot_restart
        )
        with contextlib.ExitStack() as stack:
            if cause == "the dial times out":
                monkeypatch.setattr(discovery, "CONNECT_TIMEOUT_S", 0.0)
                await predecessor.open()
                stack.callback(predecessor.close)
            else:
                stack.enter_context(listening_with_full_backlog(tmp_path / "marlstep.n1.1.sock"))
            process = SimulatedProcess(clock, 2)
            stack.callback((await open_channel(tmp_path, process)).close)
            process.driver.submit(1, "setpoint-cmd", idempotency_key="k")
            process.driver.submit(2, "setpoint-cmd")
            assert process.driver.statuses(1) == [ResponseStatus.FAILED]
            assert process.driver.backend.commands == [("start", "r2")]
            assert process.hot_restart.sharing.limit == 0.5
            process.driver.end(2)
            clock.advance(max(TERMINATION_TIMEOUT, RETRY_WINDOW) / MILLISECOND)
            process.hot_restart.tick(clock.now())
            process.driver.submit(3, "setpoint-cmd", idempotency_key="k")
            assert process.driver.backend.commands == [("start", "r2"), ("start", "r3")]
            assert process.hot_restart.sharing.limit == 1.0

    uvloop.run(run())


def test_a_refused_connection_means_a_dead_process_and_no_unknown_outcome(tmp_path: Path) -> None:
    async def run() -> None:
        path = tmp_path / "marlstep.n1.1.sock"
        with socket.socket(socket.AF_UNIX) as dead:
            dead.bind(str(path))
        process = SimulatedProcess(ManualClock(), 2)
        channel = await open_channel(tmp_path, process)
        process.driver.submit(1, "setpoint-cmd", idempotency_key="k")
        assert process.driver.backend.commands == [("start", "r1")] and not path.exists()
        channel.close()

    uvloop.run(run())


def test_a_predecessor_that_ends_before_this_process_listens_is_noticed(tmp_path: Path) -> None:
    # Guards against a process that waits for the keys and the share of a predecessor whose connection is closed.
    async def run() -> None:
        clock = ManualClock()
        predecessor_process, process = SimulatedProcess(clock, 1), SimulatedProcess(clock, 2)
        predecessor = RestartChannel(
            tmp_path, "n1", clock.timeline, lambda _: predecessor_process.hot_restart
        )
        accepted: list[PeerConnection] = []

        def accept_successor() -> PeerConnection:
            accepted.append(PeerConnection(predecessor, PeerRole.SUCCESSOR))
            return accepted[-1]

        predecessor._accept_successor = accept_successor  # type: ignore[assignment]
        await predecessor.open()
        channel = RestartChannel(tmp_path, "n1", clock.timeline, lambda _: process.hot_restart)
        listen = channel._listen

        async def listen_after_the_end(generation: int) -> int:
            while not accepted:
                await asyncio.sleep(0)
            predecessor.close()
            accepted[0].close()
            for _ in range(20):  # until the end of the connection has been read
                await asyncio.sleep(0)
            return await listen(generation)

        channel._listen = listen_after_the_end  # type: ignore[assignment, method-assign]
        await channel.open()
        process.hot_restart.backend_ready(clock.now())
        assert not process.hot_restart.has_predecessor and process.accepts_connections
        assert process.hot_restart.sharing.limit == 0.5
        clock.advance(TERMINATION_TIMEOUT / MILLISECOND)
        process.hot_restart.tick(clock.now())
        assert process.hot_restart.sharing.limit == 1.0
        channel.close()

    uvloop.run(run())
