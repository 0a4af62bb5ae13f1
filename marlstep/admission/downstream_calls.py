"""Downstream calls: made in the order of priority, attempted again, or left out."""

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
    """Makes calls as far as this server's share of the dependency reaches."""

    state: ControllerState
    lifecycle: RequestLifecycle

    def configure(self) -> None:
        """Set rate and size of the reserve of calls in flight; only a shared dependency bounds them."""
        settings = self.state.settings
        rate = 0.0
        if settings.dependency is Downstream.SHARED:
            rate = CALL_RESERVE_FRACTION * settings.mean_calls_in_flight
        self.state.call_reserve.configure(rate, rate * settings.call_averaging_us)

    def dispatch(self) -> None:
        """Make the calls that there is capacity for, and go on without those that are better skipped."""
        awaiting_call = self.state.entries.in_states(State.AWAITING_CALL)
        if not awaiting_call:
            return
        awaiting_call.sort(key=dispatch_order)
        calling = self.state.entries.by_state[State.CALLING]
        for entry in awaiting_call:
            if not entry.response_owed:
                continue  # nobody waits: the backend ends the run, by itself or when told (`Backend.abandon`)
            if self._is_better_skipped(entry, is_calling=bool(calling)):
                self._skip_or_fail(entry)
            elif entry.next_call_at <= self.state.now and self._has_capacity(len(calling)):
                self._call(entry)

    def end(self, entry: Entry, event: CallEnded) -> None:
        """Go on with the run after a reply; after a failure, attempt again or go without the call."""
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
        """Return whether concurrency and the share of the dependency allow one more call."""
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
        """Make the call of a request, and set the time at which it is abandoned."""
        now, latency, reserve = self.state.now, self.state.call_latency, self.state.call_reserve
        until = self._latest_useful_reply_at(entry)
        policy = CallRetryPolicy.of_request(entry.is_idempotent, entry.can_skip_call)
        if policy.allows_another_after(
            entry.calls_ran
        ):  # the last one is waited for while its reply is of use
            call_us = max(latency.usual_us, latency.mean_us)
            until = min(until, now + attempt_timeout_us(call_us, entry.calls_ran))
        if reserve.rate:
            until = min(until, now + reserve_timeout_us(latency.slow_us, reserve.available_us))
        self.state.actions.append(Call(entry.id, until))
        self.state.begin_call(entry, until)

    def _is_better_skipped(self, entry: Entry, is_calling: bool) -> bool:
        """Return whether the call can be skipped, and its reply would be too late or calls are slow.

        While calls are slow, one at a time is still made, to notice when they are fast again.
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
        """Go on without the call, or give the final response if the run needs it."""
        if entry.can_skip_call:
            self.state.actions.append(SkipCall(entry.id))
            self.state.move(entry, State.RUNNING)
        else:
            self.lifecycle.reject_or_fail(entry)
