"""Log commands that change quota shares, and their results.

The keys and their order are those of the log. A share is given in millionths of a tenant's allowance.
"""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.consensus.state_machine import CommandJson, InvalidCommandError, ResultJson

MACHINE = "shares"  # name of the state machine in the log
MAX_TENANTS = 200  # with a shared allowance: each heartbeat's response lists the shares of all of them


class UnknownQuotaCommandError(InvalidCommandError):
    """A quota command that this version does not know."""

    def __init__(self, action: object) -> None:
        """Name the action; the text is part of replicated results."""
        super().__init__(f"nothing that is done to a part: {action!r}")


@dataclass(slots=True, frozen=True)
class SetTenants:
    """Replace the set of tenants whose allowance is shared; remaining ones keep their shares."""

    names: tuple[str, ...]

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {"m": MACHINE, "do": "tenants", "names": list(self.names)}


@dataclass(slots=True, frozen=True)
class GrowShare:
    """Grant a process a larger share, out of what no process has."""

    tenant: str
    holder: str
    share: int

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
        return {
            "m": MACHINE,
            "tenant": self.tenant,
            "do": "grow",
            "holder": self.holder,
            "to": self.share,
        }


@dataclass(slots=True, frozen=True)
class ShrinkShare:
    """Ask a process to use no more than this share. It keeps the old one until it confirms."""

    tenant: str
    holder: str
    share: int

    def to_json(self) -> CommandJson:
        """The command as the log stores it."""
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
        """The command as the log stores it."""
        return {
            "m": MACHINE,
            "do": "gave",
            "tenant": self.tenant,
            "holder": self.holder,
            "to": self.share,
        }


@dataclass(slots=True, frozen=True)
class UnknownShareChange:
    """A change of a share that is not known; its arguments are checked before it is rejected."""

    tenant: str
    holder: str
    share: int
    action: object


QuotaCommand = SetTenants | GrowShare | ShrinkShare | ConfirmShrink
ShareChange = GrowShare | ShrinkShare | ConfirmShrink | UnknownShareChange


def parse_quota_command(command: CommandJson) -> SetTenants | ShareChange:
    """Read a command from the log. Raises ValueError, KeyError or TypeError."""
    action = command["do"]
    if action == "tenants":
        return SetTenants(tuple(str(name) for name in command["names"])[:MAX_TENANTS])
    tenant = command["tenant"]
    hash(tenant)  # a list or an object is rejected here, with the error text that replicated results hold
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
    """The number of tenants that now share their allowance."""

    count: int

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"tenants": self.count}


@dataclass(slots=True, frozen=True)
class ShareChanged:
    """The change was applied."""

    holder: str
    share: int

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        return {"holder": self.holder, "part": self.share}


@dataclass(slots=True, frozen=True)
class ShareChangeRejected:
    """Nothing was changed."""

    reason: str
    holder: str = ""  # empty where the process has no share of that tenant to change

    def to_json(self) -> ResultJson:
        """The result as snapshots store it."""
        rejected: ResultJson = {"refused": self.reason}
        if self.holder:
            rejected["holder"] = self.holder
        return rejected


QuotaResult = TenantsSet | ShareChanged | ShareChangeRejected
