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


def effect(node: str, token: int, began: int, ended: int, **overrides: object) -> Effect:
    fields = {"task": "t", "run": token, "accepted": True, **overrides}
    return Effect(node=node, token=token, began_us=began, ended_us=ended, **fields)  # type: ignore[arg-type]


def test_the_checkers_report_only_contradicting_effects() -> None:
    good = [effect("a", 1, 0, 10), effect("a", 1, 5, 20), effect("b", 2, 20, 30)]
    assert not list(overlapping_effects(good)) and not list(stale_tokens_accepted(good))
    contradicting = [*good, effect("a", 1, 29, 40)]
    assert [(earlier.node, later.node) for earlier, later in overlapping_effects(contradicting)] == [
        ("b", "a")
    ]
    assert [later.began_us for _, later in stale_tokens_accepted(contradicting)] == [29]
    assert list(overlapping_effects([effect("a", 1, 0, 10), effect("b", 1, 5, 20)]))  # same token, two nodes
    assert list(shared_tokens([effect("a", 1, 0, 1), effect("b", 1, 9, 12)])) and not list(
        shared_tokens(good)
    )
    with_rejected = [*good, effect("a", 1, 29, 40, accepted=False)]
    assert not list(overlapping_effects(with_rejected)) and not list(stale_tokens_accepted(with_rejected))
    assert list(repeated_runs([effect("a", 1, 0, 1, run=5), effect("b", 2, 2, 3, run=5)], frozenset("t")))
    assert not list(repeated_runs([effect("a", 1, 0, 1, run=5), effect("b", 2, 2, 3, run=5)], frozenset()))


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 50), st.integers(1, 20)), max_size=12))
def test_overlapping_effects_equal_those_of_a_comparison_of_all_pairs(
    rows: list[tuple[str, int, int]],
) -> None:
    effects = [effect(node, ord(node), began, began + length) for node, began, length in rows]
    expected = {
        frozenset((id(one), id(other)))
        for one in effects
        for other in effects
        if (one.token, one.node) != (other.token, other.node)
        and one.began_us < other.ended_us
        and other.began_us < one.ended_us
    }
    assert {frozenset((id(one), id(other))) for one, other in overlapping_effects(effects)} == expected


def test_a_drill_without_effects_does_not_pass() -> None:
    plan = draw(1, PlanSettings())
    assert judge(plan, [], frozenset(), 0)["verdict"] == "broken"
    single_effect = effect("a", 1, 0, 10)
    assert judge(plan, [single_effect], frozenset(), 1_000_000)["verdict"] == "held"
    assert judge(plan, [single_effect], frozenset(), 60_000_000)["quiet_at_the_end"]


def test_a_token_below_the_highest_accepted_one_is_rejected() -> None:
    server = FencingServer()
    assert [server.accepts("t", token) for token in (1, 3, 2, 3, 4)] == [True, True, False, True, True]
    assert server.accepts("u", 1)
