"""What the log's commands do: machines that are plugged in, and the memory of commands that were named.

A command is a JSON object. `m` says for which machine it is. One that may be sent again carries `by` and `no`, who
asked and that one's number for it: it is applied once, and asked again gets the same result.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import orjson

from marlstep.errors import MarlstepError

CommandJson = Mapping[str, Any]  # a command as the log stores it
ResultJson = dict[str, Any]  # what a command came to, as snapshots store it and clients read it
MAX_RESULTS_PER_CLIENT = 64  # of one that asks: it has no more out at once
MAX_CLIENTS = 4_096  # the ones that asked last


class Command(Protocol):
    """A typed command of one state machine."""

    def to_json(self) -> CommandJson:
        """The command as the log stores it, its keys in the order that the log has."""


def command_json(command: Command | CommandJson) -> CommandJson:
    """The stored form of a command."""
    return command if isinstance(command, Mapping) else command.to_json()


class InvalidCommandError(MarlstepError, ValueError):
    """A command without sense. Nothing was changed by it."""

    def __repr__(self) -> str:
        """As ValueError: this text is part of replicated results, so it must not follow the class's name."""
        return f"ValueError({str(self)!r})"


class StateMachine(Protocol):
    """Deterministic: it knows nothing but the commands, in order."""

    def apply(self, command: CommandJson) -> ResultJson:
        """Raises ValueError, KeyError or TypeError for a command without sense, and has changed nothing then."""

    def snapshot(self) -> object:
        """All of it, as JSON."""

    def restore(self, told: Any) -> None:
        """Take the place of what `write` gave, here or elsewhere."""


class StateMachines:
    """All machines on one log."""

    def __init__(self, machines: Mapping[str, StateMachine]) -> None:
        self.machines = dict(machines)
        self._results_by_client: OrderedDict[str, dict[int, ResultJson]] = OrderedDict()

    def cached_result(self, client: str, number: int) -> ResultJson | None:
        """The result, where that command was applied already."""
        return self._results_by_client.get(client, {}).get(number)

    def apply(self, body: str) -> tuple[CommandJson, ResultJson]:
        """One committed command. What makes no sense has a result that says so, the same on every voter."""
        command: CommandJson = {}
        try:
            read = orjson.loads(body)
            if not isinstance(read, dict):
                raise ValueError("a command is an object")
            command = read
            by, number = command.get("by"), command.get("no")
            if not isinstance(by, str) or not isinstance(number, int):
                return command, self._apply_to_machine(command)
            if (before := self.cached_result(by, number)) is not None:
                return command, before
            result = self._apply_to_machine(command)
            self._cache_result(by, number, result)
        except (ValueError, KeyError, TypeError) as fault:
            return command, {"error": f"no command: {fault!r}"}
        return command, result

    def _apply_to_machine(self, command: CommandJson) -> ResultJson:
        machine = self.machines.get(str(command.get("m")))
        if machine is None:
            return {"error": f"no machine {str(command.get('m'))[:32]!r} here"}
        try:
            return machine.apply(command)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            return {"error": f"no command: {fault!r}"}

    def _cache_result(self, client: str, number: int, result: ResultJson) -> None:
        results = self._results_by_client.setdefault(client, {})
        results[number] = result
        for old in sorted(results)[:-MAX_RESULTS_PER_CLIENT]:
            del results[old]
        self._results_by_client.move_to_end(client)
        while len(self._results_by_client) > MAX_CLIENTS:
            self._results_by_client.popitem(last=False)

    def snapshot(self) -> str:
        asked = [[by, sorted(results.items())] for by, results in self._results_by_client.items()]
        told = {name: machine.snapshot() for name, machine in self.machines.items()}
        return orjson.dumps({"asked": asked, "machines": told}, option=orjson.OPT_SORT_KEYS).decode()

    def restore(self, data: str) -> None:
        """Raises ValueError."""
        told = orjson.loads(data)
        self._results_by_client = OrderedDict((by, dict(results)) for by, results in told["asked"])
        for name, machine in self.machines.items():
            if name in told["machines"]:
                machine.restore(told["machines"][name])


Applied = Callable[[CommandJson, ResultJson], None]
