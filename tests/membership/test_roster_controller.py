"""Admission to the agreed roster and removal from it."""

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


class Group:
    """A leader that looks every 100 ms at what the nodes say."""

    def __init__(self, *nodes: str, **settings: Any) -> None:
        self.agreed = Roster()
        self.keeping = RosterController(RosterSettings(**settings))
        self.now = NOW
        self.keeping.become_leader(self.now)
        for node in nodes:
            self.agreed.apply({"do": "admit", "node": node})
        self.done: list[str] = []

    def go(self, seconds: float, heard: str, failed: str = "", holds: str = "") -> list[str]:
        """These are heard, and each hears those as failed. What was done."""
        self.done = []
        for _ in range(int(seconds * 10)):
            self.now += 100 * MILLISECOND
            words = {f"{one}/1": FailureReport(one, self.now, frozenset(failed)) for one in heard}
            for change in self.keeping.reconcile(self.now, self.agreed, words, frozenset(holds), 2 * SECOND):
                command = change.to_json()
                self.agreed.apply(command)
                self.done.append(f"{command['do']} {command['node']}")
        return self.done


def test_a_node_is_taken_out_when_enough_hear_it_as_failed_and_its_leases_are_over() -> None:
    group = Group(*"abcde")
    assert not group.go(1.5, "abcd", "e")  # who has just come to lead has not heard all
    assert not group.go(3, "abcd", "e", holds="e")
    assert group.go(1, "abcd", "e") == ["remove e"] and group.agreed.members() == frozenset("abcd")
    assert not group.go(1, "abcde") and group.go(5, "abcde") == ["admit e"]  # after its probation
    assert not group.go(5, "abcd", "")  # silent alone is not failed


def test_only_who_belongs_has_leases_of_tasks_and_the_others_end_by_time() -> None:
    table = LeaseTable()
    keeper = LeaseManager(table, LeaseSettings())
    keeper.become_leader(NOW)

    def go(now: datetime, node: str) -> tuple[Any, ...]:
        for command in [
            *keeper.handle_heartbeat(now, Heartbeat(node, "1", 1, ("task/t", f"rules/{node}/1")), 0),
            *keeper.tick(now),
        ]:
            keeper.on_applied(now, command, table.apply(command), 0)
        return dict(keeper.take_responses(now, 9, "l", 1))[f"{node}/1"].leases

    keeper.set_eligible_nodes(frozenset("b"))
    later = NOW + 4 * SECOND
    assert [name for name, _ in go(later, "a")] == ["rules/a/1"]  # documents are acted on by whoever is there
    assert len(go(later, "b")) == 2
    keeper.set_eligible_nodes(frozenset("a"))
    assert [name for name, _ in go(later + SECOND, "b")] == ["rules/b/1"] and table.holder("task/t") == "b/1"
    go(later + 2 * SECOND, "a")
    assert table.holder("task/t") == "b/1"  # it may still act on what it was told before
    over = later + 4 * SECOND
    go(over, "a")
    assert table.holder("task/t") in ("", "a/1")
    go(over, "a")
    assert table.holder("task/t") == "a/1"


def test_one_that_flaps_waits_longer_each_time() -> None:
    group = Group(*"abcde")
    group.go(2, "abcde")
    waits = []
    for _ in range(4):
        assert group.go(3, "abcd", "e") == ["remove e"]
        waits.append(0)
        while not group.go(1, "abcde"):
            waits[-1] += 1
    assert waits == sorted(waits) and waits[-1] >= 3 * max(1, waits[0])


def test_many_that_seem_to_fail_at_once_are_not_believed_until_operators_say_so() -> None:
    group = Group(*"abcdefghij")
    group.go(3, "abcdefghij")
    assert not group.go(30, "abcdef", "ghij") and group.keeping.withheld_removals == list("ghij")
    group.agreed.apply({"do": "believe", "nodes": ["g", "h"]})
    assert group.go(1, "abcdef", "ghij") == ["remove g", "remove h"]
    assert not group.agreed.confirmed_failures and group.agreed.members() >= frozenset("ij")


def test_one_node_alone_sees_nothing_that_is_enough_and_operators_have_the_last_word() -> None:
    group = Group(*"abcd")
    group.go(3, "abcd")
    # Only the leader's own node hears d as failed.
    words = {f"{one}/1": FailureReport(one, group.now, frozenset("d" if one == "a" else "")) for one in "abc"}
    assert not group.keeping.reconcile(group.now, group.agreed, words, frozenset(), 2 * SECOND)
    assert "removed" in group.agreed.apply({"do": "remove", "node": "d", "why": "x", "held_off": True})
    assert not group.go(20, "abcd") and "refused" in group.agreed.apply({"do": "admit", "node": "d"})
    group.agreed.apply({"do": "readmit", "node": "d"})
    assert group.go(10, "abcd") == ["admit d"]
    again = Roster()
    again.restore(json.loads(json.dumps(group.agreed.snapshot())))
    assert again.snapshot() == group.agreed.snapshot()
    assert "refused" in again.apply({"do": "remove", "node": "z", "why": ""})
