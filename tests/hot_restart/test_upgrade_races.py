"""What crosses an upgrade (docs/crossings.md): two real processes on one passed socket, with kernels that hold back.

Which of them takes a connection is made sure by stopping the other. Order comes from what a stand-in has read, an
answer, what a process says of itself at its door, or its end. The settings share nothing with casa-main.
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
from tests.support.upgrading import Program, Site, now, on

YES, NO = b"renew n1 yes", b"renew n1 no"


def at(tmp_path: Path, test: Callable[[Site], Awaitable[None]]) -> None:
    # Here time passes by itself: no deadline may come before what a slow machine takes to start a process.
    patient = copy.deepcopy(ALTERNATE_SETTINGS)
    for row in patient["classes"]:
        row.update(aimUs=4_000_000, hardLimitUs=20_000_000)
    on(tmp_path, test, alternate_config(settings=patient, stop_ms=6_000))


class Held:
    """A process and its kernel."""

    def __init__(self, program: Program, kernel: ScriptedKernel) -> None:
        self.program, self.kernel = program, kernel

    def signal(self, number: signal.Signals) -> None:
        self.program.process.send_signal(number)

    async def killed(self) -> None:
        await self.program.end(signal.SIGKILL)

    async def stopped(self) -> None:
        """Barrier: the system has stopped it."""
        self.signal(signal.SIGSTOP)
        path = Path(f"/proc/{self.program.process.pid}/stat")
        await until(lambda: path.read_text().rpartition(")")[2].split()[0] == "T")

    @asynccontextmanager
    async def aside(self) -> AsyncIterator[None]:
        """Stopped meanwhile: the other takes what comes."""
        await self.stopped()
        yield
        self.signal(signal.SIGCONT)


async def serving(site: Site) -> Held:
    kernel = ScriptedKernel()
    return Held(await site.new(kernel), kernel)


async def begun(site: Site, up: bool = True) -> Held:
    """Started, and not up before its kernel is."""
    kernel = ScriptedKernel()
    if not up:
        kernel.up.clear()
    return Held(await site.begin(kernel), kernel)


async def call(site: Site) -> RespClient:
    return RespClient(now, *await asyncio.open_connection("127.0.0.1", site.port))


async def taken(site: Site) -> RespClient:
    """A connection that the one process that runs now has accepted."""
    caller = await call(site)
    caller.send(write_frame(b"ALIVE", b"1"))
    await caller.response(1)
    return caller


def blind(site: Site, frame: bytes) -> socket.socket:
    """A connection that stands at the passed socket with a request in it, taken by nobody yet."""
    one = socket.create_connection(("127.0.0.1", site.port), timeout=10)
    one.sendall(frame)
    return one


@contextmanager
def full_backlog(path: Path) -> Iterator[None]:
    """Fill the queue of a socket whose process accepts nothing now: a connection neither stands nor is refused."""
    with ExitStack() as stack:
        with suppress(BlockingIOError):
            while True:
                client = stack.enter_context(socket.socket(socket.AF_UNIX))
                client.setblocking(False)
                client.connect(str(path))
        yield


async def served(who: Held, caller: RespClient, tag: int, id: int) -> None:
    await who.kernel.command_read("SCHED", id)
    who.kernel.end_run(id)
    assert await caller.status_word(tag) == "done"


@pytest.mark.parametrize("victim", ["elder", "younger"])
@pytest.mark.parametrize("step", ["the elder is stopped as it comes", "its kernel is not up"])
def test_either_process_is_killed_while_the_younger_starts(step: str, victim: str, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        elder = await serving(site)
        first = await taken(site)
        first.send_request(2, "book", b"mine", id=2, once="k")
        await elder.kernel.command_read("SCHED", 2)
        if step == "its kernel is not up":
            younger = await begun(site, up=False)
            await until(lambda: younger.kernel.link_count)  # it is open, and has met the elder
        else:
            await elder.stopped()
            younger = await begun(site)
            await until((tmp_path / "tmp" / "marlstep.n1.2.sock").exists)  # it has dialled the elder
        if victim == "elder":
            await elder.stopped()  # it takes no connection before its end
        second = await call(site)
        if victim == "elder":
            await elder.killed()
            second.send_request(3, "list", id=3)  # waits for whoever takes it
            younger.kernel.up.set()
            await served(younger, second, 3, 3)
            again = await call(site)
            again.send_request(4, "book", b"mine", id=4, once="k")  # it may have run there
            assert await again.status_word(4) in ("later", "error")
            again.send_request(5, "list", id=5)
            await served(younger, again, 5, 5)
        else:
            await younger.killed()
            elder.signal(signal.SIGCONT)
            second.send_request(3, "list", id=3)
            await served(elder, second, 3, 3)
            elder.kernel.end_run(2)
            assert await first.status_word(2) == "done"
            second.send_request(4, "book", b"mine", id=4, once="k")
            assert await second.response(4) == [b"done", b"done"]
        assert elder.kernel.command_count("SCHED", 2) + younger.kernel.command_count("SCHED", 4) == 1

    at(tmp_path, run)


@pytest.mark.parametrize("after", ["the predecessor goes on", "the predecessor is killed"])
def test_a_successor_that_gets_no_reply_from_its_predecessor_runs_no_keyed_request(
    after: str, tmp_path: Path
) -> None:
    # Guards against a second run: a successor took silence for there being no predecessor, and knew none of its keys.
    async def run(site: Site) -> None:
        elder = await serving(site)
        first = await taken(site)
        first.send_request(2, "book", b"mine", id=2, once="k")
        await elder.kernel.command_read("SCHED", 2)
        await elder.stopped()
        with full_backlog(tmp_path / "tmp" / "marlstep.n1.1.sock"):
            younger = await serving(site)  # nobody answered it
        if after == "the predecessor is killed":
            await elder.killed()
        second = await taken(site)
        second.send_request(3, "book", b"mine", id=4, once="k")
        second.send_request(4, "list", id=5)
        await served(younger, second, 4, 5)
        assert younger.kernel.command_count("SCHED", 4) == 0
        assert await second.status_word(3) == "later"
        if after == "the predecessor goes on":
            elder.signal(signal.SIGCONT)
            elder.kernel.end_run(2)
            assert await first.status_word(2) == "done"
        assert elder.kernel.command_count("SCHED", 2) + younger.kernel.command_count("SCHED", 4) == 1

    at(tmp_path, run)


@pytest.mark.parametrize("after", ["goes on", "is killed"])
def test_a_connection_that_neither_process_takes_is_taken_in_the_end(after: str, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        elder = await serving(site)
        first = await taken(site)
        first.send_request(2, "list", id=2)
        await elder.kernel.command_read("SCHED", 2)
        younger = await serving(site)
        await younger.stopped()
        elder.signal(signal.SIGTERM)
        await elder.program.comes_to("handing over")  # it takes nothing any more
        one = blind(site, RespClient.frame(first, 3, "list", id=3))
        who = younger
        if after == "goes on":
            younger.signal(signal.SIGCONT)
        else:
            who = elder
            await younger.killed()
            await until(lambda: site.reports[-1][1] == NO)  # the list hears of it: the node leaves
        one.setblocking(False)
        caller = RespClient(now, *await asyncio.open_connection(sock=one))
        await served(who, caller, 3, 3)
        elder.kernel.end_run(2)
        assert await first.status_word(2) == "done"
        caller.writer.close()
        first.writer.close()
        assert await elder.program.process.wait() == 0
        assert (site.reports[-1][1] == YES) is (who is younger)

    at(tmp_path, run)


@pytest.mark.parametrize("first", ["elder", "younger"])
def test_both_processes_are_told_to_leave(first: str, tmp_path: Path) -> None:
    # Guards against an elder that takes connections again, for a whole grace, when its successor ends as it was told.
    async def run(site: Site) -> None:
        elder = await serving(site)
        one = await taken(site)
        younger = await serving(site)
        async with elder.aside():
            two = await taken(site)
        one.send_request(2, "list", id=2)
        two.send_request(3, "list", id=3)
        await elder.kernel.command_read("SCHED", 2)
        await younger.kernel.command_read("SCHED", 3)
        if first == "elder":
            elder.signal(signal.SIGTERM)
            await elder.program.comes_to("handing over")
            younger.signal(signal.SIGTERM)
            await younger.program.comes_to("leaving")
        else:
            younger.signal(signal.SIGTERM)
            await younger.program.comes_to("leaving")
            assert await elder.program.state() == "serving" and NO not in [said for _, said in site.reports]
            elder.signal(signal.SIGTERM)
            await elder.program.comes_to("leaving")
        await until(lambda: site.reports[-1][1] == NO)
        two.send_request(4, "list", id=4)  # inside the grace
        await served(younger, two, 4, 4)
        younger.kernel.end_run(3)
        assert await two.status_word(3) == "done"
        two.writer.close()
        assert await younger.program.process.wait() == 0
        if first == "elder":
            await elder.program.state()  # it has seen the younger's end
            waits = blind(site, RespClient.frame(one, 5, "list", id=5))
        elder.kernel.end_run(2)
        assert await one.status_word(2) == "done"
        one.writer.close()
        assert await elder.program.process.wait() == 0
        assert elder.kernel.command_count("SCHED", 5) == 0 and site.reports[-1][1] == NO
        if first == "elder":
            waits.close()

    at(tmp_path, run)


def test_a_younger_process_that_is_told_to_leave_before_it_takes_anything_leaves_the_node_to_the_elder(
    tmp_path: Path,
) -> None:
    # Guards against a node that is reported as leaving, and a process that takes connections only to turn them away.
    async def run(site: Site) -> None:
        elder = await serving(site)
        younger = await begun(site, up=False)
        await until(lambda: younger.kernel.link_count)
        assert await younger.program.end(signal.SIGTERM) == 0
        caller = await taken(site)
        caller.send_request(2, "open", id=2)
        await served(elder, caller, 2, 2)
        third = await serving(site)  # the next one may come
        elder.signal(signal.SIGTERM)
        caller.writer.close()
        assert await elder.program.process.wait() == 0
        caller = await taken(site)
        caller.send_request(2, "open", id=3)
        await served(third, caller, 2, 3)
        assert NO not in [said for _, said in site.reports]

    at(tmp_path, run)


@pytest.mark.parametrize("where", ["elder", "younger"])
def test_bad_input_inside_a_hand_over_disturbs_nobody_else(where: str, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        elder = await serving(site)
        stays = await taken(site)
        stays.send_request(2, "list", id=50)  # the elder has this to finish
        await elder.kernel.command_read("SCHED", 50)
        [path] = (tmp_path / "tmp").iterdir()
        _, stranger = await asyncio.open_unix_connection(str(path))
        stranger.write(b"GET / HTTP/1.1\r\n\r\n")
        who = elder
        caller = await taken(site)
        clients = {bad: await call(site) for bad in BAD_INPUT}
        younger = await serving(site)
        if where == "younger":
            async with elder.aside():
                caller, who = await taken(site), younger
                clients = {bad: await call(site) for bad in BAD_INPUT}
                for bad, client in clients.items():
                    client.send(BAD_INPUT[bad][:3])
                caller.send_request(2, "book", b"mine", id=2, once="k")  # its claim waits for the elder
        else:
            for bad, client in clients.items():
                client.send(BAD_INPUT[bad][:3])
            caller.send_request(2, "book", b"mine", id=2, once="k")
        await who.kernel.command_read("SCHED", 2)
        elder.signal(signal.SIGTERM)
        await elder.program.comes_to("handing over")
        elder.kernel.end_run(50)
        assert await stays.status_word(2) == "done"
        for bad, client in clients.items():
            client.send(BAD_INPUT[bad][3:])
        for bad, client in clients.items():
            if bad in ("malformed", "out of range", "unknown class"):
                assert await client.status_word(1) == "error"
                client.writer.close()
            else:
                await client.read_to_end()  # closed on in its time
        who.kernel.end_run(2)
        assert await caller.status_word(2) == "done" and caller.response_count(2) == 1
        for one in (caller, stays):
            one.writer.close()
        assert await elder.program.process.wait() == 0
        assert elder.kernel.command_count("SCHED", 77) + younger.kernel.command_count("SCHED", 77) == 0

    at(tmp_path, run)
