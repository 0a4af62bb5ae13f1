"""Timers of the controller. Each due timer is delivered with recent gauge readings."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

from marlstep.admission.events import Event, TimerDue
from marlstep.core.interfaces import GaugeSource
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND

GAUGES_MAX_AGE = 100 * MILLISECOND  # older readings are refreshed before a timer is delivered
GAUGES_TIMEOUT = 20 * MILLISECOND  # how long a due timer waits for new readings before it uses the last ones


def are_gauges_fresh(read_at: datetime | None, now: datetime) -> bool:
    """Decide whether readings are recent enough for a timer that is due now.

    Readings are reused up to `GAUGES_MAX_AGE`, as reading the gauges costs a round trip to their source.

    Args:
        read_at: when the gauges were last read; None if they never were.
        now: the current time.
    """
    return read_at is not None and now - read_at <= GAUGES_MAX_AGE


class GaugeTimers:
    """Sets the controller's timers, requests gauge readings for due timers, and keeps the last readings."""

    def __init__(self, timeline: TimerQueue, source: GaugeSource, post: Callable[[Event], None]) -> None:
        """Initialize with no timers and no readings.

        Args:
            timeline: the clock and the timers.
            source: where gauge readings are requested.
            post: called with a `TimerDue` for each due timer.
        """
        self._timeline, self._source, self._post = timeline, source, post
        self._gauges: Mapping[str, float] = {}
        self._read_at: datetime | None = None
        self._due_tags: list[int] = []  # tags of due timers that wait for gauge readings
        self._timeout: Timer | None = None

    def set_timer(self, after: timedelta, tag: int) -> None:
        """Post a `TimerDue` with this tag once `after` has passed."""
        self._timeline.at(self._timeline.now() + after, lambda: self._on_due(tag))

    def record(self, gauges: Mapping[str, float]) -> None:
        """Store new readings, and post the timers that wait for them."""
        self._gauges, self._read_at = gauges, self._timeline.now()
        if self._due_tags:
            self._post_due_timers()

    def _on_due(self, tag: int) -> None:
        self._due_tags.append(tag)
        if are_gauges_fresh(self._read_at, self._timeline.now()):
            self._post_due_timers()
            return
        self._source.request_gauges()
        if self._timeout is None:
            self._timeout = self._timeline.at(self._timeline.now() + GAUGES_TIMEOUT, self._post_due_timers)

    def _post_due_timers(self) -> None:
        self._timeline.cancel(self._timeout)
        self._timeout = None
        for tag in self._due_tags:
            self._post(TimerDue(tag, self._gauges))
        self._due_tags.clear()
