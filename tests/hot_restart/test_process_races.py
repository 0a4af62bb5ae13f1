"""Races of a hot restart (docs/crossings.md): two real processes on one passed socket, with scripted kernels.

To control which process accepts a connection, a test stops the other one. Tests order events by the commands that an
emulator has read, by responses, by the state at a process's health endpoint, or by the exit of a process. The settings
differ entirely from those of casa-main.
"""

from __future__ import annotations

import asyncio
import copy
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from pathlib import Path

import pytest

from marlstep.frontends.resp_wire import write_frame
from tests.races.test_shutdown_and_reload import BAD_INPUT
from tests.support.alternate_settings import ALTERNATE_SETTINGS, alternate_config
from tests.support.node_on_sockets import RespClient, ScriptedKernel, until
from tests.support.restart_processes import NodeProcess, Platform, now, run_on_platform

READY_REPORT, DRAINING_REPORT = b"renew n1 yes", b"renew n1 no"


def run_with_long_deadlines(tmp_path: Path, test: Callable[[Platform], Awaitable[None]]) -> None:
    # These tests run in real time: deadlines and idempotency windows must be longer than the time that a slow machine
    # takes to start a process. After its window a key may run again, which these tests do not cover.
    settings = copy.deepcopy(ALTERNATE_SETTINGS)
    for row in settings["classes"]:
        row.update(aimUs=4_000_000, hardLimitUs=20_000_000, repeatWindowUs=60_000_000)
    run_on_platform(tmp_path, test, alternate_config(settings=settings, stop_ms=6_000))


class ProcessWithKernel:
    """A node process and the scripted kernel that it connects to."""

    def __init__(self, process: NodeProcess, kernel: ScriptedKernel) -> None:
        self.process, self.kernel = process, kernel

    def signal(self, number: signal.Signals) -> None:
        self.process.subprocess.send_signal(number)

    async def kill(self) -> None:
        await self.process.signal_and_wait(signal.SIGKILL)

    async def stop(self) -> None:
        """Send SIGSTOP and wait until the operating system has stopped the process."""
        self.signal(signal.SIGSTOP)
        path = Path(f"/proc/{self.process.subprocess.pid}/stat")
        await until(lambda: path.read_text("utf-8").rpartition(")")[2].split()[0] == "T")

    @asynccontextmanager
    async def while_stopped(self) -> AsyncIterator[None]:
        """Stop the process within the context, so that the other one accepts all connections."""
        await self.stop()
        yield
        self.signal(signal.SIGCONT)


async def start_serving(platform: Platform) -> ProcessWithKernel:
    kernel = ScriptedKernel()
    return ProcessWithKernel(await platform.start_process(kernel), kernel)


async def launch(platform: Platform, up: bool = True) -> ProcessWithKernel:
    """Start a process without waiting for it; if `up` is false, its kernel answers only once `kernel.up` is set."""
    kernel = ScriptedKernel()
    if not up:
        kernel.up.clear()
    return ProcessWithKernel(await platform.launch_process(kernel), kernel)


async def connect(platform: Platform) -> RespClient:
    return RespClient(now, *await asyncio.open_connection("127.0.0.1", platform.port))


async def accepted_connection(platform: Platform) -> RespClient:
    """Return a connection accepted by the only process that runs now."""
    client = await connect(platform)
    client.send(write_frame(b"ALIVE", b"1"))
    await client.response(1)
    return client


def queued_connection(platform: Platform, frame: bytes) -> socket.socket:
    """Return a connection to the passed socket with a request sent, which no process has accepted yet."""
    client = socket.create_connection(("127.0.0.1", platform.port), timeout=10)
    client.sendall(frame)
    return client


@contextmanager
def full_backlog(path: Path) -> Iterator[None]:
    """Fill the backlog of a stopped process's socket: new connections are neither established nor refused."""
    with ExitStack() as stack:
        with suppress(BlockingIOError):
            while True:
                client = stack.enter_context(socket.socket(socket.AF_UNIX))
                client.setblocking(False)
                client.connect(str(path))
        yield


async def serve_request(process: ProcessWithKernel, client: RespClient, tag: int, request_id: int) -> None:
    """Run the request at the process's kernel and check that the client gets its response."""
    await process.kernel.command_read("SCHED", request_id)
    process.kernel.end_run(request_id)
    assert await client.status_word(tag) == "done"


@pytest.mark.parametrize("victim", ["predecessor", "successor"])
@pytest.mark.parametrize("step", ["the predecessor is stopped", "its kernel is not up"])
def test_either_process_is_killed_while_the_successor_starts(step: str, victim: str, tmp_path: Path) -> None:
    async def run(platform: Platform) -> None:
        predecessor = await start_serving(platform)
        first = await accepted_connection(platform)
        first.send_request(2, "book", b"mine", id=2, once="k")
        await predecessor.kernel.command_read("SCHED", 2)
        if step == "its kernel is not up":
            successor = await launch(platform, up=False)
            # By then it has connected to the predecessor, or found that it can't.
            await until(lambda: successor.kernel.link_count)
        else:
            await predecessor.stop()
            successor = await launch(platform)
            # By then it has connected to the predecessor, or found that it can't.
            await until((tmp_path / "tmp" / "marlstep.n1.2.sock").exists)
        if victim == "predecessor":
            await predecessor.stop()  # so that it accepts no connection before it is killed
        second = await connect(platform)
        if victim == "predecessor":
            await predecessor.kill()
            second.send_request(3, "list", id=3)  # waits until the successor accepts the connection
            successor.kernel.up.set()
            await serve_request(successor, second, 3, 3)
            retry = await connect(platform)
            retry.send_request(4, "book", b"mine", id=4, once="k")  # it may have run at the predecessor
            assert await retry.status_word(4) in ("later", "error")
            retry.send_request(5, "list", id=5)
            await serve_request(successor, retry, 5, 5)
        else:
            await successor.kill()
            predecessor.signal(signal.SIGCONT)
            second.send_request(3, "list", id=3)
            await serve_request(predecessor, second, 3, 3)
            predecessor.kernel.end_run(2)
            assert await first.status_word(2) == "done"
            second.send_request(4, "book", b"mine", id=4, once="k")
            assert await second.response(4) == [b"done", b"done"]
        assert predecessor.kernel.command_count("SCHED", 2) + successor.kernel.command_count("SCHED", 4) == 1

    run_with_long_deadlines(tmp_path, run)


@pytest.mark.parametrize("after", ["the predecessor goes on", "the predecessor is killed"])
def test_a_successor_that_gets_no_reply_from_its_predecessor_runs_no_keyed_request(
    after: str, tmp_path: Path
) -> None:
    # Guards against a second run: a successor that got no answer assumed that there was no predecessor, and had none of
    # its keys.
    async def run(platform: Platform) -> None:
        predecessor = await start_serving(platform)
        first = await accepted_connection(platform)
        first.send_request(2, "book", b"mine", id=2, once="k")
        await predecessor.kernel.command_read("SCHED", 2)
        await predecessor.stop()
        with full_backlog(tmp_path / "tmp" / "marlstep.n1.1.sock"):
            successor = await start_serving(platform)  # its connection attempt got no answer
        if after == "the predecessor is killed":
            await predecessor.kill()
        second = await accepted_connection(platform)
        second.send_request(3, "book", b"mine", id=4, once="k")
        second.send_request(4, "list", id=5)
        await serve_request(successor, second, 4, 5)
        assert successor.kernel.command_count("SCHED", 4) == 0
        assert await second.status_word(3) == "error"
        if after == "the predecessor goes on":
            predecessor.signal(signal.SIGCONT)
            predecessor.kernel.end_run(2)
            assert await first.status_word(2) == "done"
        assert predecessor.kernel.command_count("SCHED", 2) + successor.kernel.command_count("SCHED", 4) == 1

    run_with_long_deadlines(tmp_path, run)


@pytest.mark.parametrize("after", ["goes on", "is killed"])
def test_a_connection_that_neither_process_accepts_is_accepted_once_one_can(
    after: str, tmp_path: Path
) -> None:
    async def run(platform: Platform) -> None:
        predecessor = await start_serving(platform)
        first = await accepted_connection(platform)
        first.send_request(2, "list", id=2)
        await predecessor.kernel.command_read("SCHED", 2)
        successor = await start_serving(platform)
        await successor.stop()
        predecessor.signal(signal.SIGTERM)
        await predecessor.process.wait_for_state("handing over")  # it no longer accepts connections
        queued = queued_connection(platform, RespClient.frame(first, 3, "list", id=3))
        serving = successor
        if after == "goes on":
            successor.signal(signal.SIGCONT)
        else:
            serving = predecessor
            await successor.kill()
            # The name service receives the drain report.
            await until(lambda: platform.reports[-1][1] == DRAINING_REPORT)
        queued.setblocking(False)
        client = RespClient(now, *await asyncio.open_connection(sock=queued))
        await serve_request(serving, client, 3, 3)
        predecessor.kernel.end_run(2)
        assert await first.status_word(2) == "done"
        client.writer.close()
        first.writer.close()
        assert await predecessor.process.subprocess.wait() == 0
        assert (platform.reports[-1][1] == READY_REPORT) is (serving is successor)

    run_with_long_deadlines(tmp_path, run)


@pytest.mark.parametrize("first", ["predecessor", "successor"])
def test_both_processes_get_sigterm_and_neither_accepts_again(first: str, tmp_path: Path) -> None:
    # Guards against a predecessor that accepts connections again, for a whole grace period, when a draining successor
    # ends.
    async def run(platform: Platform) -> None:
        predecessor = await start_serving(platform)
        at_predecessor = await accepted_connection(platform)
        successor = await start_serving(platform)
        async with predecessor.while_stopped():
            at_successor = await accepted_connection(platform)
        at_predecessor.send_request(2, "list", id=2)
        at_successor.send_request(3, "list", id=3)
        await predecessor.kernel.command_read("SCHED", 2)
        await successor.kernel.command_read("SCHED", 3)
        if first == "predecessor":
            predecessor.signal(signal.SIGTERM)
            await predecessor.process.wait_for_state("handing over")
            successor.signal(signal.SIGTERM)
            await successor.process.wait_for_state("leaving")
        else:
            successor.signal(signal.SIGTERM)
            await successor.process.wait_for_state("leaving")
            assert await predecessor.process.state() == "serving"
            assert DRAINING_REPORT not in [report for _, report in platform.reports]
            predecessor.signal(signal.SIGTERM)
            await predecessor.process.wait_for_state("leaving")
        await until(lambda: platform.reports[-1][1] == DRAINING_REPORT)
        at_successor.send_request(4, "list", id=4)  # within the grace period
        await serve_request(successor, at_successor, 4, 4)
        successor.kernel.end_run(3)
        assert await at_successor.status_word(3) == "done"
        at_successor.writer.close()
        assert await successor.process.subprocess.wait() == 0
        if first == "predecessor":
            await predecessor.process.state()  # by this response it has noticed the successor's exit
            unaccepted = queued_connection(platform, RespClient.frame(at_predecessor, 5, "list", id=5))
        predecessor.kernel.end_run(2)
        assert await at_predecessor.status_word(2) == "done"
        at_predecessor.writer.close()
        assert await predecessor.process.subprocess.wait() == 0
        assert (
            predecessor.kernel.command_count("SCHED", 5) == 0 and platform.reports[-1][1] == DRAINING_REPORT
        )
        if first == "predecessor":
            unaccepted.close()

    run_with_long_deadlines(tmp_path, run)


def test_a_successor_that_gets_sigterm_before_it_accepts_anything_leaves_the_node_to_the_predecessor(
    tmp_path: Path,
) -> None:
    # Guards against a drain reported for a node that keeps serving, and against a successor that accepts connections
    # only to reject them.
    async def run(platform: Platform) -> None:
        predecessor = await start_serving(platform)
        successor = await launch(platform, up=False)
        await until(lambda: successor.kernel.link_count)
        assert await successor.process.signal_and_wait(signal.SIGTERM) == 0
        client = await accepted_connection(platform)
        client.send_request(2, "open", id=2)
        await serve_request(predecessor, client, 2, 2)
        third = await start_serving(platform)  # another successor can start
        predecessor.signal(signal.SIGTERM)
        client.writer.close()
        assert await predecessor.process.subprocess.wait() == 0
        client = await accepted_connection(platform)
        client.send_request(2, "open", id=3)
        await serve_request(third, client, 2, 3)
        assert DRAINING_REPORT not in [report for _, report in platform.reports]

    run_with_long_deadlines(tmp_path, run)


@pytest.mark.parametrize("where", ["predecessor", "successor"])
def test_bad_input_during_a_hot_restart_disturbs_no_other_connection(where: str, tmp_path: Path) -> None:
    async def run(platform: Platform) -> None:
        predecessor = await start_serving(platform)
        in_flight = await accepted_connection(platform)
        in_flight.send_request(2, "list", id=50)  # keeps the predecessor busy until the end of the run
        await predecessor.kernel.command_read("SCHED", 50)
        [path] = (tmp_path / "tmp").iterdir()
        _, invalid_peer = await asyncio.open_unix_connection(str(path))
        invalid_peer.write(b"GET / HTTP/1.1\r\n\r\n")
        client = await accepted_connection(platform)
        successor = await start_serving(platform)
        serving, stopped = (predecessor, successor) if where == "predecessor" else (successor, predecessor)
        # A node closes a connection whose first frame is not complete after 1.5 s. So nothing that waits for a process
        # stands between the opening of these connections and the rest of their frames.
        async with stopped.while_stopped():
            if where == "successor":
                client = await accepted_connection(platform)
            bad_clients = {input_name: await connect(platform) for input_name in BAD_INPUT}
            for input_name, bad_client in bad_clients.items():
                bad_client.send(BAD_INPUT[input_name][:3])
            client.send_request(2, "book", b"mine", id=2, once="k")  # in the successor its claim waits
            if where == "predecessor":
                await serving.kernel.command_read("SCHED", 2)
        predecessor.signal(signal.SIGTERM)
        for input_name, bad_client in bad_clients.items():
            bad_client.send(BAD_INPUT[input_name][3:])
        await serving.kernel.command_read("SCHED", 2)
        await predecessor.process.wait_for_state("handing over")
        predecessor.kernel.end_run(50)
        assert await in_flight.status_word(2) == "done"
        for input_name, bad_client in bad_clients.items():
            if input_name in ("malformed", "out of range", "unknown class"):
                assert await bad_client.status_word(1) == "error"
                bad_client.writer.close()
            else:
                await bad_client.read_to_end()  # the node closes the connection in time
        serving.kernel.end_run(2)
        assert await client.status_word(2) == "done" and client.response_count(2) == 1
        for connection in (client, in_flight):
            connection.writer.close()
        assert await predecessor.process.subprocess.wait() == 0
        assert (
            predecessor.kernel.command_count("SCHED", 77) + successor.kernel.command_count("SCHED", 77) == 0
        )

    run_with_long_deadlines(tmp_path, run)
