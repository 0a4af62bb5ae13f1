"""A queue that batches the events for the admission controller by turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from marlstep.admission.events import Event
from marlstep.timer_queue import TimerQueue


class EventQueue:
    """Delivers all events posted in one turn of the event loop to the controller together, in order.

    Batching lets the controller compare all arrivals of a turn instead of deciding on the first alone, and ensures
    that its actions never re-enter the code that posted an event.
    """

    def __init__(self, timeline: TimerQueue, deliver: Callable[[list[Event]], None]) -> None:
        """Initialize an empty queue.

        Args:
            timeline: schedules the delivery.
            deliver: called in the turn after the one in which the events were posted, with all of them.
        """
        self._timeline, self._deliver = timeline, deliver
        self._events: list[Event] = []
        self._is_scheduled = False

    def post(self, event: Event) -> None:
        """Add an event to the batch of this turn."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timeline.soon(self._deliver_events)

    def _deliver_events(self) -> None:
        self._is_scheduled = False
        events, self._events = self._events, []
        self._deliver(events)
