"""Deadlines of requests, how long before them final responses are given, and the deadlines of a drain."""

from __future__ import annotations

TICKS_PER_OBJECTIVE = 40  # per shortest latency objective; deadlines and limits need no finer resolution
# The controller gives all responses this long before the process is stopped. The core gives any that remain
# at a fixed time before the stop (marlstep/core/drain.py), which is earlier if objectives are so short that
# 8 ticks are less than that time. The process exits by the last margin (marlstep/drain.py).
DRAIN_LEAD_TICKS = 8


def request_deadline(caller_deadline_at: int | None, arrived_at: int, deadline_us: int, now: int) -> int:
    """Return the time after which a response to a request no longer counts, in microseconds.

    This is the caller's own deadline if known. Otherwise it is the class's deadline, counted from arrival; if
    that has passed before the request is read, the request is due now and not in the past.

    Args:
        caller_deadline_at: When the caller stops waiting, in microseconds; None or 0 if unknown.
        arrived_at: When the request reached the server, in microseconds.
        deadline_us: Deadline of its class, counted from the arrival, in microseconds.
        now: The current time, in microseconds.
    """
    if caller_deadline_at:
        return caller_deadline_at
    return max(now, arrived_at + deadline_us)


def tick_us(timer_precision_us: int, shortest_objective_us: int) -> int:
    """Return the interval at which waiting requests are checked, in microseconds.

    Args:
        timer_precision_us: Precision of the server's timers, in microseconds.
        shortest_objective_us: The shortest latency objective of all classes, in microseconds.
    """
    return timer_precision_us + shortest_objective_us // TICKS_PER_OBJECTIVE


def response_lead_us(tick_us: int, timer_precision_us: int) -> int:
    """Return how long before its deadline a request gets its final response, in microseconds.

    The lead covers one tick, and the timer precision because that tick may be late.

    Args:
        tick_us: Interval at which waiting requests are checked, in microseconds.
        timer_precision_us: Precision of the server's timers, in microseconds.
    """
    return tick_us + timer_precision_us


def drain_response_deadline(stops_at: int, tick_us: int) -> int:
    """Return the time by which a draining server gives all responses, in microseconds.

    This is `DRAIN_LEAD_TICKS` ticks before the process is stopped, to allow for late ticks and for a stall of
    the process.

    Args:
        stops_at: When the process is stopped, in microseconds.
        tick_us: Interval at which waiting requests are checked, in microseconds.
    """
    return stops_at - DRAIN_LEAD_TICKS * tick_us


def last_runnable_arrival(noticed_at: int, drain_grace_us: int) -> int:
    """Return the latest arrival that a draining server without a successor may still run, in microseconds.

    Args:
        noticed_at: When the shutdown notice arrived, in microseconds.
        drain_grace_us: The grace period, in which arriving requests are still run, in microseconds.
    """
    return noticed_at + drain_grace_us
