"""How the core leaves: graceful shutdown alone, or after a hot restart beside a successor that serves."""

from __future__ import annotations

import logging
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

# Before the process is stopped, all open requests get their response. Second of three margins, each a line of defence
# for the one before: the controller responds first (`admission.deadlines.drain_response_deadline`), then the core, then
# the process ends by itself (`marlstep.drain.EXIT_MARGIN`).
STOP_MARGIN = 150 * MILLISECOND


def grace_end(run_until: datetime, stops_at: datetime) -> datetime:
    """Return when frontends stop accepting: after the drain's grace, or earlier where the process stops before it."""
    return min(run_until, stops_at - STOP_MARGIN)


class GracefulShutdown:
    """Owns when the process stops, and until when arrivals are run.

    A drain runs what arrives within a grace, rejects what arrives later, and gives every open request a response
    before the process is stopped. Beside a successor, everything that still arrives here is run as ever.

    Attributes:
        stops_at: when the process is stopped; None while it stays.
        on_accepting_stopped: called when frontends have stopped accepting, after the grace or for a successor.
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
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._serving_state = timeline, serving_state
        self._requests, self._responses = requests, responses
        self._events, self._frontends = events, frontends
        self.stops_at: datetime | None = None
        self.on_accepting_stopped: Callable[[], None] = lambda: None
        self._run_until: datetime | None = (
            None  # what arrives later is not run; None while no drain has begun
        )

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun: a shutdown without a successor."""
        return self._run_until is not None

    @property
    def in_grace(self) -> bool:
        """Whether a drain has begun and arrivals are still run."""
        return self._run_until is not None and self._timeline.now() < self._run_until

    def is_too_late(self, arrived_at: datetime) -> bool:
        """Decide whether a request that arrived then must not run: it came after the grace of a drain.

        The controller has decided by the same rule before (`admission.deadlines.last_runnable_arrival`); this is the
        second line of defence, which `run_rules.decide_run` applies to each start. The arrival counts as stated, so
        that a client's clock that runs ahead may bring a request here that the controller took for one of the grace.
        """
        return self._run_until is not None and arrived_at > self._run_until

    def drain(self, stops_at: datetime, noticed_at: datetime, grace: timedelta) -> None:
        """Begin graceful shutdown; does nothing where it has begun before.

        Args:
            stops_at: when the process is stopped.
            noticed_at: when the notice to leave came; the grace counts from then, however late this is called.
            grace: for which arrivals are still run.
        """
        if not self._serving_state.begin_drain():
            return
        self._run_until = noticed_at + grace
        self._stop_at(stops_at)
        self._events.post(Drain(instant_us(stops_at), noticed_at=instant_us(noticed_at)))
        self._timeline.at(
            grace_end(self._run_until, stops_at),
            lambda: self._timeline.after_reading(self._stop_accepting),
        )

    def begin_hand_over(self, stops_at: datetime) -> None:
        """Leave to a successor that serves; does nothing where the process leaves already."""
        if self.stops_at is None:
            self._serving_state.begin_hand_over()
            self._stop_at(stops_at)
            self._events.post(Drain(instant_us(stops_at), has_successor=True))
            # What has come to a socket of this process alone is read first: nobody else will read it.
            self._timeline.after_reading(self._stop_accepting_after_hand_over)

    def _stop_accepting_after_hand_over(self) -> None:
        if not self.is_draining:  # else the successor was lost meanwhile, and the drain's own grace counts
            self._stop_accepting()

    def _stop_at(self, stops_at: datetime) -> None:
        self.stops_at = min(stops_at, self.stops_at or stops_at)
        log.info(
            "shutdown started: in_flight=%d unanswered=%d", len(self._requests), self._responses.unanswered
        )
        self._timeline.at(self.stops_at - STOP_MARGIN, self._respond_to_all)

    def _stop_accepting(self) -> None:
        for frontend in self._frontends:
            frontend.stop_accepting()
        self.on_accepting_stopped()

    def _respond_to_all(self) -> None:
        """Respond to what is open. The controller has done so well before; this stands behind it."""
        for request in self._requests:
            self._responses.respond_without_outcome(request)
