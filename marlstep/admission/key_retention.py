"""Retention of idempotency keys."""

from __future__ import annotations


def key_expires_at(arrived_at: int, idempotency_window_us: int, now: int, timer_precision_us: int) -> int:
    """Return when the idempotency key of a request expires, in microseconds.

    The class's window counts from the arrival of the request. If the window has passed before the request is
    read, the key is still kept for one timer step, so that it exists while the request is processed.

    Args:
        arrived_at: When the request reached the server, in microseconds.
        idempotency_window_us: Idempotency window of its class, in microseconds.
        now: The current time, in microseconds.
        timer_precision_us: Precision of the server's timers, in microseconds.
    """
    window_end = arrived_at + idempotency_window_us
    return max(now, window_end) + timer_precision_us


def recognised_until(arrived_at: int, idempotency_window_us: int, deadline_us: int) -> int:
    """Return until when repeats of a request are recognised, in microseconds.

    This is later than the window, since a repeat that arrives within it may be read up to its own deadline.

    Args:
        arrived_at: When the request reached the server, in microseconds.
        idempotency_window_us: Idempotency window of its class, in microseconds.
        deadline_us: Deadline of its class, counted from the arrival, in microseconds.
    """
    return arrived_at + idempotency_window_us + deadline_us
