"""Delivery of responses. Only this module sends final responses and ends requests.

Each accepted request gets one response. A request is settled once that was sent or the client has disconnected. Then
its run is abandoned or its key is dropped, its repeats get its result, and it is released once nothing runs any more.
"""

from __future__ import annotations

import logging
from datetime import timedelta

from marlstep.admission.events import ClientDisconnected, Outcome, RunEnded
from marlstep.admission.settings import Effect
from marlstep.core.arrivals import effective_arrival_time, original_in_flight
from marlstep.core.counters import RequestCounters
from marlstep.core.event_queue import EventQueue
from marlstep.core.idempotency import KeyTable
from marlstep.core.interfaces import Request, Response, ResponseStatus, Stage
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.response_rules import (
    status_of_repeat,
    status_without_outcome,
    work_may_have_run,
)
from marlstep.core.served_settings import ServedSettings
from marlstep.timer_queue import TimerQueue
from marlstep.units import ZERO, span

log = logging.getLogger(__name__)

# Stages with a run in the backend that must be abandoned, and whose end the backend reports. A paused run is not
# included: the kernel drops it when it sees the response, without a report (see `KernelClient.abandon` and the emulated
# kernel's `response_delivered`), and upstreams don't pause runs. A paused request is therefore finished once settled.
RUN_STAGES = frozenset({Stage.RUNNING, Stage.AWAITING_CALL, Stage.CALLING})


class ResponseDelivery:
    """Sends responses, shares results with repeats, releases requests, and counts unanswered requests.

    Attributes:
        unanswered: number of accepted requests that still await their response.
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
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._requests, self._keys = timeline, requests, keys
        self._counters, self._events, self._served = counters, events, served
        self.unanswered = 0

    def track_response(self, request: Request) -> None:
        """Count an accepted request as unanswered, and set the timer for its deadline."""
        self.unanswered += 1
        request.deadline_timer = self._timeline.at(request.deadline_at, lambda: self._on_deadline(request))

    def respond(self, request: Request, response: Response) -> None:
        """Send the final response, unless the request is settled. All final responses are sent by this method."""
        if request.is_settled:
            return
        self._counters.count(request, response.status.value)
        request.frontend.deliver(request.response_handle, response)
        self.settle(request)

    def work_may_have_run(self, request: Request) -> bool:
        """Return whether the request's work has run or may have run on this node, in any attempt.

        If so, the request must not be rejected: the client would run the work again on another node.
        """
        key = request.idempotency_key
        if key is None:
            return work_may_have_run(request, None, None)
        arrived_at = effective_arrival_time(self._timeline.now(), request.inbound.arrived_at)
        record = self._keys.find(key, arrived_at)
        original = original_in_flight(self._requests, request, record) if record else None
        return work_may_have_run(request, record, original)

    def reject(self, request: Request) -> None:
        """Send a rejection, which promises that the work did not run here, with the longest Retry-After."""
        self.respond(request, Response(ResponseStatus.REJECTED, retry_after=self.retry_after()))

    def respond_without_outcome(self, request: Request) -> None:
        """Respond before an outcome is known: expired if the work may have run, in any attempt, else rejected."""
        if request.is_settled:
            return
        status = status_without_outcome(may_have_run=self.work_may_have_run(request))
        if status is ResponseStatus.REJECTED:
            self.reject(request)
        else:
            self.respond(request, Response(status))
        self.release_if_finished(request)

    def give_up(self, request: Request) -> None:
        """Respond without an outcome, and make the controller drop the request by a `ClientDisconnected` event."""
        self.respond_without_outcome(request)
        self._events.post(ClientDisconnected(request.id))

    def retry_after(self) -> timedelta:
        """Return the maximum Retry-After, used for rejections not made by the controller; zero if none is sent."""
        settings = self._served.settings
        return span(settings.max_retry_after_us) if settings.sends_retry_after else ZERO

    def _on_deadline(self, request: Request) -> None:
        """Respond at the deadline in any stage. This is a fallback: the controller normally responds earlier."""
        if not request.is_settled:
            log.warning(
                "request unanswered at its deadline: request=%s stage=%s", request.id, request.stage.value
            )
            self.give_up(request)

    def settle(self, request: Request) -> None:
        """Mark a request as settled. Abandon its run if it has one, else finish the request.

        An abandoned run ends with a report of its backend. A request that is finished here fails its attached repeats,
        and if it never began to run, its key is dropped.
        """
        request.is_settled = True
        self.unanswered -= 1
        self._timeline.cancel(request.deadline_timer)
        if request.stage in RUN_STAGES:
            request.backend.abandon(request)
        elif request.stage is not Stage.FINISHED:
            never_began = request.stage is Stage.QUEUED and not request.may_have_run
            if request.idempotency_key and never_began:
                # Drop it within its window too: the work never ran, so the next attempt may run it.
                self._keys.drop(request.idempotency_key, request.id, even_if_retained=True)
            request.stage = Stage.FINISHED
            self.forward_result(request, Outcome.ERROR, b"")
        self.release_if_finished(request)

    def forward_result(self, request: Request, outcome: Outcome, result: bytes) -> None:
        """Share the outcome of a run with the attached repeats, and record the result for later repeats."""
        if request.idempotency_key and request.class_settings.effect is Effect.KEYED:
            self._keys.finish(request.idempotency_key, request.id, result if outcome is Outcome.OK else None)
        for repeat_id in request.attached_request_ids:
            repeat = self._requests.find(repeat_id)
            if repeat is not None and repeat.stage is Stage.ATTACHED:
                self.share_result(repeat, outcome if outcome is Outcome.OK else Outcome.ERROR, result)
        request.attached_request_ids.clear()

    def share_result(self, repeat: Request, outcome: Outcome, result: bytes) -> None:
        """Finish a repeat with the outcome and the result of its original request."""
        repeat.stage = Stage.FINISHED
        status = status_of_repeat(outcome)
        self.respond(repeat, Response(status, result if status is ResponseStatus.DONE else b""))
        self._events.post(RunEnded(repeat.id, outcome, 0))
        self.release_if_finished(repeat)

    def release_if_finished(self, request: Request) -> None:
        """Release a request that is settled and finished. All requests are released by this method.

        Its key is dropped with it, unless the key is retained for a window. In that case the work may have run, so
        dropping the key with `even_if_retained` would allow a repeat to run it again.
        """
        finished = request.is_settled and request.stage is Stage.FINISHED
        if finished and self._requests.release(request) and request.idempotency_key:
            self._keys.drop(request.idempotency_key, request.id, even_if_retained=False)
