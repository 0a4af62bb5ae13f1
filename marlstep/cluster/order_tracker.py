"""Operators' orders that became commands of the log, and what came of them."""

from __future__ import annotations

from collections import OrderedDict
from datetime import datetime
from typing import Any

from marlstep.cluster.errors import TooManyOrdersError
from marlstep.consensus.state_machine import Command
from marlstep.leases.client import GroupClient

OrderResults = OrderedDict[int, dict[str, Any]]  # by the command's number


class OrderTracker:
    """Proposes commands for operators, and keeps the last results for them to fetch."""

    def __init__(self, client: GroupClient, results: OrderResults, limit: int) -> None:
        """`results` may be shared among trackers of one client; each keeps it to its `limit` as it adds."""
        self._client, self._results, self._limit = client, results, limit
        self._pending: dict[int, str] = {}

    def propose(self, now: datetime, order: str, command: Command) -> dict[str, Any]:
        """Propose the command of an order; return the number to fetch its result by, as JSON.

        Raises:
            TooManyOrdersError: too many commands wait for their results.
        """
        number = self._client.propose(now, command)
        if number is None:
            raise TooManyOrdersError
        self._pending[number] = order
        return {"asked": number}

    def collect(self) -> None:
        """Take in the results that have come."""
        for number in list(self._pending):
            if (result := self._client.take_result(number)) is not None:
                self.record(number, {"what": self._pending.pop(number), **result})

    def record(self, number: int, result: dict[str, Any]) -> None:
        """Keep a result, and drop the oldest beyond the limit."""
        self._results[number] = result
        while len(self._results) > self._limit:
            self._results.popitem(last=False)
