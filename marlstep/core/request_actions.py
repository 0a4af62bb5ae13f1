"""The controller's actions about one request. Only this module starts runs and downstream calls."""

from __future__ import annotations

import logging
from datetime import timedelta

from marlstep.admission.actions import Attach, Call, Fail, ForgetKey, KeepKey, Preempt, Reject, Run, SkipCall
from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.counters import CALL_COUNT, RUN_COUNT, RequestCounters
from marlstep.core.drain import GracefulShutdown
from marlstep.core.interfaces import CallClient, Request, Response, ResponseStatus, Stage
from marlstep.core.repeats import RepeatedWork
from marlstep.core.response_rules import may_reject, status_of_failure
from marlstep.core.responses import ResponseDelivery
from marlstep.core.run_rules import RunDecision, decide_run
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant, span

log = logging.getLogger(__name__)


def max_retry_span(settings: ClassSettings) -> timedelta:
    """Return how long after the start of a run a repeat of at-most-once work may arrive.

    The first attempt may be open until its deadline, and the idempotency window of the class follows. Keyed work does
    not need this bound: the controller counts its window from the arrival, and its `KeepKey` action says how long the
    key is kept. In both cases `RepeatedWork.retain_key` adds the time for which a repeat may wait unread.
    """
    return span(settings.idempotency_window_us + settings.deadline_us)


class RequestActions:
    """Carries out the actions about one request, with one method for each type of action."""

    def __init__(
        self,
        timeline: TimerQueue,
        responses: ResponseDelivery,
        repeats: RepeatedWork,
        counters: RequestCounters,
        shutdown: GracefulShutdown,
        call_client: CallClient,
    ) -> None:
        """Initialize with the collaborators that the parts of the core share."""
        self._timeline, self._responses, self._repeats = timeline, responses, repeats
        self._counters, self._shutdown, self._call_client = counters, shutdown, call_client

    def run(self, request: Request, action: Run) -> None:
        """Start a queued request or resume a paused one, or abandon the request if `decide_run` forbids the run."""
        decision = decide_run(
            request.stage,
            may_have_run=request.may_have_run,
            is_settled=request.is_settled,
            has_effect=request.class_settings.effect is not Effect.IDEMPOTENT,
            arrived_too_late=self._shutdown.is_too_late(request.inbound.arrived_at),
        )
        if decision is RunDecision.START:
            self._start(request)
        elif decision is RunDecision.RESUME:
            request.stage = Stage.RUNNING
            request.backend.resume(request)
        elif decision is RunDecision.FORBIDDEN:
            log.error("run forbidden: request=%s stage=%s", action.id, request.stage.value)
            self._responses.give_up(request)

    def _start(self, request: Request) -> None:
        request.stage, request.may_have_run = Stage.RUNNING, True
        settings = request.class_settings
        if settings.effect is Effect.AT_MOST_ONCE:
            self._repeats.retain_key(request, max_retry_span(settings))
        self._counters.count(request, RUN_COUNT)
        request.backend.start(request)

    def preempt(self, request: Request, _action: Preempt) -> None:
        """Ask the backend to preempt a run."""
        if request.stage is Stage.RUNNING:
            request.preempt_requested = True
            request.backend.preempt(request)

    def reject(self, request: Request, action: Reject) -> None:
        """Send a rejection, or a failure if the request has an effect and its work may have run in any attempt."""
        has_effect = request.class_settings.effect is not Effect.IDEMPOTENT
        if may_reject(may_have_run=self._responses.work_may_have_run(request), has_effect=has_effect):
            retry_after = span(action.retry_after_us)
            response = Response(
                ResponseStatus.REJECTED, retry_after=retry_after, no_failover=action.no_failover
            )
            self._responses.respond(request, response)
        else:
            log.error("rejection of work that may have run: request=%s sent_as=failed", action.id)
            self._responses.respond(request, Response(ResponseStatus.FAILED))

    def fail(self, request: Request, _action: Fail) -> None:
        """Send a failure, which leaves open whether the request had its effect."""
        self._responses.respond(request, Response(status_of_failure(call_failed=request.call_failed)))

    def keep_key(self, request: Request, action: KeepKey) -> None:
        """Keep the request's idempotency key for the lifetime given by the action, counted from now."""
        self._repeats.retain_key(request, span(action.lifetime_us))

    def forget_key(self, request: Request, _action: ForgetKey) -> None:
        """Drop the idempotency key of a request that never ran."""
        self._repeats.drop_key(request)

    def attach(self, request: Request, _action: Attach) -> None:
        """Attach a repeat to its original request, whose result it shares."""
        self._repeats.attach(request)

    def call(self, request: Request, action: Call) -> None:
        """Make the downstream call that a run waits for."""
        if request.stage is Stage.AWAITING_CALL:
            request.stage, request.call_started_at = Stage.CALLING, self._timeline.now()
            self._counters.count(request, CALL_COUNT)
            self._call_client.call(request, instant(action.until_us))

    def skip_call(self, request: Request, _action: SkipCall) -> None:
        """Continue a run without its downstream call."""
        request.stage, request.call_failed = Stage.RUNNING, False
        request.backend.skip(request)
