"""Stand-ins of the platform: kernel, database and front end, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from review.common.harness import Record, now_ms

KEPT_NOTICES = 4_000
WITH_BODY = ("SCHED", "IODONE")


@dataclass
class Run:
    """One run at the kernel. The calls divide its work into equal parts."""

    id: str
    number: int
    part_s: float
    calls: int
    call: int = 0  # the call that it waits for or has had last, from 1
    state: str = "running"  # running, paused, call, over
    left_s: float = 0.0  # of the part, while paused
    began: float = 0.0
    timer: asyncio.TimerHandle | None = None
    replies: list[bytes] = field(default_factory=list)
    answered: bool = False


class Link:
    """A connection of the node to the kernel, on which bytes may leave in pieces."""

    def __init__(self, writer: asyncio.StreamWriter, piece_gap_s: float, chance: random.Random) -> None:
        """Prepare the link; with a gap of 0 each message is written whole."""
        self.writer, self._gap_s, self._chance = writer, piece_gap_s, chance
        self._waiting: deque[bytes] = deque()
        self._writing: asyncio.Task[None] | None = None

    def send(self, data: bytes) -> None:
        """Write a message, behind all that were written before."""
        if not self._gap_s:
            self.writer.write(data)
            return
        self._waiting.append(data)
        if self._writing is None:
            self._writing = asyncio.get_running_loop().create_task(self._write_pieces())

    async def _write_pieces(self) -> None:
        while self._waiting:
            data = self._waiting.popleft()
            while data:
                size = self._chance.randint(8, 24)
                self.writer.write(data[:size])
                data = data[size:]
                await asyncio.sleep(self._gap_s)
        self._writing = None

    def cut(self) -> None:
        """Break the connection, also in the middle of a notice."""
        if self._writing is not None:
            self._writing.cancel()
        self.writer.transport.abort()


class Kernel:
    """The kernel: runs what it is told to, and tells of it in numbered notices.

    A body is `{"n": number, "work_ms": work, "calls": calls}`. The result is `result N`, the body of a call `call N K`.
    """

    def __init__(self, record: Record, seed: int, piece_gap_s: float = 0.0) -> None:
        """Prepare the kernel."""
        self._record, self._gap_s, self._chance = record, piece_gap_s, random.Random(seed)
        self.runs: dict[str, Run] = {}
        self.starts: list[tuple[str, int, str]] = []  # id, number, class
        self._notices: list[tuple[int, bytes]] = []
        self._number = 0
        self.link: Link | None = None
        self.on_reply: Callable[[Run, bytes], None] = lambda _run, _reply: None
        self.port = 0

    async def open(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(writer, self._gap_s, self._chance)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in WITH_BODY:
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self._handle(link, words, body)
        if self.link is link:
            self.link = None

    def cut(self) -> None:
        """Break the link."""
        link, self.link = self.link, None
        if link is not None:
            self._record.line("kernel", f"the link breaks, last notice {self._number}")
            link.cut()

    def _handle(self, link: Link, words: list[str], body: bytes) -> None:
        if words[0] == "OPEN":
            self.link = link
            link.send(b"BOOTED hot 1000\r\n")
            self._record.line("kernel", f"OPEN {words[1]}, notices up to {self._number}")
            for number, data in self._notices:
                if number > int(words[1]):
                    link.send(data)
            return
        if link is not self.link:
            return
        if words[0] == "SYSINFO":
            running = sum(run.state == "running" for run in self.runs.values())
            link.send(f"INFO {words[1]} {min(1.0, running / 6):.2f} {running} 0.1 20\r\n".encode())
            return
        self._record.line("kernel", " ".join(words) + (f" {body[:60]!r}" if body else ""))
        run = self.runs.get(words[1])
        if words[0] == "SCHED":
            self._start(words[1], words[2], body, run)
        elif run is None or not self._command(words[0], run, body):
            link.send(f"EINVAL {words[0]} {words[1]}\r\n".encode())

    def _start(self, request_id: str, request_class: str, body: bytes, run: Run | None) -> None:
        if run is not None:
            if run.state == "over":
                self._notify(f"REAP {{}} {request_id} unknown 0", b"")
            return
        plan = json.loads(body)
        part_s = plan["work_ms"] / 1000 / (plan["calls"] + 1)
        run = self.runs[request_id] = Run(request_id, plan["n"], part_s, plan["calls"])
        self.starts.append((request_id, run.number, request_class))
        run.began = asyncio.get_running_loop().time()
        self._go_on(run, part_s)

    def _command(self, word: str, run: Run, body: bytes) -> bool:
        """Carry out a command about a run; False if it is not allowed in the run's state."""
        if word == "PREEMPT":
            if run.state == "running" and run.timer is not None:
                run.left_s = max(0.0, run.timer.when() - asyncio.get_running_loop().time())
                run.timer.cancel()
                run.state = "paused"
                self._reap(run, "cancelled", b"")
            return True
        if word == "RESCHED" and run.state == "paused":
            self._go_on(run, run.left_s)
            return True
        if word == "IODONE" and run.state == "call":
            run.replies.append(body)
            self.on_reply(run, body)
            self._go_on(run, run.part_s)
            return True
        if word == "NOIO" and run.state == "call":
            self._go_on(run, run.part_s)
            return True
        return False

    def _go_on(self, run: Run, seconds: float) -> None:
        run.state = "running"
        run.timer = asyncio.get_running_loop().call_later(seconds, self._part_over, run)

    def _part_over(self, run: Run) -> None:
        if run.call < run.calls:
            if run.answered:
                run.state = "over"
                self._reap(run, "cancelled", b"")
                return
            run.call += 1
            run.state = "call"
            self._notify(f"IOREQ {{}} {run.id}", f"call {run.number} {run.call}".encode())
        else:
            run.state = "over"
            self._reap(run, "complete", f"result {run.number}".encode())

    def answered(self, request_id: str) -> None:
        """Learn that a request has its answer: a run that waits ends, and another ends at its next call."""
        run = self.runs.get(request_id)
        if run is None or run.state == "over":
            return
        run.answered = True
        if run.state == "paused":
            run.state = "over"
        elif run.state == "call":
            run.state = "over"
            self._reap(run, "cancelled", b"")

    def _reap(self, run: Run, end: str, result: bytes) -> None:
        elapsed_ms = (asyncio.get_running_loop().time() - run.began) * 1000
        self._notify(f"REAP {{}} {run.id} {end} {elapsed_ms:.1f}", result)

    def _notify(self, text: str, body: bytes) -> None:
        self._number += 1
        line = text.format(self._number)
        self._record.line("notice", f"{line} {body[:40]!r}")
        data = f"{line} {len(body)}\r\n".encode() + body + b"\r\n"
        self._notices.append((self._number, data))
        del self._notices[:-KEPT_NOTICES]
        if self.link is not None:
            self.link.send(data)


class Database:
    """The database: answers each call once, with `rows for` and the body of the call."""

    def __init__(self, record: Record, takes_s: float) -> None:
        """Prepare a database whose calls take `takes_s` seconds."""
        self._record, self._takes_s = record, takes_s
        self.calls: list[tuple[str, bytes]] = []
        self.port = 0

    async def open(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] != "Q":
                    continue
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                self.calls.append((words[1], body))
                self._record.line("database", f"call {words[1]} {body!r}")
                await asyncio.sleep(self._takes_s)
                reply = b"rows for " + body
                writer.write(f"{words[1]} ROWS {len(reply)}\r\n".encode() + reply + b"\r\n")


@dataclass
class Try:
    """One try that the front end wrote."""

    tag: int
    id: str
    number: int
    request_class: str
    written_at: float
    word: str = ""  # of its answer; empty until it has one
    body: bytes = b""


class FrontEndConnection:
    """One connection of a front end."""

    def __init__(self, record: Record, name: str, on_answer: Callable[[Try], None]) -> None:
        """Prepare a connection; `on_answer` is called with each try that has its answer."""
        self._record, self._name, self._on_answer = record, name, on_answer
        self.tries: dict[int, Try] = {}
        self._tag = 0
        self.closing = False  # the node sent `0 closing`
        self.ended = False
        self.writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def open(self, port: int) -> None:
        """Connect to the node."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self._reading = asyncio.get_running_loop().create_task(self._read(reader))

    @property
    def open_tries(self) -> list[Try]:
        """The tries without an answer."""
        return [each for each in self.tries.values() if not each.word]

    def new_try(
        self, request_class: str, number: int, plan: dict[str, float], fields: str = ""
    ) -> tuple[Try, bytes]:
        """Return a new try and its frame, which the caller writes."""
        self._tag += 1
        body = json.dumps({"n": number, **plan}).encode()
        request_id = f"{random.getrandbits(64):016x}"
        words = f"id={request_id},at={now_ms()},from=1,kb=24.5,rank=0.5000,cost={plan['work_ms']:.2f}{fields}"
        sent = Try(self._tag, request_id, number, request_class, asyncio.get_running_loop().time())
        self.tries[self._tag] = sent
        parts = [b"EXEC", str(self._tag).encode(), request_class.encode(), words.encode(), body]
        frame = b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
        self._record.line("sent", f"{self._name} {self._tag} {request_class} {words} {body.decode()}")
        return sent, frame

    def write(self, data: bytes) -> None:
        """Write bytes."""
        assert self.writer is not None
        self.writer.write(data)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while head := await reader.readline():
                words = []
                for _ in range(int(head[1:])):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                self._handle(words)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self._record.line("front end", f"{self._name} {error!r}")
        self.ended = True
        self._record.line("front end", f"{self._name} the connection ended, open: {len(self.open_tries)}")

    def _handle(self, words: list[bytes]) -> None:
        self._record.line("answer", f"{self._name} {words!r}")
        if words[0] == b"0":
            self.closing = True
            return
        answered = self.tries[int(words[0])]
        answered.word = words[1].decode() if not answered.word else "twice"
        answered.body = words[3] if len(words) > 3 else b""
        self._on_answer(answered)
