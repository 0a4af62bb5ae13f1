"""State machine of the roster: the members of the cluster, as agreed in the replicated log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypedDict

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.membership.roster_commands import (
    MAX_NODES,
    AdmitNode,
    ConfirmFailures,
    FailuresConfirmed,
    NodeAdmitted,
    NodeReadmitted,
    NodeRemoved,
    ReadmitNode,
    RemoveNode,
    RosterChangeRejected,
    RosterCommand,
    RosterResult,
    parse_roster_command,
)
from marlstep.net.codec import BOOLEAN, INTEGER, TEXT, read_fields, wire, write_fields

MAX_REMOVED_KEPT = 500  # maximum number of entries of removed nodes; older ones are evicted


class RosterSnapshot(TypedDict):
    """The stored form of a roster."""

    nodes: list[list[Any]]  # pairs of a node name and the fields of its entry
    believed: list[str]  # confirmed failures


@dataclass(slots=True)
class RosterEntry:
    """A node that is or was a member."""

    is_member: bool = field(metadata=wire("there", BOOLEAN))
    removal_count: int = field(metadata=wire("taken_out", INTEGER), default=0)
    reason: str = field(metadata=wire("why", TEXT), default="")  # of the last removal
    # removed by an operator, and not admitted until an operator readmits it
    blocked_by_operator: bool = field(metadata=wire("held_off", BOOLEAN), default=False)


class Roster:
    """The replicated list of members. Its commands are proposed by the leader's RosterController and by operators."""

    def __init__(self) -> None:
        """Initialize without members."""
        self.nodes: dict[str, RosterEntry] = {}
        # Nodes whose failure an operator has confirmed: the guard does not withhold their removal.
        self.confirmed_failures: list[str] = []

    def members(self) -> frozenset[str]:
        """Return the names of all members."""
        return frozenset(name for name, entry in self.nodes.items() if entry.is_member)

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply one committed command.

        Raises:
            KeyError: a key of the command is missing.
            TypeError: a value of the command has a wrong type.
            ValueError: the action or the node's name is invalid.
        """
        return self._execute(parse_roster_command(command)).to_json()

    def _execute(self, command: RosterCommand) -> RosterResult:
        match command:
            case AdmitNode():
                return self._admit(command.node)
            case RemoveNode():
                return self._remove(command)
            case ReadmitNode():
                return self._readmit(command.node)
            case ConfirmFailures():
                self.confirmed_failures = list(command.nodes)
                return FailuresConfirmed(command.nodes)

    def _admit(self, node: str) -> RosterResult:
        entry = self.nodes.get(node)
        if entry is None:
            if len(self.members()) >= MAX_NODES:
                return RosterChangeRejected(f"a fleet has {MAX_NODES} nodes at the most")
            entry = self.nodes[node] = RosterEntry(is_member=False)
        if entry.is_member:
            return RosterChangeRejected("it belongs already")
        if entry.blocked_by_operator:
            return RosterChangeRejected("operators took it out")
        entry.is_member, entry.reason = True, ""
        return NodeAdmitted(node)

    def _remove(self, command: RemoveNode) -> RosterResult:
        entry = self.nodes.get(command.node)
        if entry is None:
            return RosterChangeRejected("nobody of that name")
        if not entry.is_member and not command.blocked_by_operator:
            return RosterChangeRejected("it does not belong")
        if entry.is_member:
            entry.removal_count += 1
        entry.is_member, entry.reason = False, command.reason
        entry.blocked_by_operator = command.blocked_by_operator
        self.confirmed_failures = [name for name in self.confirmed_failures if name != command.node]
        self._evict_removed()
        return NodeRemoved(command.node)

    def _evict_removed(self) -> None:
        """Bound the number of entries of removed nodes. A node blocked by an operator is never evicted."""
        removed = [
            name
            for name, entry in self.nodes.items()
            if not entry.is_member and not entry.blocked_by_operator
        ]
        for name in removed[:-MAX_REMOVED_KEPT]:
            del self.nodes[name]

    def _readmit(self, node: str) -> RosterResult:
        entry = self.nodes.get(node)
        if entry is None:
            return RosterChangeRejected("nobody of that name")
        entry.blocked_by_operator, entry.removal_count = False, 0
        return NodeReadmitted(node)

    def snapshot(self) -> RosterSnapshot:
        """Return the whole roster in JSON form."""
        return {
            "nodes": [[name, write_fields(entry)] for name, entry in self.nodes.items()],
            "believed": self.confirmed_failures,
        }

    def restore(self, snapshot: RosterSnapshot) -> None:
        """Replace the whole roster with that of a snapshot."""
        self.nodes = {name: read_fields(RosterEntry, fields) for name, fields in snapshot["nodes"]}
        self.confirmed_failures = list(snapshot["believed"])
