"""The state machines that a log drives, and the results of commands that clients may send again.

A command is a JSON object. Its key `m` names the state machine. A command that may be sent again also carries `by`,
the client, and `no`, the client's number for it: it is applied once, and a repetition gets the cached result (client
sessions, section 8 of the paper).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import orjson

from marlstep.errors import MarlstepError

CommandJson = Mapping[str, Any]  # a command as the log stores it
SnapshotJson = Any  # the state of one state machine, in the form that it has itself written
ResultJson = dict[str, Any]  # the result of a command, as snapshots store it and clients read it
MAX_RESULTS_PER_CLIENT = 64  # a client never has more commands in flight
MAX_CLIENTS = 4_096  # the least recently active client is forgotten first
MAX_NAME_IN_ERROR = 32  # characters of an unknown state machine's name


class Command(Protocol):
    """A typed command of one state machine."""

    def to_json(self) -> CommandJson:
        """Return the command as the log stores it, its keys in the order that the log has."""


@dataclass(slots=True, frozen=True)
class StoredCommand:
    """A command given in its stored form, as fault injection and measurements write it."""

    stored: CommandJson

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        return self.stored


class InvalidCommandError(MarlstepError, ValueError):
    """A command that a state machine cannot apply. It has changed nothing."""

    def __repr__(self) -> str:
        """As ValueError: this text is part of replicated results, so it must not follow the class's name."""
        return f"ValueError({str(self)!r})"


class CommandNotAnObjectError(InvalidCommandError):
    """The body of a command entry is JSON, but no object."""

    def __init__(self) -> None:
        """Keep the text: it is part of replicated results."""
        super().__init__("a command is an object")


class StateMachine(Protocol):
    """A deterministic machine: its state depends on the commands and their order alone."""

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply a command and return its result.

        Raises:
            ValueError, KeyError, TypeError: The command is malformed; nothing has changed.
        """

    def snapshot(self) -> object:
        """Return the whole state as a JSON value."""

    def restore(self, snapshot: SnapshotJson) -> None:
        """Replace the state by what `snapshot` returned, here or on another replica."""


class StateMachines:
    """All state machines on one log, by name, and the cached results of their clients' commands."""

    def __init__(self, machines: Mapping[str, StateMachine]) -> None:
        """Route commands to these state machines by their name."""
        self.machines = dict(machines)
        self._results_by_client: OrderedDict[str, dict[int, ResultJson]] = OrderedDict()

    def cached_result(self, client: str, number: int) -> ResultJson | None:
        """Return the result of a client's command that was applied before."""
        return self._results_by_client.get(client, {}).get(number)

    def apply(self, body: str) -> tuple[CommandJson, ResultJson]:
        """Apply a committed entry's body; return the command and its result.

        A malformed command has a result with the key `error`, the same on every replica.
        """
        try:
            command = _parse_command(body)
        except ValueError as error:
            return {}, _error_result(error)
        client, number = command.get("by"), command.get("no")
        if not isinstance(client, str) or not isinstance(number, int):
            return command, self._apply_to_machine(command)
        result = self.cached_result(client, number)
        if result is None:
            result = self._apply_to_machine(command)
            self._cache_result(client, number, result)
        return command, result

    def _apply_to_machine(self, command: CommandJson) -> ResultJson:
        name = str(command.get("m"))
        machine = self.machines.get(name)
        if machine is None:
            return {"error": f"no machine {name[:MAX_NAME_IN_ERROR]!r} here"}
        try:
            return machine.apply(command)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _error_result(error)

    def _cache_result(self, client: str, number: int, result: ResultJson) -> None:
        results = self._results_by_client.setdefault(client, {})
        results[number] = result
        for old_number in sorted(results)[:-MAX_RESULTS_PER_CLIENT]:
            del results[old_number]
        self._results_by_client.move_to_end(client)
        while len(self._results_by_client) > MAX_CLIENTS:
            self._results_by_client.popitem(last=False)

    def snapshot(self) -> str:
        """Return the state of all machines and the cached results as JSON text."""
        results = [[client, sorted(cached.items())] for client, cached in self._results_by_client.items()]
        states = {name: machine.snapshot() for name, machine in self.machines.items()}
        return orjson.dumps({"asked": results, "machines": states}, option=orjson.OPT_SORT_KEYS).decode()

    def restore(self, data: str) -> None:
        """Replace all state by a snapshot's; a machine that the snapshot does not name keeps its own.

        Raises:
            ValueError: The data is no JSON.
        """
        stored = orjson.loads(data)
        self._results_by_client = OrderedDict((client, dict(results)) for client, results in stored["asked"])
        for name, machine in self.machines.items():
            if name in stored["machines"]:
                machine.restore(stored["machines"][name])


def _parse_command(body: str) -> CommandJson:
    command = orjson.loads(body)
    if not isinstance(command, dict):
        raise CommandNotAnObjectError
    return command


def _error_result(error: Exception) -> ResultJson:
    return {"error": f"no command: {error!r}"}
