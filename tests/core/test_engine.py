"""The core as a whole, from the submission of a request to its response."""

from __future__ import annotations

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from tests.support.node import CoreDriver


def test_a_request_runs_and_its_result_is_the_response() -> None:
    driver = CoreDriver()
    driver.submit(1)
    assert driver.backend.commands == [("start", "r1")]
    driver.end(1)
    assert [(response.status, response.body) for response in driver.responses[1]] == [
        (ResponseStatus.DONE, b"result")
    ]
    assert driver.core.in_flight == 0


def test_a_run_of_higher_priority_pauses_one_of_lower_priority_until_it_ends() -> None:
    driver = CoreDriver(cores=1)
    driver.submit(1)
    driver.submit(2, "setpoint-cmd")
    assert driver.backend.commands == [("start", "r1"), ("preempt", "r1"), ("start", "r2")]
    driver.end(1, Outcome.CANCELLED)
    driver.end(2)
    assert driver.backend.commands[3:] == [("resume", "r1")]
    assert not driver.responses.get(1)
