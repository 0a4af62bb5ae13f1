"""The manager: grants, renewals, expiries and returns on the voter that leads."""

from __future__ import annotations

from marlstep.leases.messages import Heartbeat, LeaseToken
from marlstep.units import ZERO
from tests.leases.support import TOLD, Group


def test_grants_are_spread_over_those_who_wait_and_none_has_more_than_it_takes() -> None:
    group = Group()
    names = [f"t{number}" for number in range(12)]
    for node in ("a", "b", "c"):
        group.beat(node, *names, most=3 if node == "c" else 0)
    assert not group.table.held_counts  # not before all had the time to be heard
    group.after(TOLD.renewal_interval)
    assert sorted(group.table.held_counts.values()) == [3, 4, 5]
    assert group.table.held_counts["c/b"] == 3


def test_an_expired_lease_goes_on_only_after_the_whole_term_and_its_margin() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.beat("b", "x")
    assert group.table.holder("x") == "a/b"
    group.after(TOLD.term * 1.0099)
    group.beat("b", "x")
    assert group.table.holder("x") == "a/b"
    group.after(TOLD.term * 0.0002)
    group.after(ZERO)  # its end is committed, and then it is granted
    assert group.table.holder("x") == "b/b" and group.table.leases["x"].token == 2


def test_one_that_comes_to_lead_counts_all_terms_anew() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.now += TOLD.term
    group.keeper.become_leader(group.now)
    group.beat("b", "x")
    group.after(TOLD.term)
    assert group.table.holder("x") == "a/b"


def test_a_renewal_waits_for_a_majority_to_confirm_who_leads() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.keeper.take_responses(group.now, 1, "n1", 1)
    group.keeper.handle_heartbeat(group.now, Heartbeat("a", "b", 9, ("x",)), 5)
    assert group.keeper.take_responses(group.now, 4, "n1", 1) == []
    [(holder, told)] = group.keeper.take_responses(group.now, 5, "n1", 1)
    assert holder == "a/b" and told.leases == (("x", 1),)


def test_an_answer_that_is_pushed_renews_nothing_for_a_holder_that_is_dead() -> None:
    """It was: with every change of a document, so that the lease of a dead process never ended."""
    group = Group()
    group.beat("a", "x", "rules/a/b")
    group.after(TOLD.renewal_interval)
    assert (
        group.table.holder("rules/a/b") == group.table.holder("x") == "a/b"
        and not group.table.held_counts["b"]
    )
    for _ in range(10):
        group.after(TOLD.term / 5)
        group.keeper.push_to_all(1)
        group.keeper.take_responses(group.now, 1, "n1", 1)
    assert not group.table.holder("x") and "rules/a/b" not in group.table.leases


def test_a_lease_that_is_being_ended_is_not_renewed() -> None:
    group = Group()
    group.beat("a", "x")
    group.after(TOLD.renewal_interval)
    group.now += TOLD.term * 2
    assert [one["do"] for one in group.keeper.tick(group.now)] == ["expire"]  # proposed, not applied yet
    group.keeper.handle_heartbeat(group.now, Heartbeat("a", "b", 99, ("x",)), 0)
    assert dict(group.keeper.take_responses(group.now, 1, "n1", 1))["a/b"].leases == ()


def test_what_is_given_back_goes_on_at_once_and_comes_back_to_who_had_it() -> None:
    group = Group()
    for node in ("a", "b"):
        group.beat(node, "x", "y")
    group.after(TOLD.renewal_interval)
    before = {name: group.table.holder(name) for name in ("x", "y")}
    mine = [name for name, holder in before.items() if holder == "a/b"]
    group.beat("a", returns=tuple(LeaseToken(name, group.table.leases[name].token) for name in mine))
    assert all(group.table.holder(name) == "b/b" for name in mine)
    group.beat("b", returns=tuple(LeaseToken(name, group.table.leases[name].token) for name in ("x", "y")))
    group.beat("b", "x", "y")
    group.beat("a", "x", "y")
    group.beat("c", "x", "y")
    assert all(group.table.holder(name) for name in ("x", "y"))


def test_a_thousand_leases_are_granted_renewed_and_expire() -> None:
    group = Group()
    names = [f"t{number}" for number in range(1000)]
    for node in ("a", "b", "c", "d"):
        group.beat(node, *names)
    group.after(TOLD.renewal_interval)
    assert all(count == 250 for count in group.table.held_counts.values())
    assert len(group.beat("a", *names)["a/b"].leases) == 250
    group.after(2 * TOLD.term)
    assert not group.table.held_counts
    group.beat("d", *names)
    assert group.table.held_counts["d/b"] == 1000 and group.table.last_token == 2000
