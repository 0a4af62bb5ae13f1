"""State machine of quota shares: how much of each tenant's allowance every process may use.

A tenant's allowance applies to the whole service. Shares are millionths of the allowance in the document version in
force, and their sum never exceeds the whole allowance. A share grows only out of the free part. It shrinks when its
process confirms that it uses less, or when the process's configuration lease ends. Until then the old share counts as
used.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.messages import QuotaShareRow
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.leases.table import LeaseTable
from marlstep.membership.quota_commands import (
    MAX_TENANTS,
    ConfirmShrink,
    GrowShare,
    QuotaResult,
    SetTenants,
    ShareChange,
    ShareChanged,
    ShareChangeRejected,
    ShrinkShare,
    TenantsSet,
    UnknownQuotaCommandError,
    UnknownShareChange,
    parse_quota_command,
)
from marlstep.membership.records import MAX_NAME_LENGTH

FULL_QUOTA = 1_000_000  # the whole allowance, in millionths
MAX_NAME_SHOWN = 80  # characters of a tenant's name in an error text

QuotaSnapshot = Mapping[str, list[list[Any]]]  # rows of holder, granted, target, by tenant


def quota_limit_violation(tenants: Mapping[str, Mapping[str, Any]]) -> str:
    """Return why a document's tenants cannot all have a shared allowance, or an empty text if they can."""
    names = [name for name, row in tenants.items() if row.get("allowance_per_s")]
    if len(names) > MAX_TENANTS:
        return f"shares: {MAX_TENANTS} tenants with an allowance at the most, {len(names)} are named"
    too_long = next((name for name in names if len(name) > MAX_NAME_LENGTH), "")
    if too_long:
        shown = too_long[:MAX_NAME_SHOWN]
        return f"shares: tenant {shown}: a name has {MAX_NAME_LENGTH} characters at the most"
    return ""


@dataclass(slots=True)
class QuotaShare:
    """One process's share of one tenant's allowance."""

    granted: int  # millionths that count as used by the process
    target: int  # millionths that it is asked to shrink to; equal to `granted` if no reduction is requested


class QuotaTable:
    """The replicated table of shares. It uses no clock: shares end with the leases of their holders, as in the log."""

    def __init__(self, leases: LeaseTable) -> None:
        """Initialize without tenants; `leases` is the state machine of leases on the same log."""
        self._leases = leases
        self.tenants: dict[str, dict[str, QuotaShare]] = {}  # shares by process

    def live_processes(self) -> list[str]:
        """Return the processes that may have a share: those with a configuration lease."""
        return [
            lease.holder
            for name, lease in self._leases.leases.items()
            if name.startswith(CONFIG_LEASE_PREFIX) and lease.holder
        ]

    def free(self, tenant: str) -> int:
        """Return the part of the tenant's allowance that no live process holds, in millionths."""
        live = set(self.live_processes())
        return FULL_QUOTA - sum(
            share.granted for holder, share in self.tenants.get(tenant, {}).items() if holder in live
        )

    def shares_of(self, holder: str) -> tuple[QuotaShareRow, ...]:
        """Return the shares of one process, as rows of the response to its heartbeat."""
        return tuple(
            QuotaShareRow(tenant, share.granted, share.target)
            for tenant, shares in self.tenants.items()
            if (share := shares.get(holder)) is not None
        )

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply one committed command.

        Raises:
            KeyError: a key of the command is missing.
            TypeError: a value of the command has a wrong type.
            ValueError: a share is not a number, or the action is unknown.
        """
        live = set(self.live_processes())
        # For every command, also an invalid one, so that all replicas drop expired shares at the same log entry.
        self._drop_expired_shares(live)
        return self._execute(parse_quota_command(command), live).to_json()

    def _drop_expired_shares(self, live: set[str]) -> None:
        for shares in self.tenants.values():
            for holder in [holder for holder in shares if holder not in live]:
                del shares[holder]

    def _execute(self, command: SetTenants | ShareChange, live: set[str]) -> QuotaResult:
        if isinstance(command, SetTenants):
            self.tenants = {name: self.tenants.get(name, {}) for name in command.names}
            return TenantsSet(len(command.names))
        shares = self.tenants.get(command.tenant)
        if shares is None or command.holder not in live or not 0 <= command.share <= FULL_QUOTA:
            return ShareChangeRejected("no such tenant, no lease on the rules, or no part")
        return self._change_share(shares, command)

    def _change_share(self, shares: dict[str, QuotaShare], command: ShareChange) -> QuotaResult:
        share = shares.get(command.holder) or QuotaShare(0, 0)
        match command:
            case GrowShare():
                increase = command.share - share.granted
                if share.target != share.granted or increase > self.free(command.tenant):
                    return ShareChangeRejected("so much is not free", command.holder)
                shares[command.holder] = QuotaShare(command.share, command.share)
            case ShrinkShare():
                shares[command.holder] = QuotaShare(share.granted, min(command.share, share.granted))
            case ConfirmShrink():
                if command.share != share.target:
                    return ShareChangeRejected("it was asked for another part", command.holder)
                shares[command.holder] = QuotaShare(command.share, command.share)
            case UnknownShareChange():
                raise UnknownQuotaCommandError(command.action)
        return ShareChanged(command.holder, command.share)

    def snapshot(self) -> QuotaSnapshot:
        """Return all shares in JSON form."""
        return {
            tenant: [[holder, share.granted, share.target] for holder, share in shares.items()]
            for tenant, shares in self.tenants.items()
        }

    def restore(self, snapshot: QuotaSnapshot) -> None:
        """Replace all shares with those of a snapshot."""
        self.tenants = {
            tenant: {holder: QuotaShare(granted, target) for holder, granted, target in rows}
            for tenant, rows in snapshot.items()
        }
