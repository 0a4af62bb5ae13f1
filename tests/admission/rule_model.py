"""A small model of a server that checks a controller against four rules.

The rules: each request gets one response in time, no effect happens twice, no request runs that arrived after the
grace period of a drain, and memory, cores and dependency are not overloaded.
"""

from __future__ import annotations

import dataclasses

from hypothesis import strategies as st

from marlstep.admission.actions import (
    Attach,
    Call,
    Fail,
    ForgetKey,
    KeepKey,
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
    Outcome,
    RunEnded,
    TimerDue,
)
from marlstep.admission.settings import ClassSettings, Downstream, PreemptionMode, Settings
from tests.support import helpers
from tests.support.helpers import MS, START

STEP = 40 * MS
CLASSES = tuple(dataclasses.replace(each, makes_calls=True) for each in helpers.CLASSES)


@dataclasses.dataclass
class Attempt:
    """State of one attempt of a request in the model."""

    request_class: ClassSettings
    key: int
    arrived_at: int
    deadline_at: int
    memory_kb: float
    state: str = "queued"  # or running, awaiting call, calling, paused, attached, finished
    responses: int = 0
    disconnected: bool = False
    ran: bool = False
    call_until: int = 0


class Model:
    """A server that carries out the controller's actions and checks the rules after every turn."""

    def __init__(
        self, settings: Settings, draw: st.DataObject, gauges: dict[str, float] | None = None
    ) -> None:
        self.settings, self.draw, self.gauges = settings, draw, gauges
        self.controller = Controller(settings, 3)
        self.now = START
        self.attempts: dict[str, Attempt] = {}
        self.key_expires_at: dict[str, int] = {}
        self.pending: list[Event] = []
        self.timers: list[tuple[int, int]] = []
        self.draining_since: int | None = None
        self.stops_at: int | None = None
        self.abandoned_until: list[int] = []
        self.calls_in_flight: list[int] = []  # number of calls in the dependency in each recent turn

    # Events for the controller.

    def turn(self) -> None:
        self.now += STEP
        events, self.pending = self.pending, []
        for key in self.draw.draw(st.lists(st.integers(0, 7), max_size=3)):
            events.append(self.request(key))
        for id, attempt in list(self.attempts.items()):
            events += self.progress(id, attempt)
        due_timers = [(due_at, tag) for due_at, tag in self.timers if due_at <= self.now]
        self.timers = [(due_at, tag) for due_at, tag in self.timers if due_at > self.now]
        gauges = {"cpu": self.draw.draw(st.sampled_from([0.3, 1.0]))} if self.gauges is None else self.gauges
        events += [TimerDue(tag, gauges) for _, tag in due_timers]
        if self.draining_since is None and self.draw.draw(st.integers(0, 99)) == 0:
            self.draining_since, self.stops_at = self.now, self.now + 3_000 * MS
            events.append(Drain(self.stops_at))
        for action in self.controller.decide(self.now, events):
            self.carry_out(action)
        self.check()

    def request(self, key: int) -> Arrival:
        request_class = CLASSES[key % 4]
        unread_us = self.draw.draw(st.sampled_from([0, 0, 35 * MS, 900 * MS]))
        wait_us = self.draw.draw(st.sampled_from([300, 1_500, 4_000])) * MS
        arrived_at = self.now - unread_us
        attempt = Attempt(
            request_class,
            key,
            arrived_at,
            max(self.now, arrived_at + wait_us),
            self.draw.draw(st.sampled_from([5.0, 20.0])),
        )
        request_id = f"{len(self.attempts)}"
        prior = None
        if request_class.effect == "keyed":
            prior = next(
                (
                    other_id
                    for other_id, until in self.key_expires_at.items()
                    if self.attempts[other_id].key == key and until >= arrived_at
                ),
                None,
            )
            if prior is None:  # attempts read in the same batch recognise each other
                waiting = [
                    other_id
                    for other_id, other in self.attempts.items()
                    if other.key == key and other.state != "finished"
                ]
                prior = waiting[-1] if waiting else None
        self.attempts[request_id] = attempt
        return Arrival(
            request_id,
            request_class.name,
            attempt.memory_kb,
            key % 3,
            unread_us,
            caller_deadline_at=arrived_at + wait_us,
            prior=prior,
        )

    def progress(self, id: str, attempt: Attempt) -> list[Event]:
        if attempt.state == "finished":
            return []
        chance = self.draw.draw(st.integers(0, 19))
        if attempt.state == "running" and chance < 6:
            if attempt.responses or attempt.disconnected or chance < 4:
                return self.end_run(id, attempt, Outcome.ERROR if chance == 3 else Outcome.OK)
            attempt.state = "awaiting call"
            return [CallNeeded(id)]
        if attempt.state == "calling" and (chance < 8 or self.now + STEP > attempt.call_until):
            outcome = [
                Outcome.OK,
                Outcome.OK,
                Outcome.REJECTED,
                Outcome.TIMEOUT,
                Outcome.RESET,
                Outcome.ERROR,
            ][chance % 6 if chance < 8 else 3]
            attempt.state = "running" if outcome is Outcome.OK else "awaiting call"
            if outcome is Outcome.TIMEOUT:
                self.abandoned_until.append(self.now + self.settings.abandoned_call_us)
            return [CallEnded(id, outcome, STEP)]
        if attempt.state == "attached" and chance < 4:
            return self.end_run(id, attempt, Outcome.OK)
        if chance == 19 and not attempt.responses and not attempt.disconnected:
            attempt.disconnected = True
            if attempt.state in ("queued", "paused", "attached"):
                attempt.state = "finished"
            elif attempt.state in ("awaiting call", "calling"):
                self.pending.append(RunEnded(id, Outcome.CANCELLED, 0))
                attempt.state = "finished"
            return [ClientDisconnected(id)]
        return []

    def end_run(self, id: str, attempt: Attempt, outcome: Outcome) -> list[Event]:
        if not attempt.disconnected and not attempt.responses:
            attempt.responses += 1
        attempt.state = "finished"
        return [RunEnded(id, outcome, STEP)]

    # Actions of the controller.

    def carry_out(self, action: object) -> None:
        attempt = self.attempts[action.id] if isinstance(
            action, Run | Preempt | Reject | Fail | KeepKey | ForgetKey | Attach | Call | SkipCall
        ) else None  # fmt: skip
        match action:
            case SetTimer():
                self.timers.append((self.now + action.after_us, action.tag))
            case KeepKey():
                assert attempt is not None
                assert attempt.request_class.effect == "keyed"
                self.key_expires_at = {
                    id: until
                    for id, until in self.key_expires_at.items()
                    if self.attempts[id].key != attempt.key
                }
                self.key_expires_at[action.id] = self.now + action.lifetime_us
            case ForgetKey():
                assert attempt is not None
                self.key_expires_at.pop(action.id, None)
                assert not attempt.ran, "a key was forgotten after its run"
            case Run() if attempt and attempt.state in ("queued", "paused"):
                self.start_run(action.id, attempt)
            case Preempt():
                assert attempt is not None
                assert self.settings.preemption_mode != PreemptionMode.NONE, (
                    "a preemption where none is possible"
                )
                if attempt.state == "running" and self.draw.draw(st.integers(0, 9)) > 0:
                    is_over = attempt.responses or attempt.disconnected
                    attempt.state = (
                        "finished"
                        if is_over
                        else ("paused" if self.settings.preemption_mode == PreemptionMode.PAUSE else "queued")
                    )
                    self.pending.append(RunEnded(action.id, Outcome.CANCELLED, 0))
            case Reject() | Fail() if attempt:
                self.give_response(action, attempt)
            case Attach():
                assert attempt is not None
                attempt.state = "attached" if attempt.state == "queued" else attempt.state
            case Call() if attempt and attempt.state == "awaiting call":
                attempt.state, attempt.call_until = "calling", action.until_us
            case SkipCall() if attempt:
                assert attempt.request_class.skipped_call_factor > 0, "a skipped call that is needed"
                attempt.state = "running" if attempt.state == "awaiting call" else attempt.state

    def start_run(self, id: str, attempt: Attempt) -> None:
        if attempt.state == "queued":
            if attempt.request_class.effect != "safe":
                assert not attempt.ran, "an effect ran twice"
            if attempt.request_class.effect == "keyed":
                assert (
                    self.key_expires_at.get(id, 0)
                    >= attempt.arrived_at + attempt.request_class.idempotency_window_us
                ), "a run without its key"
                for other in self.attempts.values():
                    within = (
                        abs(other.arrived_at - attempt.arrived_at)
                        <= attempt.request_class.idempotency_window_us
                    )
                    assert other is attempt or other.key != attempt.key or not other.ran or not within, (
                        "an effect ran twice"
                    )
        if self.draining_since is not None:
            assert attempt.arrived_at <= self.draining_since + self.settings.drain_grace_us, (
                "ran what came after the grace"
            )
        attempt.ran, attempt.state = True, "running"

    def give_response(self, action: Reject | Fail, attempt: Attempt) -> None:
        assert attempt.responses == 0 or attempt.disconnected, "two responses"
        assert isinstance(action, Fail) or attempt.request_class.effect == "safe" or not attempt.ran, (
            "rejected what has run"
        )
        attempt.responses += 1
        if attempt.state in ("queued", "paused", "attached"):
            attempt.state = "finished"
        elif attempt.state in ("awaiting call", "calling"):
            id = next(other_id for other_id, other in self.attempts.items() if other is attempt)
            if attempt.state == "calling":
                self.abandoned_until.append(self.now + self.settings.abandoned_call_us)
            attempt.state = "finished"
            self.pending.append(RunEnded(id, Outcome.CANCELLED, 0))

    # Checks of the rules after each turn.

    def check(self) -> None:
        self.key_expires_at = {id: until for id, until in self.key_expires_at.items() if until > self.now}
        used_kb = len(self.key_expires_at) * self.settings.idempotency_key_kb
        for id, attempt in self.attempts.items():
            if attempt.state != "finished":
                used_kb += attempt.memory_kb * (
                    1.0 if attempt.state in ("queued", "attached") else self.settings.running_memory_factor
                )
            is_late = self.now > attempt.deadline_at + self.settings.response_margin_us
            assert attempt.responses or attempt.disconnected or not is_late, f"{id} got no response in time"
            is_stopping = self.stops_at is not None and self.now >= self.stops_at - STEP
            assert attempt.responses or attempt.disconnected or not is_stopping, (
                f"{id} had no response before the stop"
            )
        assert used_kb <= self.settings.memory_kb, "out of memory"
        capacity_share = 1.0
        if self.settings.warms_up:
            warmed_up = (self.now - START) / self.settings.warm_up_us
            capacity_share = min(
                1.0,
                self.settings.initial_capacity_share + (1 - self.settings.initial_capacity_share) * warmed_up,
            )
        max_concurrency = self.settings.cores * (
            1 + (self.settings.overload_concurrency_factor - 1) * capacity_share
        )
        assert sum(attempt.state == "running" for attempt in self.attempts.values()) <= max_concurrency, (
            "too many on the cores"
        )
        self.abandoned_until = [until for until in self.abandoned_until if until > self.now]
        calls = sum(attempt.state == "calling" for attempt in self.attempts.values()) + len(
            self.abandoned_until
        )
        self.calls_in_flight = [*self.calls_in_flight, calls][-self.settings.call_averaging_us // STEP :]
        if self.settings.dependency == Downstream.SHARED and self.settings.mean_calls_in_flight > 0:
            max_calls = self.settings.mean_calls_in_flight * self.settings.call_averaging_us / STEP
            assert sum(self.calls_in_flight) <= max_calls, "too many calls in flight in the mean"
