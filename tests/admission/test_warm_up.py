"""Tests of how many requests start while the server warms up, by when its backend started."""

from __future__ import annotations

import pytest

from marlstep.admission.events import BackendStarted, CallNeeded
from marlstep.admission.start_rules import max_active_runs
from tests.support.helpers import MS, ControllerDriver

CORES, WARM_UP_MS = 4, 10_000
COLD_LIMIT, WARM_LIMIT = max_active_runs(CORES * (1 + 7 * 0.25)), max_active_runs(CORES * 8.0)


def cold_server(warms_up: bool = True) -> ControllerDriver:
    return ControllerDriver(
        cores=CORES,
        overload_concurrency_factor=8.0,
        memory_kb=1e9,
        warms_up=warms_up,
        initial_capacity_share=0.25,
        warm_up_us=WARM_UP_MS * MS,
    )


def active_limit(server: ControllerDriver) -> float:
    return max_active_runs(server.controller.state.max_concurrency)


def started(age_ms: int, is_cold: bool) -> BackendStarted:
    return BackendStarted(age_ms * MS, is_cold)


@pytest.mark.parametrize("is_cold", [True, False])
def test_the_warm_up_begins_when_a_late_backend_starts(is_cold: bool) -> None:
    # Guards against a cold server that is taken for warm, as the process had started long before its backend.
    server = cold_server()
    server.step(started(0, is_cold), after_ms=2 * WARM_UP_MS)
    assert active_limit(server) == COLD_LIMIT
    server.step(after_ms=WARM_UP_MS / 2)
    assert COLD_LIMIT < active_limit(server) < WARM_LIMIT
    server.step(after_ms=WARM_UP_MS / 2)
    assert active_limit(server) == WARM_LIMIT


def test_no_more_runs_are_active_on_a_late_backend_than_it_survives() -> None:
    # Runs leave the cores for calls, and come back together when these end.
    server = cold_server()
    server.step(after_ms=2 * WARM_UP_MS)
    arrivals = [server.request(f"r{number}") for number in range(60)]
    actions = server.step(started(0, is_cold=True), *arrivals)
    while any(action == "Run" for action, _ in actions):
        actions = server.step(*[CallNeeded(id) for action, id in actions if action == "Run"])
    runs = sum(action == "Run" for action, _ in server.actions)
    assert CORES < runs <= COLD_LIMIT


def test_a_new_process_beside_a_backend_that_is_warm_already_has_its_full_capacity() -> None:
    server = cold_server()
    assert active_limit(server) == COLD_LIMIT
    server.step(started(WARM_UP_MS, is_cold=True))
    assert active_limit(server) == WARM_LIMIT


def test_a_backend_that_starts_again_cold_warms_up_again() -> None:
    server = cold_server(warms_up=False)
    server.step(started(0, is_cold=False))
    assert active_limit(server) == WARM_LIMIT
    server.step(started(0, is_cold=True), after_ms=60_000)
    assert active_limit(server) == COLD_LIMIT
    server.step(after_ms=WARM_UP_MS)
    assert active_limit(server) == WARM_LIMIT


def test_a_new_connection_to_the_same_backend_does_not_change_its_warm_up() -> None:
    server = cold_server()
    server.step(started(0, is_cold=True))
    server.step(after_ms=WARM_UP_MS / 2)
    before = active_limit(server)
    server.step(started(WARM_UP_MS // 2, is_cold=True))
    assert active_limit(server) == before
