"""Whether and when a sender retries a request. No I/O."""

from __future__ import annotations

from blake3 import blake3

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.retries import Retries

MIN_POLITE_WAIT_US = 100_000
HASTY_WAIT_US = 20_000
MAX_POLITE_ATTEMPTS = 3
JITTER_BYTES = 2
JITTER_RANGE = 1 << 17  # twice the range of the hash, so that the jitter is at most half of the wait


def may_retry(status: ResponseStatus, request_class: ClassSettings) -> bool:
    """Return whether another attempt is useful and safe.

    A request that is done needs no retry. A rejected request never ran, so a retry is safe. A request that failed or
    expired may have run, so it is retried only if its class is idempotent.
    """
    if status is ResponseStatus.DONE:
        return False
    return status is ResponseStatus.REJECTED or request_class.effect is Effect.IDEMPOTENT


def next_attempt_us(
    retries: Retries, attempts: int, now_us: int, retry_after_us: int, jitter_key: str
) -> int | None:
    """Return the send time of the next attempt, in microseconds since the start; None if there is no retry.

    Args:
        retries: When the sender retries a request.
        attempts: Number of attempts so far.
        now_us: Time of the response, in microseconds since the start.
        retry_after_us: Retry-After of the response, in microseconds; 0 if there is none.
        jitter_key: Identifies the attempt, so that its jitter is the same in each run.
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
    """Return a number from 0 to half of JITTER_RANGE; the jitter keeps senders from retrying at the same time."""
    return int.from_bytes(blake3(key.encode()).digest(JITTER_BYTES), "big")


def is_in_time(at_us: int, planned_us: int, latency_objective_us: int) -> bool:
    """Return whether an attempt at `at_us` starts before the latency objective, counted from `planned_us`."""
    return at_us - planned_us < latency_objective_us
