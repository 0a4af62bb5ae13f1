"""An emulated machine: runs that start, pause, resume and make downstream calls on shared cores. No I/O.

The downstream calls of a run divide its work into equal parts. Between two parts the run is off the cores until its
call has been answered or skipped. Times are in microseconds on the caller's clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import NamedTuple

from marlstep.emulators.processor_sharing import ProcessorSharing
from marlstep.emulators.work_plan import WorkPlan, parse_work_plan

FULL_RESULT = b"full"  # first word of the result if all calls were answered
DEGRADED_RESULT = b"poor"  # first word of the result if a call was skipped


class NoticeType(StrEnum):
    """What happened to a run. The values of `COMPLETE` and `CANCELLED` are words of the kernel's notices."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    CALL = "call"


class Notice(NamedTuple):
    """An event of a run that a machine reports."""

    run_id: str
    type: NoticeType
    elapsed_us: int  # since the start of the run; 0 for a call
    body: bytes  # the result of a complete run, the body of a call, or empty


class Gauges(NamedTuple):
    """The load of a machine, in the order of the kernel's gauges."""

    cpu_busy: float  # used share of the cores' time since the previous reading
    runnable: float  # number of runs on the cores
    memory_used: float  # not emulated, always 0
    sockets: float  # not emulated, always 1


class _RunState(Enum):
    RUNNING = auto()
    PAUSED = auto()
    WAITING_FOR_CALL = auto()


@dataclass(slots=True)
class _Run:
    plan: WorkPlan
    started_us: int
    parts_left: int
    paused_work_us: float = 0.0  # remaining work of the current part when the run was paused
    state: _RunState = _RunState.RUNNING
    skipped_call: bool = False
    response_delivered: bool = False  # the client does not wait any more: end the run at its next call


class Machine:
    """The runs of one machine. Commands change them; notices report their calls and ends.

    Call `advance` with the current time before any command. A command that is not valid in the state of its run
    changes nothing, and returns False or None.

    Attributes:
        sharing: the cores of the machine.
        start_counts: number of runs started, by request class and `WorkPlan.number`.
    """

    def __init__(self, cores: float, speed: float = 1.0, knee: float = 3.0, slowdown: float = 0.02) -> None:
        """Initialize an idle machine at time 0; the arguments are those of `ProcessorSharing`."""
        self.sharing = ProcessorSharing(cores, speed, knee, slowdown)
        self.start_counts: Counter[tuple[str, int]] = Counter()
        self._runs: dict[str, _Run] = {}
        self._now_us = 0
        self._gauges_read_us = 0
        self._gauges_read_busy_us = 0.0

    def advance(self, now_us: int) -> list[Notice]:
        """Advance to `now_us`, and return the notices since the previous call in order of their times."""
        self._now_us = max(self._now_us, now_us)
        return [self._end_part(run_id) for run_id in self.sharing.advance(self._now_us)]

    def next_event_us(self) -> int | None:
        """Return the time of the next notice if no command precedes it; None if no run is on the cores."""
        return self.sharing.next_completion_us()

    def start(self, run_id: str, request_class: str, body: bytes) -> bool:
        """Start a run with the work plan in `body`.

        Returns:
            True if the run was started or exists already; an existing run continues unchanged. False if `body` is
            not a valid work plan.
        """
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
        """Remove a run from the cores, keeping its remaining work for `resume`; return the notice of its pause."""
        run = self._runs.get(run_id)
        if run is None or run.state is not _RunState.RUNNING:
            return None
        run.paused_work_us, run.state = self.sharing.remove(run_id), _RunState.PAUSED
        return self._create_cancelled_notice(run_id, run)

    def resume(self, run_id: str) -> bool:
        """Put a paused run back on the cores."""
        run = self._runs.get(run_id)
        if run is None or run.state is not _RunState.PAUSED:
            return False
        run.state = _RunState.RUNNING
        self.sharing.add(run_id, run.paused_work_us)
        return True

    def end_call(self, run_id: str, *, skipped: bool) -> bool:
        """Continue a run that waits for a call. If the call was `skipped`, the result of the run is degraded."""
        run = self._runs.get(run_id)
        if run is None or run.state is not _RunState.WAITING_FOR_CALL:
            return False
        run.skipped_call = run.skipped_call or skipped
        self._start_part(run_id)
        return True

    def response_delivered(self, run_id: str) -> Notice | None:
        """End a run early because its client has the response already.

        A run that waits for a call is cancelled now; a run on the cores is cancelled at its next call. A paused run is
        removed without a notice, as its pause has been reported as cancelled.
        """
        run = self._runs.get(run_id)
        if run is None:
            return None
        run.response_delivered = True
        if run.state is _RunState.RUNNING:
            return None
        del self._runs[run_id]
        return self._create_cancelled_notice(run_id, run) if run.state is _RunState.WAITING_FOR_CALL else None

    def read_gauges(self) -> Gauges:
        """Return the load, with the busy share since the previous call of this method."""
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
        """Handle the end of a part: complete the run, cancel it, or make it wait for its next call."""
        run = self._runs[run_id]
        run.parts_left -= 1
        if not run.parts_left:
            del self._runs[run_id]
            first_word = DEGRADED_RESULT if run.skipped_call else FULL_RESULT
            result = b"%s %d" % (first_word, run.plan.number)
            return Notice(run_id, NoticeType.COMPLETE, self._now_us - run.started_us, result)
        if run.response_delivered:
            del self._runs[run_id]
            return self._create_cancelled_notice(run_id, run)
        run.state = _RunState.WAITING_FOR_CALL
        return Notice(run_id, NoticeType.CALL, 0, b"call of %d" % run.plan.number)

    def _create_cancelled_notice(self, run_id: str, run: _Run) -> Notice:
        return Notice(run_id, NoticeType.CANCELLED, self._now_us - run.started_us, b"")


@dataclass(frozen=True, slots=True)
class RunCounts:
    """Number of runs on a group of machines, for the report of a replay."""

    runs: int
    ran_twice: int  # pieces of work of the at-most-once class that were started more than once

    def to_json(self) -> dict[str, int]:
        """Return the counts by their names in reports."""
        return {"runs": self.runs, "ran_twice": self.ran_twice}


def count_runs(machines: Iterable[Machine], at_most_once_class: str) -> RunCounts:
    """Count the runs of all machines together, so that work started on two machines counts as run twice."""
    starts: Counter[tuple[str, int]] = Counter()
    for machine in machines:
        starts.update(machine.start_counts)
    ran_twice = sum(
        count > 1 for (request_class, _), count in starts.items() if request_class == at_most_once_class
    )
    return RunCounts(starts.total(), ran_twice)
