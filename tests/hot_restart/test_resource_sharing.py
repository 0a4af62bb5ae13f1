"""The division of a node's capacity between two processes."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.hot_restart.resource_sharing import FULL_SHARE, HALF_SHARE, MIN_HANDOVER_SHARE, ResourceSharing
from marlstep.units import MILLISECOND, SECOND
from tests.frontends.test_parsers import FIXED
from tests.support.node import START
from tests.support.restart_pair import TERMINATION_TIMEOUT, ProcessPair

STEPS = st.lists(
    st.tuples(st.sampled_from(["give", "rest", "drain", "wait", "lost"]), st.floats(0, 1)), max_size=12
)


@FIXED
@given(STEPS)
def test_shares_never_add_up_to_more_than_the_whole_capacity(steps: list[tuple[str, float]]) -> None:
    predecessor, successor, now = ResourceSharing(), ResourceSharing(), START
    successor.predecessor_connected()
    predecessor.successor_connected()
    lost = False
    for step, fraction in steps:
        match step:
            case "give" | "rest" if not lost:
                successor.receive(predecessor.grant(fraction, all_remaining=step == "rest"))
            case "drain" if not lost:
                predecessor.hand_over(fraction)
            case "lost" if not lost:
                lost = True
                predecessor.successor_lost(now, TERMINATION_TIMEOUT)
                successor.predecessor_lost(now, TERMINATION_TIMEOUT)
            case "wait":
                now += timedelta(seconds=fraction)
                predecessor.reclaim_lost_shares(now)
                successor.reclaim_lost_shares(now)
        if now < START + TERMINATION_TIMEOUT:
            assert predecessor.limit + successor.limit <= FULL_SHARE + 1e-9
    if lost:
        successor.reclaim_lost_shares(now + TERMINATION_TIMEOUT)
        assert successor.limit == pytest.approx(FULL_SHARE) and successor.is_sole_process


def test_half_of_the_capacity_is_used_until_an_unreachable_or_unknown_process_must_have_ended() -> None:
    unreachable, unknown = ResourceSharing(), ResourceSharing()
    unreachable.predecessor_unreachable(START, TERMINATION_TIMEOUT)
    unknown.unknown_process_connected(START, TERMINATION_TIMEOUT)
    ended_by = START + TERMINATION_TIMEOUT
    for sharing in (unreachable, unknown):
        sharing.reclaim_lost_shares(ended_by - MILLISECOND)
        assert sharing.limit == HALF_SHARE and not sharing.is_sole_process
        assert sharing.grant(0.0) == 0.0  # no connected successor can receive it
        sharing.reclaim_lost_shares(ended_by)
        assert sharing.limit == FULL_SHARE and sharing.is_sole_process


def test_capacity_moves_to_the_successor_as_the_predecessor_frees_it_until_it_has_all() -> None:
    pair = ProcessPair()
    pair.predecessor.connections_in_use = 0.9
    pair.connect()
    pair.run_for(40)
    shares = [process.hot_restart.sharing.owned_share for process in pair.living]
    assert shares[1] == pytest.approx(0.1) and pair.predecessor.hot_restart.sharing.limit == HALF_SHARE
    pair.predecessor.connections_in_use = 0.3
    pair.run_for(40)
    assert pair.successor.hot_restart.sharing.limit == pytest.approx(HALF_SHARE)
    assert pair.predecessor.hot_restart.begin_shutdown(pair.clock.now())
    pair.predecessor.connections_in_use = 0.0
    pair.run_for(40)
    assert pair.successor.hot_restart.sharing.limit == pytest.approx(FULL_SHARE - MIN_HANDOVER_SHARE)
    pair.predecessor.hot_restart.finish()
    pair.exchange()
    assert pair.successor.hot_restart.sharing.limit == FULL_SHARE and pair.successor.hot_restart.is_idle
    assert pair.successor.driver.core._controller.state.portion == FULL_SHARE


def test_a_successor_that_replaces_a_lost_one_gets_half_of_what_its_predecessor_owns_at_once() -> None:
    # Guards against a replacement that gets no share until the lost process must have ended.
    sharing = ResourceSharing()
    sharing.successor_connected()
    assert sharing.grant(0.0) == 0.5
    sharing.successor_lost(START, 7 * SECOND)
    assert sharing.limit == 0.5  # the lost process may still use the other half
    sharing.successor_connected()
    assert sharing.grant(0.0) == 0.25 and sharing.limit == 0.25
    sharing.reclaim_lost_shares(START + 6.9 * SECOND)
    assert sharing.grant(0.0) == 0.0
    sharing.reclaim_lost_shares(START + 7 * SECOND)
    assert sharing.grant(0.0) == 0.25 and sharing.limit == 0.5


def test_each_lost_share_is_reclaimed_at_its_own_time() -> None:
    sharing = ResourceSharing()
    for lost_at in (0, 2):
        sharing.successor_connected()
        sharing.grant(0.0)
        sharing.successor_lost(START + lost_at * SECOND, 7 * SECOND)
    assert sharing.owned_share == 0.25
    sharing.reclaim_lost_shares(START + 7 * SECOND)
    assert sharing.owned_share == 0.75 and not sharing.is_sole_process
    sharing.reclaim_lost_shares(START + 9 * SECOND)
    assert sharing.owned_share == sharing.limit == 1.0 and sharing.is_sole_process


def test_a_successor_of_a_successor_that_lost_one_leaves_the_lost_share_alone() -> None:
    sharing = ResourceSharing()
    sharing.predecessor_connected()
    sharing.receive(0.5)
    sharing.successor_connected()
    assert sharing.grant(0.0) == 0.25
    sharing.successor_lost(START, 7 * SECOND)
    sharing.predecessor_done()
    assert sharing.owned_share == 0.75
    sharing.reclaim_lost_shares(START + 7 * SECOND)
    assert sharing.owned_share == 1.0
