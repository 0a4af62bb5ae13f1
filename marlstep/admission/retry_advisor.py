"""Advice to callers: when to retry, and how many requests they may have outstanding on this server."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Advertise
from marlstep.admission.concurrency_limit import ConcurrencyLimit
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import State
from marlstep.admission.timing import SECOND_US

CREDIT_OBJECTIVE_FRACTION = 0.3  # of the shortest objective; how long credited requests may queue
MIN_CREDIT_CHANGE_FRACTION = 0.1  # of the advertised value; a smaller change is not advertised
# Credit without overload, in requests per kilobyte of memory: more than any caller sends.
IDLE_CREDIT_PER_KB = 0.8
# Added to the lifetime of an advertised value; a caller without a request for longer is inactive.
CALLER_ACTIVITY_US = 2 * SECOND_US


def active_callers(seen: int, seen_again: int, expected: int) -> int:
    """Return the number of callers that share the credit; at least one.

    Callers with a single request count only up to the number of callers in the settings. They may never send
    again, and would reduce the credit of active callers too much.

    Args:
        seen: Number of callers with a recent request.
        seen_again: Number of those callers that sent more than one request.
        expected: Number of callers of this tier in the settings.
    """
    return max(1, min(seen, max(expected, seen_again)))


def retry_after_us(
    waiting: int, us_per_run: float, concurrency_limit: float, tick_us: int, max_retry_after_us: int
) -> int:
    """Return how long a rejected caller should stay away, in microseconds.

    This is the time to work off the waiting requests at the recent rate of runs: at least one tick, and at
    most the longest time that callers respect.

    Args:
        waiting: Number of queued and paused requests.
        us_per_run: Recent time on the cores per run, in microseconds.
        concurrency_limit: Limit on concurrent runs.
        tick_us: The controller's shortest wait, in microseconds.
        max_retry_after_us: The longest Retry-After that callers respect, in microseconds.
    """
    queue_us = waiting * us_per_run / concurrency_limit
    return int(min(max_retry_after_us, max(tick_us, queue_us)))


def credit_per_caller(
    concurrency_limit: float,
    queue_us: float,
    us_per_run: float,
    at_calls: int,
    lag_factor: float,
    callers: int,
) -> float:
    """Return how many requests each caller may have outstanding on this server under overload; at least one.

    The total is the number of requests that can run at once, that can start within `queue_us`, and that are
    off the cores at a call, reduced while reading lags. The queue must stay short, since callers that get
    early responses send new requests early.

    Args:
        concurrency_limit: Limit on concurrent runs.
        queue_us: How long credited requests may queue, in microseconds.
        us_per_run: Recent time on the cores per run, in microseconds; above 0.
        at_calls: Number of runs that are off the cores at a downstream call.
        lag_factor: Factor by which read lag reduces the limit, 0 to 1.
        callers: Number of callers that share the credit.
    """
    requests = concurrency_limit * (1 + queue_us / us_per_run) + at_calls
    return max(1.0, requests * lag_factor / callers)


def is_worth_advertising(credit: float, advertised: float) -> bool:
    """Return whether a credit differs enough from the last advertised one to be advertised."""
    return abs(credit - advertised) > MIN_CREDIT_CHANGE_FRACTION * advertised


@dataclass(slots=True)
class RetryAdvisor:
    """Computes Retry-After and credit from the recent rate of runs and the recently active callers."""

    state: ControllerState
    concurrency: ConcurrencyLimit
    advertised_credit: float = 0.0

    def count_callers(self) -> int:
        """Return the number of callers that share the credit."""
        settings = self.state.settings
        active_since = self.state.now - settings.load_signal_lifetime_us - CALLER_ACTIVITY_US
        seen, seen_again = self.state.callers.count(active_since)
        return active_callers(seen, seen_again, settings.caller_count)

    def current_retry_after_us(self) -> int:
        """Return the Retry-After of a rejection given now, in microseconds; 0 if none is sent.

        A draining server uses the longest Retry-After that callers respect.
        """
        settings = self.state.settings
        max_us = settings.max_retry_after_us if settings.sends_retry_after else 0
        if self.state.is_draining:
            return max_us
        return retry_after_us(
            waiting=self.state.entries.count(State.QUEUED, State.PAUSED),
            us_per_run=self.state.statistics.us_per_run(),
            concurrency_limit=self.concurrency.limit,
            tick_us=self.state.tick_us,
            max_retry_after_us=max_us,
        )

    def advertise_credit(self) -> None:
        """Advertise the credit per caller if it has changed enough."""
        credit = self._credit()
        if is_worth_advertising(credit, self.advertised_credit):
            self.advertised_credit = credit
            self.state.actions.append(Advertise(credit))

    def _credit(self) -> float:
        """Return the credit per caller, which is bounded only while requests queue or reading lags."""
        us_per_run = self.state.statistics.us_per_run()
        lag_factor = self.concurrency.lag_factor()
        is_overloaded = bool(self.state.entries.by_state[State.QUEUED]) or lag_factor < 1
        if us_per_run <= 0 or not is_overloaded:
            return IDLE_CREDIT_PER_KB * self.state.settings.memory_kb
        return credit_per_caller(
            concurrency_limit=self.concurrency.limit,
            queue_us=CREDIT_OBJECTIVE_FRACTION * self.state.shortest_objective_us,
            us_per_run=us_per_run,
            at_calls=self.state.entries.count(State.AWAITING_CALL, State.CALLING),
            lag_factor=lag_factor,
            callers=self.count_callers(),
        )
