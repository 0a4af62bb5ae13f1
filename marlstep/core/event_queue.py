"""A queue that batches the events for the admission controller by iteration of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from marlstep.admission.events import Event
from marlstep.timer_queue import TimerQueue


class EventQueue:
    """Delivers all events posted in one iteration of the event loop to the controller together, in order.

    Batching lets the controller compare all arrivals of an iteration instead of deciding on the first alone. It also
    ensures that the controller's actions never re-enter the code that posted an event.
    """

    def __init__(self, timeline: TimerQueue, deliver: Callable[[list[Event]], None]) -> None:
        """Initialize an empty queue.

        Args:
            timeline: schedules the delivery.
            deliver: called in the iteration after the one in which the events were posted, with all of them.
        """
        self._timeline, self._deliver = timeline, deliver
        self._events: list[Event] = []
        self._is_scheduled = False

    def post(self, event: Event) -> None:
        """Add an event to the batch of this iteration."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timeline.soon(self._deliver_events)

    def _deliver_events(self) -> None:
        self._is_scheduled = False
        events, self._events = self._events, []
        self._deliver(events)
