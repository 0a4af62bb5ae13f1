"""A repeat is never rejected once another attempt of its work may have run: a rejection promises that it did not.

A client sends rejected work to the next node, where it would run a second time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.admission.actions import Action, Reject
from marlstep.admission.events import Event, Outcome
from marlstep.core.counters import NO_CONFIG_COUNT
from marlstep.core.interfaces import Response, ResponseHandle, ResponseStatus, Stage
from marlstep.core.key_record import KeyRecord
from marlstep.core.served_settings import RETIRED_CLASS_GRACE
from marlstep.core.work_identity import IdempotencyKey
from marlstep.units import MILLISECOND, SECOND
from tests.core.test_repeats import KEYED
from tests.support.node import CoreDriver

FIRST, REPEAT = 1, 2
DEADLINE_MS = KEYED["classes"][2]["hardLimitUs"] // 1000
NO_RETRY_AFTER_US = 0


def submit(driver: CoreDriver, number: int) -> None:
    driver.submit(number, "keyed", idempotency_key="k")


def ignore_events(_now: int, _events: list[Event]) -> list[Action]:
    return []


def replace_decide(driver: CoreDriver, decide: Callable[[int, list[Event]], list[Action]]) -> None:
    driver.core._controller.decide = decide  # type: ignore[method-assign,assignment]


def end_of_drain(driver: CoreDriver) -> None:
    # The core answers before the controller, as with latency objectives that are far shorter than a second.
    replace_decide(driver, ignore_events)
    driver.core.drain(driver.clock.now() + 1 * SECOND)
    driver.clock.advance(1000)


def deadline(driver: CoreDriver) -> None:
    # The controller's timer waits for gauge readings for longer than the lead before the deadline.
    replace_decide(driver, ignore_events)
    driver.clock.advance(DEADLINE_MS)


def process_exit(driver: CoreDriver) -> None:
    driver.core.respond_to_all()


def loss_of_the_run(driver: CoreDriver) -> None:
    driver.end(FIRST, Outcome.RESET)


def proof_that_the_first_attempt_never_ran(driver: CoreDriver) -> None:
    driver.end(FIRST, Outcome.NOT_STARTED)


def exit_after_a_reload_without_the_class(driver: CoreDriver) -> None:
    settings = driver.core.settings
    driver.core.apply_settings(replace(settings, classes=settings.classes[:2]))
    driver.clock.advance(RETIRED_CLASS_GRACE / MILLISECOND + 1)
    driver.core.apply_settings(replace(settings, classes=settings.classes[:2]))
    driver.clock.settle()
    driver.core.respond_to_all()


ENDS = [
    end_of_drain,
    deadline,
    process_exit,
    exit_after_a_reload_without_the_class,
    loss_of_the_run,
    proof_that_the_first_attempt_never_ran,
]


@pytest.mark.parametrize("end", ENDS)
def test_a_repeat_that_waits_for_a_run_is_not_rejected(end: Callable[[CoreDriver], None]) -> None:
    # Guards against `later` for a second attempt whose first one runs, at the stop of a drain and at the deadline.
    driver = CoreDriver(**KEYED)
    submit(driver, FIRST)
    submit(driver, REPEAT)
    end(driver)
    assert len(driver.statuses(REPEAT)) == 1
    assert driver.statuses(REPEAT)[0] in (ResponseStatus.EXPIRED, ResponseStatus.FAILED)


@pytest.mark.parametrize("end", [end_of_drain, deadline, process_exit])
def test_a_repeat_that_the_controller_has_not_seen_yet_is_not_rejected(
    end: Callable[[CoreDriver], None],
) -> None:
    # Guards against `later` for a second attempt that is read just before the stop or the deadline.
    driver = CoreDriver(**KEYED)
    submit(driver, FIRST)
    replace_decide(driver, ignore_events)
    submit(driver, REPEAT)
    end(driver)
    assert driver.statuses(REPEAT) == [ResponseStatus.EXPIRED]


@pytest.mark.parametrize("finished", [False, True])
def test_a_repeat_of_work_of_a_sibling_process_is_not_rejected(finished: bool) -> None:
    # Guards against `later` for work that the other process of an upgrade runs or has run.
    driver = CoreDriver(**KEYED)
    driver.core.adopt_remote_key(IdempotencyKey("keyed", "k"), KeyRecord("elsewhere", finished=finished))
    replace_decide(driver, ignore_events)
    submit(driver, REPEAT)
    driver.core.respond_to_all()
    assert driver.statuses(REPEAT) == [ResponseStatus.EXPIRED]


@pytest.mark.parametrize("ended", [False, True])
def test_a_repeat_is_not_rejected_while_the_node_has_no_configuration(ended: bool) -> None:
    # Guards against a rejection of work that runs or has run, for want of an agreed document.
    driver = CoreDriver(**KEYED)
    submit(driver, FIRST)
    if ended:
        driver.end(FIRST)
    driver.core.accepts_work = lambda: False
    submit(driver, REPEAT)
    assert driver.statuses(REPEAT) == [ResponseStatus.EXPIRED]
    assert driver.core.counts[NO_CONFIG_COUNT] == 1


def test_the_controllers_rejection_of_a_repeat_is_sent_as_a_failure_once_the_work_may_have_run() -> None:
    # Guards against a rejection by a controller that does not know the class any more, and so not the first attempt.
    driver = CoreDriver(**KEYED)
    submit(driver, FIRST)

    def reject(_now: int, _events: list[Event]) -> list[Action]:
        return [Reject(f"r{REPEAT}", NO_RETRY_AFTER_US, no_failover=False)]

    replace_decide(driver, reject)
    submit(driver, REPEAT)
    assert driver.statuses(REPEAT) == [ResponseStatus.FAILED]


def test_a_repeat_of_work_that_still_waits_for_its_run_is_rejected() -> None:
    # The promise of a rejection holds: neither attempt has run.
    driver = CoreDriver(**KEYED)
    replace_decide(driver, ignore_events)
    submit(driver, FIRST)
    submit(driver, REPEAT)
    driver.core.respond_to_all()
    assert driver.statuses(FIRST) + driver.statuses(REPEAT) == [ResponseStatus.REJECTED] * 2
    assert not driver.backend.commands


def test_new_work_under_a_key_whose_window_is_over_is_rejected() -> None:
    # The window of the work that ran has ended, so the request is not a repeat of it.
    driver = CoreDriver(**KEYED)
    submit(driver, FIRST)
    driver.end(FIRST)
    driver.clock.advance(6000)
    replace_decide(driver, ignore_events)
    submit(driver, REPEAT)
    driver.core.respond_to_all()
    assert driver.statuses(REPEAT) == [ResponseStatus.REJECTED]


KEYS = ("k1", "k2")
WINDOW = timedelta(microseconds=KEYED["classes"][2]["repeatWindowUs"])
# Without outcomes that prove that nothing ran: after such an outcome a rejection is true.
RAN = (Outcome.OK, Outcome.ERROR, Outcome.RESET)
STEPS = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from(KEYS)),
    st.tuples(st.just("submit before the stop"), st.sampled_from(KEYS)),
    st.tuples(st.just("end"), st.sampled_from(RAN)),
    st.tuples(st.just("disconnect"), st.integers(0, 9)),
    st.tuples(st.just("advance"), st.sampled_from([1, 50, 400, 2000])),
    st.tuples(st.just("drain"), st.none()),
    st.tuples(st.just("exit"), st.none()),
)


class RejectionRecorder(CoreDriver):
    """Records which requests were rejected although an attempt of their work had been started within the window."""

    def __init__(self) -> None:
        super().__init__(cores=1, **KEYED)
        self.arrivals: dict[int, tuple[str, datetime]] = {}  # key and arrival by request number
        self.handles: dict[int, int] = {}
        self.false_rejections: list[int] = []

    def submit_next(self, key: str) -> None:
        number = len(self.arrivals) + 1
        self.arrivals[number] = (key, self.clock.now())
        self.handles[number] = self.submit(number, "keyed", idempotency_key=key)

    def deliver(self, response_handle: ResponseHandle, response: Response) -> None:
        super().deliver(response_handle, response)
        number = response_handle[1]
        if response.status is ResponseStatus.REJECTED and self.has_started(number):
            self.false_rejections.append(number)

    def has_started(self, number: int) -> bool:
        key, arrived_at = self.arrivals[number]
        started = [self.arrivals[int(id[1:])] for command, id in self.backend.commands if command == "start"]
        return any(
            started_key == key and arrived_at < started_at + WINDOW for started_key, started_at in started
        )

    def step(self, action: str, choice: Any) -> None:
        match action:
            case "submit":
                self.submit_next(choice)
            case "submit before the stop":
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(self.core._controller, "decide", ignore_events)
                    self.submit_next(choice)
                    self.core.respond_to_all()
            case "end":
                for request in [each for each in self.core._requests if each.stage is Stage.RUNNING][:1]:
                    self.core.run_ended(request.id, choice, SECOND, b"result")
            case "disconnect":
                self.core.client_disconnected(self.handles.get(choice, 0))
            case "advance":
                self.clock.advance(choice)
            case "drain" if not self.core.is_shutting_down:
                self.core.drain(self.clock.now() + 3.2 * SECOND)
            case "exit":
                self.core.respond_to_all()
        self.clock.settle()


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.lists(STEPS, max_size=30))
def test_no_request_is_rejected_after_a_run_of_its_work_began(steps: list[tuple[str, Any]]) -> None:
    # Guards against a rejection in any order of repeats, runs, disconnections, deadlines, drain and exit.
    recorder = RejectionRecorder()
    for step in steps:
        recorder.step(*step)
    recorder.clock.advance(10_000)
    assert not recorder.false_rejections
