"""Downstream calls: made in the order of priority, made again, or left out."""

from dataclasses import dataclass

from marlstep.admission.actions import Call, SkipCall
from marlstep.admission.entry import Entry, State
from marlstep.admission.events import CallEnded, Outcome
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.run_queue import rank
from marlstep.admission.server_state import ServerState
from marlstep.admission.settings import Downstream

CALL_TIMEOUT_FACTOR = (
    5.0  # times what calls take: one that may be made again is given up then, and made again
)
CALL_RESERVE_FRACTION = (
    0.5  # of the told mean of calls in flight: a full reserve and its refill together stay under it
)
MAX_CALL_ATTEMPTS = 3  # for one step of a request: more would be a retry storm of our own
MAX_REJECTED_CALL_ATTEMPTS = 6  # where the call is needed: each waits twice as long as the last


@dataclass(slots=True)
class DownstreamCalls:
    """Makes calls as far as this server's share of the dependency reaches."""

    state: ServerState
    lifecycle: RequestLifecycle

    def configure(self) -> None:
        """Follow new settings."""
        settings = self.state.settings
        rate = (
            CALL_RESERVE_FRACTION * settings.mean_calls_in_flight * (settings.dependency is Downstream.SHARED)
        )
        self.state.call_reserve.configure(rate, rate * settings.call_averaging_us)

    def dispatch(self) -> None:
        """Make the calls that there is room for, and go on without those that would come too late."""
        calling = self.state.entries.by_state[State.CALLING]
        for entry in sorted(self.state.entries.in_states(State.AWAITING_CALL), key=rank):
            if not entry.response_owed:
                continue
            if self._is_better_skipped(entry, bool(calling)):
                self._go_without(entry)
            elif self._has_room(len(calling)) and entry.next_call_at <= self.state.now:
                self._call(entry)

    def end(self, entry: Entry, event: CallEnded) -> None:
        """Go on with the run, or call again after a wait that doubles while calls never run."""
        self.state.call_latency.record(event.elapsed_us)
        entry.calls_never_ran += event.outcome.never_ran
        if event.outcome is Outcome.OK:
            self.state.move(entry, State.RUNNING)
            return
        entry.next_call_at = self.state.now + (self.state.tick_us << max(0, entry.calls_never_ran - 1))
        self.state.move(entry, State.AWAITING_CALL)
        attempts = MAX_CALL_ATTEMPTS if entry.is_idempotent else 1
        never_ran_attempts = (
            MAX_CALL_ATTEMPTS if entry.request_class.skipped_call_factor > 0 else MAX_REJECTED_CALL_ATTEMPTS
        )
        if entry.calls_ran >= attempts or entry.calls_never_ran >= never_ran_attempts:
            self._go_without(entry)

    def _has_room(self, calling: int) -> bool:
        reserve, needed_us = self.state.call_reserve, self.state.call_latency.slow_us
        least_us = min(reserve.capacity_us, needed_us + self.state.settings.abandoned_call_us)
        return (
            not reserve.rate or reserve.available_us >= least_us
        ) and calling + 1 <= self.state.max_concurrency

    def _call(self, entry: Entry) -> None:
        now, latency, reserve = self.state.now, self.state.call_latency, self.state.call_reserve
        until = self._latest_end(entry)
        if entry.is_idempotent and entry.calls_ran + 1 < MAX_CALL_ATTEMPTS:
            # A reply that does not come may come to another call; the last one is waited for.
            patience_us = int(CALL_TIMEOUT_FACTOR * max(latency.usual_us, latency.mean_us))
            until = min(until, now + (patience_us << entry.calls_ran))
        if reserve.rate:
            until = min(until, now + max(latency.slow_us, int(reserve.available_us / 2)))
        self.state.actions.append(Call(entry.id, until))
        self.state.begin_call(entry, until)

    def _is_better_skipped(self, entry: Entry, is_calling: bool) -> bool:
        """Tell whether a call may be left out and would come too late, or calls are slow."""
        is_slow = is_calling and self.state.call_latency.mean_us > self.state.call_latency.slow_us
        return entry.request_class.skipped_call_factor > 0 and (
            is_slow or self.state.now >= self._latest_end(entry)
        )

    def _latest_end(self, entry: Entry) -> int:
        """Give the time after which a reply is of no use; a poorer answer in time is worth more than none."""
        if entry.request_class.skipped_call_factor <= 0:
            return entry.deadline_at
        mean_run_us = int(self.state.statistics.mean_run_us[entry.request_class.name])
        return min(entry.deadline_at, entry.objective_at - self.state.response_lead_us - mean_run_us)

    def _go_without(self, entry: Entry) -> None:
        if entry.request_class.skipped_call_factor > 0:
            self.state.actions.append(SkipCall(entry.id))
            self.state.move(entry, State.RUNNING)
        else:
            self.lifecycle.reject_or_fail(entry)
