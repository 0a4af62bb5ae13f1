"""Each request gets exactly one response, at the deadline at the latest, and is then released."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from marlstep.units import SECOND
from tests.support.node import Desk


def test_a_request_that_cannot_meet_its_latency_objective_gets_its_response_before_its_deadline() -> None:
    desk = Desk(cores=1)
    for number in range(1, 4):
        desk.submit(number, "setpoint-cmd")
    desk.clock.advance(1800)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert desk.verdicts(3) == [ResponseStatus.REJECTED]
    assert 0 * SECOND < desk.answers[3][0].retry_after <= SECOND


def test_a_run_that_ends_after_the_response_causes_no_second_response() -> None:
    desk = Desk(cores=1)
    desk.submit(1, "setpoint-cmd")
    desk.clock.advance(1800)
    desk.end(1)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert desk.core.in_flight == 0


def test_a_disconnected_client_gets_no_response_and_its_run_is_stopped() -> None:
    desk = Desk()
    handle = desk.submit(1)
    desk.core.client_disconnected(handle)
    desk.clock.settle()
    assert desk.backend.told == [("start", "r1"), ("abandon", "r1"), ("preempt", "r1")]
    desk.end(1, Outcome.CANCELLED)
    assert not desk.answers and desk.core.in_flight == 0


def test_a_response_is_sent_at_the_deadline_if_the_controller_takes_no_action(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    desk = Desk(cores=1)
    desk.submit(1)
    monkeypatch.setattr(desk.core._controller, "decide", lambda now, events: [])
    desk.submit(2)
    desk.clock.advance(8700)
    assert (desk.verdicts(1), desk.verdicts(2)) == ([ResponseStatus.EXPIRED], [ResponseStatus.REJECTED])


def test_a_paused_request_that_expires_is_released() -> None:
    desk = Desk(cores=1)
    desk.submit(1, late_ms=1900)
    desk.submit(2, "setpoint-cmd")
    desk.end(1, Outcome.CANCELLED)
    desk.clock.advance(750)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert [request.id for request in desk.core._requests] == ["r2"]
