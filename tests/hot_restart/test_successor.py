"""The successor's state machine: when it accepts connections and when it reports that it can serve."""

from __future__ import annotations

import pytest

from marlstep.core.interfaces import ResponseStatus
from marlstep.core.serving_state import ServingPhase
from marlstep.hot_restart.resource_sharing import FULL_SHARE, HALF_SHARE
from marlstep.hot_restart.successor import (
    ACKNOWLEDGE_TIMEOUT,
    INITIAL_SYNC_TIMEOUT,
    TRANSITIONS,
    Effect,
    Event,
    State,
    may_accept_connections,
)
from marlstep.units import MILLISECOND
from tests.support.node import START, ManualClock
from tests.support.restart_pair import (
    RETRY_WINDOW,
    TERMINATION_TIMEOUT,
    ProcessPair,
    SimulatedProcess,
    serving_pair,
)


def test_a_process_without_predecessor_serves_at_once_with_all_capacity() -> None:
    process = SimulatedProcess(ManualClock(), 1)
    assert process.driver.core.serving_state.phase.value == "starting"
    process.hot_restart.backend_ready(START)
    assert (
        process.accepts_connections
        and process.driver.core.serving_state.phase is ServingPhase.SERVING
        and process.hot_restart.is_idle
    )
    assert not process.hot_restart.begin_shutdown(START)  # no handover: SIGTERM drains the node
    assert not process.applied_limits


def test_a_successor_reports_ready_only_after_the_predecessor_knows_that_it_accepts_connections() -> None:
    # Guards against a node drain: the predecessor gets SIGTERM once the successor reports ready, and it drains the node
    # if it does not know yet that the successor accepts connections.
    pair = ProcessPair()
    pair.connect(backend_ready=False)
    pair.run_for(40)
    # The initial sync is complete, but the successor's kernel is not connected.
    assert not pair.successor.accepts_connections
    pair.successor.hot_restart.backend_ready(pair.clock.now())
    assert pair.successor.accepts_connections and not pair.successor.driver.core.serving_state.can_serve
    assert not pair.predecessor.hot_restart.begin_shutdown(pair.clock.now())
    pair.deliver_to_predecessor()
    pair.deliver_to_successor()
    assert pair.successor.driver.core.serving_state.can_serve
    assert pair.predecessor.hot_restart.begin_shutdown(pair.clock.now())


def test_a_predecessor_that_hangs_delays_its_successor_for_four_seconds_at_most() -> None:
    pair = ProcessPair()
    pair.connect()
    for timeout in (INITIAL_SYNC_TIMEOUT, ACKNOWLEDGE_TIMEOUT):
        assert not pair.successor.driver.core.serving_state.can_serve
        pair.clock.advance(timeout / MILLISECOND)
        pair.successor.hot_restart.tick(pair.clock.now())
    assert pair.successor.accepts_connections and pair.successor.driver.core.serving_state.can_serve


def test_measurements_and_a_quiesce_reach_the_successor_and_its_resume_reaches_the_predecessor() -> None:
    pair = ProcessPair()
    pair.predecessor.driver.core.serving_state.quiesce()
    controller = pair.predecessor.driver.core._controller
    controller.state.statistics.mean_run_us["temp-history"] = 300_000.0
    controller.state.call_latency.usual_us = 9_000.0
    controller.concurrency.limit = 4.0
    pair.connect()
    pair.run_for(40)
    successor_controller = pair.successor.driver.core._controller
    assert successor_controller.state.statistics.mean_run_us["temp-history"] == 300_000.0
    assert successor_controller.state.call_latency.usual_us == 9_000.0
    assert 1.0 <= successor_controller.concurrency.limit <= successor_controller.state.max_concurrency
    core = pair.successor.driver.core
    assert not core.healthy and core.serving_state.can_serve
    core.serving_state.resume()
    pair.successor.hot_restart.serving_state_changed(True)
    pair.exchange()
    assert pair.predecessor.driver.core.healthy


@pytest.mark.parametrize(
    ("backend_ready", "predecessor_connected", "snapshot_complete", "capacity_share", "timed_out", "accepts"),
    [
        (False, False, False, 1.0, False, False),
        (False, True, True, 0.5, True, False),
        (True, False, False, 1.0, False, True),
        (True, True, False, 0.5, False, False),
        (True, True, True, 0.0, False, False),
        (True, True, True, 0.02, False, True),
        (True, True, False, 0.0, True, True),
    ],
)
def test_connections_are_accepted_with_a_ready_backend_after_the_initial_sync_or_its_timeout(
    backend_ready: bool,
    predecessor_connected: bool,
    snapshot_complete: bool,
    capacity_share: float,
    timed_out: bool,
    accepts: bool,
) -> None:
    assert accepts is may_accept_connections(
        backend_ready=backend_ready,
        predecessor_connected=predecessor_connected,
        snapshot_complete=snapshot_complete,
        capacity_share=capacity_share,
        initial_sync_timed_out=timed_out,
    )


def test_every_state_leads_to_serving_and_serving_is_never_left() -> None:
    assert set(TRANSITIONS) == set(State) and TRANSITIONS[State.SERVING] == {}
    for state in set(State) - {State.SERVING}:
        reached = {state}
        for _ in State:
            reached |= {
                transition.next_state
                for reached_state in reached
                for transition in TRANSITIONS[reached_state].values()
            }
        assert State.SERVING in reached


def test_ready_is_reported_exactly_on_transitions_to_serving() -> None:
    reports_ready = {Effect.MARK_READY, Effect.ACCEPT_AND_MARK_READY}
    for row in TRANSITIONS.values():
        for transition in row.values():
            assert (transition.effect in reports_ready) is (transition.next_state is State.SERVING)


def test_a_standby_successor_accepts_connections_and_announces_it_before_it_serves() -> None:
    transition = TRANSITIONS[State.STANDBY][Event.MAY_ACCEPT]
    assert (transition.next_state, transition.effect) == (State.ACCEPTING, Effect.ACCEPT_AND_ANNOUNCE)


def test_an_unreachable_process_beside_a_connected_predecessor_only_makes_outcomes_unknown() -> None:
    pair = serving_pair()
    limit = pair.successor.hot_restart.sharing.limit
    pair.successor.hot_restart.predecessor_unreachable(pair.clock.now())
    undecided = pair.submit(pair.successor, "setpoint-cmd", "k")
    pair.exchange()
    assert pair.successor.driver.statuses(undecided) == [ResponseStatus.FAILED]
    assert pair.successor.hot_restart.sharing.limit == limit and pair.successor.hot_restart.has_predecessor
    pair.clock.advance(RETRY_WINDOW / MILLISECOND)
    granted = pair.submit(pair.successor, "setpoint-cmd", "k")
    pair.exchange()
    assert ("start", f"r{granted}") in pair.successor.driver.backend.commands


def test_a_sole_process_uses_half_of_the_capacity_until_an_unreachable_one_must_have_ended() -> None:
    process = SimulatedProcess(ManualClock(), 2)
    process.hot_restart.predecessor_unreachable(START)
    process.hot_restart.backend_ready(START)
    assert process.accepts_connections and process.driver.core.serving_state.can_serve
    assert process.applied_limits == [HALF_SHARE] and not process.hot_restart.is_idle
    process.hot_restart.tick(START + TERMINATION_TIMEOUT)
    assert process.applied_limits == [HALF_SHARE, FULL_SHARE] and process.hot_restart.is_idle
