"""Dispatches the controller's actions to their handlers by action type."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
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
from marlstep.core.interfaces import Request
from marlstep.core.node_actions import NodeActions
from marlstep.core.request_actions import RequestActions
from marlstep.core.request_registry import RequestRegistry
from marlstep.core.responses import ResponseDelivery

log = logging.getLogger(__name__)

# Each handler takes the action type that it is registered under. A mapping's type can't express that, hence Any.
NodeHandler = Callable[[Any], None]
RequestHandler = Callable[[Request, Any], None]


class ActionDispatcher:
    """Looks up the handler of an action by its type, and the request that it concerns by its id.

    Actions about a released request are ignored: the controller learns of the request's end from a later event.
    """

    def __init__(
        self,
        requests: RequestRegistry,
        responses: ResponseDelivery,
        node: NodeActions,
        request: RequestActions,
    ) -> None:
        """Register the handlers.

        Args:
            requests: the requests in flight.
            responses: releases requests that an action has finished.
            node: handles the actions about the node as a whole.
            request: handles the actions about one request.
        """
        self._requests, self._responses = requests, responses
        self._node_handlers: dict[type[Any], NodeHandler] = {
            SetTimer: node.set_timer,
            Advertise: node.advertise,
            Health: node.report_health,
            IdleLimit: node.limit_idle_time,
            Log: node.log_message,
        }
        self._request_handlers: dict[type[Any], RequestHandler] = {
            Run: request.run,
            Preempt: request.preempt,
            Reject: request.reject,
            Fail: request.fail,
            KeepKey: request.keep_key,
            ForgetKey: request.forget_key,
            Attach: request.attach,
            Call: request.call,
            SkipCall: request.skip_call,
        }

    def execute_all(self, actions: Iterable[Action]) -> None:
        """Carry out actions in order. An exception is logged and does not stop the actions that follow."""
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("controller action failed: action=%s", action)

    def _execute(self, action: Any) -> None:  # noqa: ANN401  (the handler tables define which types have an id)
        request_handler = self._request_handlers.get(type(action))
        if request_handler is None:
            self._node_handlers[type(action)](action)
            return
        request = self._requests.find(action.id)
        if request is not None:
            request_handler(request, action)
            self._responses.release_if_finished(request)
