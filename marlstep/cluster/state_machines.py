"""The replicated state machines of a group: those that a replica runs, and that a recovery replays."""

from __future__ import annotations

from marlstep.consensus.state_machine import StateMachine
from marlstep.leases.table import LeaseTable
from marlstep.membership.quota_table import QuotaTable
from marlstep.membership.roster import Roster
from marlstep.replicated_config.store import ConfigStore
from marlstep.scheduled_tasks.run_log import RunLog


def state_machines(table: LeaseTable) -> dict[str, StateMachine]:
    """Return the replicated state machines other than the lease table, by name."""
    return {
        "tasks": RunLog(table),
        "rules": ConfigStore(table),
        "members": Roster(),
        "shares": QuotaTable(table),
    }
