"""When a request is due, how early before that it gets its final response, and what a drain changes."""

from __future__ import annotations

TICKS_PER_OBJECTIVE = 40  # in the shortest latency objective; deadlines and limits need no finer clock
# Before the process is stopped, by which the controller gives all responses. The core gives what is left by a
# fixed margin of its own (marlstep/core/drain.py), which comes first where objectives are so short that 8
# ticks are less; the process ends by the last one (marlstep/drain.py).
DRAIN_LEAD_TICKS = 8


def request_deadline(caller_deadline_at: int | None, arrived_at: int, deadline_us: int, now: int) -> int:
    """Return the time after which no response to a request counts, in microseconds.

    It is the caller's own deadline if that is known. Otherwise the class's deadline counts from the arrival,
    but a request that was read after it is due at once and not in the past.

    Args:
        caller_deadline_at: when the caller stops waiting, in microseconds; None or 0 if it is not known.
        arrived_at: when the request reached the server, in microseconds.
        deadline_us: of its class, from the arrival, in microseconds.
        now: the time, in microseconds.
    """
    if caller_deadline_at:
        return caller_deadline_at
    return max(now, arrived_at + deadline_us)


def tick_us(timer_precision_us: int, shortest_objective_us: int) -> int:
    """Return the interval at which waiting requests are looked at, in microseconds.

    Args:
        timer_precision_us: of the server's timers, in microseconds.
        shortest_objective_us: the shortest latency objective of all classes, in microseconds.
    """
    return timer_precision_us + shortest_objective_us // TICKS_PER_OBJECTIVE


def response_lead_us(tick_us: int, timer_precision_us: int) -> int:
    """Return how long before its deadline a request gets its final response, in microseconds.

    By the time of the next tick the deadline could be past, since that tick may come late.

    Args:
        tick_us: the interval at which waiting requests are looked at, in microseconds.
        timer_precision_us: of the server's timers, in microseconds.
    """
    return tick_us + timer_precision_us


def drain_response_deadline(stops_at: int, tick_us: int) -> int:
    """Return the time by which a draining server gives all responses, in microseconds.

    It leaves some ticks before the process is stopped, for ticks that come late and for a stall of the
    process.

    Args:
        stops_at: when the process is stopped, in microseconds.
        tick_us: the interval at which waiting requests are looked at, in microseconds.
    """
    return stops_at - DRAIN_LEAD_TICKS * tick_us


def last_runnable_arrival(noticed_at: int, drain_grace_us: int) -> int:
    """Return the latest arrival that a draining server without a successor may still run, in microseconds.

    Args:
        noticed_at: when the notice of the drain came, in microseconds.
        drain_grace_us: by which later arrivals may still be run, in microseconds.
    """
    return noticed_at + drain_grace_us
