"""What the log's commands do: machines that are plugged in, and the memory of commands that were named.

A command is a JSON object. `m` says for which machine it is. One that may be sent again carries `by` and `no`, who
asked and that one's number for it: it is applied once, and asked again gets the same result.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import orjson

Command = Mapping[str, Any]
Result = dict[str, Any]
KEPT_RESULTS = 64  # of one that asks: it has no more out at once
KEPT_ASKERS = 4_096  # the ones that asked last


class Machine(Protocol):
    """Deterministic: it knows nothing but the commands, in order."""

    def apply(self, command: Command) -> Result:
        """Raises ValueError, KeyError or TypeError for a command without sense, and has changed nothing then."""

    def write(self) -> object:
        """All of it, as JSON."""

    def read(self, told: Any) -> None:
        """Take the place of what `write` gave, here or elsewhere."""


class Machines:
    """All machines on one log."""

    def __init__(self, machines: Mapping[str, Machine]) -> None:
        self.machines = dict(machines)
        self._asked: OrderedDict[str, dict[int, Result]] = OrderedDict()

    def known(self, by: str, number: int) -> Result | None:
        """The result, where that command was applied already."""
        return self._asked.get(by, {}).get(number)

    def apply(self, body: str) -> tuple[Command, Result]:
        """One committed command. What makes no sense has a result that says so, the same on every voter."""
        command: Command = {}
        try:
            read = orjson.loads(body)
            if not isinstance(read, dict):
                raise ValueError("a command is an object")
            command = read
            by, number = command.get("by"), command.get("no")
            if not isinstance(by, str) or not isinstance(number, int):
                return command, self._do(command)
            if (before := self.known(by, number)) is not None:
                return command, before
            result = self._do(command)
            self._keep(by, number, result)
        except (ValueError, KeyError, TypeError) as fault:
            return command, {"error": f"no command: {fault!r}"}
        return command, result

    def _do(self, command: Command) -> Result:
        machine = self.machines.get(str(command.get("m")))
        if machine is None:
            return {"error": f"no machine {str(command.get('m'))[:32]!r} here"}
        try:
            return machine.apply(command)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            return {"error": f"no command: {fault!r}"}

    def _keep(self, by: str, number: int, result: Result) -> None:
        results = self._asked.setdefault(by, {})
        results[number] = result
        for old in sorted(results)[:-KEPT_RESULTS]:
            del results[old]
        self._asked.move_to_end(by)
        while len(self._asked) > KEPT_ASKERS:
            self._asked.popitem(last=False)

    def write(self) -> str:
        asked = [[by, sorted(results.items())] for by, results in self._asked.items()]
        told = {name: machine.write() for name, machine in self.machines.items()}
        return orjson.dumps({"asked": asked, "machines": told}, option=orjson.OPT_SORT_KEYS).decode()

    def read(self, data: str) -> None:
        """Raises ValueError."""
        told = orjson.loads(data)
        self._asked = OrderedDict((by, dict(results)) for by, results in told["asked"])
        for name, machine in self.machines.items():
            if name in told["machines"]:
                machine.read(told["machines"][name])


Applied = Callable[[Command, Result], None]
