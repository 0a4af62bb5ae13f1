"""The cores of a machine and the runs on them; pure. Times are microseconds on the caller's clock.

Cores are shared evenly (processor sharing): of n runs on c cores each advances at min(1, c / n) of the speed. Past
the knee each further run makes all that run slower, as BRIEF's machines do. A run's work is cut into equal parts by
its calls; between two parts it is off the cores until the call is answered, or left out.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple


class Plan(NamedTuple):
    """What the body of a request asks for."""

    number: int  # of the piece of work: the same in every try of it
    work_us: int  # on one core of speed 1
    calls: int = 0

    def body(self) -> bytes:
        return b"n=%d work=%d calls=%d" % self


def read_plan(body: bytes) -> Plan | None:
    """None where the body is none that `Plan.body` makes."""
    try:
        parts = dict(part.split("=", 1) for part in body.decode("ascii").split(" "))
        return Plan(int(parts["n"]), int(parts["work"]), int(parts["calls"]))
    except (ValueError, KeyError, UnicodeDecodeError):
        return None


class Sharing:
    """Runs that share the cores. `advance` must be told the time before anything else is."""

    def __init__(self, cores: float, speed: float = 1.0, knee: float = 3.0, slowdown: float = 0.02) -> None:
        """`knee` in runs a core; past it each run more a core costs `slowdown` of the speed."""
        self.cores, self.speed = cores, speed
        self._knee, self._slowdown = knee * cores, slowdown / cores
        self._done = 0.0  # work that each run since the start would have got
        self._now = 0
        self._ends: list[tuple[float, int, str]] = []
        self._tags: dict[str, tuple[float, int]] = {}
        self._number = 0
        self.busy_us = 0.0  # core time that was used

    def __len__(self) -> int:
        return len(self._tags)

    def _rate(self) -> float:
        running = len(self._tags)
        rate = self.speed * min(1.0, self.cores / running)
        return rate / (1 + self._slowdown * max(0.0, running - self._knee))

    def _pass(self, us: float) -> None:
        self._done += us * self._rate()
        self.busy_us += us * min(self.cores, len(self._tags))

    def add(self, id: str, work_us: float) -> None:
        self._number += 1
        tag = self._done + max(0.0, work_us)
        self._tags[id] = (tag, self._number)
        heapq.heappush(self._ends, (tag, self._number, id))

    def remove(self, id: str) -> float:
        """Take a run off the cores; the work that is left, in microseconds at speed 1."""
        tag, _ = self._tags.pop(id)
        return max(0.0, tag - self._done)

    def _first(self) -> tuple[float, int, str] | None:
        while self._ends:
            tag, number, id = self._ends[0]
            if self._tags.get(id) == (tag, number):
                return self._ends[0]
            heapq.heappop(self._ends)
        return None

    def next_us(self) -> int | None:
        """When the next run ends if nothing changes."""
        first = self._first()
        if first is None:
            return None
        return self._now + max(1, -int(-(first[0] - self._done) / self._rate() // 1))

    def advance(self, now_us: int) -> list[str]:
        """Let the time pass; the runs that have ended by then, in order."""
        ended = []
        at = float(self._now)
        while (first := self._first()) is not None:
            needed = (first[0] - self._done) / self._rate()
            if at + needed > now_us:
                break
            self._pass(max(0.0, needed))
            at += max(0.0, needed)
            heapq.heappop(self._ends)
            del self._tags[first[2]]
            ended.append(first[2])
        if self._tags:
            self._pass(max(0.0, now_us - at))
        self._now = max(self._now, now_us)
        return ended


@dataclass(slots=True)
class _Run:
    plan: Plan
    kind: str
    began_us: int
    parts_left: int
    left_us: float = 0.0  # of the part that is paused
    state: str = "running"  # or paused, calling
    poor: bool = False  # a call was left out
    over: bool = False  # its request was answered: it ends at its next call


class Notice(NamedTuple):
    id: str
    what: str  # "complete", "cancelled" or "call"
    elapsed_us: int
    body: bytes


class Machine:
    """The kernel's side of PROTOCOL without its wire: commands in, notices out."""

    def __init__(self, cores: float, speed: float = 1.0, knee: float = 3.0, slowdown: float = 0.02) -> None:
        self.sharing = Sharing(cores, speed, knee, slowdown)
        self.runs: dict[str, _Run] = {}
        self.started: dict[tuple[str, int], int] = {}  # class and number of the work, to its runs
        self._now = 0
        self._asked = (0, 0.0)

    def advance(self, now_us: int) -> list[Notice]:
        notices = []
        self._now = max(self._now, now_us)
        for id in self.sharing.advance(self._now):
            run = self.runs[id]
            run.parts_left -= 1
            if run.parts_left and run.over:
                del self.runs[id]
                notices.append(Notice(id, "cancelled", self._now - run.began_us, b""))
            elif run.parts_left:
                run.state = "calling"
                notices.append(Notice(id, "call", 0, b"call of %d" % run.plan.number))
            else:
                del self.runs[id]
                result = b"%s %d" % (b"poor" if run.poor else b"full", run.plan.number)
                notices.append(Notice(id, "complete", self._now - run.began_us, result))
        return notices

    def next_us(self) -> int | None:
        return self.sharing.next_us()

    # Commands; the time has been advanced. False where the command does not fit.

    def start(self, id: str, kind: str, body: bytes) -> bool:
        if id in self.runs:
            return True
        plan = read_plan(body)
        if plan is None:
            return False
        work = (kind, plan.number)
        self.started[work] = self.started.get(work, 0) + 1
        self.runs[id] = _Run(plan, kind, self._now, plan.calls + 1)
        self._on_cores(id)
        return True

    def _on_cores(self, id: str) -> None:
        run = self.runs[id]
        run.state = "running"
        self.sharing.add(id, run.plan.work_us / (run.plan.calls + 1))

    def pause(self, id: str) -> Notice | None:
        run = self.runs.get(id)
        if run is None or run.state != "running":
            return None
        run.left_us, run.state = self.sharing.remove(id), "paused"
        return Notice(id, "cancelled", self._now - run.began_us, b"")

    def resume(self, id: str) -> bool:
        run = self.runs.get(id)
        if run is None or run.state != "paused":
            return False
        run.state = "running"
        self.sharing.add(id, run.left_us)
        return True

    def answer_call(self, id: str, left_out: bool) -> bool:
        run = self.runs.get(id)
        if run is None or run.state != "calling":
            return False
        run.poor = run.poor or left_out
        self._on_cores(id)
        return True

    def over(self, id: str) -> Notice | None:
        """The request was answered. A run that stands at a call ends there, one that runs at its next call."""
        run = self.runs.get(id)
        if run is None:
            return None
        run.over = True
        if run.state == "running":
            return None
        del self.runs[id]
        return Notice(id, "cancelled", self._now - run.began_us, b"") if run.state == "calling" else None

    def gauges(self) -> tuple[float, float, float, float]:
        """cpu_busy since the last look, runnable, mem_used, sockets."""
        since, busy = self._asked
        passed = self._now - since
        used = self.sharing.busy_us
        self._asked = (self._now, used)
        cores = self.sharing.cores
        share = (used - busy) / (passed * cores) if passed > 0 else min(1.0, len(self.sharing) / cores)
        return min(1.0, share), float(len(self.sharing)), 0.0, 1.0


def ran(machines: Iterable[Machine], kind: str) -> dict[str, int]:
    """Runs on all machines, and how many pieces of work of a class were started more than once."""
    started: Counter[tuple[str, int]] = Counter()
    for machine in machines:
        started.update(machine.started)
    twice = sum(count > 1 for (name, _), count in started.items() if name == kind)
    return {"runs": started.total(), "ran_twice": twice}
