"""Checkers of recorded effects: they report contradictions, and no false alarms."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.fault_injection.effects import (
    Effect,
    FencingServer,
    overlapping_effects,
    repeated_runs,
    shared_tokens,
    stale_tokens_accepted,
)
from marlstep.fault_injection.lease_drill import judge
from marlstep.fault_injection.plan import PlanSettings, draw


def effect(node: str, token: int, began: int, ended: int, **other: object) -> Effect:
    told = {"task": "t", "run": token, "accepted": True, **other}
    return Effect(node=node, token=token, began_us=began, ended_us=ended, **told)  # type: ignore[arg-type]


def test_the_checkers_detect_contradicting_effects_alone() -> None:
    good = [effect("a", 1, 0, 10), effect("a", 1, 5, 20), effect("b", 2, 20, 30)]
    assert not list(overlapping_effects(good)) and not list(stale_tokens_accepted(good))
    bad = [*good, effect("a", 1, 29, 40)]
    assert [(one.node, other.node) for one, other in overlapping_effects(bad)] == [("b", "a")]
    assert [other.began_us for _, other in stale_tokens_accepted(bad)] == [29]
    assert list(overlapping_effects([effect("a", 1, 0, 10), effect("b", 1, 5, 20)]))  # same token, two nodes
    assert list(shared_tokens([effect("a", 1, 0, 1), effect("b", 1, 9, 12)])) and not list(
        shared_tokens(good)
    )
    refused = [*good, effect("a", 1, 29, 40, accepted=False)]
    assert not list(overlapping_effects(refused)) and not list(stale_tokens_accepted(refused))
    assert list(repeated_runs([effect("a", 1, 0, 1, run=5), effect("b", 2, 2, 3, run=5)], frozenset("t")))
    assert not list(repeated_runs([effect("a", 1, 0, 1, run=5), effect("b", 2, 2, 3, run=5)], frozenset()))


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 50), st.integers(1, 20)), max_size=12))
def test_overlapping_effects_are_those_that_a_comparison_of_all_pairs_finds(
    rows: list[tuple[str, int, int]],
) -> None:
    effects = [effect(node, ord(node), began, began + length) for node, began, length in rows]
    slow = {
        frozenset((id(one), id(other)))
        for one in effects
        for other in effects
        if (one.token, one.node) != (other.token, other.node)
        and one.began_us < other.ended_us
        and other.began_us < one.ended_us
    }
    assert {frozenset((id(one), id(other))) for one, other in overlapping_effects(effects)} == slow


def test_a_drill_in_which_nothing_happened_does_not_pass() -> None:
    plan = draw(1, PlanSettings())
    assert judge(plan, [], frozenset(), 0)["verdict"] == "broken"
    one = effect("a", 1, 0, 10)
    assert judge(plan, [one], frozenset(), 1_000_000)["verdict"] == "held"
    assert judge(plan, [one], frozenset(), 60_000_000)["quiet_at_the_end"]


def test_a_token_below_the_highest_accepted_one_is_rejected() -> None:
    one = FencingServer()
    assert [one.accepts("t", token) for token in (1, 3, 2, 3, 4)] == [True, True, False, True, True]
    assert one.accepts("u", 1)
