"""Admission of nodes to the roster and their removal."""

from __future__ import annotations

import json
from datetime import datetime
from typing import Any

from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.membership.roster import Roster
from marlstep.membership.roster_controller import FailureReport, RosterController, RosterSettings
from marlstep.units import MILLISECOND, SECOND
from tests.membership.support import NOW


class RosterGroup:
    """A leader that reconciles the roster every 100 ms."""

    def __init__(self, *nodes: str, **settings: Any) -> None:
        self.roster = Roster()
        self.controller = RosterController(RosterSettings(**settings))
        self.now = NOW
        self.controller.become_leader(self.now)
        for node in nodes:
            self.roster.apply({"do": "admit", "node": node})
        self.changes: list[str] = []

    def run(self, seconds: float, reporting: str, failed: str = "", lease_holders: str = "") -> list[str]:
        """Reconcile for `seconds` while `reporting` nodes report `failed` nodes; return the applied changes."""
        self.changes = []
        for _ in range(int(seconds * 10)):
            self.now += 100 * MILLISECOND
            reports = {f"{node}/1": FailureReport(node, self.now, frozenset(failed)) for node in reporting}
            for change in self.controller.reconcile(
                self.now, self.roster, reports, frozenset(lease_holders), 2 * SECOND
            ):
                command = change.to_json()
                self.roster.apply(command)
                self.changes.append(f"{command['do']} {command['node']}")
        return self.changes


def test_a_node_is_removed_once_a_majority_reports_it_and_its_leases_have_ended() -> None:
    group = RosterGroup(*"abcde")
    assert not group.run(1.5, "abcd", "e")  # a new leader waits until all processes can have reported
    assert not group.run(3, "abcd", "e", lease_holders="e")
    assert group.run(1, "abcd", "e") == ["remove e"] and group.roster.members() == frozenset("abcd")
    assert not group.run(1, "abcde") and group.run(5, "abcde") == ["admit e"]  # after its probation
    assert not group.run(5, "abcd", "")  # silence alone is no failure


def test_only_members_are_granted_task_leases_and_leases_of_others_expire() -> None:
    table = LeaseTable()
    manager = LeaseManager(table, LeaseSettings())
    manager.become_leader(NOW)

    def renew(now: datetime, node: str) -> tuple[Any, ...]:
        for command in [
            *manager.handle_heartbeat(now, Heartbeat(node, "1", 1, ("task/t", f"rules/{node}/1")), 0),
            *manager.tick(now),
        ]:
            stored = command.to_json()
            manager.on_applied(now, stored, table.apply(stored), 0)
        return dict(manager.take_responses(now, 9, "l", 1))[f"{node}/1"].leases

    manager.set_eligible_nodes(frozenset("b"))
    later = NOW + 4 * SECOND
    assert [name for name, _ in renew(later, "a")] == ["rules/a/1"]  # configuration leases are for all nodes
    assert len(renew(later, "b")) == 2
    manager.set_eligible_nodes(frozenset("a"))
    assert [name for name, _ in renew(later + SECOND, "b")] == ["rules/b/1"] and table.holder(
        "task/t"
    ) == "b/1"
    renew(later + 2 * SECOND, "a")
    assert table.holder("task/t") == "b/1"  # b may still rely on its earlier grant
    expiry = later + 4 * SECOND
    renew(expiry, "a")
    assert table.holder("task/t") in ("", "a/1")
    renew(expiry, "a")
    assert table.holder("task/t") == "a/1"


def test_probation_doubles_for_a_flapping_node() -> None:
    group = RosterGroup(*"abcde")
    group.run(2, "abcde")
    waits = []
    for _ in range(4):
        assert group.run(3, "abcd", "e") == ["remove e"]
        waits.append(0)
        while not group.run(1, "abcde"):
            waits[-1] += 1
    assert waits == sorted(waits) and waits[-1] >= 3 * max(1, waits[0])


def test_removals_of_many_nodes_at_once_are_withheld_until_operators_confirm() -> None:
    group = RosterGroup(*"abcdefghij")
    group.run(3, "abcdefghij")
    assert not group.run(30, "abcdef", "ghij") and group.controller.withheld_removals == list("ghij")
    group.roster.apply({"do": "believe", "nodes": ["g", "h"]})
    assert group.run(1, "abcdef", "ghij") == ["remove g", "remove h"]
    assert not group.roster.confirmed_failures and group.roster.members() >= frozenset("ij")


def test_a_single_report_removes_no_node_and_a_removal_by_an_operator_blocks_admission() -> None:
    group = RosterGroup(*"abcd")
    group.run(3, "abcd")
    # Only the leader's own node reports d as failed.
    reports = {
        f"{node}/1": FailureReport(node, group.now, frozenset("d" if node == "a" else "")) for node in "abc"
    }
    assert not group.controller.reconcile(group.now, group.roster, reports, frozenset(), 2 * SECOND)
    assert "removed" in group.roster.apply({"do": "remove", "node": "d", "why": "x", "held_off": True})
    assert not group.run(20, "abcd") and "refused" in group.roster.apply({"do": "admit", "node": "d"})
    group.roster.apply({"do": "readmit", "node": "d"})
    assert group.run(10, "abcd") == ["admit d"]
    restored = Roster()
    restored.restore(json.loads(json.dumps(group.roster.snapshot())))
    assert restored.snapshot() == group.roster.snapshot()
    assert "refused" in restored.apply({"do": "remove", "node": "z", "why": ""})
