"""Each request gets exactly one response, at the deadline at the latest, and is then released."""

from __future__ import annotations

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from marlstep.units import SECOND
from tests.support.node import CoreDriver


def test_a_request_that_cannot_meet_its_latency_objective_gets_its_response_before_its_deadline() -> None:
    driver = CoreDriver(cores=1)
    for number in range(1, 4):
        driver.submit(number, "setpoint-cmd")
    driver.clock.advance(1800)
    assert driver.statuses(1) == [ResponseStatus.EXPIRED]
    assert driver.statuses(3) == [ResponseStatus.REJECTED]
    assert 0 * SECOND < driver.responses[3][0].retry_after <= SECOND


def test_a_run_that_ends_after_the_response_causes_no_second_response() -> None:
    driver = CoreDriver(cores=1)
    driver.submit(1, "setpoint-cmd")
    driver.clock.advance(1800)
    driver.end(1)
    assert driver.statuses(1) == [ResponseStatus.EXPIRED]
    assert driver.core.in_flight == 0


def test_a_disconnected_client_gets_no_response_and_its_run_is_stopped() -> None:
    driver = CoreDriver()
    handle = driver.submit(1)
    driver.core.client_disconnected(handle)
    driver.clock.settle()
    assert driver.backend.commands == [("start", "r1"), ("abandon", "r1"), ("preempt", "r1")]
    driver.end(1, Outcome.CANCELLED)
    assert not driver.responses and driver.core.in_flight == 0


def test_a_response_is_sent_at_the_deadline_if_the_controller_takes_no_action(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = CoreDriver(cores=1)
    driver.submit(1)
    monkeypatch.setattr(driver.core._controller, "decide", lambda now, events: [])
    driver.submit(2)
    driver.clock.advance(8700)
    assert (driver.statuses(1), driver.statuses(2)) == ([ResponseStatus.EXPIRED], [ResponseStatus.REJECTED])


def test_a_paused_request_that_expires_is_released() -> None:
    driver = CoreDriver(cores=1)
    driver.submit(1, late_ms=1900)
    driver.submit(2, "setpoint-cmd")
    driver.end(1, Outcome.CANCELLED)
    driver.clock.advance(750)
    assert driver.statuses(1) == [ResponseStatus.EXPIRED]
    assert [request.id for request in driver.core._requests] == ["r2"]
