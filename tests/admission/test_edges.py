"""Tests with extreme settings, changing callers, and timers that are early, late or duplicated."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from marlstep.admission.actions import SetTimer
from marlstep.admission.controller import Controller
from marlstep.admission.events import Arrival, CallNeeded, ClientDisconnected, Outcome, RunEnded, TimerDue
from marlstep.admission.settings import Downstream, Effect, LoadSignal
from tests.admission.rule_model import CLASSES, STEP, Model
from tests.support import helpers
from tests.support.helpers import MS, START, ControllerDriver, request_class

EDGES: dict[str, dict[str, Any]] = {
    "no bound on calls": {"dependency": Downstream.SHARED, "mean_calls_in_flight": 0.0},
    "less than one call in flight": {"dependency": Downstream.SHARED, "mean_calls_in_flight": 0.3},
    "more calls in flight than requests": {"dependency": Downstream.SHARED, "mean_calls_in_flight": 1000.0},
    "no callers": {"caller_count": 0, "load_signal": LoadSignal.CREDIT},
    "a thousand callers": {"caller_count": 1000, "load_signal": LoadSignal.CREDIT},
    "one core": {"cores": 1},
    "a queue shorter than the running set": {"cores": 8, "memory_kb": 70.0},
    "an advertised value without a lifetime": {
        "load_signal": LoadSignal.CREDIT,
        "load_signal_lifetime_us": 0,
    },
    "no idle timeout": {"idle_timeout_us": 0},
}


@pytest.mark.parametrize("gauges", [{}, {"cpu": 1.0, "conns": 90.0}], ids=["no gauges", "gauges"])
@pytest.mark.parametrize("name", EDGES)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=4, phases=[Phase.generate])
@given(data=st.data())
def test_the_rules_hold_at_the_edges(name: str, gauges: dict[str, float], data: st.DataObject) -> None:
    edge_settings = helpers.settings(classes=CLASSES, **EDGES[name])
    model = Model(edge_settings, data, gauges)
    for _ in range(60):
        if model.stops_at is None or model.now + STEP < model.stops_at:
            model.turn()


def test_a_reserve_smaller_than_one_call_allows_one_call_at_a_time() -> None:
    server = ControllerDriver(cores=4, dependency=Downstream.SHARED, mean_calls_in_flight=0.01)
    server.arrive("a")
    server.arrive("b")
    calls = [id for action, id in server.step(CallNeeded("a"), CallNeeded("b")) if action == "Call"]
    assert calls == ["a"]


def test_memory_stays_bounded_while_callers_come_and_go() -> None:
    server = ControllerDriver(
        cores=2, load_signal=LoadSignal.CREDIT, dependency=Downstream.SHARED, mean_calls_in_flight=0.5
    )
    sizes = []
    for turn in range(4_000):
        id, class_name = f"r{turn}", ("low", "keyed", "high")[turn % 3]
        server.arrive(id, class_name, after_ms=50, caller=turn)
        if turn % 7 == 0:
            server.step(ClientDisconnected(id))
        server.end(id, after_ms=50)
        server.step(TimerDue(server.controller.timer.due_at, {"cpu": 0.5, "conns": 50.0}))
        controller = server.controller
        sizes.append(
            len(controller.state.entries.by_id)
            + len(controller.state.callers.last_seen)
            + len(controller.state.wakeups)
            + sum(map(len, controller.state.entries.by_state.values()))
        )
    assert max(sizes[2_000:]) <= max(sizes[:2_000]) < 1_000
    assert server.controller.state.entries.memory_kb <= 5.0 * len(server.controller.state.entries.by_id)


@pytest.mark.parametrize("shift_ms", [-30, 0, 40])
@pytest.mark.parametrize("times", [1, 2])
def test_timers_that_fire_early_late_or_twice_delay_no_response(shift_ms: int, times: int) -> None:
    controller = Controller(helpers.settings(cores=1), 1)
    controller.decide(START, [])
    now, responded_at = START, {}
    due = {f"r{index}": START + (600 + 170 * index) * MS for index in range(9)}
    events: list[Any] = [Arrival(id, "low", 5.0, 1, 0, caller_deadline_at=when) for id, when in due.items()]
    timers: list[tuple[int, int]] = []
    for _ in range(600):
        for action in controller.decide(now, events):
            if isinstance(action, SetTimer):
                at = max(now + 5 * MS, now + action.after_us + shift_ms * MS)
                timers += [(at, action.tag)] * times
            elif type(action).__name__ in ("Fail", "Reject"):
                responded_at[action.id] = now  # type: ignore[union-attr]
        if not timers:
            break
        now = min(at for at, _ in timers)
        events = [TimerDue(tag, {}) for at, tag in timers if at == now]
        timers = [(at, tag) for at, tag in timers if at > now]
    assert responded_at.keys() == due.keys()
    assert all(responded_at[id] <= when + 60 * MS for id, when in due.items())


def test_after_a_stall_all_due_requests_get_their_response_at_once() -> None:
    server = ControllerDriver(cores=1)
    for index in range(4):
        server.arrive(f"r{index}")
    server.step(TimerDue(server.controller.timer.due_at, {}), after_ms=9_000)
    assert {id for action, id in server.actions if action in ("Fail", "Reject")} == {"r0", "r1", "r2", "r3"}


def test_a_keyed_request_runs_once_with_one_core_and_no_memory_to_spare() -> None:
    keyed = request_class("keyed", effect=Effect.KEYED)
    server = ControllerDriver(classes=(keyed,), cores=1, memory_kb=50.0)
    server.arrive("k", "keyed")
    server.arrive("again", "keyed", prior="k", memory_kb=4.0)
    server.step(RunEnded("k", Outcome.OK, 0))
    assert [id for action, id in server.actions if action == "Run"].count("k") <= 1
    assert ("Run", "again") not in server.actions or ("Run", "k") not in server.actions
