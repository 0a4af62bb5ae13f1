"""Exponential backoff between attempts to connect."""

from __future__ import annotations

from datetime import timedelta


class Backoff:
    """The delay before the next attempt: it doubles from `initial` up to `maximum`, until an attempt succeeds."""

    __slots__ = ("_delay", "_initial", "_maximum")

    def __init__(self, initial: timedelta, maximum: timedelta) -> None:
        """Start with the initial delay."""
        self._initial, self._maximum = initial, maximum
        self._delay = initial

    def next_delay(self) -> timedelta:
        """Return the delay before the next attempt; the one after it will wait twice as long."""
        delay, self._delay = self._delay, min(self._maximum, 2 * self._delay)
        return delay

    def reset(self) -> None:
        """Start over: an attempt has succeeded, or goes to another address."""
        self._delay = self._initial
