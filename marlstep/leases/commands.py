"""Commands of the lease table in the replicated log, and their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError, ResultJson

MACHINE_NAME = "leases"
MAX_NAME_LENGTH = 128  # characters
INVALID_NAME = "a lease's name"  # a replicated text


class UnknownLeaseActionError(InvalidCommandError):
    """A command that is neither to grant nor to end a lease."""

    def __init__(self, action: object) -> None:
        """`action` is the command's, as the log has it. The text is replicated."""
        super().__init__(f"nothing that is done to a lease: {action!r}")


@dataclass(slots=True, frozen=True)
class GrantLease:
    """Give a free lease to a process."""

    name: str
    holder: str  # node/process
    max_held: int  # not if that process holds as many already; 0: any number

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {
            "m": MACHINE_NAME,
            "do": "grant",
            "name": self.name,
            "holder": self.holder,
            "most": self.max_held,
        }


class EndReason(enum.Enum):
    """Why a lease ends; the values are those of the log."""

    EXPIRED = "expire"  # its holder did not renew it in time
    RETURNED = "return"  # its holder gave it back


@dataclass(slots=True, frozen=True)
class EndLease:
    """Take a lease from its holder, if it still has that token."""

    name: str
    token: int
    reason: EndReason

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {"m": MACHINE_NAME, "do": self.reason.value, "name": self.name, "token": self.token}


LeaseCommand = GrantLease | EndLease


def parse_lease_command(stored: CommandJson) -> LeaseCommand:
    """The command that the log holds.

    Raises InvalidCommandError, ValueError, KeyError or TypeError where it is none. These texts are part of replicated
    results: they, and the order of the checks, stay the same in all versions.
    """
    name = stored["name"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise InvalidCommandError(INVALID_NAME)
    match stored["do"]:
        case "grant":
            return GrantLease(name, str(stored["holder"]), int(stored["most"]))
        case EndReason.EXPIRED.value | EndReason.RETURNED.value as action:
            return EndLease(name, int(stored["token"]), EndReason(action))
        case other:
            raise UnknownLeaseActionError(other)


@dataclass(slots=True, frozen=True)
class LeaseGranted:
    """The lease is now its new holder's."""

    holder: str
    token: int

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"granted": self.holder, "token": self.token}


@dataclass(slots=True, frozen=True)
class LeaseAlreadyHeld:
    """The lease was not free, and stays with its holder."""

    holder: str
    token: int

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"held": self.holder, "token": self.token}


@dataclass(slots=True, frozen=True)
class LeaseLimitReached:
    """The process, or the whole table, has as many leases as it may."""

    limited: str  # the process, or "table"

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"full": self.limited}


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """The lease is free."""

    previous_holder: str

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"ended": True, "holder": self.previous_holder}


@dataclass(slots=True, frozen=True)
class LeaseNotHeld:
    """The lease was free already, or has another token by now."""

    def to_json(self) -> ResultJson:
        """The result as snapshots and clients have it."""
        return {"ended": False}


LeaseResult = LeaseGranted | LeaseAlreadyHeld | LeaseLimitReached | LeaseEnded | LeaseNotHeld
