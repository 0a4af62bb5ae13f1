"""The leader's part of the roster: decide which nodes to admit and which to remove.

A node is removed only when a majority of the reporting nodes report it as failed and it no longer holds a lease. It is
admitted again after a probation, which doubles with each removal if the last one is recent. If too many nodes seem to
fail at once, it is more likely that the leader's own view is wrong, so removals are withheld until operators confirm
the failures.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.membership.roster import Roster
from marlstep.membership.roster_commands import AdmitNode, RemoveNode
from marlstep.units import SECOND

MAX_PROBATION_DOUBLINGS = 6

RosterChange = AdmitNode | RemoveNode


@dataclass(slots=True, frozen=True)
class RosterSettings:
    """Limits on changes of the roster."""

    # How long a node that was never removed has to be healthy before it is admitted.
    probation: timedelta = 2 * SECOND
    # Once the last removal of a node is this long ago, its probation is at most doubled, however often it was removed.
    probation_reset_after: timedelta = 600 * SECOND
    max_failed_share: float = 0.3  # of the members; the guard withholds removals if more seem to fail at once
    guard_window: timedelta = 30 * SECOND  # removals within this time count as failures at once


@dataclass(slots=True, frozen=True)
class FailureReport:
    """The nodes that one process reported as failed in its last heartbeat."""

    node: str
    received_at: datetime
    failed_nodes: frozenset[str]


class RosterController:
    """Proposes admissions and removals. A new leader collects all evidence anew."""

    def __init__(self, settings: RosterSettings) -> None:
        """Initialize a controller that proposes nothing before `become_leader`."""
        self.settings = settings
        self.withheld_removals: list[str] = []  # kept until operators confirm their failure
        self._leader_since: datetime | None = None
        self._healthy_since: dict[str, datetime] = {}
        self._last_removed: dict[str, datetime] = {}
        self._recently_removed: dict[str, datetime] = {}  # within the guard's window
        self._proposed_removals: dict[str, datetime] = {}

    def become_leader(self, now: datetime) -> None:
        """Discard the state of an earlier leadership of this node, and start a new one at `now`."""
        self._leader_since = now
        self._healthy_since.clear()
        self._recently_removed.clear()
        self._proposed_removals.clear()
        self.withheld_removals = []

    def reconcile(
        self,
        now: datetime,
        roster: Roster,
        reports: Mapping[str, FailureReport],
        lease_holders: frozenset[str],
        longest_term: timedelta,
    ) -> list[RosterChange]:
        """Return the commands to propose.

        Args:
            now: the current time.
            roster: the replicated roster.
            reports: the last report of each process, by process.
            lease_holders: the nodes that hold any lease.
            longest_term: the longest term of a lease. Reports are valid for this time, and a new leader waits for this
                time, so that all processes can report to it.
        """
        if self._leader_since is None or now < self._leader_since + longest_term:
            return []
        recent = [report for report in reports.values() if report.received_at >= now - longest_term]
        reporting_nodes = {report.node for report in recent}
        changes: list[RosterChange] = [*self._propose_admissions(now, roster, reporting_nodes, recent)]
        self._expire_history(now, longest_term)
        failed = [
            name
            for name in _failed_members(roster, reporting_nodes, recent)
            if name not in self._proposed_removals
        ]
        removable = sorted(name for name in failed if name not in lease_holders)
        self._withhold_removals(roster, failed, removable)
        accepted = [name for name in removable if name not in self.withheld_removals]
        changes += [self._propose_removal(now, name, recent) for name in accepted]
        return changes

    def _expire_history(self, now: datetime, longest_term: timedelta) -> None:
        self._proposed_removals = _entries_since(self._proposed_removals, now - longest_term)
        self._recently_removed = _entries_since(self._recently_removed, now - self.settings.guard_window)

    def _withhold_removals(self, roster: Roster, failed: list[str], removable: list[str]) -> None:
        """Withhold unconfirmed removals if too many nodes seem to have failed at once."""
        limit = max(1, int(self.settings.max_failed_share * len(roster.members())))
        if len({*failed, *self._recently_removed}) > limit:
            self.withheld_removals = [name for name in removable if name not in roster.confirmed_failures]
        else:
            self.withheld_removals = []

    def _propose_removal(self, now: datetime, name: str, recent: list[FailureReport]) -> RemoveNode:
        self._recently_removed[name] = now
        self._last_removed[name] = now
        self._proposed_removals[name] = now
        self._healthy_since.pop(name, None)
        reporters = sum(name in report.failed_nodes for report in recent)
        reason = f"failed for {reporters} of {len(recent)} that were heard, and without a lease"
        return RemoveNode(name, reason)

    def _propose_admissions(
        self, now: datetime, roster: Roster, reporting_nodes: set[str], recent: list[FailureReport]
    ) -> list[AdmitNode]:
        """Propose to admit nodes that were continuously healthy for the time of their probation."""
        suspected = {name for report in recent for name in report.failed_nodes}
        for name in [
            name for name in self._healthy_since if name not in reporting_nodes or name in suspected
        ]:
            del self._healthy_since[name]
        admissions: list[AdmitNode] = []
        for name in sorted(reporting_nodes - roster.members() - suspected):
            healthy_since = self._healthy_since.setdefault(name, now)
            entry = roster.nodes.get(name)
            if entry is not None and entry.blocked_by_operator:
                continue
            if now >= healthy_since + self._probation(now, roster, name):
                del self._healthy_since[name]
                admissions.append(AdmitNode(name))
        return admissions

    def _probation(self, now: datetime, roster: Roster, name: str) -> timedelta:
        entry = roster.nodes.get(name)
        removal_count = entry.removal_count if entry is not None else 0
        last_removed = self._last_removed.get(name)
        if last_removed is None or now >= last_removed + self.settings.probation_reset_after:
            removal_count = min(removal_count, 1)
        factor: int = 2 ** min(removal_count, MAX_PROBATION_DOUBLINGS)
        return self.settings.probation * factor


def _entries_since(times: Mapping[str, datetime], earliest: datetime) -> dict[str, datetime]:
    return {name: at for name, at in times.items() if at >= earliest}


def _failed_members(roster: Roster, reporting_nodes: set[str], recent: list[FailureReport]) -> list[str]:
    """Return the silent members that a majority of the reporting nodes report as failed.

    At least two nodes must report a member, unless only one node reports at all.
    """
    failed = []
    for name in roster.members() - reporting_nodes:
        reporters = {report.node for report in recent if name in report.failed_nodes}
        if 2 * len(reporters) > len(reporting_nodes) and (len(reporters) >= 2 or len(reporting_nodes) == 1):
            failed.append(name)
    return failed
