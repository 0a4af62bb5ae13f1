"""Delivery of responses: the one place where a final response leaves, and where a request ends.

Each accepted request is owed one response. Once it has left, or the client has disconnected, the request is settled:
its run is abandoned or its key is dropped, its repeats get its result, and when nothing runs any more it is released.
"""

from __future__ import annotations

import logging
from datetime import timedelta

from marlstep.admission.events import ClientDisconnected, Outcome, RunEnded
from marlstep.admission.settings import Effect
from marlstep.core.counters import RequestCounters
from marlstep.core.event_queue import EventQueue
from marlstep.core.idempotency import KeyTable
from marlstep.core.interfaces import Request, Response, ResponseStatus, Stage
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.response_rules import status_of_repeat, status_without_outcome
from marlstep.core.served_settings import ServedSettings
from marlstep.timer_queue import TimerQueue
from marlstep.units import ZERO, span

log = logging.getLogger(__name__)

# The backend has a run to end, whose end it reports. A paused run is none: nothing of it executes, and no backend has
# anything to do for it. The kernel drops it when it sees the response, without a report (see `KernelClient.abandon` and
# the emulated kernel's `response_delivered`), and upstreams pause no run. So the request is over once it is settled.
RUN_STAGES = frozenset({Stage.RUNNING, Stage.AWAITING_CALL, Stage.CALLING})


class ResponseDelivery:
    """Sends responses, shares results with repeats, and releases requests. It owns the count of those unanswered.

    Attributes:
        unanswered: accepted requests that are still owed a response.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        requests: RequestRegistry,
        keys: KeyTable,
        counters: RequestCounters,
        events: EventQueue,
        served: ServedSettings,
    ) -> None:
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._requests, self._keys = timeline, requests, keys
        self._counters, self._events, self._served = counters, events, served
        self.unanswered = 0

    def track_response(self, request: Request) -> None:
        """Owe a request its response, by its deadline at the latest."""
        self.unanswered += 1
        request.deadline_timer = self._timeline.at(request.deadline_at, lambda: self._on_deadline(request))

    def respond(self, request: Request, response: Response) -> None:
        """Send the final response, unless none is owed any more. All final responses leave here."""
        if request.is_settled:
            return
        self._counters.count(request, response.status.value)
        request.frontend.deliver(request.response_handle, response)
        self.settle(request)

    def reject(self, request: Request) -> None:
        """Respond that this attempt did not run, with the longest Retry-After."""
        self.respond(request, Response(ResponseStatus.REJECTED, retry_after=self.retry_after()))

    def respond_without_outcome(self, request: Request) -> None:
        """Respond although no outcome is known: expired if the request may have run, else rejected."""
        if request.is_settled:
            return
        status = status_without_outcome(may_have_run=request.may_have_run)
        if status is ResponseStatus.REJECTED:
            self.reject(request)
        else:
            self.respond(request, Response(status))
        self.release_if_finished(request)

    def give_up(self, request: Request) -> None:
        """Respond without an outcome, and tell the controller that the request needs nothing more."""
        self.respond_without_outcome(request)
        self._events.post(ClientDisconnected(request.id))

    def retry_after(self) -> timedelta:
        """Return the longest Retry-After that is allowed, for where the controller gave none; zero if none is sent."""
        settings = self._served.settings
        return span(settings.max_retry_after_us) if settings.sends_retry_after else ZERO

    def _on_deadline(self, request: Request) -> None:
        """Respond at the deadline whatever happens. The controller responds earlier; this stands behind it."""
        if not request.is_settled:
            log.warning(
                "request unanswered at its deadline: request=%s stage=%s", request.id, request.stage.value
            )
            self.give_up(request)

    def settle(self, request: Request) -> None:
        """Note that no response is owed any more, and end what doesn't run.

        A run that goes on is abandoned, and its backend reports the end. The key of work that never began is
        dropped; the repeats of anything that is over by this get a failure.
        """
        request.is_settled = True
        self.unanswered -= 1
        self._timeline.cancel(request.deadline_timer)
        if request.stage in RUN_STAGES:
            request.backend.abandon(request)
        elif request.stage is not Stage.FINISHED:
            never_began = request.stage is Stage.QUEUED and not request.may_have_run
            if request.idempotency_key and never_began:
                # Inside its window as well: work that never ran may be begun by the next attempt.
                self._keys.drop(request.idempotency_key, request.id, even_if_retained=True)
            request.stage = Stage.FINISHED
            self.forward_result(request, Outcome.ERROR, b"")
        self.release_if_finished(request)

    def forward_result(self, request: Request, outcome: Outcome, result: bytes) -> None:
        """Pass the end of a run to the repeats that wait for it, and keep it for those still to come."""
        if request.idempotency_key and request.class_settings.effect is Effect.KEYED:
            self._keys.finish(request.idempotency_key, request.id, result if outcome is Outcome.OK else None)
        for repeat_id in request.attached_request_ids:
            repeat = self._requests.find(repeat_id)
            if repeat is not None and repeat.stage is Stage.ATTACHED:
                self.share_result(repeat, outcome if outcome is Outcome.OK else Outcome.ERROR, result)
        request.attached_request_ids.clear()

    def share_result(self, repeat: Request, outcome: Outcome, result: bytes) -> None:
        """End a repeat with the outcome of the request that it repeats."""
        repeat.stage = Stage.FINISHED
        status = status_of_repeat(outcome)
        self.respond(repeat, Response(status, result if status is ResponseStatus.DONE else b""))
        self._events.post(RunEnded(repeat.id, outcome, 0))
        self.release_if_finished(repeat)

    def release_if_finished(self, request: Request) -> None:
        """Release a request that is settled and whose run is over. All requests are released here.

        Its key is dropped with it, unless the key is retained for a window: the work may have run, so that
        `even_if_retained` would let a repeat run it again.
        """
        finished = request.is_settled and request.stage is Stage.FINISHED
        if finished and self._requests.release(request) and request.idempotency_key:
            self._keys.drop(request.idempotency_key, request.id, even_if_retained=False)
