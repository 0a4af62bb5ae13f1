"""Exponential backoff between attempts to connect."""

from __future__ import annotations

from datetime import timedelta


class Backoff:
    """The delay before the next attempt: it doubles from `initial` up to `maximum`, until an attempt succeeds."""

    __slots__ = ("_delay", "_initial", "_maximum")

    def __init__(self, initial: timedelta, maximum: timedelta) -> None:
        """Initialize the backoff; the first delay is `initial`, the longest `maximum`."""
        self._initial, self._maximum = initial, maximum
        self._delay = initial

    def next_delay(self) -> timedelta:
        """Return the delay before the next attempt, and double the following one up to the maximum."""
        delay, self._delay = self._delay, min(self._maximum, 2 * self._delay)
        return delay

    def reset(self) -> None:
        """Return to the initial delay, after a successful attempt or for another address."""
        self._delay = self._initial
