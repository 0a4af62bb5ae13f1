"""A simulated server that feeds seeded random events to an admission controller and digests its actions.

All randomness comes from `random.Random(seed)`. The server carries out actions only as far as later events depend on
them, so a sequence is reproducible as long as the controller's actions stay the same.
"""

from __future__ import annotations

import dataclasses
import hashlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

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
from marlstep.admission.controller import Controller
from marlstep.admission.events import (
    Arrival,
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Measurements,
    Outcome,
    PoolCapacityChanged,
    PortionChanged,
    QuotaChanged,
    RunEnded,
    SettingsChanged,
    TimerDue,
)
from marlstep.admission.settings import (
    Downstream,
    Effect,
    LoadSignal,
    PreemptionMode,
    Settings,
    TenantSettings,
)
from tests.support import helpers

TURNS = 40
MS = 1_000
OUTCOMES = (*[Outcome.OK] * 12, *Outcome)
STORED_NAMES: dict[type, str] = {
    Run: "run",
    Preempt: "halt",
    Reject: "refuse",
    Fail: "fail",
    KeepKey: "keep",
    ForgetKey: "forget",
    Attach: "attach",
    Call: "call",
    SkipCall: "skip",
    Advertise: "say",
    Health: "health",
    IdleLimit: "idle",
    SetTimer: "timer",
    Log: "log",
}


@dataclass(slots=True)
class SimulatedRequest:
    """State of one request on the simulated server."""

    number: int
    request_class: str
    key: int
    is_keyed: bool
    caller: int
    state: str = "queued"  # or running, awaiting call, calling, paused, attached, finished
    is_key_kept: bool = False


def variants() -> dict[str, Settings]:
    """Return settings by name that together cover preemption, dependencies, load signals, tenants and warm-up."""
    classes = tuple(dataclasses.replace(each, makes_calls=True) for each in helpers.CLASSES)
    calls_skippable = tuple(
        dataclasses.replace(
            each,
            late_response_factor=0.2,
            skipped_call_factor=0.5 if each.effect is Effect.IDEMPOTENT else 0.0,
        )
        for each in classes
    )
    tenants = (
        TenantSettings("riad", 0.2, 12.0),
        TenantSettings("souk", 0.1, 0.0),
        TenantSettings("dar", 0.1, 90.0),
    )
    return {
        "plain": helpers.settings(classes=classes),
        "drop, shared dependency": helpers.settings(
            classes=calls_skippable,
            preemption_mode=PreemptionMode.DROP,
            dependency=Downstream.SHARED,
            mean_calls_in_flight=0.6,
            overload_concurrency_factor=3.0,
        ),
        "no halt, cold, little memory": helpers.settings(
            classes=calls_skippable,
            preemption_mode=PreemptionMode.NONE,
            warms_up=True,
            memory_kb=200.0,
            warm_up_us=2_000 * MS,
        ),
        "tenants and credit": helpers.settings(
            classes=calls_skippable,
            tenants=tenants,
            over_quota_factor=0.1,
            load_signal=LoadSignal.CREDIT,
            marks_retries=True,
        ),
        "tier, one core": helpers.settings(
            classes=classes,
            cores=1,
            dependency=Downstream.TIER,
            load_signal=LoadSignal.LEVEL,
            memory_kb=500.0,
        ),
        "shared dependency, cold, tenants": helpers.settings(
            classes=calls_skippable,
            tenants=tenants,
            over_quota_factor=0.3,
            warms_up=True,
            dependency=Downstream.SHARED,
            mean_calls_in_flight=2.0,
            cores=4,
        ),
    }


class RandomServer:
    """A controller with a clock, its requests and timers, and a digest of its actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(f"{seed}")
        self.controller = Controller(settings, seed)
        self.now = helpers.START
        self.requests: dict[str, SimulatedRequest] = {}
        self.timers: list[tuple[int, int]] = []
        self.pending: list[Event] = []
        self.draining = False
        self.arrival_load = self.random.random()
        self.actions_seen: set[str] = set()
        self.digest = hashlib.blake2b(digest_size=16)

    def play(self, turns: int = TURNS) -> str:
        """Run the given number of turns, and return the digest of all actions."""
        for _ in range(turns):
            self.now += int(self.random.choice((1, 7, 20, 60, 180)) * MS * (0.5 + self.random.random()))
            actions = self.controller.decide(self.now, list(self._events()))
            for action in actions:
                stored_name = STORED_NAMES[type(action)]
                self.actions_seen.add(stored_name)
                self.digest.update(f"{self.now} {stored_name} {dataclasses.astuple(action)!r}\n".encode())
                self._carry_out(action)
            in_use = self.controller.memory_and_concurrency_in_use()
            self.digest.update(f"used {in_use[0]!r} {in_use[1]!r}\n".encode())
        measured = self.controller.measurements()
        self.digest.update(f"learnt {dataclasses.astuple(measured)!r}\n".encode())
        return self.digest.hexdigest()

    def _events(self) -> Iterator[Event]:
        yield from self.pending
        self.pending = []
        for _ in range(self.random.randrange(0, 2 + int(4 * self.arrival_load))):
            yield self._arrival()
        for request_id, request in list(self.requests.items()):
            if (event := self._progress(request_id, request)) is not None:
                yield event
        due_timers = [(due_at, tag) for due_at, tag in self.timers if due_at <= self.now]
        self.timers = [(due_at, tag) for due_at, tag in self.timers if due_at > self.now]
        for _, tag in due_timers:
            gauges = {
                "cpu": self.random.choice((0.3, 0.9, 1.0)),
                "conns": float(self.random.randrange(0, 80)),
            }
            yield TimerDue(tag, gauges if self.random.random() < 0.9 else {})
        if self.random.random() < 0.06:
            yield self._rare_event()

    def _arrival(self) -> Arrival:
        request_class = self.random.choice(self.settings.classes)
        key = self.random.randrange(8)
        number = len(self.requests)
        name = (
            f"r{number}" if self.random.random() < 0.98 or not number else f"r{self.random.randrange(number)}"
        )
        prior = None
        if request_class.effect is Effect.KEYED:
            kept_attempts = [
                known_id
                for known_id, known in self.requests.items()
                if known.key == key and known.is_keyed and known.is_key_kept
            ]
            prior = kept_attempts[-1] if kept_attempts else None
        caller = self.random.randrange(12)
        self.requests[name] = SimulatedRequest(
            number, request_class.name, key, request_class.effect is Effect.KEYED, caller
        )
        unread_us = self.random.choice((0, 0, 0, 3, 40, 900)) * MS
        return Arrival(
            name,
            request_class.name if self.random.random() < 0.99 else "unknown",
            self.random.choice((5.0, 20.0, 60.0)),
            caller,
            unread_us,
            caller_deadline_at=self.now + self.random.choice((200, 1_500, 4_000)) * MS
            if self.random.random() < 0.7
            else None,
            tenant=self.random.choice((None, "riad", "souk", "dar")) if self.settings.tenants else None,
            key=key,
            is_retry=self.random.random() < 0.2,
            prior=prior,
            pool=self.random.choice(("", "", "", "west")),
        )

    def _progress(self, request_id: str, request: SimulatedRequest) -> Event | None:
        if request.state == "finished":
            return None
        chance = self.random.random()
        if chance < 0.01:
            return ClientDisconnected(request_id)
        if request.state == "running" and chance < 0.25:
            request.state = "finished"
            return RunEnded(request_id, self.random.choice(OUTCOMES), self.random.randrange(300) * MS)
        if request.state == "running" and chance < 0.40:
            request.state = "awaiting call"
            return CallNeeded(request_id)
        if request.state == "calling" and chance < 0.45:
            request.state = "awaiting call"
            outcome = self.random.choice(OUTCOMES)
            if outcome is Outcome.OK:
                request.state = "running"
            return CallEnded(request_id, outcome, self.random.randrange(1, 400) * MS)
        return None

    def _rare_event(self) -> Event:
        event_factories: list[Callable[[], Event]] = [
            lambda: PortionChanged(self.random.choice((0.2, 0.5, 1.0))),
            lambda: PoolCapacityChanged("west", self.random.randrange(0, 4)),
            lambda: QuotaChanged("riad", self.random.choice((0.0, 3.0, 60.0))),
            lambda: Measurements(3.0, 20_000.0, 30_000.0, 40_000.0, {"low": 50_000.0, "high": 10_000.0}),
            self._settings_changed,
        ]
        if not self.draining and self.random.random() < 0.2:
            self.draining = True
            return Drain(self.now + 3_000 * MS, self.random.random() < 0.3, self.now - 5 * MS)
        return self.random.choice(event_factories)()

    def _settings_changed(self) -> SettingsChanged:
        remaining = self.settings.classes[1:]
        reduced = dataclasses.replace(
            self.settings, classes=remaining, memory_kb=self.settings.memory_kb * 0.8
        )
        return SettingsChanged(reduced, self.settings.classes[:1])

    def _carry_out(self, action: Action) -> None:
        match action:
            case SetTimer():
                self.timers.append((self.now + action.after_us, action.tag))
            case Run(id=request_id):
                self.requests[request_id].state = "running"
            case Preempt(id=request_id):
                if self.random.random() < 0.9:
                    self.requests[request_id].state = "paused"
                    self.pending.append(RunEnded(request_id, Outcome.CANCELLED, 0))
            case Reject(id=request_id) | Fail(id=request_id):
                if self.requests[request_id].state != "running":
                    self.requests[request_id].state = "finished"
            case Call(id=request_id):
                self.requests[request_id].state = "calling"
            case SkipCall(id=request_id):
                self.requests[request_id].state = "running"
            case KeepKey(id=request_id):
                self.requests[request_id].is_key_kept = True
            case ForgetKey(id=request_id):
                self.requests[request_id].is_key_kept = False
            case Attach(id=request_id):
                self.requests[request_id].state = "attached"
            case _:
                pass
