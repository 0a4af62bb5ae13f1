"""Status of membership for operators, and its JSON with the keys of the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from marlstep.membership.partition_state import PartitionObservation, PartitionTracker
from marlstep.membership.records import MemberRecord
from marlstep.membership.roster import RosterEntry
from marlstep.net.codec import write_fields
from marlstep.units import MILLISECOND


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """The status of one node in the failure detector and in the roster."""

    node: str
    record: MemberRecord | None  # None if the detector does not know the node
    in_state_for: timedelta | None  # None for this node, and if the detector does not know the node
    has_roster: bool  # whether this node is a voter and therefore has the roster
    entry: RosterEntry | None

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON."""
        record, entry, since = self.record, self.entry, self.in_state_for
        return {
            "node": self.node,
            "process": record.process_id if record else None,
            "heard": record.state.value if record else None,
            "for_ms": None if since is None else since // MILLISECOND,
            "by": record.reported_by if record else None,
            "incarnation": record.incarnation if record else None,
            "zone": record.zone if record else None,
            "agreed": (entry is not None and entry.is_member) if self.has_roster else None,
            "taken_out": entry.removal_count if entry else 0,
            "why": entry.reason if entry else "",
        }


@dataclass(slots=True, frozen=True)
class MembershipStatus:
    """The status of all members, and of this node's own failure detector."""

    node: str
    local_health: int
    name_conflict: bool
    since_response: timedelta | None  # since the leader's last response
    withheld_removals: list[str]
    confirmed_failures: list[str]
    members: list[MemberStatus]
    counts: dict[str, int]

    def to_json(self) -> dict[str, Any]:
        """Return the resource `fleet/members`."""
        since = self.since_response
        return {
            "node": self.node,
            "doubt": self.local_health,
            "twin": self.name_conflict,
            "group_answered_ms": None if since is None else since // MILLISECOND,
            "guarded": self.withheld_removals,
            "believed": self.confirmed_failures,
            "members": [member.to_json() for member in self.members],
            "counts": self.counts,
        }


@dataclass(slots=True, frozen=True)
class PartitionStatus:
    """The partition state at one time, and the observation that led to it."""

    node: str
    now: datetime
    tracker: PartitionTracker
    observation: PartitionObservation

    def to_json(self) -> dict[str, Any]:
        """Return the resource `fleet/situation`."""
        tracker, now = self.tracker, self.now
        return {
            "node": self.node,
            "situation": tracker.state.value,
            "for_ms": (now - tracker.since) // MILLISECOND,
            "overdue": tracker.overdue,
            "conduct": write_fields(tracker.capabilities),
            "sees": self._observation_json(),
            "turns": [
                {
                    "ago_ms": (now - transition.at) // MILLISECOND,
                    "now": transition.state.value,
                    "before": transition.previous.value,
                }
                for transition in tracker.transitions
            ],
        }

    def _observation_json(self) -> dict[str, Any]:
        seen = self.observation
        return {
            "group_answers": seen.quorum_responds,
            "hears": seen.receives,
            "is_heard": seen.is_acknowledged,
            "alive": sorted(seen.alive),
            "suspected": sorted(seen.suspected),
            "agreed": sorted(seen.roster),
        }
