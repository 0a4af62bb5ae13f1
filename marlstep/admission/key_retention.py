"""How long an idempotency key is kept."""

from __future__ import annotations


def key_expires_at(arrived_at: int, idempotency_window_us: int, now: int, timer_precision_us: int) -> int:
    """Return when the idempotency key of a request expires, in microseconds.

    The class's window counts from the arrival of the request, which may have lain unread for longer than
    that; the key then still spans the step of the server's timers, so that it is kept at all while the
    request is taken in.

    Args:
        arrived_at: when the request reached the server, in microseconds.
        idempotency_window_us: of its class, in microseconds.
        now: the time, in microseconds.
        timer_precision_us: of the server's timers, in microseconds.
    """
    window_end = arrived_at + idempotency_window_us
    return max(now, window_end) + timer_precision_us


def recognised_until(arrived_at: int, idempotency_window_us: int, deadline_us: int) -> int:
    """Return until when a request is remembered for its repeats, in microseconds.

    A repeat that arrives within the window may be read up to its own deadline later.

    Args:
        arrived_at: when the request reached the server, in microseconds.
        idempotency_window_us: of its class, in microseconds.
        deadline_us: of its class, from the arrival, in microseconds.
    """
    return arrived_at + idempotency_window_us + deadline_us
