"""Test support for leases: a lease leader without a replicated log, and default settings."""

from __future__ import annotations

from datetime import timedelta

from marlstep.leases.commands import LeaseCommand
from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat, HeartbeatResponse, LeaseToken
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.units import EPOCH

NOW = EPOCH + timedelta(days=9)
SETTINGS = LeaseSettings()


class Group:
    """A lease leader whose proposals are applied immediately. The test advances its clock."""

    def __init__(self, settings: LeaseSettings = SETTINGS) -> None:
        self.table = LeaseTable()
        self.manager = LeaseManager(self.table, settings)
        self.now = NOW
        self.heartbeat_numbers: dict[str, int] = {}
        self.manager.become_leader(self.now)

    def apply(self, commands: list[LeaseCommand]) -> None:
        for command in commands:
            stored = command.to_json()
            self.manager.on_applied(self.now, stored, self.table.apply(stored), 0)

    def heartbeat(
        self, node: str, *wanted: str, returned: tuple[LeaseToken, ...] = (), max_leases: int = 0
    ) -> dict[str, HeartbeatResponse]:
        self.heartbeat_numbers[node] = number = self.heartbeat_numbers.get(node, 0) + 1
        self.apply(
            self.manager.handle_heartbeat(
                self.now, Heartbeat(node, "b", number, wanted, returned, max_leases), 0
            )
        )
        self.apply(self.manager.tick(self.now))
        return dict(self.manager.take_responses(self.now, 1, "n1", 1))

    def advance(self, duration: timedelta) -> None:
        self.now += duration
        self.apply(self.manager.tick(self.now))
