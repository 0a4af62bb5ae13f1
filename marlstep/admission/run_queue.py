"""The priority queue: which request starts next, which run is preempted for it, and what waits in vain."""

from dataclasses import dataclass

from marlstep.admission.actions import Preempt, Run
from marlstep.admission.concurrency_limit import ConcurrencyLimit
from marlstep.admission.entry import ALIVE, IN_RUN, Entry, State
from marlstep.admission.events import Outcome
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.server_state import ServerState
from marlstep.admission.settings import PreemptionMode

MIN_REMAINING_RUN_FRACTION = (
    0.5  # of a class's mean run: with less time left a run would most likely end too late
)
MAX_CONCURRENCY_FRACTION = (
    0.9  # of the concurrency survived, never passed: calls come back to the cores unasked
)
UNMARKED_RETRY_WAIT_FRACTION = (
    0.3  # of its objective: where retries are not marked, any arrival may have waited before
)


def rank(entry: Entry) -> tuple[float, int, int]:
    """Sort by priority, then by the sooner objective; in a class paused ahead of queued, then the oldest."""
    sooner = entry.objective_at if entry.state is State.QUEUED else entry.arrived_at
    return (-entry.priority, sooner, entry.arrival_number)


@dataclass(slots=True)
class RunQueue:
    """Starts and preempts runs, within the concurrency limit and the memory."""

    state: ServerState
    concurrency: ConcurrencyLimit
    memory: MemoryLedger
    lifecycle: RequestLifecycle

    def fill(self) -> None:
        """Start what comes first while there is room; what outranks a run takes its place."""
        self._update_priorities()
        limit = max(1.0, self.concurrency.limit * self.concurrency.lag_factor())
        running = self.state.entries.by_state[State.RUNNING]
        while len(running) > limit and self._preempt_below(float("inf")):
            pass
        ahead, is_full = 0, False
        for entry in sorted(self.state.entries.in_states(State.PAUSED, State.QUEUED), key=rank):
            if entry.priority <= 0 and len(running) >= self.state.settings.cores:
                continue  # its objective is not past: it may yet end in time, on a core that comes free
            if not is_full and len(running) + 1 > limit:
                self.concurrency.was_full = True
                is_full = not self._preempt_below(entry.priority)
            if not is_full and not self.state.entries.is_pool_full(entry.pool):
                self._start(entry)
            elif entry.was_queued_at(self.state.now) and self._would_wait_too_long(entry, ahead):
                self.lifecycle.reject_or_fail(entry)
            else:
                ahead += 1

    def end(self, entry: Entry, outcome: Outcome) -> None:
        """Finish a run, or hold on to one that has stopped as it was told."""
        may_go_on = entry.response_owed and entry.state in (State.STOPPING, State.RUNNING)
        if outcome is Outcome.CANCELLED and may_go_on:  # where it had been taken for lost, it runs
            entry.was_paused = True
            is_kept = self.state.settings.preemption_mode is PreemptionMode.PAUSE
            self.state.move(entry, State.PAUSED if is_kept else State.QUEUED)
            return
        entry.response_owed = False
        if outcome.never_ran and entry.run_us == 0:  # it tells nothing
            entry.entered_state_at, entry.has_run = self.state.now, False
            self.state.callers.forget(entry.caller)
        self.lifecycle.finish(entry)
        self.state.statistics.record(entry, outcome is Outcome.OK)

    def resume_unstopped(self) -> None:
        """Count runs whose halt did not take as running: their cores would stand still."""
        for entry in self.state.entries.in_states(State.STOPPING):
            if self.state.now - entry.entered_state_at >= self.state.tick_us:
                self.state.move(entry, State.RUNNING)

    def value(self, entry: Entry) -> float:
        """Give what an answer is still worth: nothing where it can no longer be given in time."""
        needed_us = (
            0.0
            if entry.has_run
            else MIN_REMAINING_RUN_FRACTION * self.state.statistics.mean_run_us[entry.request_class.name]
        )
        ready = self.state.now + needed_us
        latest = max(entry.deadline_at, entry.objective_at) if entry.is_keyed else entry.deadline_at
        if (
            not (entry.response_owed or entry.is_keyed) or ready > latest
        ):  # a key serves the caller's retry too
            return 0.0
        return entry.priority_weight * (
            entry.request_class.late_response_factor if ready > entry.objective_at else 1.0
        )

    def _update_priorities(self) -> None:
        """Set what each is worth now; answer what is past hope, and stop what runs for nobody."""
        now = self.state.now
        needed_us = {
            name: MIN_REMAINING_RUN_FRACTION * mean
            for name, mean in self.state.statistics.mean_run_us.items()
        }
        for entry in self.state.entries.in_states(*ALIVE):
            ready = now if entry.has_run else now + needed_us[entry.request_class.name]
            if entry.response_owed and ready <= entry.objective_at and ready <= entry.deadline_at:
                entry.priority = entry.priority_weight  # as `value` has it, for the many
                continue
            entry.priority = self.value(entry)
            if entry.priority <= 0 and now > entry.objective_at:
                self.lifecycle.reject_or_fail(entry)
            if entry.priority <= 0 and entry.state is State.RUNNING:
                self._halt(entry)

    def _preempt_below(self, priority: float) -> bool:
        """Preempt the lowest, latest run below this priority."""
        lower = [run for run in self.state.entries.in_states(State.RUNNING) if run.priority < priority]
        return any(self._halt(entry) for entry in sorted(lower, key=rank, reverse=True))

    def _halt(self, entry: Entry) -> bool:
        mode = self.state.settings.preemption_mode
        is_lost = mode is PreemptionMode.DROP and entry.response_owed and not entry.is_idempotent
        if mode is PreemptionMode.NONE or is_lost:
            return False
        self.state.actions.append(Preempt(entry.id))
        self.state.move(entry, State.STOPPING)
        return True

    def _start(self, entry: Entry) -> None:
        """Start or resume a run, where memory, concurrency, a drain and its effect allow it."""
        entries, is_queued = self.state.entries, entry.state is State.QUEUED
        most_in_run = max(
            MAX_CONCURRENCY_FRACTION * self.state.max_concurrency, 1.0
        )  # one, however small its part
        has_room = (
            self.memory.fits(entries.growth_at_start(entry)) and entries.count(*IN_RUN) + 1 <= most_in_run
        )
        lacks_key = entry.is_keyed and not entry.key_kept_until
        ran_before = entry.has_run and not entry.is_idempotent
        is_late = entry.arrived_at > self.state.last_runnable_arrival_at
        if not has_room or is_late or (is_queued and (lacks_key or ran_before)):
            return
        entry.has_run = True
        self.state.actions.append(Run(entry.id))
        self.state.move(entry, State.RUNNING)

    def _would_wait_too_long(self, entry: Entry, ahead: int) -> bool:
        """Tell whether those ahead of an arrival, at the pace of the last seconds, keep it too long."""
        settings, statistics, request_class = self.state.settings, self.state.statistics, entry.request_class
        us_per_run = statistics.us_per_run()
        left_share = max(1 / settings.cores, 1 - statistics.share_above(request_class.priority_weight))
        wait_us = ahead * us_per_run / self.concurrency.limit / left_share
        share = 1.0 if settings.marks_retries else UNMARKED_RETRY_WAIT_FRACTION
        bound = min(entry.arrived_at + share * request_class.latency_objective_us, entry.deadline_at)
        return (
            us_per_run > 0
            and self.state.now + wait_us + self.state.statistics.mean_run_us[entry.request_class.name] > bound
        )
