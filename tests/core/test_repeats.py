"""Repeats of work that has an effect share its result, and never run the work twice."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.errors import RepeatedWorkError
from marlstep.core.interfaces import ResponseStatus
from tests.support.node import SETTINGS, CoreDriver

KEYED: dict[str, Any] = {
    "classes": [
        *SETTINGS["classes"][:2],
        {
            "name": "keyed",
            "aimUs": 2_000_000,
            "hardLimitUs": 4_000_000,
            "worth": 1.0,
            "semantics": "deduplicated",
            "repeatWindowUs": 5_000_000,
        },
    ]
}


def test_at_most_once_work_runs_again_under_its_key_only_if_it_never_ran() -> None:
    driver = CoreDriver()
    driver.submit(1, "setpoint-cmd", idempotency_key="boiler-7")
    with pytest.raises(RepeatedWorkError):
        driver.submit(2, "setpoint-cmd", idempotency_key="boiler-7")
    driver.end(1, Outcome.CONNECT_FAILED)
    driver.submit(3, "setpoint-cmd", idempotency_key="boiler-7")
    driver.end(3, Outcome.RESET)
    with pytest.raises(RepeatedWorkError):
        driver.submit(4, "setpoint-cmd", idempotency_key="boiler-7")
    assert [id for command, id in driver.backend.commands if command == "start"] == ["r1", "r3"]
    assert (driver.statuses(1), driver.statuses(3)) == ([ResponseStatus.REJECTED], [ResponseStatus.FAILED])


def test_a_repeat_of_keyed_work_shares_its_result_until_the_window_ends() -> None:
    driver = CoreDriver(**KEYED)

    driver.submit(1, "keyed", idempotency_key="k")
    driver.submit(2, "keyed", idempotency_key="k")
    assert driver.statuses(2) == []
    driver.end(1)
    driver.submit(3, "keyed", idempotency_key="k")
    assert [driver.responses[number][0].body for number in (1, 2, 3)] == [b"result"] * 3
    assert [command for command, _ in driver.backend.commands] == ["start"]
    driver.clock.advance(6000)
    driver.submit(4, "keyed", idempotency_key="k")
    assert driver.backend.commands[-1] == ("start", "r4")


def test_a_repeat_under_the_id_and_key_of_ended_work_shares_its_result() -> None:
    # Guards against an endless loop: the controller mistook the new attempt for the earlier one with the same id, and
    # followed the reference between them in a circle.
    class_rows = [dict(row) for row in SETTINGS["classes"]]
    class_rows[1].update(semantics="deduplicated")
    driver = CoreDriver(classes=class_rows)
    for _ in range(4):
        driver.submit(1, "schedule-save", idempotency_key="k")
        driver.end(1)
    assert driver.statuses(1) == [ResponseStatus.DONE] * 4
    assert driver.backend.commands == [("start", "r1")]
