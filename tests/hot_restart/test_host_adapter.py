"""The host adapter: effects of a hot restart on the core, and the data exchanged with it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from marlstep.core.errors import RequestRejectedError
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.serving_state import ServingPhase
from marlstep.units import MILLISECOND
from tests.support.node import CoreDriver
from tests.support.restart_pair import serving_pair


def run_count(driver: CoreDriver) -> int:
    return [command for command, _ in driver.backend.commands].count("start")


def test_the_core_keeps_to_its_share_of_memory_and_requests() -> None:
    driver = CoreDriver(cores=2)
    driver.core.set_capacity_share(0.02, 100)  # the node has room for 10 requests
    for number in range(1, 9):
        driver.submit(number, "temp-history", memory_kb=1.0)
    assert run_count(driver) == 1
    driver.core.set_capacity_share(0.5, 100)
    driver.clock.advance(100)
    assert run_count(driver) == 2
    driver.core.set_capacity_share(0.02, 100)
    driver.submit(9, "temp-history", memory_kb=300.0)
    assert driver.statuses(9) == [ResponseStatus.REJECTED]
    with pytest.raises(RequestRejectedError, match="this process's part"):
        driver.core.set_capacity_share(0.5, 3)
        driver.submit(10)


def test_a_predecessor_that_hands_over_runs_late_requests_and_stays_healthy() -> None:
    driver = CoreDriver(cores=2)
    driver.core.backend_ready()
    driver.core.begin_hand_over(driver.clock.now() + 3700 * MILLISECOND)
    # Bytes received by now are read first; otherwise the connection would be closed with them unread.
    assert not driver.stopped_accepting
    driver.clock.settle()
    assert (
        driver.stopped_accepting
        and driver.core.healthy
        and driver.core.serving_state.phase is ServingPhase.HANDING_OVER
    )
    driver.clock.advance(2_600)
    driver.submit(1)  # over 2.5 s later, when a drain would reject it
    driver.end(1)
    driver.submit(2)
    driver.clock.advance(950)
    assert (driver.statuses(1), driver.statuses(2)) == ([ResponseStatus.DONE], [ResponseStatus.EXPIRED])


@pytest.mark.parametrize(
    "learned", [{}, {"limit": "x", "means_us": 3}, {"base_us": float("nan")}, {"limit": -1}]
)
def test_invalid_measurements_of_another_version_are_ignored(learned: dict[str, Any]) -> None:
    driver = CoreDriver()
    before = replace(driver.core._controller.measurements())
    driver.core.adopt_measurements({**learned, "odd": [1]})
    driver.clock.settle()
    assert driver.core._controller.measurements() == before


@pytest.mark.parametrize("result", [b"\x00" * 4096, b"\xff" * 4096, b"x" * 40_000])
def test_the_longest_results_reach_the_successor_and_longer_ones_fail_a_retry(result: bytes) -> None:
    # Guards against a message longer than the peer reads: it would close the connection, and all keys would be lost.
    pair = serving_pair()
    pair.predecessor.driver.end(pair.submit(pair.predecessor, "schedule-save", "w" * 256), result=result)
    pair.exchange()
    retry = pair.submit(pair.successor, "schedule-save", "w" * 256)
    pair.exchange()
    [response] = pair.successor.driver.responses[retry]
    expected = (ResponseStatus.DONE, result) if len(result) <= 4096 else (ResponseStatus.FAILED, b"")
    assert (response.status, response.body) == expected and sum(pair.run_counts().values()) == 1
