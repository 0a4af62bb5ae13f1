"""The core as a whole, from the submission of a request to its response."""

from __future__ import annotations

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import ResponseStatus
from tests.support.node import Desk


def test_a_request_runs_and_its_result_is_the_response() -> None:
    desk = Desk()
    desk.submit(1)
    assert desk.backend.told == [("start", "r1")]
    desk.end(1)
    assert [(response.status, response.body) for response in desk.answers[1]] == [
        (ResponseStatus.DONE, b"result")
    ]
    assert desk.core.in_flight == 0


def test_a_run_of_higher_priority_pauses_one_of_lower_priority_until_it_ends() -> None:
    desk = Desk(cores=1)
    desk.submit(1)
    desk.submit(2, "setpoint-cmd")
    assert desk.backend.told == [("start", "r1"), ("preempt", "r1"), ("start", "r2")]
    desk.end(1, Outcome.CANCELLED)
    desk.end(2)
    assert desk.backend.told[3:] == [("resume", "r1")]
    assert not desk.answers.get(1)
