"""The lease manager: grants, renewals, expiries and returns on the leader."""

from __future__ import annotations

from marlstep.leases.commands import EndLease, EndReason
from marlstep.leases.messages import Heartbeat, LeaseToken
from marlstep.units import ZERO
from tests.leases.support import SETTINGS, Group


def test_grants_are_spread_over_waiting_processes_up_to_the_limit_of_each() -> None:
    group = Group()
    names = [f"t{number}" for number in range(12)]
    for node in ("a", "b", "c"):
        group.heartbeat(node, *names, max_leases=3 if node == "c" else 0)
    assert not group.table.held_counts  # no grants until all processes could send a heartbeat
    group.advance(SETTINGS.renewal_interval)
    assert sorted(group.table.held_counts.values()) == [3, 4, 5]
    assert group.table.held_counts["c/b"] == 3


def test_a_lease_is_granted_to_another_process_only_after_its_term_and_the_drift_margin() -> None:
    group = Group()
    group.heartbeat("a", "x")
    group.advance(SETTINGS.renewal_interval)
    group.heartbeat("b", "x")
    assert group.table.holder("x") == "a/b"
    group.advance(SETTINGS.term * 1.0099)
    group.heartbeat("b", "x")
    assert group.table.holder("x") == "a/b"
    group.advance(SETTINGS.term * 0.0002)
    group.advance(ZERO)  # its end is committed first, then the lease is granted
    assert group.table.holder("x") == "b/b" and group.table.leases["x"].token == 2


def test_a_new_leader_restarts_all_lease_terms() -> None:
    group = Group()
    group.heartbeat("a", "x")
    group.advance(SETTINGS.renewal_interval)
    group.now += SETTINGS.term
    group.manager.become_leader(group.now)
    group.heartbeat("b", "x")
    group.advance(SETTINGS.term)
    assert group.table.holder("x") == "a/b"


def test_a_renewal_waits_until_a_majority_confirms_the_leader() -> None:
    group = Group()
    group.heartbeat("a", "x")
    group.advance(SETTINGS.renewal_interval)
    group.manager.take_responses(group.now, 1, "n1", 1)
    group.manager.handle_heartbeat(group.now, Heartbeat("a", "b", 9, ("x",)), 5)
    assert group.manager.take_responses(group.now, 4, "n1", 1) == []
    [(holder, response)] = group.manager.take_responses(group.now, 5, "n1", 1)
    assert holder == "a/b" and response.leases == (("x", 1),)


def test_a_pushed_response_renews_nothing_for_a_dead_holder() -> None:
    """A push follows each document change. If pushes renewed leases, a dead process would keep them."""
    group = Group()
    group.heartbeat("a", "x", "rules/a/b")
    group.advance(SETTINGS.renewal_interval)
    assert (
        group.table.holder("rules/a/b") == group.table.holder("x") == "a/b"
        and not group.table.held_counts["b"]
    )
    for _ in range(10):
        group.advance(SETTINGS.term / 5)
        group.manager.push_to_all(1)
        group.manager.take_responses(group.now, 1, "n1", 1)
    assert not group.table.holder("x") and "rules/a/b" not in group.table.leases


def test_a_lease_whose_end_is_proposed_is_not_renewed() -> None:
    group = Group()
    group.heartbeat("a", "x")
    group.advance(SETTINGS.renewal_interval)
    group.now += SETTINGS.term * 2
    assert group.manager.tick(group.now) == [EndLease("x", 1, EndReason.EXPIRED)]  # not applied yet
    group.manager.handle_heartbeat(group.now, Heartbeat("a", "b", 99, ("x",)), 0)
    assert dict(group.manager.take_responses(group.now, 1, "n1", 1))["a/b"].leases == ()


def test_a_returned_lease_is_granted_immediately_and_may_return_to_its_previous_node() -> None:
    group = Group()
    for node in ("a", "b"):
        group.heartbeat(node, "x", "y")
    group.advance(SETTINGS.renewal_interval)
    holders_before = {name: group.table.holder(name) for name in ("x", "y")}
    returned_names = [name for name, holder in holders_before.items() if holder == "a/b"]
    group.heartbeat(
        "a", returned=tuple(LeaseToken(name, group.table.leases[name].token) for name in returned_names)
    )
    assert all(group.table.holder(name) == "b/b" for name in returned_names)
    group.heartbeat(
        "b", returned=tuple(LeaseToken(name, group.table.leases[name].token) for name in ("x", "y"))
    )
    group.heartbeat("b", "x", "y")
    group.heartbeat("a", "x", "y")
    group.heartbeat("c", "x", "y")
    assert all(group.table.holder(name) for name in ("x", "y"))


def test_a_thousand_leases_are_granted_renewed_and_expire() -> None:
    group = Group()
    names = [f"t{number}" for number in range(1000)]
    for node in ("a", "b", "c", "d"):
        group.heartbeat(node, *names)
    group.advance(SETTINGS.renewal_interval)
    assert all(count == 250 for count in group.table.held_counts.values())
    assert len(group.heartbeat("a", *names)["a/b"].leases) == 250
    group.advance(2 * SETTINGS.term)
    assert not group.table.held_counts
    group.heartbeat("d", *names)
    assert group.table.held_counts["d/b"] == 1000 and group.table.last_token == 2000


def test_an_end_without_a_token_changes_nothing_on_the_leader() -> None:
    """Any client may propose such a command. It raised KeyError in the leader, outside the state machine."""
    group = Group()
    group.heartbeat("a", "x")
    group.advance(SETTINGS.renewal_interval)
    for name in ("x", "unknown"):
        command = {"m": "leases", "do": "expire", "name": name}
        group.manager.on_applied(group.now, command, {"error": "no command: KeyError('token')"}, 0)
    assert group.table.holder("x") == "a/b" and group.manager.expiry_of("x") is not None
