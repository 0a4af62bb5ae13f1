"""Handling of reports from backends and call clients: stage changes, responses and events for the controller."""

from __future__ import annotations

from datetime import timedelta

from marlstep.admission.events import CallEnded, CallNeeded, Outcome, RunEnded
from marlstep.admission.settings import PreemptionMode
from marlstep.core.event_queue import EventQueue
from marlstep.core.interfaces import CallClient, Request, Response, ResponseStatus, Stage
from marlstep.core.repeats import RepeatedWork
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.response_rules import status_after_run
from marlstep.core.responses import ResponseDelivery
from marlstep.core.served_settings import ServedSettings
from marlstep.timer_queue import TimerQueue
from marlstep.units import span_us


def was_preempted(outcome: Outcome, *, preempt_requested: bool, is_settled: bool) -> bool:
    """Decide whether a run ended by preemption, so that it can be resumed or started again.

    It did if the core had requested the preemption and the run was cancelled. Any other end is final, including a
    cancellation that the core did not ask for, and the end of a settled request, which is never resumed.
    """
    return outcome is Outcome.CANCELLED and preempt_requested and not is_settled


class RunEvents:
    """Applies reports to the requests in flight. Reports on released requests are ignored."""

    def __init__(
        self,
        timeline: TimerQueue,
        requests: RequestRegistry,
        responses: ResponseDelivery,
        repeats: RepeatedWork,
        events: EventQueue,
        served: ServedSettings,
        call_client: CallClient,
    ) -> None:
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._requests, self._responses = timeline, requests, responses
        self._repeats, self._events, self._served = repeats, events, served
        self._call_client = call_client

    def run_ended(self, request_id: str, outcome: Outcome, elapsed: timedelta, result: bytes) -> None:
        """Record that the run was preempted, or finish the request and send its response."""
        request = self._requests.find(request_id)
        if request is None:
            return
        if was_preempted(outcome, preempt_requested=request.preempt_requested, is_settled=request.is_settled):
            self._on_preempted(request)
        else:
            self._finish_run(request, outcome, result)
            if outcome is Outcome.CANCELLED:
                # The controller treats a cancelled run as paused. As this end is final, it would keep an entry that
                # never ends, and confuse it with a later request that reuses the id.
                outcome = Outcome.ERROR
        self._events.post(RunEnded(request_id, outcome, span_us(elapsed)))
        self._responses.release_if_finished(request)

    def _on_preempted(self, request: Request) -> None:
        request.preempt_requested = False
        request.known_to_have_run = True
        drops_work = self._served.settings.preemption_mode is PreemptionMode.DROP
        request.stage = Stage.QUEUED if drops_work else Stage.PAUSED

    def _finish_run(self, request: Request, outcome: Outcome, result: bytes) -> None:
        if request.stage is Stage.CALLING:
            self._call_client.abandon_call(request)
        request.stage = Stage.FINISHED
        status = status_after_run(outcome, known_to_have_run=request.known_to_have_run)
        if status is ResponseStatus.REJECTED:
            self._repeats.drop_key(request)
            self._responses.reject(request)
        else:
            body = result if status is ResponseStatus.DONE else b""
            self._responses.respond(request, Response(status, body))
        self._responses.forward_result(request, outcome, result)

    def call_needed(self, request_id: str, body: bytes) -> None:
        """Record that the run waits for a downstream call, and ask the controller to decide on the call."""
        request = self._requests.find(request_id)
        if request is not None:
            request.stage, request.call_body = Stage.AWAITING_CALL, body
            request.known_to_have_run = True
            request.preempt_requested = False  # the run reached its call before the preemption took effect
            self._events.post(CallNeeded(request_id))

    def call_ended(self, request_id: str, outcome: Outcome, reply: bytes) -> None:
        """Continue the run with the reply, or after a failed call wait for the controller to decide again."""
        request = self._requests.find(request_id)
        if request is None or request.stage is not Stage.CALLING:
            return
        now = self._timeline.now()
        elapsed = now - (request.call_started_at or now)
        request.call_failed = outcome is not Outcome.OK
        if request.call_failed:
            request.stage = Stage.AWAITING_CALL
        else:
            request.stage = Stage.RUNNING
            request.backend.supply(request, reply)
        self._events.post(CallEnded(request_id, outcome, span_us(elapsed)))
