"""An emulated machine: runs that start, pause, resume and call downstream, on shared cores. Pure.

The work of a run is divided into equal parts by its downstream calls. Between two parts the run is off the cores
until its call was answered or skipped. Times are microseconds on the caller's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import NamedTuple

from marlstep.emulators.processor_sharing import ProcessorSharing
from marlstep.emulators.work_plan import WorkPlan, parse_work_plan

FULL_RESULT = b"full"  # first word of a result whose calls were all answered
DEGRADED_RESULT = b"poor"  # first word of a result for which a call was skipped


class NoticeType(StrEnum):
    """What happened to a run; the values of ends are the words of the kernel's notices."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    CALL = "call"


class Notice(NamedTuple):
    """What a machine reports about a run."""

    run_id: str
    type: NoticeType
    elapsed_us: int  # since the run started; 0 for a call
    body: bytes  # the result of a complete run, or the body of its call


class Gauges(NamedTuple):
    """The load of a machine, in the order of the kernel's gauges."""

    cpu_busy: float  # share of the cores' time that was used since the last reading
    runnable: float
    memory_used: float
    sockets: float


class _RunState(Enum):
    RUNNING = auto()
    PAUSED = auto()
    WAITING_FOR_CALL = auto()


@dataclass(slots=True)
class _Run:
    plan: WorkPlan
    started_us: int
    parts_left: int
    paused_work_us: float = 0.0  # that the current part needed when the run was paused
    state: _RunState = _RunState.RUNNING
    skipped_call: bool = False
    response_delivered: bool = False  # the run ends at its next call, as nobody waits for its result


class Machine:
    """The runs of one machine: commands in, notices out.

    Call `advance` with the current time before any command. Commands return False, or no notice, where they do not fit
    the state of their run.
    """

    def __init__(self, cores: float, speed: float = 1.0, knee: float = 3.0, slowdown: float = 0.02) -> None:
        """Start an idle machine; the parameters are those of `ProcessorSharing`."""
        self.sharing = ProcessorSharing(cores, speed, knee, slowdown)
        self.start_counts: Counter[tuple[str, int]] = Counter()  # by request class and number of the work
        self._runs: dict[str, _Run] = {}
        self._now_us = 0
        self._gauges_read_us = 0
        self._gauges_read_busy_us = 0.0

    def advance(self, now_us: int) -> list[Notice]:
        """Let time pass until `now_us`, and return what happened until then, in that order."""
        self._now_us = max(self._now_us, now_us)
        return [self._end_part(run_id) for run_id in self.sharing.advance(self._now_us)]

    def next_event_us(self) -> int | None:
        """Return when the next notice is due if no command comes before it; None if none is."""
        return self.sharing.next_completion_us()

    def start(self, run_id: str, request_class: str, body: bytes) -> bool:
        """Start a run with the plan of its request's body; a run that is there already goes on."""
        if run_id in self._runs:
            return True
        plan = parse_work_plan(body)
        if plan is None:
            return False
        self.start_counts[request_class, plan.number] += 1
        self._runs[run_id] = _Run(plan, self._now_us, plan.calls + 1)
        self._start_part(run_id)
        return True

    def pause(self, run_id: str) -> Notice | None:
        """Take a run off the cores; it keeps the work that is done."""
        run = self._runs.get(run_id)
        if run is None or run.state is not _RunState.RUNNING:
            return None
        run.paused_work_us, run.state = self.sharing.remove(run_id), _RunState.PAUSED
        return self._cancelled(run_id, run)

    def resume(self, run_id: str) -> bool:
        """Put a paused run back on the cores."""
        run = self._runs.get(run_id)
        if run is None or run.state is not _RunState.PAUSED:
            return False
        run.state = _RunState.RUNNING
        self.sharing.add(run_id, run.paused_work_us)
        return True

    def end_call(self, run_id: str, *, skipped: bool) -> bool:
        """Let a run go on that waits for a call. Where the call is `skipped`, its result will be degraded."""
        run = self._runs.get(run_id)
        if run is None or run.state is not _RunState.WAITING_FOR_CALL:
            return False
        run.skipped_call = run.skipped_call or skipped
        self._start_part(run_id)
        return True

    def response_delivered(self, run_id: str) -> Notice | None:
        """Note that the client has its response, so that nobody waits for the run.

        A run that waits for a call ends now, one on the cores ends at its next call. A paused run is dropped without a
        notice, as its pause was reported as its end.
        """
        run = self._runs.get(run_id)
        if run is None:
            return None
        run.response_delivered = True
        if run.state is _RunState.RUNNING:
            return None
        del self._runs[run_id]
        return self._cancelled(run_id, run) if run.state is _RunState.WAITING_FOR_CALL else None

    def read_gauges(self) -> Gauges:
        """Return the load; the share of busy time is that since the last reading."""
        elapsed_us = self._now_us - self._gauges_read_us
        busy_us = self.sharing.busy_us - self._gauges_read_busy_us
        self._gauges_read_us, self._gauges_read_busy_us = self._now_us, self.sharing.busy_us
        cores, running = self.sharing.cores, len(self.sharing)
        busy_share = busy_us / (elapsed_us * cores) if elapsed_us > 0 else running / cores
        return Gauges(cpu_busy=min(1.0, busy_share), runnable=float(running), memory_used=0.0, sockets=1.0)

    def _start_part(self, run_id: str) -> None:
        run = self._runs[run_id]
        run.state = _RunState.RUNNING
        self.sharing.add(run_id, run.plan.work_us / (run.plan.calls + 1))

    def _end_part(self, run_id: str) -> Notice:
        """Complete a run whose last part is done; others wait for a call, or end if nobody waits for them."""
        run = self._runs[run_id]
        run.parts_left -= 1
        if not run.parts_left:
            del self._runs[run_id]
            first_word = DEGRADED_RESULT if run.skipped_call else FULL_RESULT
            result = b"%s %d" % (first_word, run.plan.number)
            return Notice(run_id, NoticeType.COMPLETE, self._now_us - run.started_us, result)
        if run.response_delivered:
            del self._runs[run_id]
            return self._cancelled(run_id, run)
        run.state = _RunState.WAITING_FOR_CALL
        return Notice(run_id, NoticeType.CALL, 0, b"call of %d" % run.plan.number)

    def _cancelled(self, run_id: str, run: _Run) -> Notice:
        return Notice(run_id, NoticeType.CANCELLED, self._now_us - run.started_us, b"")


@dataclass(frozen=True, slots=True)
class RunCounts:
    """How many runs were started on some machines, for the report of a replay."""

    runs: int
    ran_twice: int  # pieces of work of the class that must run at most once, and were started more often

    def to_json(self) -> dict[str, int]:
        """Return the counts under their names in reports."""
        return {"runs": self.runs, "ran_twice": self.ran_twice}


def count_runs(machines: Iterable[Machine], at_most_once_class: str) -> RunCounts:
    """Count the runs of all machines together: work that ran on two machines ran twice."""
    starts: Counter[tuple[str, int]] = Counter()
    for machine in machines:
        starts.update(machine.start_counts)
    ran_twice = sum(
        count > 1 for (request_class, _), count in starts.items() if request_class == at_most_once_class
    )
    return RunCounts(starts.total(), ran_twice)
