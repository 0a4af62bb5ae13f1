"""Tracks operators' orders that were proposed as commands of the log, and their results."""

from __future__ import annotations

from collections import OrderedDict
from datetime import datetime
from typing import Any

from marlstep.cluster.errors import TooManyOrdersError
from marlstep.consensus.state_machine import Command
from marlstep.leases.client import GroupClient

OrderResults = OrderedDict[int, dict[str, Any]]  # by command number


class OrderTracker:
    """Proposes the commands of operators' orders, and keeps the latest results for operators to fetch."""

    def __init__(self, client: GroupClient, results: OrderResults, limit: int) -> None:
        """Initialize the tracker with no pending orders.

        Args:
            client: Proposes the commands.
            results: Receives the results; trackers of the same client may share it.
            limit: The number of results that remain after this tracker adds one.

        """
        self._client, self._results, self._limit = client, results, limit
        self._pending: dict[int, str] = {}

    def propose(self, now: datetime, order: str, command: Command) -> dict[str, Any]:
        """Propose the command of an order and return the number to fetch its result by, as JSON.

        Raises:
            TooManyOrdersError: too many commands are pending.
        """
        number = self._client.propose(now, command)
        if number is None:
            raise TooManyOrdersError
        self._pending[number] = order
        return {"asked": number}

    def collect(self) -> None:
        """Record the results that the client has received."""
        for number in list(self._pending):
            if (result := self._client.take_result(number)) is not None:
                self.record(number, {"what": self._pending.pop(number), **result})

    def record(self, number: int, result: dict[str, Any]) -> None:
        """Keep a result, and discard the oldest results beyond the limit."""
        self._results[number] = result
        while len(self._results) > self._limit:
            self._results.popitem(last=False)
