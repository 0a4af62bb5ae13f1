"""The rules by which any frontend keeps, times out and closes its connections. Pure: counts and times are passed in.

A connection is *unproven* until it has sent one complete message, and *idle* while nothing is open on it and nothing
comes. Unproven connections and idle ones must not keep other clients out.
"""

from __future__ import annotations

from datetime import datetime, timedelta

from marlstep.units import MILLISECOND, SECOND

CLOSE_TIMEOUT = 2 * SECOND  # from `finish` until a peer that does not read the rest is disconnected
IDLE_EVICTION_SHARE = 0.75  # of the table; once it is so full, a new connection closes an idle one
UNPROVEN_SHARE = 0.25  # of the table; once unproven connections fill it, a new one closes the oldest of them
MIN_UNPROVEN_AGE = 100 * MILLISECOND  # an unproven connection stays for so long while there are free slots
MIN_SWEEP_INTERVAL = 50 * MILLISECOND  # between two searches for connections that have been idle for too long


def evicts_idle_connection(open_count: int, capacity: int) -> bool:
    """Whether the longest idle connection has to close for a new one.

    It has to once the table is three quarters full, so that clients which keep idle connections shut nobody out; the
    closing is announced early enough for the peer to stop sending. `capacity` is the part of the table that this
    process may use.
    """
    return open_count >= IDLE_EVICTION_SHARE * capacity


def evicts_unproven_connection(
    open_count: int, unproven_count: int, oldest_unproven_age: timedelta, capacity: int
) -> bool:
    """Whether the oldest unproven connection has to close for a new one.

    It has to once unproven connections fill their share of the table, so that silent clients shut nobody out. The
    exception: one that is younger than `MIN_UNPROVEN_AGE` may still send its message, and stays unless the new
    connection would take the last slot.
    """
    share_is_full = unproven_count >= UNPROVEN_SHARE * capacity
    takes_last_slot = open_count >= capacity - 1
    had_its_time = oldest_unproven_age >= MIN_UNPROVEN_AGE
    return share_is_full and (takes_last_slot or had_its_time)


def has_free_slot(open_count: int, capacity: int) -> bool:
    """Whether a new connection is accepted; without a free slot it is aborted at once."""
    return open_count < capacity


def is_idle_too_long(idle_since: datetime, idle_timeout: timedelta, now: datetime) -> bool:
    """Whether an idle connection has to close: its whole idle timeout has passed."""
    return idle_since + idle_timeout <= now


def next_idle_sweep_at(longest_idle_since: datetime, idle_timeout: timedelta, now: datetime) -> datetime:
    """Return when to look for connections that have been idle for too long.

    That is when the longest idle one times out, but not sooner than `MIN_SWEEP_INTERVAL` from now: one search then
    closes many, where thousands of connections time out one after the other.
    """
    return max(longest_idle_since + idle_timeout, now + MIN_SWEEP_INTERVAL)
