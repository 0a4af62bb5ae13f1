"""Invariants of the core under random sequences of events from frontends, backends and call clients."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.admission.events import Outcome
from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import Request, ResponseStatus, Stage
from marlstep.units import MILLISECOND, SECOND
from tests.frontends.test_parsers import FIXED
from tests.support.node import CoreDriver

CLASSES = ("temp-history", "schedule-save", "setpoint-cmd")
STEPS = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from(CLASSES), st.sampled_from([None, "k1", "k2"])),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(list(Outcome))),
    st.tuples(st.just("need call"), st.integers(0, 9), st.none()),
    st.tuples(st.just("end call"), st.integers(0, 9), st.sampled_from(list(Outcome))),
    st.tuples(st.just("disconnect"), st.integers(0, 9), st.none()),
    st.tuples(st.just("advance"), st.sampled_from([1, 50, 400, 2000]), st.none()),
    st.tuples(st.just("drain"), st.none(), st.none()),
    st.tuples(st.just("quiesce"), st.booleans(), st.none()),
    st.tuples(
        st.just("change settings"), st.sampled_from([("temp-history", "setpoint-cmd"), CLASSES]), st.none()
    ),
)


class RandomRun:
    """Applies random steps to a core, and records the facts that the expected response of each request depends on."""

    def __init__(self) -> None:
        self.driver = CoreDriver(cores=1)
        self.settings = self.driver.core.settings
        self.handles = dict[str, int]()  # by request id; -1 for a request rejected at intake
        self.disconnected = set[str]()
        self.grace_ends_at = self.driver.clock.now() + 1000 * SECOND
        self.arrived_after_grace = set[str]()

    def step(self, action: str, choice: object, detail: object) -> None:
        driver, core = self.driver, self.driver.core
        running = [
            request
            for request in core._requests
            if request.may_have_run and request.stage is not Stage.PAUSED
        ]
        match action, choice:
            case "submit", str(request_class):
                number = len(self.handles) + 1
                try:
                    self.handles[f"r{number}"] = driver.submit(number, request_class, idempotency_key=detail)
                except RequestRejectedError:
                    self.handles[f"r{number}"] = -1
                    return
                if driver.clock.now() > self.grace_ends_at:
                    self.arrived_after_grace.add(f"r{number}")
            case "end", int(index) if running and isinstance(detail, Outcome):
                core.run_ended(running[index % len(running)].id, detail, SECOND, b"result")
            case "need call", int(index) if running:
                request = running[index % len(running)]
                if request.stage is Stage.RUNNING:
                    core.call_needed(request.id, b"ask")
            case "end call", int(index) if running and isinstance(detail, Outcome):
                core.call_ended(running[index % len(running)].id, detail, b"told")
            case "disconnect", int(index) if self.handles:
                id = list(self.handles)[index % len(self.handles)]
                if self.handles[id] >= 0 and not driver.responses.get(int(id[1:])):
                    self.disconnected.add(id)
                core.client_disconnected(self.handles[id]) if self.handles[id] >= 0 else None
            case "advance", int(ms):
                driver.clock.advance(ms)
            case "quiesce", bool(quiesced):
                assert (
                    core.serving_state.quiesce() if quiesced else core.serving_state.resume()
                ) is not core.is_shutting_down
            case "change settings", tuple(names):
                classes = tuple(
                    class_settings for class_settings in self.settings.classes if class_settings.name in names
                )
                core.apply_settings(replace(self.settings, classes=classes))
            case "drain", _ if not core.is_shutting_down:
                core.drain(driver.clock.now() + 3.2 * SECOND)
                self.grace_ends_at = driver.clock.now() + 2.5 * SECOND
        driver.clock.settle()

    def finish(self) -> None:
        """Advance past every deadline, then end all runs."""
        self.driver.clock.advance(10_000)
        for request in self.driver.core._requests:
            assert request.stage is not Stage.PAUSED  # backends don't report the end of a paused run
            self.driver.core.run_ended(request.id, Outcome.CANCELLED, SECOND)
        self.driver.clock.advance(10_000)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(STEPS, max_size=40))
def test_each_request_has_one_response_and_work_with_effect_runs_once(
    steps: list[tuple[str, object, object]],
) -> None:
    run = RandomRun()
    for step in steps:
        run.step(*step)
    run.finish()
    core, answers = run.driver.core, run.driver.responses
    starts = Counter(id for command, id in run.driver.backend.commands if command == "start")
    for id, handle in run.handles.items():
        responses = answers.get(int(id[1:]), [])
        assert len(responses) == (0 if id in run.disconnected or handle < 0 else 1), id
        assert starts[id] <= 1
        assert not (id in run.arrived_after_grace and starts[id]), id
        if responses and responses[0].status is ResponseStatus.REJECTED:
            assert 0 * SECOND <= responses[0].retry_after <= SECOND
    assert core.unanswered == core.in_flight == 0


# The stages that may follow each stage, as documented in `Stage`.
NEXT_STAGES = {
    Stage.CLAIMING: {Stage.QUEUED, Stage.FINISHED},
    Stage.QUEUED: {Stage.RUNNING, Stage.ATTACHED, Stage.FINISHED},
    Stage.RUNNING: {Stage.PAUSED, Stage.QUEUED, Stage.AWAITING_CALL, Stage.FINISHED},
    Stage.PAUSED: {Stage.RUNNING, Stage.FINISHED},
    Stage.AWAITING_CALL: {Stage.CALLING, Stage.RUNNING, Stage.FINISHED},
    Stage.CALLING: {Stage.RUNNING, Stage.AWAITING_CALL, Stage.FINISHED},
    Stage.ATTACHED: {Stage.FINISHED},
    Stage.FINISHED: set[Stage](),
}


@contextlib.contextmanager
def recorded_stage_changes() -> Iterator[set[tuple[Stage, Stage]]]:
    """Record each stage change of any request as a pair (before, after)."""
    changes = set[tuple[Stage, Stage]]()

    def record(request: Request, name: str, value: object) -> None:
        before = getattr(request, name, None)
        if isinstance(before, Stage) and isinstance(value, Stage) and before is not value:
            changes.add((before, value))
        object.__setattr__(request, name, value)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Request, "__setattr__", record, raising=False)
        yield changes


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(STEPS, max_size=40))
def test_a_request_changes_its_stage_only_as_documented(
    steps: list[tuple[str, object, object]],
) -> None:
    with recorded_stage_changes() as changes:
        run = RandomRun()
        for step in steps:
            run.step(*step)
        run.finish()
    assert not {(before, after) for before, after in changes if after not in NEXT_STAGES[before]}


def test_the_recorder_sees_the_stage_changes_of_a_run() -> None:
    with recorded_stage_changes() as changes:
        driver = CoreDriver()
        driver.submit(1)
        driver.end(1)
    assert changes == {(Stage.QUEUED, Stage.RUNNING), (Stage.RUNNING, Stage.FINISHED)}


IDS = st.integers(1, 6)
REUSED_ID_STEPS = st.one_of(
    st.tuples(st.just("submit"), IDS, st.sampled_from([0, 0, 5, 3_000, 1e12, -5_000])),
    st.tuples(st.just("disconnect"), IDS, st.just(0)),
    st.tuples(
        st.just("end"),
        IDS,
        st.sampled_from([Outcome.OK, Outcome.NOT_STARTED, Outcome.CANCELLED, Outcome.ERROR]),
    ),
    st.tuples(st.just("need call"), IDS, st.just(0)),
    st.tuples(st.just("end call"), IDS, st.sampled_from(list(Outcome))),
    st.tuples(st.just("advance"), st.sampled_from([0, 1, 20, 700, 3_000]), st.just(0)),
)


@FIXED
@given(st.lists(REUSED_ID_STEPS, max_size=60), st.sampled_from(CLASSES))
def test_the_controller_keeps_no_entry_that_the_core_has_released_when_ids_are_reused(
    steps: list[tuple[str, int, Any]], request_class: str
) -> None:
    """Faulty clients reuse the ids of other requests. An entry that only the controller still has would never end."""
    driver = CoreDriver(cores=1)
    handles: dict[int, int] = {}
    for action, number, detail in steps:
        match action:
            case "submit":
                with contextlib.suppress(RequestRejectedError):
                    handles[number] = driver.submit(number, request_class, late_ms=detail)
            case "disconnect":
                driver.core.client_disconnected(handles.get(number, 0))
            case "end":
                driver.core.run_ended(f"r{number}", detail, MILLISECOND)
            case "need call":
                driver.core.call_needed(f"r{number}", b"ask")
            case "end call":
                driver.core.call_ended(f"r{number}", detail)
            case "advance":
                driver.clock.advance(number)
        driver.clock.settle()
        controller = driver.core._controller
        held = {
            id: entry
            for entries in controller.state.entries.by_state.values()
            for id, entry in entries.items()
        }
        assert all(controller.state.entries.by_id.get(id) is entry for id, entry in held.items())
        assert held.keys() <= {request.id for request in driver.core._requests}
