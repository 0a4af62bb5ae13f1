"""Replicated log commands that change the roster, and their results.

The JSON keys and their order are part of the log format.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError, ResultJson
from marlstep.membership.records import MAX_NAME_LENGTH

MACHINE = "members"  # name of the state machine in the log
MAX_NODES = 2_000  # maximum number of members
MAX_REASON_LENGTH = 200  # characters


class InvalidNodeNameError(InvalidCommandError):
    """The node name of a command is missing, empty or too long."""

    def __init__(self) -> None:
        """Initialize with a fixed text, which is part of replicated results."""
        super().__init__("a node's name")


class UnknownRosterCommandError(InvalidCommandError):
    """A roster command that this version does not know."""

    def __init__(self, action: object) -> None:
        """Initialize with the unknown action. The text is part of replicated results."""
        super().__init__(f"nothing that is done to a member: {action!r}")


@dataclass(slots=True, frozen=True)
class AdmitNode:
    """Make a node a member."""

    node: str

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {"m": MACHINE, "do": "admit", "node": self.node}


@dataclass(slots=True, frozen=True)
class RemoveNode:
    """Remove a member; one that is blocked by an operator is not admitted again before `ReadmitNode`."""

    node: str
    reason: str
    blocked_by_operator: bool = False

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        if self.blocked_by_operator:
            return {"m": MACHINE, "do": "remove", "node": self.node, "held_off": True, "why": self.reason}
        return {"m": MACHINE, "do": "remove", "node": self.node, "why": self.reason}


@dataclass(slots=True, frozen=True)
class ReadmitNode:
    """Allow a node that an operator blocked to be admitted again, and reset its number of removals."""

    node: str

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {"m": MACHINE, "do": "readmit", "node": self.node}


@dataclass(slots=True, frozen=True)
class ConfirmFailures:
    """Confirm as an operator that these nodes have failed, so that the guard does not withhold their removal."""

    nodes: tuple[str, ...]

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {"m": MACHINE, "do": "believe", "nodes": list(self.nodes)}


RosterCommand = AdmitNode | RemoveNode | ReadmitNode | ConfirmFailures


def parse_roster_command(command: CommandJson) -> RosterCommand:
    """Parse a command from the log.

    Raises:
        KeyError: a key is missing.
        TypeError: a value has a wrong type.
        ValueError: the action or the node's name is invalid.
    """
    action = command["do"]
    if action == "believe":
        names = sorted({str(node)[:MAX_NAME_LENGTH] for node in command["nodes"]})
        return ConfirmFailures(tuple(names[:MAX_NODES]))
    node = command["node"]
    if not isinstance(node, str) or not 0 < len(node) <= MAX_NAME_LENGTH:
        raise InvalidNodeNameError
    match action:
        case "admit":
            return AdmitNode(node)
        case "remove":
            reason = str(command["why"])[:MAX_REASON_LENGTH]
            return RemoveNode(node, reason, bool(command.get("held_off")))
        case "readmit":
            return ReadmitNode(node)
    raise UnknownRosterCommandError(action)


@dataclass(slots=True, frozen=True)
class NodeAdmitted:
    """The node is now a member."""

    node: str

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"admitted": self.node}


@dataclass(slots=True, frozen=True)
class NodeRemoved:
    """The node is no longer a member."""

    node: str

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"removed": self.node}


@dataclass(slots=True, frozen=True)
class NodeReadmitted:
    """The node may be admitted again."""

    node: str

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"readmitted": self.node}


@dataclass(slots=True, frozen=True)
class FailuresConfirmed:
    """The failures of these nodes are confirmed; earlier confirmations are replaced."""

    nodes: tuple[str, ...]

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"believed": list(self.nodes)}


@dataclass(slots=True, frozen=True)
class RosterChangeRejected:
    """The change was rejected, and the roster is unchanged."""

    reason: str

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"refused": self.reason}


RosterResult = NodeAdmitted | NodeRemoved | NodeReadmitted | FailuresConfirmed | RosterChangeRejected
