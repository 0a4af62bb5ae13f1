"""Replicated log commands that change quota shares, and their results.

The JSON keys and their order are part of the log format. Shares are in millionths of a tenant's allowance.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError, ResultJson

MACHINE = "shares"  # name of the state machine in the log
# Maximum number of tenants with a shared allowance: the response to each heartbeat lists the shares of all of them.
MAX_TENANTS = 200


class UnknownQuotaCommandError(InvalidCommandError):
    """A quota command that this version does not know."""

    def __init__(self, action: object) -> None:
        """Initialize with the unknown action. The text is part of replicated results."""
        super().__init__(f"nothing that is done to a part: {action!r}")


@dataclass(slots=True, frozen=True)
class SetTenants:
    """Replace the set of tenants with a shared allowance; tenants in both sets keep their shares."""

    names: tuple[str, ...]

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {"m": MACHINE, "do": "tenants", "names": list(self.names)}


@dataclass(slots=True, frozen=True)
class GrowShare:
    """Grant a process a larger share, out of the free part of the allowance."""

    tenant: str
    holder: str
    share: int

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {
            "m": MACHINE,
            "tenant": self.tenant,
            "do": "grow",
            "holder": self.holder,
            "to": self.share,
        }


@dataclass(slots=True, frozen=True)
class ShrinkShare:
    """Ask a process to use no more than this share. Its old share counts as used until it confirms."""

    tenant: str
    holder: str
    share: int

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {
            "m": MACHINE,
            "tenant": self.tenant,
            "do": "shrink",
            "holder": self.holder,
            "to": self.share,
        }


@dataclass(slots=True, frozen=True)
class ConfirmShrink:
    """A process confirms that it uses no more than the share it was asked to shrink to."""

    tenant: str
    holder: str
    share: int

    def to_json(self) -> CommandJson:
        """Return the command as stored in the log."""
        return {
            "m": MACHINE,
            "do": "gave",
            "tenant": self.tenant,
            "holder": self.holder,
            "to": self.share,
        }


@dataclass(slots=True, frozen=True)
class UnknownShareChange:
    """A share change with an unknown action; its arguments are checked before it is rejected."""

    tenant: str
    holder: str
    share: int
    action: object


QuotaCommand = SetTenants | GrowShare | ShrinkShare | ConfirmShrink
ShareChange = GrowShare | ShrinkShare | ConfirmShrink | UnknownShareChange


def parse_quota_command(command: CommandJson) -> SetTenants | ShareChange:
    """Parse a command from the log.

    Raises:
        KeyError: a key is missing.
        TypeError: a value has a wrong type.
        ValueError: a share is not a number.
    """
    action = command["do"]
    if action == "tenants":
        return SetTenants(tuple(str(name) for name in command["names"])[:MAX_TENANTS])
    tenant = command["tenant"]
    hash(tenant)  # raises for a list or an object, with the error text that replicated results contain
    holder, share = str(command["holder"]), int(command["to"])
    match action:
        case "grow":
            return GrowShare(tenant, holder, share)
        case "shrink":
            return ShrinkShare(tenant, holder, share)
        case "gave":
            return ConfirmShrink(tenant, holder, share)
    return UnknownShareChange(tenant, holder, share, action)


@dataclass(slots=True, frozen=True)
class TenantsSet:
    """The set of tenants was replaced; `count` is its size."""

    count: int

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"tenants": self.count}


@dataclass(slots=True, frozen=True)
class ShareChanged:
    """The change of a share was applied."""

    holder: str
    share: int

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        return {"holder": self.holder, "part": self.share}


@dataclass(slots=True, frozen=True)
class ShareChangeRejected:
    """The change of a share was rejected."""

    reason: str
    holder: str = ""  # empty if the tenant, the process or the share was invalid

    def to_json(self) -> ResultJson:
        """Return the result as stored in snapshots and sent to clients."""
        rejected: ResultJson = {"refused": self.reason}
        if self.holder:
            rejected["holder"] = self.holder
        return rejected


QuotaResult = TenantsSet | ShareChanged | ShareChangeRejected
