"""The Raft group that this node belongs to.

The name of a group is `EPOCH.RANDOM`. A cluster has two groups only by an operator's mistake, or after a lost group was
recovered with a later epoch.
"""

from __future__ import annotations

import enum


class GroupChange(enum.Enum):
    """The effect of the group name in a message on this node."""

    UNCHANGED = enum.auto()
    ADOPTED = enum.auto()  # this node had no group before
    REPLACED = enum.auto()  # a group with a later epoch replaces the known one
    CONFLICT = enum.auto()  # a different group with the same epoch
    OUTDATED = enum.auto()  # a group with an earlier epoch


class GroupIdentity:
    """The name of the known group; empty until the store or a message provides one."""

    def __init__(self, name: str = "") -> None:
        """Initialize the known group with `name`, which is empty if no group is known."""
        self.name = name

    def observe(self, name: str) -> GroupChange:
        """Compare the group name of a message with the known one, and adopt it if its epoch is later."""
        if not name or name == self.name:
            return GroupChange.UNCHANGED
        if self.name and epoch_of(name) == epoch_of(self.name):
            return GroupChange.CONFLICT
        if self.name and epoch_of(name) < epoch_of(self.name):
            return GroupChange.OUTDATED
        change = GroupChange.REPLACED if self.name else GroupChange.ADOPTED
        self.name = name
        return change


def epoch_of(group: str) -> int:
    """Return the epoch in a group's name, or 0 if it has none."""
    first = group.partition(".")[0]
    return int(first) if first.isdigit() else 0
