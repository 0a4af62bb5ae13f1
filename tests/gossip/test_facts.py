"""Hearsay: never younger, never too old, never above what was seen here."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from marlstep.gossip.facts import (
    CONTRADICTION,
    OWN_SHARE,
    OWN_SURE,
    RULES,
    Fact,
    Kind,
    Limits,
    Why,
    for_peers,
    from_plain,
    merge,
    to_plain,
)
from marlstep.units import EPOCH, MILLISECOND, SECOND, ZERO
from tests.frontends.test_parsers import FIXED

NOW = EPOCH + 1_800_000_000 * SECOND
LIMITS = Limits()


def fact(
    value: float = 20.0, age: timedelta = ZERO, origin: str = "n1", kind: Kind = Kind.LATENCY, **other: object
) -> Fact:
    given = {"weight": 50.0, **other}
    return Fact(kind, "s1", value, seen=NOW - age, origin=origin, **given)  # type: ignore[arg-type]


FACTS = st.builds(
    Fact,
    st.sampled_from(list(Kind)),
    st.sampled_from(["s1", "s2"]),
    st.floats(-1, 1e6),
    st.floats(0, 1e6),
    st.integers(-1_000, 90_000).map(lambda ms: NOW - ms * MILLISECOND),
    st.sampled_from(["me", "n1", "n2", "n3"]),
    st.integers(0, 6),
    st.sampled_from([None, "a", "b"]),
)


@FIXED
@given(st.lists(FACTS, max_size=12), st.lists(FACTS, max_size=12))
def test_whatever_peers_say_three_things_hold(own: list[Fact], heard: list[Fact]) -> None:
    own = [replace(one, origin="me", hops=0) for one in own]
    merged = merge(own, heard, {"s1": "a"}, "me", NOW)
    mine = {one.about: one for one in own if one.sound()}
    usable = [
        one
        for one in heard
        if one.sound()
        and one.origin != "me"
        and NOW - one.seen <= LIMITS.oldest
        and one.hops <= LIMITS.most_hops
        and not (one.subject == "s1" and one.boot == "b")
    ]
    for about, found in merged.facts.items():
        said = [one for one in usable if one.about == about]
        known = mine.get(about)
        values = [one.value for one in (*said, *([known] if known else []))]
        assert min(values) - 1e-9 <= found.value <= max(values) * (1 + 1e-12) + 1e-9
        if known is None:
            assert NOW - found.seen <= LIMITS.oldest and said
        else:  # at least two thirds of the way from anything that was heard
            assert (
                abs(found.value - known.value)
                <= OWN_SHARE / (1 + OWN_SHARE) * (max(values) - min(values)) + 1e-6
            )
            if known.weight_at(NOW) >= OWN_SURE:
                assert found == known
    assert sum(merged.left_out.values()) <= len(heard)
    assert set(merged.facts) == set(mine) | {one.about for one in usable}


def test_each_reason_to_leave_hearsay_out_is_counted() -> None:
    heard = [
        fact(age=31 * SECOND),
        fact(hops=4),
        fact(value=float("nan")),
        fact(boot="b"),
        fact(origin="me"),
        fact(kind=Kind.FLOOR),
    ]
    own = [fact(origin="me", kind=Kind.FLOOR)]
    merged = merge(own, heard, {"s1": "a"}, "me", NOW)
    assert merged.left_out == dict.fromkeys(Why, 1) and merged.facts == {own[0].about: own[0]}


def test_peers_that_contradict_each_other_are_not_averaged() -> None:
    for kind, careful in ((Kind.LATENCY, 100.0), (Kind.LIMIT, 20.0)):
        merged = merge([], [fact(20.0, kind=kind), fact(100.0, origin="n2", kind=kind)], {}, "me", NOW)
        assert merged.contradicted == 1 and merged.facts[(kind, "s1")].value == careful
    near = [fact(20.0), fact(20.0 * CONTRADICTION, origin="n2", age=10 * SECOND)]
    merged = merge([], near, {}, "me", NOW)
    assert (
        merged.contradicted == 0 and 33 < merged.facts[(Kind.LATENCY, "s1")].value < 34
    )  # one half as heavy


def test_echoes_of_one_observer_count_once() -> None:
    # Guards against a rumour that gains weight with each peer that repeats it.
    echoes = [fact(60.0, hops=2, age=5 * SECOND), fact(60.0, hops=1, age=5 * SECOND), fact(60.0, hops=3)]
    merged = merge([], [*echoes, fact(30.0, origin="n2")], {}, "me", NOW)
    value = merged.facts[(Kind.LATENCY, "s1")].value
    assert 30 < value < 30 + 30 * 0.125 / 1.125 + 0.01  # the youngest alone, at an eighth of its weight


@FIXED
@given(st.lists(st.tuples(st.integers(0, 9_000), st.integers(0, 2_000)), min_size=1, max_size=8))
def test_passing_on_makes_nothing_younger(hands: list[tuple[int, int]]) -> None:
    first = fact(age=ZERO)
    now, heard = NOW, first
    for held, on_its_way in hands:
        now += held * MILLISECOND
        passed = for_peers([], [heard], now, LIMITS)
        if not passed:
            assert heard.hops >= LIMITS.most_hops or now - heard.seen > LIMITS.oldest
            return
        assert passed[0].hops == heard.hops + 1
        raw = json.loads(json.dumps(to_plain(passed[0], now)))
        now += on_its_way * MILLISECOND
        found = from_plain(raw, now, on_its_way * MILLISECOND)
        assert found is not None
        assert first.seen - MILLISECOND * len(hands) <= found.seen <= first.seen
        assert found.origin == "n1" and found.weight_at(now) <= first.weight_at(now)
        heard = found


def test_what_was_seen_here_is_told_and_not_what_others_say_of_it() -> None:
    own, heard = [fact(origin="me")], [fact(90.0), fact(3.0, kind=Kind.LIMIT)]
    assert for_peers(own, heard, NOW, LIMITS) == [own[0], replace(heard[1], hops=1)]
    assert for_peers([fact(age=40 * SECOND)], [], NOW, LIMITS) == []


PLAIN = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=5)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=8,
)


@FIXED
@given(
    st.one_of(PLAIN, st.dictionaries(st.sampled_from([*to_plain(fact(), NOW)]), PLAIN, max_size=8)), st.data()
)
def test_what_a_peer_writes_is_a_sound_fact_or_none(raw: object, data: st.DataObject) -> None:
    found = from_plain(raw, NOW, ZERO)
    assert found is None or found.sound()
    spoilt = {**to_plain(fact(), NOW), data.draw(st.sampled_from([*to_plain(fact(), NOW)])): raw}
    found = from_plain(spoilt, NOW, SECOND)
    assert found is None or (found.sound() and found.seen <= NOW - SECOND)


def test_every_kind_has_a_rule_and_older_is_lighter() -> None:
    assert set(RULES) == set(Kind)
    ages = [fact(age=second * SECOND).weight_at(NOW) for second in range(0, 31, 5)]
    assert ages == sorted(ages, reverse=True) and ages[2] == 25.0
    assert fact(age=-5 * SECOND).weight_at(NOW) == 50.0  # from the future: no younger than now
