"""Which Raft group this node takes for its own.

The name of a group is `EPOCH.RANDOM`. Two groups of one cluster exist only by an operator's mistake, or where one was
recovered under a later epoch to take the place of a lost one.
"""

from __future__ import annotations

import enum


class GroupChange(enum.Enum):
    """What a group's name on a message means to this node."""

    UNCHANGED = enum.auto()
    ADOPTED = enum.auto()  # this node knew no group yet
    REPLACED = enum.auto()  # a later epoch takes the place of the known group
    CONFLICT = enum.auto()  # another group of the same epoch
    OUTDATED = enum.auto()  # a group of an earlier epoch


class GroupIdentity:
    """The known group; empty until the store or a message names one."""

    def __init__(self, name: str = "") -> None:
        """`name` may be empty: no group is known."""
        self.name = name

    def observe(self, name: str) -> GroupChange:
        """Compare the name of a message's group with the known one; adopt it where it is newer."""
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
    """Return the epoch in a group's name; 0 where there is none."""
    first = group.partition(".")[0]
    return int(first) if first.isdigit() else 0
