"""The replicated lease table: the holder and fencing token of each lease.

The table does not track time: the leader proposes a command when a lease expires.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TypedDict

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.commands import (
    EndLease,
    GrantLease,
    LeaseAlreadyHeld,
    LeaseEnded,
    LeaseGranted,
    LeaseLimitReached,
    LeaseNotHeld,
    LeaseResult,
    parse_lease_command,
)
from marlstep.leases.messages import LeaseToken
from marlstep.leases.names import is_config_lease, node_of

MAX_LEASES = 10_000
TABLE_LIMIT = "table"  # `LeaseLimitReached.limited` if the whole table is full


LeaseRow = tuple[str, str, int, str, int]  # name and the fields of `Lease`; a list in JSON


class LeaseTableSnapshot(TypedDict):
    """JSON form of the lease table."""

    token: int
    leases: list[LeaseRow]


@dataclass(slots=True)
class Lease:
    """One lease, held or free."""

    holder: str  # `node/process`; empty if it is free
    token: int  # of the last grant
    previous_node: str = ""  # node of the last holder before the lease became free
    grant_count: int = 0

    @property
    def node(self) -> str:
        """The node that holds the lease; empty if it is free."""
        return node_of(self.holder)


class LeaseTable:
    """The replicated state machine of leases. All leases share one token counter, which only increases."""

    def __init__(self) -> None:
        """Initialize an empty table."""
        self.leases: dict[str, Lease] = {}
        self.last_token = 0  # last token granted for any lease
        self.held_counts: Counter[str] = Counter()  # number of task leases by process

    def holder(self, name: str) -> str:
        """Return the process that holds the lease; empty if it is free."""
        lease = self.leases.get(name)
        return lease.holder if lease is not None else ""

    def leases_of(self, holder: str) -> list[LeaseToken]:
        """Return all leases that the process holds."""
        return [
            LeaseToken(name, lease.token) for name, lease in self.leases.items() if lease.holder == holder
        ]

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply a command of the log.

        Raises the errors of `parse_lease_command` for an invalid command, which changes nothing.
        """
        return self._execute(parse_lease_command(command)).to_json()

    def _execute(self, command: GrantLease | EndLease) -> LeaseResult:
        match command:
            case GrantLease():
                return self._grant(command)
            case EndLease():
                return self._end(command)

    def _grant(self, command: GrantLease) -> LeaseResult:
        lease = self.leases.get(command.name)
        if lease is not None and lease.holder:
            return LeaseAlreadyHeld(lease.holder, lease.token)
        if command.max_held and self.held_counts[command.holder] >= command.max_held:
            return LeaseLimitReached(command.holder)
        if lease is None:
            if len(self.leases) >= MAX_LEASES and not self._evict_free_lease():
                return LeaseLimitReached(TABLE_LIMIT)
            lease = self.leases[command.name] = Lease("", 0)
        self.last_token += 1
        lease.holder, lease.token = command.holder, self.last_token
        lease.grant_count += 1
        self._adjust_count(command.name, command.holder, 1)
        return LeaseGranted(command.holder, lease.token)

    def _evict_free_lease(self) -> bool:
        """Remove one free lease, if any. Tokens stay unique, as all leases share one token counter."""
        free = next((name for name, lease in self.leases.items() if not lease.holder), None)
        if free is not None:
            del self.leases[free]
        return free is not None

    def _end(self, command: EndLease) -> LeaseResult:
        lease = self.leases.get(command.name)
        if lease is None or not lease.holder or lease.token != command.token:
            return LeaseNotHeld()
        previous_holder = lease.holder
        self._adjust_count(command.name, previous_holder, -1)
        lease.previous_node, lease.holder = lease.node, ""
        if is_config_lease(command.name):
            del self.leases[command.name]  # it belongs to one process, which does not want it again
        return LeaseEnded(previous_holder)

    def _adjust_count(self, name: str, holder: str, change: int) -> None:
        """Adjust the holder's number of task leases; configuration leases are not counted."""
        if not is_config_lease(name):
            self.held_counts[holder] += change
            if not self.held_counts[holder]:
                del self.held_counts[holder]

    def snapshot(self) -> LeaseTableSnapshot:
        """Return the whole table in its JSON form."""
        rows = [
            (name, lease.holder, lease.token, lease.previous_node, lease.grant_count)
            for name, lease in self.leases.items()
        ]
        return {"token": self.last_token, "leases": rows}

    def restore(self, stored: LeaseTableSnapshot) -> None:
        """Replace the table with one from `snapshot`."""
        self.last_token = int(stored["token"])
        self.leases = {
            name: Lease(holder, token, previous_node, grant_count)
            for name, holder, token, previous_node, grant_count in stored["leases"]
        }
        self.held_counts = Counter(
            lease.holder for name, lease in self.leases.items() if lease.holder and not is_config_lease(name)
        )
