"""Commands of the replicated lease table, as stored in the log, and their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError, ResultJson

MACHINE_NAME = "leases"
MAX_NAME_LENGTH = 128  # characters
INVALID_NAME = "a lease's name"  # part of replicated results: must not change


class UnknownLeaseActionError(InvalidCommandError):
    """Raised for a command whose action neither grants nor ends a lease."""

    def __init__(self, action: object) -> None:
        """Initialize with the action as stored in the log. The text is part of replicated results: must not change."""
        super().__init__(f"nothing that is done to a lease: {action!r}")


@dataclass(slots=True, frozen=True)
class GrantLease:
    """Grants a free lease to a process."""

    name: str
    holder: str  # node/process
    max_held: int  # refused if the process already holds this many; 0: no limit

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {
            "m": MACHINE_NAME,
            "do": "grant",
            "name": self.name,
            "holder": self.holder,
            "most": self.max_held,
        }


class EndReason(enum.Enum):
    """Why a lease ends; the values are stored in the log."""

    EXPIRED = "expire"  # the holder did not renew it in time
    RETURNED = "return"  # the holder returned it


@dataclass(slots=True, frozen=True)
class EndLease:
    """Ends a lease if it is still held under the given token."""

    name: str
    token: int
    reason: EndReason

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {"m": MACHINE_NAME, "do": self.reason.value, "name": self.name, "token": self.token}


LeaseCommand = GrantLease | EndLease


def parse_lease_command(stored: CommandJson) -> LeaseCommand:
    """Parse a command as stored in the log.

    The error texts are part of replicated results: the texts and the order of the checks must be the same in all
    versions.

    Raises:
        InvalidCommandError: the lease name or the action is invalid.
        KeyError: a field is missing.
        ValueError: the limit or the token is not a number.
        TypeError: the limit or the token has a type that cannot be converted to a number.
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
    """The lease was granted to `holder` under `token`."""

    holder: str
    token: int

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"granted": self.holder, "token": self.token}


@dataclass(slots=True, frozen=True)
class LeaseAlreadyHeld:
    """The lease was not granted because `holder` already holds it."""

    holder: str
    token: int

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"held": self.holder, "token": self.token}


@dataclass(slots=True, frozen=True)
class LeaseLimitReached:
    """The lease was not granted because the process or the whole table is at its lease limit."""

    limited: str  # the process at its limit, or "table"

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"full": self.limited}


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """The lease was ended and is free."""

    previous_holder: str

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"ended": True, "holder": self.previous_holder}


@dataclass(slots=True, frozen=True)
class LeaseNotHeld:
    """The lease was not ended because it is free or held under another token."""

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"ended": False}


LeaseResult = LeaseGranted | LeaseAlreadyHeld | LeaseLimitReached | LeaseEnded | LeaseNotHeld
