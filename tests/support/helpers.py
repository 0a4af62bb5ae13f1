"""Settings and a driver for tests of the admission controller."""

from __future__ import annotations

import dataclasses
from typing import Any

from marlstep.admission.actions import Action
from marlstep.admission.controller import Controller
from marlstep.admission.events import Arrival, Event, Outcome, RunEnded, TimerDue
from marlstep.admission.settings import (
    ClassSettings,
    Downstream,
    Effect,
    LoadSignal,
    PreemptionMode,
    Settings,
)

START = 5_000_000
MS = 1000  # microseconds


def request_class(name: str, effect: Effect = Effect.IDEMPOTENT, **other: Any) -> ClassSettings:
    """Return settings of a request class; keyword arguments replace the defaults.

    By default: latency objective 2 s, deadline 4 s, idempotency window 8 s.
    """
    defaults = ClassSettings(
        name=name,
        effect=effect,
        latency_objective_us=2_000 * MS,
        deadline_us=4_000 * MS,
        idempotency_window_us=8_000 * MS,
        priority_weight=1.0,
        late_response_factor=0.0,
        makes_calls=False,
        skipped_call_factor=0.0,
    )
    return dataclasses.replace(defaults, **other)


LOW = request_class("low")
HIGH = request_class("high", priority_weight=3.0)
KEYED = request_class("keyed", priority_weight=2.0, effect=Effect.KEYED)
AT_MOST_ONCE = request_class("unsafe", priority_weight=2.0, effect=Effect.AT_MOST_ONCE)
CLASSES = (LOW, HIGH, KEYED, AT_MOST_ONCE)


def settings(**other: Any) -> Settings:
    """Return controller settings for 2 cores and 3 servers; keyword arguments replace the defaults."""
    defaults = Settings(
        classes=CLASSES,
        tenants=(),
        over_quota_factor=1.0,
        cores=2,
        memory_kb=1000.0,
        running_memory_factor=4.0,
        idempotency_key_kb=5.0,
        cacheable_us=0,
        server_count=3,
        caller_count=2,
        warms_up=False,
        initial_capacity_share=0.25,
        warm_up_us=10_000 * MS,
        overload_concurrency_factor=8.0,
        overload_duration_us=1_500 * MS,
        drain_grace_us=1_000 * MS,
        response_margin_us=60 * MS,
        tick_us=5 * MS,
        preemption_mode=PreemptionMode.PAUSE,
        load_signal=LoadSignal.NONE,
        load_signal_lifetime_us=1_000 * MS,
        dependency=Downstream.NONE,
        mean_calls_in_flight=0.0,
        call_averaging_us=5_000 * MS,
        abandoned_call_us=200 * MS,
        idle_timeout_us=30_000 * MS,
        endpoint_list_follows_health=False,
        deep_health_checks=False,
        sends_retry_after=True,
        max_retry_after_us=1_000 * MS,
        marks_retries=False,
    )
    return dataclasses.replace(defaults, **other)


class ControllerDriver:
    """A controller on a clock that only advances in `step`.

    Each step passes events to the controller and returns its actions on requests as pairs of action name and id.
    """

    def __init__(self, **other: Any) -> None:
        self.settings = settings(**other)
        self.controller = Controller(self.settings, 1)
        self.now = START
        self.actions: list[tuple[str, str]] = []  # (action name, request id) of all steps
        self.step()

    def step(self, *events: Event, after_ms: float = 0) -> list[tuple[str, str]]:
        """Advance the clock, then pass the events to the controller."""
        self.now += int(after_ms * MS)
        self.last = self.controller.decide(self.now, list(events))
        actions = [(type(action).__name__, action.id) for action in self.last if hasattr(action, "id")]
        self.actions += actions
        return actions

    def arrive(
        self, id: str, class_name: str = "low", after_ms: float = 0, **other: Any
    ) -> list[tuple[str, str]]:
        return self.step(self.request(id, class_name, after_ms=after_ms, **other), after_ms=after_ms)

    def request(self, id: str, class_name: str = "low", after_ms: float = 0, **other: Any) -> Arrival:
        defaults = Arrival(id=id, request_class=class_name, memory_kb=10.0, caller=1, unread_us=0)
        defaults.caller_deadline_at = self.now + int(after_ms * MS) + 4_000 * MS
        return dataclasses.replace(defaults, **other)

    def tick(self, after_ms: float = 0, cpu: float = 1.0) -> list[tuple[str, str]]:
        return self.step(TimerDue(self.controller.timer.due_at, {"cpu": cpu}), after_ms=after_ms)

    def end(
        self, id: str, outcome: Outcome = Outcome.OK, after_ms: float = 0, *more: Event
    ) -> list[tuple[str, str]]:
        return self.step(RunEnded(id, outcome, 0), *more, after_ms=after_ms)

    def actions_of(self, action_type: type[Action]) -> list[Any]:
        """Return the actions of this type in the last step."""
        return [action for action in self.last if isinstance(action, action_type)]
