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
from tests.races.test_shutdown_and_reload import BAD
from tests.support.crossing import Caller, HeldKernel, until
from tests.support.elsewhere import ELSEWHERE, elsewhere_config
from tests.support.restart_processes import Program, Site, now, on

YES, NO = b"renew n1 yes", b"renew n1 no"


def at(tmp_path: Path, test: Callable[[Site], Awaitable[None]]) -> None:
    # Here time passes by itself: no deadline may come before what a slow machine takes to start a process.
    patient = copy.deepcopy(ELSEWHERE)
    for row in patient["classes"]:
        row.update(aimUs=4_000_000, hardLimitUs=20_000_000)
    on(tmp_path, test, elsewhere_config(settings=patient, stop_ms=6_000))


class Held:
    """A process and its kernel."""

    def __init__(self, program: Program, kernel: HeldKernel) -> None:
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
    kernel = HeldKernel()
    return Held(await site.new(kernel), kernel)


async def begun(site: Site, up: bool = True) -> Held:
    """Started, and not up before its kernel is."""
    kernel = HeldKernel()
    if not up:
        kernel.up.clear()
    return Held(await site.begin(kernel), kernel)


async def call(site: Site) -> Caller:
    return Caller(now, *await asyncio.open_connection("127.0.0.1", site.port))


async def taken(site: Site) -> Caller:
    """A connection that the one process that runs now has accepted."""
    caller = await call(site)
    caller.send(write_frame(b"ALIVE", b"1"))
    await caller.answer(1)
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


async def served(who: Held, caller: Caller, tag: int, id: int) -> None:
    await who.kernel.read("SCHED", id)
    who.kernel.reap(id)
    assert await caller.word(tag) == "done"


@pytest.mark.parametrize("victim", ["elder", "younger"])
@pytest.mark.parametrize("step", ["the elder is stopped as it comes", "its kernel is not up"])
def test_either_process_is_killed_while_the_younger_starts(step: str, victim: str, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        elder = await serving(site)
        first = await taken(site)
        first.ask(2, "book", b"mine", id=2, once="k")
        await elder.kernel.read("SCHED", 2)
        if step == "its kernel is not up":
            younger = await begun(site, up=False)
            await until(lambda: younger.kernel.links)  # it is open, and has met the elder
        else:
            await elder.stopped()
            younger = await begun(site)
            await until((tmp_path / "tmp" / "marlstep.n1.2.sock").exists)  # it has dialled the elder
        if victim == "elder":
            await elder.stopped()  # it takes no connection before its end
        second = await call(site)
        if victim == "elder":
            await elder.killed()
            second.ask(3, "list", id=3)  # waits for whoever takes it
            younger.kernel.up.set()
            await served(younger, second, 3, 3)
            again = await call(site)
            again.ask(4, "book", b"mine", id=4, once="k")  # it may have run there
            assert await again.word(4) in ("later", "error")
            again.ask(5, "list", id=5)
            await served(younger, again, 5, 5)
        else:
            await younger.killed()
            elder.signal(signal.SIGCONT)
            second.ask(3, "list", id=3)
            await served(elder, second, 3, 3)
            elder.kernel.reap(2)
            assert await first.word(2) == "done"
            second.ask(4, "book", b"mine", id=4, once="k")
            assert await second.answer(4) == [b"done", b"done"]
        assert elder.kernel.count("SCHED", 2) + younger.kernel.count("SCHED", 4) == 1

    at(tmp_path, run)


@pytest.mark.parametrize("after", ["the predecessor goes on", "the predecessor is killed"])
def test_a_successor_that_gets_no_reply_from_its_predecessor_runs_no_keyed_request(
    after: str, tmp_path: Path
) -> None:
    # Guards against a second run: a successor took silence for there being no predecessor, and knew none of its keys.
    async def run(site: Site) -> None:
        elder = await serving(site)
        first = await taken(site)
        first.ask(2, "book", b"mine", id=2, once="k")
        await elder.kernel.read("SCHED", 2)
        await elder.stopped()
        with full_backlog(tmp_path / "tmp" / "marlstep.n1.1.sock"):
            younger = await serving(site)  # nobody answered it
        if after == "the predecessor is killed":
            await elder.killed()
        second = await taken(site)
        second.ask(3, "book", b"mine", id=4, once="k")
        second.ask(4, "list", id=5)
        await served(younger, second, 4, 5)
        assert younger.kernel.count("SCHED", 4) == 0
        assert await second.word(3) == "later"
        if after == "the predecessor goes on":
            elder.signal(signal.SIGCONT)
            elder.kernel.reap(2)
            assert await first.word(2) == "done"
        assert elder.kernel.count("SCHED", 2) + younger.kernel.count("SCHED", 4) == 1

    at(tmp_path, run)


@pytest.mark.parametrize("after", ["goes on", "is killed"])
def test_a_connection_that_neither_process_takes_is_taken_in_the_end(after: str, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        elder = await serving(site)
        first = await taken(site)
        first.ask(2, "list", id=2)
        await elder.kernel.read("SCHED", 2)
        younger = await serving(site)
        await younger.stopped()
        elder.signal(signal.SIGTERM)
        await elder.program.comes_to("handing over")  # it takes nothing any more
        one = blind(site, Caller.frame(first, 3, "list", id=3))
        who = younger
        if after == "goes on":
            younger.signal(signal.SIGCONT)
        else:
            who = elder
            await younger.killed()
            await until(lambda: site.reports[-1][1] == NO)  # the list hears of it: the node leaves
        one.setblocking(False)
        caller = Caller(now, *await asyncio.open_connection(sock=one))
        await served(who, caller, 3, 3)
        elder.kernel.reap(2)
        assert await first.word(2) == "done"
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
        one.ask(2, "list", id=2)
        two.ask(3, "list", id=3)
        await elder.kernel.read("SCHED", 2)
        await younger.kernel.read("SCHED", 3)
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
        two.ask(4, "list", id=4)  # inside the grace
        await served(younger, two, 4, 4)
        younger.kernel.reap(3)
        assert await two.word(3) == "done"
        two.writer.close()
        assert await younger.program.process.wait() == 0
        if first == "elder":
            await elder.program.state()  # it has seen the younger's end
            waits = blind(site, Caller.frame(one, 5, "list", id=5))
        elder.kernel.reap(2)
        assert await one.word(2) == "done"
        one.writer.close()
        assert await elder.program.process.wait() == 0
        assert elder.kernel.count("SCHED", 5) == 0 and site.reports[-1][1] == NO
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
        await until(lambda: younger.kernel.links)
        assert await younger.program.end(signal.SIGTERM) == 0
        caller = await taken(site)
        caller.ask(2, "open", id=2)
        await served(elder, caller, 2, 2)
        third = await serving(site)  # the next one may come
        elder.signal(signal.SIGTERM)
        caller.writer.close()
        assert await elder.program.process.wait() == 0
        caller = await taken(site)
        caller.ask(2, "open", id=3)
        await served(third, caller, 2, 3)
        assert NO not in [said for _, said in site.reports]

    at(tmp_path, run)


@pytest.mark.parametrize("where", ["elder", "younger"])
def test_bad_input_inside_a_hand_over_disturbs_nobody_else(where: str, tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        elder = await serving(site)
        stays = await taken(site)
        stays.ask(2, "list", id=50)  # the elder has this to finish
        await elder.kernel.read("SCHED", 50)
        [path] = (tmp_path / "tmp").iterdir()
        _, stranger = await asyncio.open_unix_connection(str(path))
        stranger.write(b"GET / HTTP/1.1\r\n\r\n")
        who = elder
        caller = await taken(site)
        clients = {bad: await call(site) for bad in BAD}
        younger = await serving(site)
        if where == "younger":
            async with elder.aside():
                caller, who = await taken(site), younger
                clients = {bad: await call(site) for bad in BAD}
                for bad, client in clients.items():
                    client.send(BAD[bad][:3])
                caller.ask(2, "book", b"mine", id=2, once="k")  # its claim waits for the elder
        else:
            for bad, client in clients.items():
                client.send(BAD[bad][:3])
            caller.ask(2, "book", b"mine", id=2, once="k")
        await who.kernel.read("SCHED", 2)
        elder.signal(signal.SIGTERM)
        await elder.program.comes_to("handing over")
        elder.kernel.reap(50)
        assert await stays.word(2) == "done"
        for bad, client in clients.items():
            client.send(BAD[bad][3:])
        for bad, client in clients.items():
            if bad in ("malformed", "out of range", "unknown class"):
                assert await client.word(1) == "error"
                client.writer.close()
            else:
                await client.rest()  # closed on in its time
        who.kernel.reap(2)
        assert await caller.word(2) == "done" and caller.count(2) == 1
        for one in (caller, stays):
            one.writer.close()
        assert await elder.program.process.wait() == 0
        assert elder.kernel.count("SCHED", 77) + younger.kernel.count("SCHED", 77) == 0

    at(tmp_path, run)
