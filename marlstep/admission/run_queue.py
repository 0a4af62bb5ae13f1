"""The priority queue: which request starts next, which run it preempts, and which end without a run."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Preempt, Run
from marlstep.admission.concurrency_limit import ConcurrencyLimit
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import ACTIVE_STATES, UNFINISHED_STATES, Entry, State
from marlstep.admission.events import Outcome
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.preemption import lowest_preemptible, may_preempt, state_after_preemption
from marlstep.admission.priority import (
    attainable_weight,
    can_be_on_time,
    dispatch_order,
    earliest_response_at,
    expected_response_at,
)
from marlstep.admission.queue_wait import expected_wait_us, latest_acceptable_response_at
from marlstep.admission.start_rules import has_idle_core, is_eligible, max_active_runs

ANY_PRIORITY = float("inf")
# A run that did not stop in time counts as running again, but may still stop later because of the preemption.
POSSIBLY_PREEMPTED_STATES = (State.STOPPING, State.RUNNING)


@dataclass(slots=True)
class RunQueue:
    """Starts, resumes and preempts runs within the concurrency limit and the memory limits.

    The concurrency limit includes runs at the servers of a pool, since they use cores of this node as well. A
    run that is being preempted (`STOPPING`) is not counted, so that its place is filled at once.
    """

    state: ControllerState
    concurrency: ConcurrencyLimit
    memory: MemoryLedger
    lifecycle: RequestLifecycle

    def fill(self) -> None:
        """Preempt, start and resume runs by priority, and reject arrivals that would wait too long."""
        self._update_priorities_and_end_late()
        limit = self.concurrency.effective_limit()
        self._preempt_down_to(limit)
        running = self.state.entries.by_state[State.RUNNING]
        waiting = self.state.entries.in_states(State.PAUSED, State.QUEUED)
        waiting.sort(key=dispatch_order)
        requests_ahead = 0
        has_place = True
        for entry in waiting:
            if entry.priority <= 0 and not has_idle_core(len(running), self.state.settings.cores):
                continue
            if has_place and len(running) + 1 > limit:
                # The place is made before the pool and memory are checked: if a check fails, the next request
                # gets it.
                has_place = self._make_place(entry)
            if has_place and not self.state.entries.is_pool_full(entry.pool):
                self._start_if_allowed(entry)
            elif entry.was_queued_at(self.state.now) and self._would_wait_too_long(entry, requests_ahead):
                self.lifecycle.reject_or_fail(entry)
            else:
                requests_ahead += 1

    def handle_run_ended(self, entry: Entry, outcome: Outcome) -> None:
        """Handle a run that has ended, or has stopped after it was preempted."""
        was_preempted = outcome is Outcome.CANCELLED and entry.state in POSSIBLY_PREEMPTED_STATES
        if was_preempted and entry.response_owed:
            entry.was_paused = True
            self.state.move(entry, state_after_preemption(self.state.settings.preemption_mode))
            return
        entry.response_owed = False
        if outcome.never_ran and entry.run_us == 0:
            self._undo_start(entry)
        self.lifecycle.finish(entry)  # first, since it updates `run_us`, which is recorded next
        self.state.statistics.record(entry, is_complete=outcome is Outcome.OK)

    def resume_unstopped(self) -> None:
        """Mark runs that have not stopped a tick after their preemption as running again.

        Such a preemption did not take effect; until the run is counted as running, its core would
        be left idle.
        """
        for entry in self.state.entries.in_states(State.STOPPING):
            if self.state.now - entry.entered_state_at >= self.state.tick_us:
                self.state.move(entry, State.RUNNING)

    def current_weight(self, entry: Entry) -> float:
        """Return the priority weight that a response would earn if the request ran from now on."""
        mean_run_us = self.state.statistics.mean_run_us[entry.request_class.name]
        return attainable_weight(entry, expected_response_at(entry, self.state.now, mean_run_us))

    def _update_priorities_and_end_late(self) -> None:
        """Update the priority of each request, and end or preempt those that can no longer earn anything.

        Response times are computed once per class, since this runs for all requests in each turn.
        """
        now = self.state.now
        response_at_if_started = {
            name: earliest_response_at(now, mean_us)
            for name, mean_us in self.state.statistics.mean_run_us.items()
        }
        for entry in self.state.entries.in_states(*UNFINISHED_STATES):
            response_at = now if entry.has_run else response_at_if_started[entry.request_class.name]
            entry.priority = priority = attainable_weight(entry, response_at)
            if priority <= 0 and not can_be_on_time(entry, response_at):
                self._end_or_preempt_late(entry)

    def _end_or_preempt_late(self, entry: Entry) -> None:
        """Give the final response if the objective has passed, and preempt the run if that is allowed.

        Until its objective has passed, a queued request stays, since it may still finish in time on an idle
        core.
        """
        if self.state.now > entry.objective_at:
            self.lifecycle.reject_or_fail(entry)
        if entry.state is State.RUNNING and may_preempt(self.state.settings.preemption_mode, entry):
            self._preempt(entry)

    def _preempt_down_to(self, limit: float) -> None:
        """Preempt runs of the lowest priority until the limit is met or no run may be preempted."""
        running = self.state.entries.by_state[State.RUNNING]
        while len(running) > limit:
            if not self._preempt_lowest_below(ANY_PRIORITY):
                return

    def _make_place(self, entry: Entry) -> bool:
        """Preempt a run of lower priority for this request, if there is one, and return whether there was."""
        self.concurrency.was_reached = True
        return self._preempt_lowest_below(entry.priority)

    def _preempt_lowest_below(self, priority: float) -> bool:
        runs = self.state.entries.by_state[State.RUNNING].values()
        lowest = lowest_preemptible(runs, priority, self.state.settings.preemption_mode)
        if lowest is None:
            return False
        self._preempt(lowest)
        return True

    def _preempt(self, entry: Entry) -> None:
        self.state.actions.append(Preempt(entry.id))
        self.state.move(entry, State.STOPPING)

    def _start_if_allowed(self, entry: Entry) -> None:
        """Start or resume a run if the start rules, memory and concurrency allow it."""
        entries = self.state.entries
        if not is_eligible(entry, self.state.last_runnable_arrival_at):
            return
        if not self.memory.fits(entries.growth_at_start(entry)):
            return
        if entries.count(*ACTIVE_STATES) + 1 > max_active_runs(self.state.max_concurrency):
            return
        entry.has_run = True
        self.state.actions.append(Run(entry.id))
        self.state.move(entry, State.RUNNING)

    def _would_wait_too_long(self, entry: Entry, requests_ahead: int) -> bool:
        """Return whether a new arrival would finish too late because of the requests ahead of it.

        Always false until the first runs have been measured.
        """
        settings, statistics, request_class = self.state.settings, self.state.statistics, entry.request_class
        us_per_run = statistics.us_per_run()
        if us_per_run <= 0:
            return False
        higher_weight_share = statistics.share_above(request_class.priority_weight)
        wait_us = expected_wait_us(
            requests_ahead, us_per_run, self.concurrency.limit, higher_weight_share, settings.cores
        )
        done_at = self.state.now + wait_us + statistics.mean_run_us[request_class.name]
        return done_at > latest_acceptable_response_at(
            entry.arrived_at, request_class.latency_objective_us, entry.deadline_at, settings.marks_retries
        )

    def _undo_start(self, entry: Entry) -> None:
        """Undo a start after which nothing ran, so that it is not measured and a retry can use its key."""
        entry.entered_state_at = self.state.now
        entry.has_run = False
        self.state.callers.forget(entry.caller)
