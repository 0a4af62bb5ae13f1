"""What callers are advised: when to retry, and how many requests they may have outstanding here."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Advertise
from marlstep.admission.concurrency_limit import ConcurrencyLimit
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import State
from marlstep.admission.timing import SECOND_US

CREDIT_OBJECTIVE_FRACTION = 0.3  # of the shortest objective; bounds the time that credited work may queue
MIN_CREDIT_CHANGE_FRACTION = 0.1  # of the advertised value; a smaller change is not advertised
# Credit while there is no overload, as requests for each kilobyte of memory: more than any caller sends.
IDLE_CREDIT_PER_KB = 0.8
CALLER_ACTIVITY_US = 2 * SECOND_US  # past the lifetime of an advertised value a caller is inactive


def active_callers(seen: int, seen_again: int, expected: int) -> int:
    """Return among how many callers the credit is shared; one at least.

    Callers that came just once do not share in it beyond the number that the settings expect: they may never
    come again, and would leave too little to those that keep sending.

    Args:
        seen: callers with a recent request.
        seen_again: those of them with more than one request.
        expected: callers of this tier by the settings.
    """
    return max(1, min(seen, max(expected, seen_again)))


def retry_after_us(
    waiting: int, us_per_run: float, concurrency_limit: float, tick_us: int, max_retry_after_us: int
) -> int:
    """Return how long a rejected caller should stay away, in microseconds.

    Until what waits here is done if the recent rate of runs goes on: a tick at least, and at most what
    callers respect.

    Args:
        waiting: requests that wait for a start.
        us_per_run: recent time on the cores per run, in microseconds.
        concurrency_limit: how many run at once.
        tick_us: the controller's shortest wait, in microseconds.
        max_retry_after_us: the longest Retry-After that callers respect, in microseconds.
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
    """Return how many requests each caller may have outstanding here while requests queue; one at least.

    All callers together get what can run at once, what can start within the time that the queue may take, and
    what is off the cores at a call; less while reading lags. Early responses bring callers back early, so the
    queue has to stay short.

    Args:
        concurrency_limit: how many run at once.
        queue_us: for which credited requests may queue, in microseconds.
        us_per_run: recent time on the cores per run, in microseconds; above 0.
        at_calls: runs that are off the cores at a downstream call.
        lag_factor: share of the limit that is left while reading lags, 0 to 1.
        callers: among which the credit is shared.
    """
    requests = concurrency_limit * (1 + queue_us / us_per_run) + at_calls
    return max(1.0, requests * lag_factor / callers)


def is_worth_advertising(credit: float, advertised: float) -> bool:
    """Return whether a credit differs enough from the advertised one to be advertised."""
    return abs(credit - advertised) > MIN_CREDIT_CHANGE_FRACTION * advertised


@dataclass(slots=True)
class RetryAdvisor:
    """Computes Retry-After and credit from the recent rate of runs and the callers seen lately."""

    state: ControllerState
    concurrency: ConcurrencyLimit
    advertised_credit: float = 0.0

    def count_callers(self) -> int:
        """Return among how many callers the credit is shared."""
        settings = self.state.settings
        active_since = self.state.now - settings.load_signal_lifetime_us - CALLER_ACTIVITY_US
        seen, seen_again = self.state.callers.count(active_since)
        return active_callers(seen, seen_again, settings.caller_count)

    def current_retry_after_us(self) -> int:
        """Return the Retry-After of a rejection given now, in microseconds; 0 where none is sent.

        A server that drains sends callers away for as long as they respect.
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
        """Advertise each caller's credit if it has changed: bounded once requests queue or reading lags."""
        credit = self._credit()
        if is_worth_advertising(credit, self.advertised_credit):
            self.advertised_credit = credit
            self.state.actions.append(Advertise(credit))

    def _credit(self) -> float:
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
