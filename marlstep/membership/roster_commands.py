"""Log commands that change the agreed membership, and their results.

The keys and their order are those of the log.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError, ResultJson
from marlstep.membership.records import MAX_NAME_LENGTH

MACHINE = "members"  # name of the state machine in the log
MAX_NODES = 2_000
MAX_REASON_LENGTH = 200  # characters


class InvalidNodeNameError(InvalidCommandError):
    """A command that names no node."""

    def __init__(self) -> None:
        """The text is part of replicated results."""
        super().__init__("a node's name")


class UnknownRosterCommandError(InvalidCommandError):
    """A roster command that this version does not know."""

    def __init__(self, action: object) -> None:
        """Name the action; the text is part of replicated results."""
        super().__init__(f"nothing that is done to a member: {action!r}")


@dataclass(slots=True, frozen=True)
class AdmitNode:
    """Make a node a member."""

    node: str

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {"m": MACHINE, "do": "admit", "node": self.node}


@dataclass(slots=True, frozen=True)
class RemoveNode:
    """Remove a member; one that an operator blocks is not admitted again before `ReadmitNode`."""

    node: str
    reason: str
    blocked_by_operator: bool = False

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        if self.blocked_by_operator:
            return {"m": MACHINE, "do": "remove", "node": self.node, "held_off": True, "why": self.reason}
        return {"m": MACHINE, "do": "remove", "node": self.node, "why": self.reason}


@dataclass(slots=True, frozen=True)
class ReadmitNode:
    """Let a node that an operator blocked be admitted again, as if it had never been removed."""

    node: str

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {"m": MACHINE, "do": "readmit", "node": self.node}


@dataclass(slots=True, frozen=True)
class ConfirmFailures:
    """An operator confirms that these nodes have failed, so that the guard does not withhold their removal."""

    nodes: tuple[str, ...]

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {"m": MACHINE, "do": "believe", "nodes": list(self.nodes)}


RosterCommand = AdmitNode | RemoveNode | ReadmitNode | ConfirmFailures


def parse_roster_command(command: CommandJson) -> RosterCommand:
    """Read a command from the log. Raises ValueError, KeyError or TypeError."""
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
    """The node is a member now."""

    node: str

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"admitted": self.node}


@dataclass(slots=True, frozen=True)
class NodeRemoved:
    """The node is no member any more."""

    node: str

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"removed": self.node}


@dataclass(slots=True, frozen=True)
class NodeReadmitted:
    """The node may be admitted again."""

    node: str

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"readmitted": self.node}


@dataclass(slots=True, frozen=True)
class FailuresConfirmed:
    """These failures are confirmed; earlier confirmations are replaced."""

    nodes: tuple[str, ...]

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"believed": list(self.nodes)}


@dataclass(slots=True, frozen=True)
class RosterChangeRejected:
    """Nothing was changed."""

    reason: str

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"refused": self.reason}


RosterResult = NodeAdmitted | NodeRemoved | NodeReadmitted | FailuresConfirmed | RosterChangeRejected
