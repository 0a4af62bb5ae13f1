"""The rules hold for the core whatever its fronts, backends and stores do, in any order."""

from __future__ import annotations

import contextlib
from collections import Counter
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.admission.events import Outcome
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import ResponseStatus, Stage
from marlstep.units import MILLISECOND, SECOND
from tests.frontends.test_parsers import FIXED
from tests.support.node import Desk

KINDS = ("temp-history", "schedule-save", "setpoint-cmd")
STEPS = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from(KINDS), st.sampled_from([None, "k1", "k2"])),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(list(Outcome))),
    st.tuples(st.just("needs"), st.integers(0, 9), st.none()),
    st.tuples(st.just("called"), st.integers(0, 9), st.sampled_from(list(Outcome))),
    st.tuples(st.just("gone"), st.integers(0, 9), st.none()),
    st.tuples(st.just("advance"), st.sampled_from([1, 50, 400, 2000]), st.none()),
    st.tuples(st.just("drain"), st.none(), st.none()),
    st.tuples(st.just("quiesce"), st.booleans(), st.none()),
    st.tuples(st.just("renew"), st.sampled_from([("temp-history", "setpoint-cmd"), KINDS]), st.none()),
)


class Play:
    def __init__(self) -> None:
        self.desk = Desk(cores=1)
        self.settings = self.desk.core.settings
        self.read = dict[str, int]()  # id to handle
        self.gone = set[str]()
        self.grace_over_at = self.desk.clock.now() + 1000 * SECOND
        self.late = set[str]()

    def step(self, what: str, choice: object, more: object) -> None:
        desk, core = self.desk, self.desk.core
        live = [
            request
            for request in core._requests
            if request.may_have_run and request.stage is not Stage.PAUSED
        ]
        match what, choice:
            case "submit", str(kind):
                number = len(self.read) + 1
                try:
                    self.read[f"r{number}"] = desk.submit(number, kind, idempotency_key=more)
                except RequestRejectedError:
                    self.read[f"r{number}"] = -1
                    return
                if desk.clock.now() > self.grace_over_at:
                    self.late.add(f"r{number}")
            case "end", int(index) if live and isinstance(more, Outcome):
                core.run_ended(live[index % len(live)].id, more, SECOND, b"result")
            case "needs", int(index) if live:
                request = live[index % len(live)]
                if request.stage is Stage.RUNNING:
                    core.call_needed(request.id, b"ask")
            case "called", int(index) if live and isinstance(more, Outcome):
                core.call_ended(live[index % len(live)].id, more, b"told")
            case "gone", int(index) if self.read:
                id = list(self.read)[index % len(self.read)]
                if self.read[id] >= 0 and not desk.answers.get(int(id[1:])):
                    self.gone.add(id)
                core.client_disconnected(self.read[id]) if self.read[id] >= 0 else None
            case "advance", int(ms):
                desk.clock.advance(ms)
            case "quiesce", bool(on):
                assert (
                    core.serving_state.quiesce() if on else core.serving_state.resume()
                ) is not core.draining
            case "renew", tuple(names):
                kinds = tuple(kind for kind in self.settings.classes if kind.name in names)
                core.apply_settings(replace(self.settings, classes=kinds))
            case "drain", _ if not core.draining:
                core.drain(desk.clock.now() + 3.2 * SECOND)
                self.grace_over_at = desk.clock.now() + 2.5 * SECOND
        desk.clock.settle()

    def finish(self) -> None:
        """The backends end all that runs, after all is due."""
        self.desk.clock.advance(10_000)
        for request in self.desk.core._requests:
            assert request.stage is not Stage.PAUSED  # of it no backend would ever speak again
            self.desk.core.run_ended(request.id, Outcome.CANCELLED, SECOND)
        self.desk.clock.advance(10_000)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(STEPS, max_size=40))
def test_each_request_has_one_response_and_work_with_effect_runs_once(
    steps: list[tuple[str, object, object]],
) -> None:
    play = Play()
    for step in steps:
        play.step(*step)
    play.finish()
    core, answers = play.desk.core, play.desk.answers
    starts = Counter(id for what, id in play.desk.backend.told if what == "start")
    for id, handle in play.read.items():
        given = answers.get(int(id[1:]), [])
        assert len(given) == (0 if id in play.gone or handle < 0 else 1), id
        assert starts[id] <= 1
        assert not (id in play.late and starts[id]), id
        if given and given[0].status is ResponseStatus.REJECTED:
            assert 0 * SECOND <= given[0].retry_after <= SECOND
    assert core.unanswered == core.in_flight == 0


IDS = st.integers(1, 6)
TURNS = st.one_of(
    st.tuples(st.just("submit"), IDS, st.sampled_from([0, 0, 5, 3_000, 1e12, -5_000])),
    st.tuples(st.just("gone"), IDS, st.just(0)),
    st.tuples(
        st.just("end"),
        IDS,
        st.sampled_from([Outcome.OK, Outcome.NOT_STARTED, Outcome.CANCELLED, Outcome.ERROR]),
    ),
    st.tuples(st.just("need"), IDS, st.just(0)),
    st.tuples(st.just("called"), IDS, st.sampled_from(list(Outcome))),
    st.tuples(st.just("wait"), st.sampled_from([0, 1, 20, 700, 3_000]), st.just(0)),
)


@FIXED
@given(st.lists(TURNS, max_size=60), st.sampled_from(KINDS))
def test_whatever_ids_come_again_the_module_holds_what_the_core_holds(
    turns: list[tuple[str, int, Any]], kind: str
) -> None:
    """Bad clients copy the ids of others: an entry that only the module has would never end."""
    desk = Desk(cores=1)
    handles: dict[int, int] = {}
    for what, number, how in turns:
        match what:
            case "submit":
                with contextlib.suppress(RequestRejectedError):
                    handles[number] = desk.submit(number, kind, late_ms=how)
            case "gone":
                desk.core.client_disconnected(handles.get(number, 0))
            case "end":
                desk.core.run_ended(f"r{number}", how, MILLISECOND)
            case "need":
                desk.core.call_needed(f"r{number}", b"ask")
            case "called":
                desk.core.call_ended(f"r{number}", how)
            case "wait":
                desk.clock.advance(number)
        desk.clock.settle()
        module = desk.core._controller
        held = {
            id: entry for entries in module.state.entries.by_state.values() for id, entry in entries.items()
        }
        assert all(module.state.entries.by_id.get(id) is entry for id, entry in held.items())
        assert held.keys() <= {request.id for request in desk.core._requests}
