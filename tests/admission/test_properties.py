"""The four rules on generated event sequences, against a small model that knows only the rules."""

from __future__ import annotations

import dataclasses

from hypothesis import Phase, given, settings
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

TURNS = 120
STEP = 40 * MS
CLASSES = tuple(dataclasses.replace(kind, makes_calls=True) for kind in helpers.CLASSES)


@dataclasses.dataclass
class Try:
    """What the model knows of one request."""

    kind: ClassSettings
    key: int
    arrived: int
    due: int
    kb: float
    state: str = "held"  # running, call, calling, paused, attached, over
    answers: int = 0
    gone: bool = False
    ran: bool = False
    call_until: int = 0


class Model:
    """A server that does what it is told and checks the rules after every turn."""

    def __init__(self, told: Settings, draw: st.DataObject, gauges: dict[str, float] | None = None) -> None:
        self.told, self.draw, self.gauges = told, draw, gauges
        self.controller = Controller(told, 3)
        self.now = START
        self.tries: dict[str, Try] = {}
        self.kept: dict[str, int] = {}
        self.pending: list[Event] = []
        self.timers: list[tuple[int, int]] = []
        self.drained: int | None = None
        self.stops: int | None = None
        self.lingering: list[int] = []
        self.in_hand: list[int] = []  # calls in the dependency's hands, by turn

    # The world.

    def turn(self) -> None:
        self.now += STEP
        events, self.pending = self.pending, []
        for key in self.draw.draw(st.lists(st.integers(0, 7), max_size=3)):
            events.append(self.request(key))
        for id, one in list(self.tries.items()):
            events += self.happens(id, one)
        due = [(when, tag) for when, tag in self.timers if when <= self.now]
        self.timers = [(when, tag) for when, tag in self.timers if when > self.now]
        gauges = {"cpu": self.draw.draw(st.sampled_from([0.3, 1.0]))} if self.gauges is None else self.gauges
        events += [TimerDue(tag, gauges) for _, tag in due]
        if self.drained is None and self.draw.draw(st.integers(0, 99)) == 0:
            self.drained, self.stops = self.now, self.now + 3_000 * MS
            events.append(Drain(self.stops))
        for action in self.controller.decide(self.now, events):
            self.obey(action)
        self.check()

    def request(self, key: int) -> Arrival:
        kind = CLASSES[key % 4]
        unread = self.draw.draw(st.sampled_from([0, 0, 35 * MS, 900 * MS]))
        wait = self.draw.draw(st.sampled_from([300, 1_500, 4_000])) * MS
        arrived = self.now - unread
        one = Try(
            kind, key, arrived, max(self.now, arrived + wait), self.draw.draw(st.sampled_from([5.0, 20.0]))
        )
        id = f"{len(self.tries)}"
        prior = None
        if kind.effect == "keyed":
            prior = next(
                (i for i, until in self.kept.items() if self.tries[i].key == key and until >= arrived), None
            )
            if prior is None:  # two that are read in one batch know each other
                waiting = [i for i, t in self.tries.items() if t.key == key and t.state != "over"]
                prior = waiting[-1] if waiting else None
        self.tries[id] = one
        return Arrival(id, kind.name, one.kb, key % 3, unread, caller_deadline_at=arrived + wait, prior=prior)

    def happens(self, id: str, one: Try) -> list[Event]:
        if one.state == "over":
            return []
        lot = self.draw.draw(st.integers(0, 19))
        if one.state == "running" and lot < 6:
            if one.answers or one.gone or lot < 4:
                return self.ends(id, one, Outcome.ERROR if lot == 3 else Outcome.OK)
            one.state = "call"
            return [CallNeeded(id)]
        if one.state == "calling" and (lot < 8 or self.now + STEP > one.call_until):
            outcome = [
                Outcome.OK,
                Outcome.OK,
                Outcome.REJECTED,
                Outcome.TIMEOUT,
                Outcome.RESET,
                Outcome.ERROR,
            ][lot % 6 if lot < 8 else 3]
            one.state = "running" if outcome is Outcome.OK else "call"
            if outcome is Outcome.TIMEOUT:
                self.lingering.append(self.now + self.told.abandoned_call_us)
            return [CallEnded(id, outcome, STEP)]
        if one.state == "attached" and lot < 4:
            return self.ends(id, one, Outcome.OK)
        if lot == 19 and not one.answers and not one.gone:
            one.gone = True
            if one.state in ("held", "paused", "attached"):
                one.state = "over"
            elif one.state in ("call", "calling"):
                self.pending.append(RunEnded(id, Outcome.CANCELLED, 0))
                one.state = "over"
            return [ClientDisconnected(id)]
        return []

    def ends(self, id: str, one: Try, outcome: Outcome) -> list[Event]:
        if not one.gone and not one.answers:
            one.answers += 1
        one.state = "over"
        return [RunEnded(id, outcome, STEP)]

    # What the module asks for.

    def obey(self, action: object) -> None:
        one = self.tries[action.id] if isinstance(
            action, Run | Preempt | Reject | Fail | KeepKey | ForgetKey | Attach | Call | SkipCall
        ) else None  # fmt: skip
        match action:
            case SetTimer():
                self.timers.append((self.now + action.after_us, action.tag))
            case KeepKey():
                assert one is not None
                assert one.kind.effect == "keyed"
                self.kept = {id: until for id, until in self.kept.items() if self.tries[id].key != one.key}
                self.kept[action.id] = self.now + action.lifetime_us
            case ForgetKey():
                assert one is not None
                self.kept.pop(action.id, None)
                assert not one.ran, "a key was forgotten after its run"
            case Run() if one and one.state in ("held", "paused"):
                self.runs(action.id, one)
            case Preempt():
                assert one is not None
                assert self.told.preemption_mode != PreemptionMode.NONE, "a halt where it is a fault"
                if one.state == "running" and self.draw.draw(st.integers(0, 9)) > 0:
                    over = one.answers or one.gone
                    one.state = (
                        "over"
                        if over
                        else ("paused" if self.told.preemption_mode == PreemptionMode.PAUSE else "held")
                    )
                    self.pending.append(RunEnded(action.id, Outcome.CANCELLED, 0))
            case Reject() | Fail() if one:
                self.answered(action, one)
            case Attach():
                assert one is not None
                one.state = "attached" if one.state == "held" else one.state
            case Call() if one and one.state == "call":
                one.state, one.call_until = "calling", action.until_us
            case SkipCall() if one:
                assert one.kind.skipped_call_factor > 0, "a skip where it is a fault"
                one.state = "running" if one.state == "call" else one.state

    def runs(self, id: str, one: Try) -> None:
        if one.state == "held":
            if one.kind.effect != "safe":
                assert not one.ran, "an effect ran twice"
            if one.kind.effect == "keyed":
                assert self.kept.get(id, 0) >= one.arrived + one.kind.idempotency_window_us, (
                    "a run without its key"
                )
                for other in self.tries.values():
                    within = abs(other.arrived - one.arrived) <= one.kind.idempotency_window_us
                    assert other is one or other.key != one.key or not other.ran or not within, (
                        "an effect ran twice"
                    )
        if self.drained is not None:
            assert one.arrived <= self.drained + self.told.drain_grace_us, "ran what came after the grace"
        one.ran, one.state = True, "running"

    def answered(self, action: Reject | Fail, one: Try) -> None:
        assert one.answers == 0 or one.gone, "answered twice"
        assert isinstance(action, Fail) or one.kind.effect == "safe" or not one.ran, "refused what has run"
        one.answers += 1
        if one.state in ("held", "paused", "attached"):
            one.state = "over"
        elif one.state in ("call", "calling"):
            id = next(i for i, t in self.tries.items() if t is one)
            if one.state == "calling":
                self.lingering.append(self.now + self.told.abandoned_call_us)
            one.state = "over"
            self.pending.append(RunEnded(id, Outcome.CANCELLED, 0))

    # The rules.

    def check(self) -> None:
        self.kept = {id: until for id, until in self.kept.items() if until > self.now}
        memory = len(self.kept) * self.told.idempotency_key_kb
        for id, one in self.tries.items():
            if one.state != "over":
                memory += one.kb * (
                    1.0 if one.state in ("held", "attached") else self.told.running_memory_factor
                )
            late = self.now > one.due + self.told.response_margin_us
            assert one.answers or one.gone or not late, f"{id} got no answer in time"
            stopped = self.stops is not None and self.now >= self.stops - STEP
            assert one.answers or one.gone or not stopped, f"{id} had no answer before the stop"
        assert memory <= self.told.memory_kb, "out of memory"
        share = 1.0
        if self.told.warms_up:
            warmed = (self.now - START) / self.told.warm_up_us
            share = min(
                1.0, self.told.initial_capacity_share + (1 - self.told.initial_capacity_share) * warmed
            )
        crowd = self.told.cores * (1 + (self.told.overload_concurrency_factor - 1) * share)
        assert sum(one.state == "running" for one in self.tries.values()) <= crowd, "too great a crowd"
        self.lingering = [until for until in self.lingering if until > self.now]
        calls = sum(one.state == "calling" for one in self.tries.values()) + len(self.lingering)
        self.in_hand = [*self.in_hand, calls][-self.told.call_averaging_us // STEP :]
        if self.told.dependency == Downstream.SHARED and self.told.mean_calls_in_flight > 0:
            most = self.told.mean_calls_in_flight * self.told.call_averaging_us / STEP
            assert sum(self.in_hand) <= most, "too many calls in hand in the mean"


@settings(derandomize=True, deadline=None, max_examples=40, phases=[Phase.generate])
@given(
    st.data(),
    st.sampled_from(list(PreemptionMode)),
    st.sampled_from(list(Downstream)),
    st.booleans(),
    st.sampled_from([150.0, 400.0, 3000.0]),
    st.sampled_from([0.4, 1.0, 3.0]),
)
def test_the_four_rules_hold_on_any_sequence(
    data: st.DataObject, halt: PreemptionMode, below: Downstream, cold: bool, memory: float, calls: float
) -> None:
    told = helpers.settings(
        classes=CLASSES,
        preemption_mode=halt,
        dependency=below,
        warms_up=cold,
        memory_kb=memory,
        mean_calls_in_flight=calls,
        overload_concurrency_factor=4.0,
    )
    model = Model(told, data)
    for _ in range(TURNS):
        if model.stops is not None and model.now >= model.stops:
            break
        model.turn()


@settings(derandomize=True, deadline=None, max_examples=20)
@given(st.data())
def test_the_same_events_give_the_same_actions(data: st.DataObject) -> None:
    told = helpers.settings()
    one, two = Controller(told, 5), Controller(told, 5)
    model = Model(told, data)
    for turn in range(30):
        model.now += STEP
        events: list[Event] = [
            model.request(key) for key in data.draw(st.lists(st.integers(0, 7), max_size=4))
        ]
        events.append(TimerDue(0, {"cpu": 1.0}))
        assert one.decide(model.now, list(events)) == two.decide(model.now, list(events)), turn
