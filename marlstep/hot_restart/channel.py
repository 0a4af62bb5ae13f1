"""Where two processes of one node meet: a Unix socket in their common folder, `marlstep.NODE.GENERATION.sock`.

Each process has one of its own, for the one that comes after it. It gets its final name by a hard link once it
listens: the name is taken by one process only, and a file that refuses is of a process that is dead.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import re
import socket
from collections.abc import Callable, Iterator
from pathlib import Path

from marlstep.hot_restart.messages import MAX_MESSAGE_BYTES, CorruptError, Hello, Message, read, write
from marlstep.hot_restart.restart import HotRestart
from marlstep.net.stream import RingStream
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)

RING_SIZE = 2 * MAX_MESSAGE_BYTES
TICK = 20 * MILLISECOND
CONNECT_TIMEOUT_S = 0.5  # seconds for a connection to stand; one that listens and is stopped takes none
MAX_CONNECT_ATTEMPTS = 20  # other processes may take a generation's name meanwhile
MAX_UNSENT_BYTES = 4 << 20  # bytes of names that may wait for the younger to read
PATH_LIMIT = 100  # of a Unix socket's name, in bytes; the system takes 107


class PeerConnection(RingStream):
    """One connection to the other process.

    What is told must be out before the run that it speaks of begins, and a transport writes at the end of a pass of
    the loop: so messages go straight to a copy of the socket.
    """

    def __init__(self, meeting: RestartChannel, elder: bool) -> None:
        super().__init__(RING_SIZE)
        self._meeting, self.elder = meeting, elder
        self._socket: socket.socket | None = None
        self._unsent = bytearray()
        self.prompt = False  # nothing may wait here: what the other does not take now cuts the line
        self.met = False  # its hello has come

    def opened(self) -> None:
        assert self._transport is not None
        self._socket = socket.socket(fileno=os.dup(self._transport.get_extra_info("socket").fileno()))

    def closed(self) -> None:
        self._close_copy()
        self._meeting.lost(self)

    def _close_copy(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def data_received(self) -> None:
        try:
            while (message := read(self.inbox)) is not None:
                self._meeting.message(self, message)
        except CorruptError as fault:
            log.error("the other process's line is dropped: %s", fault)
            if not self.met:
                self._meeting.stranger(self)
            self.close()
        if self.at_eof:
            self.close()

    def send_message(self, message: Message) -> None:
        if self._socket is not None:
            self._unsent += write(message)
            self.push()

    def push(self) -> None:
        """Write what the other takes."""
        if self._socket is None:
            return
        try:
            while self._unsent:
                del self._unsent[: self._socket.send(self._unsent, socket.MSG_DONTWAIT)]
        except BlockingIOError:
            if self.prompt or len(self._unsent) > MAX_UNSENT_BYTES:
                log.error("the other process does not read: its line is cut")
                self.close()
        except OSError:
            self._close_copy()  # the other has ended: what it wrote before is still to be read

    def close(self) -> None:
        self._close_copy()
        self.abort()


class PeerLink:
    """The handover's side of a line."""

    def __init__(self, stream: PeerConnection) -> None:
        self._stream = stream

    def send(self, message: Message) -> None:
        self._stream.send_message(message)

    def be_prompt(self) -> None:
        self._stream.prompt = True

    def close(self) -> None:
        self._stream.close()


class RestartChannel:
    def __init__(
        self, folder: Path, node: str, timeline: TimerQueue, make: Callable[[int], HotRestart]
    ) -> None:
        """`make` is told the generation of this process."""
        self._folder, self._timeline, self._make = folder, timeline, make
        self._stem = "marlstep." + re.sub(r"[^\w-]", "_", node)
        self.handover = make(0)
        self._path: Path | None = None
        self._server: asyncio.AbstractServer | None = None
        self._predecessor: PeerConnection | None = None
        self._successor: PeerConnection | None = None
        self._tick: Timer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> bool:
        """Find the process before this one, if there is one, and be found by the one after it."""
        elder, unreachable, generation = None, False, 0
        try:
            found = self._found()
            elder, unreachable = await self._find_predecessor(found)
            generation = max(found, default=0) + 1
            generation = await self._listen(generation)
        except OSError as fault:  # no folder, nothing that may be written, no Unix sockets
            log.warning("no meeting in %s, an upgrade will not know this process: %s", self._folder, fault)
        self.handover = self._make(generation)
        if elder is not None:
            self._predecessor = elder
            self.handover.meet_predecessor(PeerLink(elder), self._timeline.now())
            elder.data_received()  # its hello may have come
        if unreachable:
            self.handover.predecessor_unreachable(self._timeline.now())
        if elder is not None or unreachable:
            self._ticking()
        return elder is not None

    # Finding each other.

    def _found(self) -> dict[int, Path]:
        name = re.compile(re.escape(self._stem) + r"\.(\d{1,9})\.sock")
        names = {name.fullmatch(path.name): path for path in self._folder.iterdir()}
        return {int(match[1]): path for match, path in names.items() if match}

    def _path_of(self, generation: int) -> Path:
        return self._folder / f"{self._stem}.{generation}.sock"

    async def _find_predecessor(self, found: dict[int, Path]) -> tuple[PeerConnection | None, bool]:
        """The newest that answers, and whether a newer one listens that does not.

        Files that refuse are of dead processes, and are removed. One that is gone by now has left in order.
        """
        unreachable = False
        for _, path in sorted(found.items(), reverse=True):
            try:
                return await self._dial(path), unreachable
            except FileNotFoundError:
                log.info("%s is gone: its process has left in order", path.name)
            except ConnectionRefusedError:
                log.info("%s is of a process that is gone", path.name)
                path.unlink(missing_ok=True)
            except (OSError, TimeoutError) as fault:
                log.warning("%s does not answer: %r", path.name, fault)
                unreachable = True
        return None, unreachable

    async def _dial(self, path: Path) -> PeerConnection:
        loop = asyncio.get_running_loop()
        with short(path) as name:
            dialled = loop.create_unix_connection(lambda: PeerConnection(self, elder=True), name)
            return (await asyncio.wait_for(dialled, CONNECT_TIMEOUT_S))[1]

    async def _listen(self, generation: int) -> int:
        draft = self._folder / f"{self._stem}.{os.getpid()}.draft"
        draft.unlink(missing_ok=True)
        one = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with short(draft) as name:
                one.bind(name)
            draft.chmod(0o600)
            one.listen(8)
            for number in range(generation, generation + MAX_CONNECT_ATTEMPTS):
                path = self._path_of(number)
                with contextlib.suppress(FileExistsError):
                    path.hardlink_to(draft)
                    self._path = path
                    break
            else:
                raise FileExistsError(f"all of {MAX_CONNECT_ATTEMPTS} names are taken")
        except OSError:
            one.close()
            raise
        finally:
            draft.unlink(missing_ok=True)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_unix_server(lambda: PeerConnection(self, elder=False), sock=one)
        return number

    def _redirect(self, generation: int) -> None:
        """The elder has a younger one already: that is the one to take over from."""

        async def go() -> None:
            try:
                self._predecessor = await self._dial(self._path_of(generation))
            except (OSError, TimeoutError) as fault:
                log.warning("generation %d does not answer: %s", generation, fault)
                self.handover.predecessor_lost(self._timeline.now())
            else:
                self.handover.meet_predecessor(PeerLink(self._predecessor), self._timeline.now())
                self._predecessor.data_received()

        if self._predecessor is not None:
            old, self._predecessor = self._predecessor, None
            old.close()
        task = asyncio.get_running_loop().create_task(go())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What comes on the lines.

    def message(self, line: PeerConnection, message: Message) -> None:
        now = self._timeline.now()
        if not line.met and not isinstance(message, Hello):
            raise CorruptError("no hello")
        if line is self._predecessor:
            first, line.met = not line.met, True
            if first and isinstance(message, Hello) and message.successor_generation:
                self._redirect(message.successor_generation)
            else:
                self.handover.handle_predecessor_message(message, now)
        elif line is self._successor:
            self.handover.handle_successor_message(message, now)
        elif not line.elder and not line.met and isinstance(message, Hello):
            line.met = True
            if self.handover.meet_successor(PeerLink(line), message):
                self._successor = line
                self._ticking()

    def stranger(self, line: PeerConnection) -> None:
        """What came first can't be understood."""
        if not line.elder:
            self.handover.unknown_process_connected(self._timeline.now())
            self._ticking()

    def lost(self, line: PeerConnection) -> None:
        now = self._timeline.now()
        if line is self._predecessor:
            self._predecessor = None
            self.handover.predecessor_lost(now)
        elif line is self._successor:
            self._successor = None
            self.handover.successor_lost(now)
        self._ticking()

    def _ticking(self) -> None:
        if self._tick is None and not self.handover.idle:
            self._tick = self._timeline.at(self._timeline.now() + TICK, self._ticked)

    def _ticked(self) -> None:
        self._tick = None
        for line in (self._predecessor, self._successor):
            if line is not None:
                line.push()
        self.handover.tick(self._timeline.now())
        self._ticking()

    def close(self) -> None:
        """The one place where the socket, its name and the lines are given back."""
        self.handover.done()
        lines, self._predecessor, self._successor = (self._predecessor, self._successor), None, None
        for line in lines:
            if line is not None:
                line.push()  # what is out is still read after the close
                line.close()
        if self._server is not None:
            self._server.close()
        if self._path is not None:
            self._path.unlink(missing_ok=True)
        self._timeline.cancel(self._tick)


@contextlib.contextmanager
def short(path: Path) -> Iterator[str]:
    """The path, or where it is too long for a Unix socket's name, one through the descriptor of its folder."""
    if len(os.fsencode(path)) <= PATH_LIMIT:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
