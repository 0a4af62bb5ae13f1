"""Makes, retries and skips downstream calls, in order of priority."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Call, SkipCall
from marlstep.admission.call_policy import (
    CALL_RESERVE_FRACTION,
    CallRetryPolicy,
    attempt_timeout_us,
    backoff_us,
    latest_useful_reply_at,
    min_reserve_us,
    reserve_timeout_us,
)
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State
from marlstep.admission.events import CallEnded, Outcome
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.priority import dispatch_order
from marlstep.admission.settings import Downstream


@dataclass(slots=True)
class DownstreamCalls:
    """Makes calls within this server's share of the dependency."""

    state: ControllerState
    lifecycle: RequestLifecycle

    def configure(self) -> None:
        """Set rate and capacity of the call reserve by new settings."""
        rate = self._reserve_rate()
        self.state.call_reserve.configure(rate, rate * self.state.settings.call_averaging_us)

    def apply_portion(self) -> None:
        """Set rate and capacity of the call reserve by a new portion of the server."""
        rate = self._reserve_rate()
        self.state.call_reserve.set_portion(rate, rate * self.state.settings.call_averaging_us)

    def _reserve_rate(self) -> float:
        """Return the rate of this process's reserve; 0 unless the dependency is shared."""
        settings = self.state.settings
        if settings.dependency is not Downstream.SHARED:
            return 0.0
        return CALL_RESERVE_FRACTION * settings.mean_calls_in_flight * self.state.portion

    def dispatch(self) -> None:
        """Make the calls for which there is capacity, and skip those whose runs are better off without."""
        awaiting_call = self.state.entries.in_states(State.AWAITING_CALL)
        if not awaiting_call:
            return
        awaiting_call.sort(key=dispatch_order)
        calling = self.state.entries.by_state[State.CALLING]
        for entry in awaiting_call:
            if not entry.response_owed:
                continue  # no client waits: the backend ends the run itself or after `Backend.abandon`
            if self._is_better_skipped(entry, is_calling=bool(calling)):
                self._skip_or_fail(entry)
            elif entry.next_call_at <= self.state.now and self._has_capacity(len(calling)):
                self._call(entry)

    def handle_call_ended(self, entry: Entry, event: CallEnded) -> None:
        """Resume the run after a reply; after a failure, schedule a retry, skip the call or fail."""
        self.state.call_latency.record(event.elapsed_us)
        if event.outcome.never_ran:
            entry.calls_never_ran += 1
        if event.outcome is Outcome.OK:
            self.state.move(entry, State.RUNNING)
            return
        entry.next_call_at = self.state.now + backoff_us(entry.calls_never_ran, self.state.tick_us)
        self.state.move(entry, State.AWAITING_CALL)
        policy = CallRetryPolicy.of_request(entry.is_idempotent, entry.can_skip_call)
        if policy.is_exhausted(entry.calls_ran, entry.calls_never_ran):
            self._skip_or_fail(entry)

    def _has_capacity(self, calls_in_flight: int) -> bool:
        """Return whether the server's maximum concurrency and the call reserve allow one more call."""
        if calls_in_flight + 1 > self.state.max_concurrency:
            return False
        reserve = self.state.call_reserve
        if not reserve.rate:
            return True
        needed_us = min_reserve_us(
            reserve.capacity_us, self.state.call_latency.slow_us, self.state.settings.abandoned_call_us
        )
        return reserve.available_us >= needed_us

    def _call(self, entry: Entry) -> None:
        """Make the call of a request, with the time at which it is to be abandoned."""
        now, latency, reserve = self.state.now, self.state.call_latency, self.state.call_reserve
        until = self._latest_useful_reply_at(entry)
        policy = CallRetryPolicy.of_request(entry.is_idempotent, entry.can_skip_call)
        if policy.allows_another_after(entry.calls_ran):
            # The last attempt has no timeout of its own: it may last as long as its reply is useful.
            call_us = max(latency.usual_us, latency.mean_us)
            until = min(until, now + attempt_timeout_us(call_us, entry.calls_ran))
        if reserve.rate:
            until = min(until, now + reserve_timeout_us(latency.slow_us, reserve.available_us))
        self.state.actions.append(Call(entry.id, until))
        self.state.begin_call(entry, until)

    def _is_better_skipped(self, entry: Entry, is_calling: bool) -> bool:
        """Return whether the call can be skipped, and either calls are slow or its reply would be too late.

        While calls are slow, one at a time is still made, to detect when they are fast again.
        """
        if not entry.can_skip_call:
            return False
        are_calls_slow = self.state.call_latency.mean_us > self.state.call_latency.slow_us
        if is_calling and are_calls_slow:
            return True
        return self.state.now >= self._latest_useful_reply_at(entry)

    def _latest_useful_reply_at(self, entry: Entry) -> int:
        mean_run_us = int(self.state.statistics.mean_run_us[entry.request_class.name])
        return latest_useful_reply_at(
            entry.deadline_at,
            entry.objective_at,
            entry.can_skip_call,
            remaining_us=self.state.response_lead_us + mean_run_us,
        )

    def _skip_or_fail(self, entry: Entry) -> None:
        """Continue the run without the call, or give the final response if the run needs the call."""
        if entry.can_skip_call:
            self.state.actions.append(SkipCall(entry.id))
            self.state.move(entry, State.RUNNING)
        else:
            self.lifecycle.reject_or_fail(entry)
