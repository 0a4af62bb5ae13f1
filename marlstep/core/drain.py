"""Shutdown of the core: a drain without a successor, or a handover to a successor in a hot restart."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta

from marlstep.admission.events import Drain
from marlstep.core.event_queue import EventQueue
from marlstep.core.interfaces import Frontend
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.serving_state import ServingState
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, instant_us

log = logging.getLogger(__name__)

# How long before the process stops the core responds to all open requests. This is the second of three margins, each a
# fallback for the one before: first the controller responds (`admission.deadlines.drain_response_deadline`), then the
# core, and then the process exits by itself (`marlstep.drain.EXIT_MARGIN`).
STOP_MARGIN = 150 * MILLISECOND


def grace_end(run_until: datetime, stops_at: datetime) -> datetime:
    """Return when frontends stop accepting: at the end of the grace period, or earlier if the process stops soon.

    Frontends stop accepting at least `STOP_MARGIN` before the process is stopped.

    Args:
        run_until: the end of the drain's grace period.
        stops_at: when the process is stopped.
    """
    return min(run_until, stops_at - STOP_MARGIN)


class GracefulShutdown:
    """Decides when the process stops, and until when arriving requests are run.

    A drain runs requests that arrive within a grace period, rejects those that arrive later, and responds to every
    open request before the process is stopped. In a handover to a successor, all requests that still arrive at this
    process are run normally.

    Attributes:
        stops_at: when the process is stopped; None while no shutdown has begun.
        on_accepting_stopped: called when frontends have stopped accepting, after the grace period of a
            drain or in a handover.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        serving_state: ServingState,
        requests: RequestRegistry,
        responses: ResponseDelivery,
        events: EventQueue,
        frontends: list[Frontend],
    ) -> None:
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._serving_state = timeline, serving_state
        self._requests, self._responses = requests, responses
        self._events, self._frontends = events, frontends
        self.stops_at: datetime | None = None
        self.on_accepting_stopped: Callable[[], None] = lambda: None
        # End of the drain's grace period: requests that arrive later are not run. None while no drain has begun.
        self._run_until: datetime | None = None

    @property
    def is_draining(self) -> bool:
        """Whether a drain (a shutdown without a successor) has begun."""
        return self._run_until is not None

    @property
    def in_grace(self) -> bool:
        """Whether a drain has begun and arriving requests are still run."""
        return self._run_until is not None and self._timeline.now() < self._run_until

    def is_too_late(self, arrived_at: datetime) -> bool:
        """Decide whether a request must not run because it arrived after the grace period of a drain.

        The controller has already applied the same rule (`admission.deadlines.last_runnable_arrival`). This is the
        second line of defence, which `run_rules.decide_run` applies to each start. It uses the stated arrival time,
        so with a client clock that runs ahead it may forbid a request that the controller counted within the
        grace period.
        """
        return self._run_until is not None and arrived_at > self._run_until

    def drain(self, stops_at: datetime, noticed_at: datetime, grace: timedelta) -> None:
        """Begin a drain. Does nothing if a drain has already begun.

        Args:
            stops_at: when the process is stopped.
            noticed_at: when the shutdown notice arrived; the grace period counts from then, however late this
                method is called.
            grace: the grace period, in which arriving requests are still run.
        """
        if not self._serving_state.begin_drain():
            return
        self._run_until = noticed_at + grace
        self._stop_at(stops_at)
        self._events.post(Drain(instant_us(stops_at), noticed_at=instant_us(noticed_at)))
        self._timeline.at(
            grace_end(self._run_until, stops_at),
            lambda: self._timeline.after_reading(self.stop_accepting),
        )

    def begin_hand_over(self, stops_at: datetime) -> None:
        """Hand over to a successor that serves. Does nothing if a shutdown has already begun."""
        if self.stops_at is None:
            self._serving_state.begin_hand_over()
            self._stop_at(stops_at)
            self._events.post(Drain(instant_us(stops_at), has_successor=True))
            # Data that has reached a socket owned only by this process is read first: no other process will read it.
            self._timeline.after_reading(self._stop_accepting_after_hand_over)

    def _stop_accepting_after_hand_over(self) -> None:
        # If the successor was lost meanwhile, the process drains and stops accepting after its grace period instead.
        if not self.is_draining:
            self.stop_accepting()

    def _stop_at(self, stops_at: datetime) -> None:
        self.stops_at = min(stops_at, self.stops_at or stops_at)
        log.info(
            "shutdown started: in_flight=%d unanswered=%d", len(self._requests), self._responses.unanswered
        )
        self._timeline.at(self.stops_at - STOP_MARGIN, self.respond_to_all)

    def stop_accepting(self) -> None:
        """Make all frontends stop accepting; their open connections are drained. Has no effect when repeated."""
        for frontend in self._frontends:
            frontend.stop_accepting()
        self.on_accepting_stopped()

    def respond_to_all(self) -> None:
        """Respond to all open requests. This is a fallback: the controller normally has responded earlier."""
        unanswered = Counter(request.stage.value for request in self._requests if not request.is_settled)
        if unanswered:
            stages = ", ".join(f"{stage}: {count}" for stage, count in sorted(unanswered.items()))
            log.warning("requests unanswered before the stop: %s", stages)
        for request in self._requests:
            self._responses.respond_without_outcome(request)
