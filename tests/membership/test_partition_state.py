"""Classification of partitions, and the tracker's hysteresis."""

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

WELL = PartitionObservation(
    True, frozenset("abc"), frozenset("abcd"), frozenset(), frozenset("abcd"), True, True
)


SIGHTS = {
    PartitionState.HEALTHY: WELL,
    PartitionState.SUSPICION: replace(WELL, suspected=frozenset("d")),
    PartitionState.MAJORITY: replace(WELL, alive=frozenset("abc")),
    PartitionState.MINORITY: replace(WELL, quorum_responds=False, alive=frozenset("ad")),
    PartitionState.QUORUM_LOST: replace(WELL, quorum_responds=False),
    PartitionState.UNHEARD: replace(WELL, quorum_responds=False, is_acknowledged=False),
    PartitionState.ISOLATED: replace(WELL, quorum_responds=False, receives=False, is_acknowledged=False),
}


@pytest.mark.parametrize("situation", SIGHTS)
def test_each_situation_is_told_by_what_is_seen_and_left_by_way_of_coming_back(
    situation: PartitionState,
) -> None:
    assert classify(SIGHTS[situation]) is situation
    standing, now = PartitionTracker(NOW), NOW
    seen = []

    def go(sight: PartitionObservation, seconds: float) -> None:
        nonlocal now
        for _ in range(int(seconds * 20)):
            now += 50 * MILLISECOND
            if standing.observe(now, sight):
                seen.append(standing.state)

    go(WELL, 3)
    assert standing.state is PartitionState.HEALTHY and seen == [PartitionState.HEALTHY]
    go(SIGHTS[situation], 1)
    assert standing.state is situation
    go(WELL, 5)
    bad = situation not in CONNECTED_STATES
    assert standing.state is PartitionState.HEALTHY and (PartitionState.RECOVERING in seen) is bad
    go(SIGHTS[situation], 0.2)  # too short to count
    assert standing.state is PartitionState.HEALTHY


@given(st.lists(st.tuples(st.sampled_from(sorted(SIGHTS, key=str)), st.integers(1, 60)), max_size=30))
def test_no_task_is_begun_where_the_group_does_not_answer_and_turns_are_not_too_many(
    rows: list[tuple[PartitionState, int]],
) -> None:
    standing, now, turns, cut_off = PartitionTracker(NOW), NOW, 0, 0
    for situation, steps in rows:
        for _ in range(steps):
            now += 100 * MILLISECOND
            turns += standing.observe(now, SIGHTS[situation])
            cut_off = 0 if SIGHTS[situation].quorum_responds else cut_off + 1
            if cut_off > 4:
                assert not standing.capabilities.starts_tasks and not standing.capabilities.requests_leases
            assert standing.capabilities is CAPABILITIES[standing.state]
    assert turns <= 1 + sum(steps for _, steps in rows) / 3 + len(rows)


def test_a_bad_situation_that_lasts_is_overdue() -> None:
    standing, now = PartitionTracker(NOW), NOW
    for _ in range(400):
        now += 100 * MILLISECOND
        standing.observe(now, SIGHTS[PartitionState.QUORUM_LOST])
    assert standing.overdue and standing.state is PartitionState.QUORUM_LOST
