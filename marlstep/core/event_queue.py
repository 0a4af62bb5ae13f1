"""Events for the admission controller, gathered over one turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from marlstep.admission.events import Event
from marlstep.timer_queue import TimerQueue


class EventQueue:
    """Hands all events of one turn of the loop to the controller together, in their order.

    The controller decides better on all arrivals of a turn at once than on the first alone, and its actions never
    re-enter the code that posted an event.
    """

    def __init__(self, timeline: TimerQueue, deliver: Callable[[list[Event]], None]) -> None:
        """Call `deliver` with the events of a turn in the turn after it."""
        self._timeline, self._deliver = timeline, deliver
        self._events: list[Event] = []
        self._is_scheduled = False

    def post(self, event: Event) -> None:
        """Add an event to those of this turn."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timeline.soon(self._deliver_events)

    def _deliver_events(self) -> None:
        self._is_scheduled = False
        events, self._events = self._events, []
        self._deliver(events)
