"""The controller's timers, each delivered with gauges that are fresh enough."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

from marlstep.admission.events import Event, TimerDue
from marlstep.core.interfaces import GaugeSource
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND

GAUGES_MAX_AGE = 100 * MILLISECOND  # age up to which gauges serve a timer without being read again
GAUGES_TIMEOUT = 20 * MILLISECOND  # wait of a due timer for new gauges; after it, the last ones serve


def are_gauges_fresh(read_at: datetime | None, now: datetime) -> bool:
    """Decide whether gauges that were read at `read_at` may serve a timer that is due now.

    They may up to `GAUGES_MAX_AGE`: reading them costs a round trip to their source. None means never read.
    """
    return read_at is not None and now - read_at <= GAUGES_MAX_AGE


class GaugeTimers:
    """Sets the controller's timers, and reads gauges for those that are due. It owns the last readings."""

    def __init__(self, timeline: TimerQueue, source: GaugeSource, post: Callable[[Event], None]) -> None:
        """Read gauges at `source`, and `post` a `TimerDue` for each timer."""
        self._timeline, self._source, self._post = timeline, source, post
        self._gauges: Mapping[str, float] = {}
        self._read_at: datetime | None = None
        self._due_tags: list[int] = []  # of timers that wait for gauges
        self._timeout: Timer | None = None

    def set_timer(self, after: timedelta, tag: int) -> None:
        """Post `TimerDue` with this tag after so long."""
        self._timeline.at(self._timeline.now() + after, lambda: self._on_due(tag))

    def record(self, gauges: Mapping[str, float]) -> None:
        """Take new readings; the timers that wait for them are posted now."""
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
