"""Carries out the controller's actions, each by its own handler."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from marlstep.admission.actions import (
    Action,
    Advertise,
    Attach,
    Call,
    Fail,
    ForgetKey,
    Health,
    IdleLimit,
    KeepKey,
    Log,
    Preempt,
    Reject,
    Run,
    SetTimer,
    SkipCall,
)
from marlstep.admission.settings import Effect
from marlstep.core.counters import CALL_COUNT, RUN_COUNT, RequestCounters
from marlstep.core.drain import GracefulShutdown
from marlstep.core.gauge_timers import GaugeTimers
from marlstep.core.interfaces import CallClient, Frontend, Request, Response, ResponseStatus, Stage
from marlstep.core.repeats import RepeatedWork
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.response_rules import may_reject, status_of_failure
from marlstep.core.responses import ResponseDelivery
from marlstep.core.run_rules import RunDecision, decide_run
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant, span

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ControllerSignals:
    """What the controller last said about the node as a whole.

    Attributes:
        advertised_value: the load signal that every response carries; None for none.
        is_healthy: what the controller would have health checks report.
    """

    advertised_value: float | None = None
    is_healthy: bool = True


class ActionDispatcher:
    """Finds the handler of an action by its type, and the request that it is about by its id.

    An action about a request that has been released is ignored: the controller learns of its end with a later event.
    """

    def __init__(
        self,
        timeline: TimerQueue,
        requests: RequestRegistry,
        responses: ResponseDelivery,
        repeats: RepeatedWork,
        counters: RequestCounters,
        gauge_timers: GaugeTimers,
        shutdown: GracefulShutdown,
        frontends: list[Frontend],
        call_client: CallClient,
    ) -> None:
        """Work on these collaborators, which the core shares among its parts."""
        self._timeline, self._requests, self._responses = timeline, requests, responses
        self._repeats, self._counters, self._gauge_timers = repeats, counters, gauge_timers
        self._shutdown, self._frontends, self._call_client = shutdown, frontends, call_client
        self.signals = ControllerSignals()
        # A handler takes exactly the type under which it stands, which no annotation of a mapping can say.
        self._node_handlers: dict[type[Any], Callable[[Any], None]] = {
            SetTimer: self._set_timer,
            Advertise: self._advertise,
            Health: self._report_health,
            IdleLimit: self._limit_idle_time,
            Log: self._log,
        }
        self._request_handlers: dict[type[Any], Callable[[Request, Any], None]] = {
            Run: self._run,
            Preempt: self._preempt,
            Reject: self._reject,
            Fail: self._fail,
            KeepKey: self._keep_key,
            ForgetKey: self._forget_key,
            Attach: self._attach,
            Call: self._call,
            SkipCall: self._skip_call,
        }

    def execute_all(self, actions: Iterable[Action]) -> None:
        """Carry out actions in their order. One that fails is logged, and takes no other along."""
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("controller action failed: action=%s", action)

    def _execute(self, action: Action) -> None:
        request_handler = self._request_handlers.get(type(action))
        if request_handler is None:
            self._node_handlers[type(action)](action)
        elif (request := self._requests.find(action.id)) is not None:  # type: ignore[union-attr]
            request_handler(request, action)
            self._responses.release_if_finished(request)

    # Actions about the node.

    def _set_timer(self, action: SetTimer) -> None:
        self._gauge_timers.set_timer(span(action.after_us), action.tag)

    def _advertise(self, action: Advertise) -> None:
        self.signals.advertised_value = action.value

    def _report_health(self, action: Health) -> None:
        self.signals.is_healthy = action.good

    def _limit_idle_time(self, action: IdleLimit) -> None:
        for frontend in self._frontends:
            frontend.limit_idle_time(span(action.after_us))

    def _log(self, action: Log) -> None:
        log.info("controller message: text=%s", action.text)

    # Actions about a request.

    def _run(self, request: Request, action: Run) -> None:
        """Start or resume a run. All runs are started here."""
        decision = decide_run(
            request.stage,
            may_have_run=request.may_have_run,
            responded=request.responded,
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
            self._repeats.retain_key(request, span(settings.idempotency_window_us + settings.deadline_us))
        self._counters.count(request, RUN_COUNT)
        request.backend.start(request)

    def _preempt(self, request: Request, _action: Preempt) -> None:
        if request.stage is Stage.RUNNING:
            request.pause_requested = True
            request.backend.pause(request)

    def _reject(self, request: Request, action: Reject) -> None:
        has_effect = request.class_settings.effect is not Effect.IDEMPOTENT
        if may_reject(may_have_run=request.may_have_run, has_effect=has_effect):
            retry_after = span(action.retry_after_us)
            response = Response(
                ResponseStatus.REJECTED, retry_after=retry_after, no_failover=action.no_failover
            )
            self._responses.respond(request, response)
        else:
            log.error("rejection of work that may have run: request=%s sent_as=failed", action.id)
            self._responses.respond(request, Response(ResponseStatus.FAILED))

    def _fail(self, request: Request, _action: Fail) -> None:
        self._responses.respond(request, Response(status_of_failure(call_failed=request.call_failed)))

    def _keep_key(self, request: Request, action: KeepKey) -> None:
        self._repeats.retain_key(request, span(action.lifetime_us))

    def _forget_key(self, request: Request, _action: ForgetKey) -> None:
        self._repeats.release_key(request)

    def _attach(self, request: Request, _action: Attach) -> None:
        self._repeats.attach(request)

    def _call(self, request: Request, action: Call) -> None:
        if request.stage is Stage.AWAITING_CALL:
            request.stage, request.call_started_at = Stage.CALLING, self._timeline.now()
            self._counters.count(request, CALL_COUNT)
            self._call_client.call(request, instant(action.until_us))

    def _skip_call(self, request: Request, _action: SkipCall) -> None:
        request.stage, request.call_failed = Stage.RUNNING, False
        request.backend.skip(request)
