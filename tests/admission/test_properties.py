"""Property tests: the four rules of `rule_model` hold on generated event sequences."""

from __future__ import annotations

from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from marlstep.admission.controller import Controller
from marlstep.admission.events import Event, TimerDue
from marlstep.admission.settings import Downstream, PreemptionMode
from tests.admission.rule_model import CLASSES, STEP, Model
from tests.support import helpers

TURNS = 120


@hypothesis_settings(derandomize=True, deadline=None, max_examples=40, phases=[Phase.generate])
@given(
    st.data(),
    st.sampled_from(list(PreemptionMode)),
    st.sampled_from(list(Downstream)),
    st.booleans(),
    st.sampled_from([150.0, 400.0, 3000.0]),
    st.sampled_from([0.4, 1.0, 3.0]),
)
def test_the_four_rules_hold_on_any_sequence(
    data: st.DataObject,
    preemption_mode: PreemptionMode,
    dependency: Downstream,
    warms_up: bool,
    memory_kb: float,
    calls_in_flight: float,
) -> None:
    settings = helpers.settings(
        classes=CLASSES,
        preemption_mode=preemption_mode,
        dependency=dependency,
        warms_up=warms_up,
        memory_kb=memory_kb,
        mean_calls_in_flight=calls_in_flight,
        overload_concurrency_factor=4.0,
    )
    model = Model(settings, data)
    for _ in range(TURNS):
        if model.stops_at is not None and model.now >= model.stops_at:
            break
        model.turn()


@hypothesis_settings(derandomize=True, deadline=None, max_examples=20)
@given(st.data())
def test_the_same_events_give_the_same_actions(data: st.DataObject) -> None:
    settings = helpers.settings()
    first, second = Controller(settings, 5), Controller(settings, 5)
    model = Model(settings, data)
    for turn in range(30):
        model.now += STEP
        events: list[Event] = [
            model.request(key) for key in data.draw(st.lists(st.integers(0, 7), max_size=4))
        ]
        events.append(TimerDue(0, {"cpu": 1.0}))
        assert first.decide(model.now, list(events)) == second.decide(model.now, list(events)), turn
