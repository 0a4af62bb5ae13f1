"""Whether and when a sender retries a request; pure."""

from __future__ import annotations

from blake3 import blake3

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.retries import Retries

MIN_POLITE_WAIT_US = 100_000
HASTY_WAIT_US = 20_000
MAX_POLITE_ATTEMPTS = 3
JITTER_BYTES = 2
JITTER_RANGE = 1 << 17  # twice the range of the jitter's hash: up to half as long again


def may_retry(status: ResponseStatus, request_class: ClassSettings) -> bool:
    """Return whether another attempt could do good and no harm.

    A request that is done is over. One that was rejected never ran. One that failed or expired may have run, so only
    an idempotent one is sent again.
    """
    if status is ResponseStatus.DONE:
        return False
    return status is ResponseStatus.REJECTED or request_class.effect is Effect.IDEMPOTENT


def next_attempt_us(
    retries: Retries, attempts: int, now_us: int, retry_after_us: int, jitter_key: str
) -> int | None:
    """Return when the next attempt is sent, in microseconds; None where there is none.

    Args:
        retries: how the sender behaves.
        attempts: how many were sent.
        now_us: when the response came, in microseconds.
        retry_after_us: the Retry-After of the response, in microseconds; 0 where there is none.
        jitter_key: names the attempt, so that its jitter is the same in each run.
    """
    match retries:
        case Retries.NONE:
            return None
        case Retries.POLITE:
            if attempts >= MAX_POLITE_ATTEMPTS:
                return None
            wait_us = max(MIN_POLITE_WAIT_US, retry_after_us)
            return now_us + wait_us + wait_us * _jitter(jitter_key) // JITTER_RANGE
        case Retries.HASTY:
            return now_us + HASTY_WAIT_US


def _jitter(key: str) -> int:
    """Return a number from 0 to half of JITTER_RANGE, so that senders don't retry in step."""
    return int.from_bytes(blake3(key.encode()).digest(JITTER_BYTES), "big")


def is_in_time(at_us: int, planned_us: int, latency_objective_us: int) -> bool:
    """Return whether a response to an attempt sent at `at_us` could still come within the class's objective."""
    return at_us - planned_us < latency_objective_us
