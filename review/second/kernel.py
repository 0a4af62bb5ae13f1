"""A stand-in of the kernel: it owns the cores, runs what front ends have sent, and measures the crowd.

One `Cores` may serve several addresses (`KernelPort`), as in an upgrade: each address numbers its own notices and tells
only of the runs begun through it.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from review.second.record import Record

TICK_S = 0.002
KEPT_NOTICES = 4_000
CROWD_SAMPLE_S = 0.02


@dataclass
class Work:
    """A request that a front end has sent to the node, and what its run does.

    Attributes:
        parts: work of each part in seconds on one core; between two parts the run waits for a call.
    """

    id: str
    request_class: str
    body: bytes
    parts: list[float]
    starts: int = 0
    ended: bool = False  # its run is over
    answered: bool = False
    calls: int = 0  # calls that its run has waited for
    result_bytes: int = 0  # its result is filled up to this size
    call_reply: bytes | None = None  # of the database, for the call that the run waits for


@dataclass
class Run:
    """A run that was started and has not ended."""

    work: Work
    port: KernelPort
    started_s: float
    part: int = 0
    left_s: float = 0.0
    state: str = "on the cores"  # or "paused", "at a call"


@dataclass
class Cores:
    """The cores, shared evenly by the runs on them.

    Attributes:
        count: number of cores.
        cold_share: share of their speed at the boot; 1 for a hot kernel.
        warm_after_s: time from the boot to the full speed, by even steps.
        booted_s: time of the boot; None while the kernel is not up.
        fall_multiple: requests on the cores, per core, that a warm machine survives in the mean of `fall_s`.
    """

    record: Record
    count: int = 6
    cold_share: float = 1.0
    warm_after_s: float = 0.0
    fall_multiple: float = 5.0
    fall_s: float = 3.0
    halt: str = "suspend"
    booted_s: float | None = None
    works: dict[str, Work] = field(default_factory=dict)
    runs: dict[str, Run] = field(default_factory=dict)
    falls: list[str] = field(default_factory=list)
    most_crowd: float = 0.0  # share of what the machine survives, at the most
    faults: list[str] = field(default_factory=list)  # rules on runs that the node broke
    _samples: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # (time, requests on the cores x seconds)
    _area: float = 0.0
    _last_s: float = 0.0
    _sampled_s: float = 0.0
    _busy_s: float = 0.0
    _gauged_s: float = 0.0

    def share(self, now_s: float) -> float:
        """Return the share of its speed that the machine has now."""
        if self.booted_s is None or self.warm_after_s <= 0:
            return 1.0
        warmed = (now_s - self.booted_s) / self.warm_after_s
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * warmed)

    def survives(self, now_s: float) -> float:
        """Return how many requests on the cores the machine survives now, in the mean."""
        return self.count * (1.0 + (self.fall_multiple - 1.0) * self.share(now_s))

    def on_cores(self) -> list[Run]:
        """Return the runs on the cores."""
        return [run for run in self.runs.values() if run.state == "on the cores"]

    async def serve(self) -> None:
        """Let the runs advance until cancelled."""
        self._last_s = time.time()
        while True:
            await asyncio.sleep(TICK_S)
            self.advance()

    def advance(self) -> None:
        """Advance to the present, and measure the crowd."""
        now_s = time.time()
        elapsed_s, self._last_s = now_s - self._last_s, now_s
        if self.booted_s is None:
            return
        running = self.on_cores()
        self._area += len(running) * elapsed_s
        self._busy_s += min(len(running), self.count) * elapsed_s
        speed = min(1.0, self.count / max(1, len(running))) * self.share(now_s)
        for run in running:
            run.left_s -= elapsed_s * speed
            if run.left_s <= 0:
                self._end_part(run, now_s)
        if now_s - self._sampled_s >= CROWD_SAMPLE_S:
            self._sampled_s = now_s
            self._measure_crowd(now_s)

    def _measure_crowd(self, now_s: float) -> None:
        self._samples.append((now_s, self._area))
        while len(self._samples) > 1 and self._samples[1][0] <= now_s - self.fall_s:
            self._samples.popleft()
        since_s, area = self._samples[0]
        if now_s - since_s < self.fall_s:
            return
        mean, survives = (self._area - area) / (now_s - since_s), self.survives(now_s)
        self.most_crowd = max(self.most_crowd, mean / survives)
        if mean > survives:
            text = f"mean of {self.fall_s:g} s on the cores {mean:.2f}, survives {survives:.2f}"
            if not self.falls:
                self.record.write(f"FALL {text}")
            self.falls.append(text)

    def _end_part(self, run: Run, now_s: float) -> None:
        run.part += 1
        work = run.work
        if run.part == len(work.parts):
            self._end(run, now_s, "complete", result_of(work))
        elif work.answered:
            self._end(run, now_s, "cancelled", b"")
        else:
            run.state = "at a call"
            work.call_reply = None
            work.calls += 1
            run.port.notice(f"IOREQ %d {work.id}", b"call %d of %b" % (work.calls, work.id.encode()))

    def _end(self, run: Run, now_s: float, end: str, result: bytes) -> None:
        del self.runs[run.work.id]
        run.work.ended = True
        self.record.write(f"run {run.work.id} {end}")
        run.port.notice(f"REAP %d {run.work.id} {end} {(now_s - run.started_s) * 1000:.3f}", result)

    def answered(self, work_id: str) -> None:
        """Note that the front end has the answer: a run at a call ends, a paused one is dropped."""
        work = self.works[work_id]
        work.answered = True
        run = self.runs.get(work_id)
        if run is not None and run.state == "paused":
            del self.runs[work_id]
        elif run is not None and run.state == "at a call":
            self._end(run, time.time(), "cancelled", b"")

    # Commands.

    def command(self, port: KernelPort, words: list[str], body: bytes) -> None:
        """Carry out a command that is neither OPEN nor SYSINFO."""
        self.advance()
        verb, work_id = words[0], words[1]
        work, run, now_s = self.works.get(work_id), self.runs.get(work_id), time.time()
        if verb == "SCHED" and work is not None and (words[2], body) == (work.request_class, work.body):
            if run is None:
                self._start(port, work, now_s)
        elif verb == "PREEMPT" and run is not None and self.halt == "suspend":
            if run.state == "on the cores":
                run.state = "paused"
                self.record.write(f"run {work_id} paused")
                port.notice(f"REAP %d {work_id} cancelled {(now_s - run.started_s) * 1000:.3f}", b"")
        elif verb == "RESCHED" and run is not None:
            if run.state == "paused":
                run.state = "on the cores"
                self.record.write(f"run {work_id} resumed")
        elif verb in ("IODONE", "NOIO") and run is not None and run.state == "at a call":
            if verb == "IODONE" and body != run.work.call_reply:
                text = f"{work_id} waits for the reply to call {run.work.calls} and gets {body!r}"
                self.record.write(f"WRONG REPLY {text}")
                self.faults.append(text)
            run.state, run.left_s = "on the cores", run.work.parts[run.part]
        else:
            port.send(f"EINVAL {verb} {work_id}\r\n".encode())

    def _start(self, port: KernelPort, work: Work, now_s: float) -> None:
        if work.ended or work.answered:
            port.notice(f"REAP %d {work.id} unknown 0.000", b"")
            return
        work.starts += 1
        self.record.write(f"run {work.id} {work.request_class} begun at {port.name}, start {work.starts}")
        self.runs[work.id] = Run(work, port, now_s, left_s=work.parts[0])

    def gauges(self) -> str:
        """Return the gauges `cpu_busy runnable mem_used sockets`."""
        now_s = time.time()
        elapsed_s, self._gauged_s = now_s - self._gauged_s, now_s
        busy, self._busy_s = min(1.0, self._busy_s / (elapsed_s * self.count or 1.0)), 0.0
        return f"{busy:.4f} {len(self.on_cores())} 0.1 4"


def result_of(work: Work) -> bytes:
    """Return the result that a run of this work makes."""
    return (b"result of " + work.id.encode()).ljust(work.result_bytes, b".")


class KernelPort:
    """One address of the kernel, for one process of a node."""

    def __init__(self, cores: Cores, name: str) -> None:
        """Create an address that is not open yet."""
        self.cores, self.name = cores, name
        self.address = ""
        self.is_up = asyncio.Event()
        self._number = 0
        self._notices: deque[tuple[int, bytes]] = deque(maxlen=KEPT_NOTICES)
        self._link: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port. Links are accepted; `BOOTED` waits for `boot`."""
        self._server = await asyncio.start_server(self._serve_link, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def boot(self) -> None:
        """Bring the kernel up; a kernel that other addresses serve already is up."""
        if self.cores.booted_s is None:
            self.cores.booted_s = time.time()
            self.cores.record.write("kernel up")
        self.is_up.set()

    def break_link(self) -> None:
        """Reset the link, if there is one."""
        if self._link is not None:
            link, self._link = self._link, None
            link.transport.abort()

    def send(self, data: bytes) -> None:
        """Send data on the link, if there is one."""
        if self._link is not None:
            self._link.write(data)

    def notice(self, line: str, body: bytes) -> None:
        """Number a notice, keep it and send it."""
        self._number += 1
        data = f"{line % self._number} {len(body)}\r\n".encode() + body + b"\r\n"
        self._notices.append((self._number, data))
        self.send(data)

    async def _serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("SCHED", "IODONE"):
                    length = int(words[-1])
                    body = (await reader.readexactly(length + 2))[:length]
                await self._handle(writer, words, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if self._link is writer:
                self._link = None
            writer.close()

    async def _handle(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        if words[0] == "OPEN":
            await self.is_up.wait()
            if self._link is not None:
                self._link.close()
            self._link = writer
            age_s = time.time() - (self.cores.booted_s or 0.0)
            state = "chilly" if self.cores.warm_after_s > 0 else "hot"
            writer.write(f"BOOTED {state} {age_s * 1000:.0f}\r\n".encode())
            for number, data in self._notices:
                if number > int(words[1]):
                    writer.write(data)
        elif words[0] == "SYSINFO":
            writer.write(f"INFO {words[1]} {self.cores.gauges()}\r\n".encode())
        else:
            self.cores.command(self, words, body)
