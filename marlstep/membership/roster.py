"""Who belongs to the fleet, as the log has it: a machine, and the leader's side that says when it changes.

A node is taken out only when enough others hear it as failed *and* no lease is its any more; it comes in again after a
probation, which doubles each time that it was taken out of late. Where too many seem to fail at once nobody is taken
out, as that is more likely the leader's own view, until operators say that they believe it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, read_fields, wire, write_fields
from marlstep.units import SECOND

MAX_NODES = 2_000
MAX_REMOVED_KEPT = 500  # names that were taken out, the last
MAX_PROBATION_DOUBLINGS = 6  # times that a probation doubles


@dataclass(slots=True)
class RosterEntry:
    is_member: bool = field(metadata=wire("there", BOOLEAN))
    removal_count: int = field(metadata=wire("taken_out", INTEGER), default=0)  # times
    reason: str = field(metadata=wire("why", TEXT), default="")
    blocked_by_operator: bool = field(
        metadata=wire("held_off", BOOLEAN), default=False
    )  # by an operator: not taken in again without `readmit`


class Roster:
    """Deterministic; the leader proposes, operators order."""

    def __init__(self) -> None:
        self.nodes: dict[str, RosterEntry] = {}
        self.confirmed_failures: list[
            str
        ] = []  # names that operators believe to have failed: the guard lets them go

    def members(self) -> frozenset[str]:
        return frozenset(name for name, one in self.nodes.items() if one.is_member)

    def apply(self, command: CommandJson) -> ResultJson:
        what = command["do"]
        if what == "believe":
            self.confirmed_failures = sorted({str(one)[:64] for one in command["nodes"]})[:MAX_NODES]
            return {"believed": self.confirmed_failures}
        name = command["node"]
        if not isinstance(name, str) or not 0 < len(name) <= 64:
            raise ValueError("a node's name")
        match what:
            case "admit":
                return self._admit(name)
            case "remove":
                return self._remove(name, str(command["why"])[:200], bool(command.get("held_off")))
            case "readmit":
                return self._readmit(name)
        raise ValueError(f"nothing that is done to a member: {what!r}")

    def _admit(self, name: str) -> ResultJson:
        one = self.nodes.get(name)
        if one is None:
            if len(self.members()) >= MAX_NODES:
                return {"refused": f"a fleet has {MAX_NODES} nodes at the most"}
            one = self.nodes[name] = RosterEntry(False)
        if one.is_member or one.blocked_by_operator:
            return {"refused": "it belongs already" if one.is_member else "operators took it out"}
        one.is_member, one.reason = True, ""
        return {"admitted": name}

    def _remove(self, name: str, why: str, held_off: bool) -> ResultJson:
        one = self.nodes.get(name)
        if one is None:
            return {"refused": "nobody of that name"}
        if not one.is_member and not held_off:
            return {"refused": "it does not belong"}
        one.removal_count += one.is_member
        one.is_member, one.reason, one.blocked_by_operator = False, why, held_off
        self.confirmed_failures = [other for other in self.confirmed_failures if other != name]
        out = [
            other for other, row in self.nodes.items() if not row.is_member and not row.blocked_by_operator
        ]
        for other in out[:-MAX_REMOVED_KEPT]:
            del self.nodes[other]
        return {"removed": name}

    def _readmit(self, name: str) -> ResultJson:
        one = self.nodes.get(name)
        if one is None:
            return {"refused": "nobody of that name"}
        one.blocked_by_operator, one.removal_count = False, 0
        return {"readmitted": name}

    def snapshot(self) -> object:
        return {
            "nodes": [[name, write_fields(one)] for name, one in self.nodes.items()],
            "believed": self.confirmed_failures,
        }

    def restore(self, told: Any) -> None:
        self.nodes = {name: read_fields(RosterEntry, row) for name, row in told["nodes"]}
        self.confirmed_failures = list(told["believed"])


@dataclass(slots=True, frozen=True)
class RosterSettings:
    probation: timedelta = 2 * SECOND
    removal_memory: timedelta = 600 * SECOND  # after which an earlier removal lengthens no probation
    max_failed_share: float = 0.3  # share of the fleet that is not believed to fail at once
    guard_window: timedelta = 30 * SECOND  # of "at once"


@dataclass(slots=True, frozen=True)
class FailureReport:
    """What one process's last beat says: whom it hears as failed."""

    node: str
    received_at: datetime
    failed_nodes: frozenset[str]


class RosterController:
    """The leader's side. All is counted anew by one that comes to lead."""

    def __init__(self, settings: RosterSettings) -> None:
        self.settings = settings
        self._leader_since: datetime | None = None
        self._healthy_since: dict[str, datetime] = {}
        self._last_removed: dict[str, datetime] = {}
        self._recently_removed: dict[str, datetime] = {}  # of late
        self._proposed_removals: dict[str, datetime] = {}
        self.withheld_removals: list[str] = []  # that would be taken out if it were believed

    def become_leader(self, now: datetime) -> None:
        self._leader_since = now
        self._healthy_since.clear()
        self._recently_removed.clear()
        self._proposed_removals.clear()
        self.withheld_removals = []

    def reconcile(
        self,
        now: datetime,
        agreed: Roster,
        words: Mapping[str, FailureReport],
        holds: frozenset[str],
        term: timedelta,
    ) -> list[CommandJson]:
        """What is to be proposed. `words` by process; `holds` are the nodes that have any lease; `term` the longest."""
        if self._leader_since is None or now < self._leader_since + term:
            return []  # not all have been heard yet
        fresh = [one for one in words.values() if one.received_at >= now - term]
        heard = {one.node for one in fresh}
        commands: list[CommandJson] = self._propose_admissions(now, agreed, heard, fresh)
        self._proposed_removals = {one: at for one, at in self._proposed_removals.items() if at >= now - term}
        failed = [
            one for one in self._failed_members(agreed, heard, fresh) if one not in self._proposed_removals
        ]
        over = sorted(name for name in failed if name not in holds)
        self._recently_removed = {
            one: at for one, at in self._recently_removed.items() if at >= now - self.settings.guard_window
        }
        most = max(1, int(self.settings.max_failed_share * len(agreed.members())))
        doubted = len({*failed, *self._recently_removed}) > most
        self.withheld_removals = [name for name in over if doubted and name not in agreed.confirmed_failures]
        for name in over:
            if name in self.withheld_removals:
                continue
            self._recently_removed[name] = self._last_removed[name] = self._proposed_removals[name] = now
            self._healthy_since.pop(name, None)
            said = sum(name in one.failed_nodes for one in fresh)
            why = f"failed for {said} of {len(fresh)} that were heard, and without a lease"
            commands.append({"m": "members", "do": "remove", "node": name, "why": why})
        return commands

    @staticmethod
    def _failed_members(agreed: Roster, heard: set[str], fresh: list[FailureReport]) -> list[str]:
        """Those that more than half of all who were heard of late hear as failed; at least two of them."""
        found = []
        for name in agreed.members() - heard:
            say = {one.node for one in fresh if name in one.failed_nodes}
            if len(say) * 2 > len(heard) and (len(say) >= 2 or len(heard) == 1):
                found.append(name)
        return found

    def _propose_admissions(
        self, now: datetime, agreed: Roster, heard: set[str], fresh: list[FailureReport]
    ) -> list[CommandJson]:
        """Who is heard without a break for its probation."""
        doubted = {name for one in fresh for name in one.failed_nodes}
        for name in [one for one in self._healthy_since if one not in heard or one in doubted]:
            del self._healthy_since[name]
        commands: list[CommandJson] = []
        for name in sorted(heard - agreed.members() - doubted):
            since = self._healthy_since.setdefault(name, now)
            row = agreed.nodes.get(name)
            if row is not None and row.blocked_by_operator:
                continue
            last = self._last_removed.get(name)
            times = row.removal_count if row is not None else 0
            if last is None or now >= last + self.settings.removal_memory:
                times = min(times, 1)
            if now >= since + self.settings.probation * 2 ** min(times, MAX_PROBATION_DOUBLINGS):
                del self._healthy_since[name]
                commands.append({"m": "members", "do": "admit", "node": name})
        return commands
