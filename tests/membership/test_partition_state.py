"""Classification of partition states, and the hysteresis of the tracker."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.membership.partition_state import (
    CAPABILITIES,
    CONNECTED_STATES,
    PartitionObservation,
    PartitionState,
    PartitionTracker,
    classify,
)
from marlstep.units import MILLISECOND
from tests.membership.support import NOW

HEALTHY = PartitionObservation(
    True, frozenset("abc"), frozenset("abcd"), frozenset(), frozenset("abcd"), True, True
)


OBSERVATIONS = {
    PartitionState.HEALTHY: HEALTHY,
    PartitionState.SUSPICION: replace(HEALTHY, suspected=frozenset("d")),
    PartitionState.MAJORITY: replace(HEALTHY, alive=frozenset("abc")),
    PartitionState.MINORITY: replace(HEALTHY, quorum_responds=False, alive=frozenset("ad")),
    PartitionState.QUORUM_LOST: replace(HEALTHY, quorum_responds=False),
    PartitionState.UNHEARD: replace(HEALTHY, quorum_responds=False, is_acknowledged=False),
    PartitionState.ISOLATED: replace(HEALTHY, quorum_responds=False, receives=False, is_acknowledged=False),
}


@pytest.mark.parametrize("state", OBSERVATIONS)
def test_each_state_is_entered_by_its_observation_and_left_through_recovering_if_disconnected(
    state: PartitionState,
) -> None:
    assert classify(OBSERVATIONS[state]) is state
    tracker, now = PartitionTracker(NOW), NOW
    entered = []

    def observe_for(observation: PartitionObservation, seconds: float) -> None:
        nonlocal now
        for _ in range(int(seconds * 20)):
            now += 50 * MILLISECOND
            if tracker.observe(now, observation):
                entered.append(tracker.state)

    observe_for(HEALTHY, 3)
    assert tracker.state is PartitionState.HEALTHY and entered == [PartitionState.HEALTHY]
    observe_for(OBSERVATIONS[state], 1)
    assert tracker.state is state
    observe_for(HEALTHY, 5)
    was_disconnected = state not in CONNECTED_STATES
    assert (
        tracker.state is PartitionState.HEALTHY and (PartitionState.RECOVERING in entered) is was_disconnected
    )
    observe_for(OBSERVATIONS[state], 0.2)  # shorter than the delay for worse states
    assert tracker.state is PartitionState.HEALTHY


@given(st.lists(st.tuples(st.sampled_from(sorted(OBSERVATIONS, key=str)), st.integers(1, 60)), max_size=30))
def test_no_task_starts_without_a_quorum_and_transitions_are_bounded(
    phases: list[tuple[PartitionState, int]],
) -> None:
    tracker, now, transitions, steps_without_quorum = PartitionTracker(NOW), NOW, 0, 0
    for state, steps in phases:
        for _ in range(steps):
            now += 100 * MILLISECOND
            transitions += tracker.observe(now, OBSERVATIONS[state])
            steps_without_quorum = 0 if OBSERVATIONS[state].quorum_responds else steps_without_quorum + 1
            if steps_without_quorum > 4:
                assert not tracker.capabilities.starts_tasks and not tracker.capabilities.requests_leases
            assert tracker.capabilities is CAPABILITIES[tracker.state]
    assert transitions <= 1 + sum(steps for _, steps in phases) / 3 + len(phases)


def test_a_lasting_loss_of_quorum_is_overdue() -> None:
    tracker, now = PartitionTracker(NOW), NOW
    for _ in range(400):
        now += 100 * MILLISECOND
        tracker.observe(now, OBSERVATIONS[PartitionState.QUORUM_LOST])
    assert tracker.overdue and tracker.state is PartitionState.QUORUM_LOST
