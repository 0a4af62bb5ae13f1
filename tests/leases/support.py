"""A leader of leases without a log, and the settings of these tests."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat, LeaseToken
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.units import EPOCH

NOW = EPOCH + timedelta(days=9)
TOLD = LeaseSettings()


class Group:
    """A leader whose proposals are applied at once."""

    def __init__(self, told: LeaseSettings = TOLD) -> None:
        self.table = LeaseTable()
        self.keeper = LeaseManager(self.table, told)
        self.now = NOW
        self.numbers: dict[str, int] = {}
        self.keeper.become_leader(self.now)

    def apply(self, commands: list[Any]) -> None:
        for command in commands:
            self.keeper.on_applied(self.now, command, self.table.apply(command), 0)

    def beat(self, node: str, *wants: str, returns: tuple[LeaseToken, ...] = (), most: int = 0) -> Any:
        self.numbers[node] = number = self.numbers.get(node, 0) + 1
        self.apply(
            self.keeper.handle_heartbeat(self.now, Heartbeat(node, "b", number, wants, returns, most), 0)
        )
        self.apply(self.keeper.tick(self.now))
        return dict(self.keeper.take_responses(self.now, 1, "n1", 1))

    def after(self, span: timedelta) -> None:
        self.now += span
        self.apply(self.keeper.tick(self.now))
