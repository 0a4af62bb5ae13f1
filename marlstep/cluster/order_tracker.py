"""Tracks operators' orders that were proposed as commands of the log, and their results.

In an upgrade two processes answer at the address of the administration API, and a client may fetch the result of an
order from the process that did not take it. Order numbers are therefore unique across processes, and a look-up names
the process that took the order.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from datetime import datetime
from typing import Any

from marlstep.cluster.errors import TooManyOrdersError
from marlstep.consensus.state_machine import Command
from marlstep.leases.client import GroupClient
from marlstep.leases.holder import LeaseHolder

COMMAND_NUMBER_BITS = 20  # of an order number; the bits above them are those of the process
PROCESS_BITS = 32  # so that an order number is exact as a JSON number, which may have 53 bits
UNKNOWN_REASON = "taken by a process that has ended or does not answer here: it may have had an effect"
FORGOTTEN_REASON = "its result is not kept any more: it may have had an effect"


class OrderState(enum.Enum):
    """What this process knows of an order."""

    DONE = "done"  # the result is known; the order may have been rejected
    PENDING = "pending"  # taken by this process, without a result yet
    UNKNOWN = "unknown"  # taken by another process, or its result was discarded


def first_order_number(process_id: str) -> int:
    """Return the number that precedes the order numbers of a process: its command number is added to it.

    Args:
        process_id: The random hexadecimal ID of the process. Two processes share their numbers if the last 32 bits
            of their IDs are equal; a look-up by process name tells these apart as well.
    """
    return (int(process_id, 16) % (1 << PROCESS_BITS)) << COMMAND_NUMBER_BITS


class OrderResults:
    """The latest results of the orders that this process took, by order number. All trackers of a process share it."""

    def __init__(self, holder: LeaseHolder) -> None:
        """Initialize without results; `holder` has the name and the ID of this process."""
        self.process_name = holder.name
        self._first_number = first_order_number(holder.process_id)
        self._results: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self._pending: set[int] = set()

    def number_of(self, command_number: int) -> int:
        """Return the order number of a command of this process."""
        return self._first_number + command_number

    def add_pending(self, command_number: int) -> None:
        """Note that a command was proposed for an order."""
        self._pending.add(self.number_of(command_number))

    def record(self, command_number: int, result: dict[str, Any], limit: int) -> None:
        """Keep the result of a command, and discard the oldest results beyond the limit."""
        number = self.number_of(command_number)
        self._pending.discard(number)
        self._results[number] = result
        while len(self._results) > limit:
            self._results.popitem(last=False)

    def look_up(self, process_name: str, number: int) -> dict[str, Any]:
        """Return what this process knows of an order that the named process took, as JSON."""
        if process_name != self.process_name:
            return {"state": OrderState.UNKNOWN.value, "why": UNKNOWN_REASON}
        if number in self._results:
            return {"state": OrderState.DONE.value, "result": self._results[number]}
        if number in self._pending:
            return {"state": OrderState.PENDING.value}
        return {"state": OrderState.UNKNOWN.value, "why": FORGOTTEN_REASON}

    def to_json(self) -> dict[str, Any]:
        """Return the results by order number."""
        return {str(number): result for number, result in self._results.items()}


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
        self._pending: dict[int, str] = {}  # order by command number

    def propose(self, now: datetime, order: str, command: Command) -> dict[str, Any]:
        """Propose the command of an order and return the number and process to fetch its result by, as JSON.

        Raises:
            TooManyOrdersError: too many commands are pending.
        """
        number = self._client.propose(now, command)
        if number is None:
            raise TooManyOrdersError
        self._pending[number] = order
        self._results.add_pending(number)
        return {"asked": self._results.number_of(number), "process": self._results.process_name}

    def collect(self) -> None:
        """Record the results that the client has received."""
        for number in list(self._pending):
            if (result := self._client.take_result(number)) is not None:
                self.record(number, {"what": self._pending.pop(number), **result})

    def record(self, command_number: int, result: dict[str, Any]) -> None:
        """Keep the result of a command, and discard the oldest results beyond the limit."""
        self._results.record(command_number, result, self._limit)
