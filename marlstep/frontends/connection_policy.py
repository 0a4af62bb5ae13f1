"""Rules for evicting and timing out connections, common to all frontends. No I/O: counts and times are arguments.

A connection is *unproven* until it has sent one complete message, and *idle* while it has no open request and receives
nothing. Neither kind may use up the slots that other clients need.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from itertools import islice
from typing import Protocol, TypeVar

from marlstep.units import MILLISECOND, SECOND

CLOSE_TIMEOUT = 2 * SECOND  # from `finish` until a peer that does not read the remaining output is aborted
IDLE_EVICTION_SHARE = 0.75  # used share of the table from which a new connection evicts an idle one
UNPROVEN_SHARE = 0.25  # share of the table that unproven connections may fill before the oldest is evicted
MIN_UNPROVEN_AGE = 100 * MILLISECOND  # younger unproven connections are evicted only for the last slot
MIN_SWEEP_INTERVAL = 50 * MILLISECOND  # between two sweeps for connections that exceeded the idle timeout
MAX_EVICTION_CANDIDATES = 16  # unproven connections that are examined for one eviction


class HasInput(Protocol):
    """A connection whose socket may hold input that was not read yet."""

    def has_unread_input(self) -> bool:
        """Return whether it does."""


Candidate = TypeVar("Candidate", bound=HasInput)


def eviction_candidate(unproven: Iterable[Candidate]) -> Candidate | None:
    """Return the unproven connection to evict first, if any: the oldest one without input that is still to be read.

    The message of a connection with unread input may be complete. That of the others is not, so that nothing that was
    received is lost with them. Where all of the oldest ones have unread input, the oldest goes.
    """
    candidates = list(islice(unproven, MAX_EVICTION_CANDIDATES))
    without_input = (each for each in candidates if not each.has_unread_input())
    return next(without_input, candidates[0] if candidates else None)


def evicts_idle_connection(open_count: int, capacity: int) -> bool:
    """Whether the longest idle connection is evicted for a new one.

    This begins when three quarters of the table are used, so that idle connections lock no client out and the closing
    can be announced early enough for the peer to stop sending. `capacity` is the number of slots that this process may
    use.
    """
    return open_count >= IDLE_EVICTION_SHARE * capacity


def evicts_unproven_connection(
    open_count: int, unproven_count: int, oldest_unproven_age: timedelta, capacity: int
) -> bool:
    """Whether the oldest unproven connection is evicted for a new one.

    It is evicted once unproven connections fill their share of the table, so that silent clients lock no others out.
    A connection younger than `MIN_UNPROVEN_AGE` may still send its first message, and is evicted only if the new
    connection would take the last slot.
    """
    share_is_full = unproven_count >= UNPROVEN_SHARE * capacity
    takes_last_slot = open_count >= capacity - 1
    is_old_enough = oldest_unproven_age >= MIN_UNPROVEN_AGE
    return share_is_full and (takes_last_slot or is_old_enough)


def has_free_slot(open_count: int, capacity: int) -> bool:
    """Whether a new connection is accepted; it is aborted at once if no slot is free."""
    return open_count < capacity


def is_idle_too_long(idle_since: datetime, idle_timeout: timedelta, now: datetime) -> bool:
    """Whether a connection has been idle for the whole idle timeout and is to be closed."""
    return idle_since + idle_timeout <= now


def next_idle_sweep_at(longest_idle_since: datetime, idle_timeout: timedelta, now: datetime) -> datetime:
    """Return when to sweep for connections that exceeded the idle timeout.

    The sweep is due when the longest idle connection times out, but not sooner than `MIN_SWEEP_INTERVAL` from now.
    Where thousands of connections time out one after the other, each sweep thus closes many.
    """
    return max(longest_idle_since + idle_timeout, now + MIN_SWEEP_INTERVAL)
