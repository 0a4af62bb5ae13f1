"""The state machines to which log entries are applied, and the cached results of commands that clients may resend.

A command is a JSON object whose key `m` names the state machine. A command that may be resent also carries `by`, the
client, and `no`, the number that the client gave it: it is applied once, and a repetition returns the cached result
(client sessions, section 8 of the Raft paper).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import orjson

from marlstep.errors import MarlstepError

CommandJson = Mapping[str, Any]  # a command as the log stores it
SnapshotJson = Any  # the state of one state machine, as its `snapshot` method returned it
ResultJson = dict[str, Any]  # the result of a command, as snapshots store it and clients receive it
MAX_RESULTS_PER_CLIENT = 64  # a client never has more commands in flight
MAX_CLIENTS = 4_096  # results of the least recently active client are dropped first
MAX_QUOTED_NAME_CHARS = 32  # characters of an unknown state machine's name in an error


class Command(Protocol):
    """A typed command of one state machine."""

    def to_json(self) -> CommandJson:
        """Return the command as the log stores it, with its keys in the stored order."""


@dataclass(slots=True, frozen=True)
class StoredCommand:
    """A command in its stored form, for fault injection and benchmarks."""

    stored: CommandJson

    def to_json(self) -> CommandJson:
        """Return the command as the log stores it."""
        return self.stored


class InvalidCommandError(MarlstepError, ValueError):
    """A command that a state machine cannot apply.

    It is without effect, except that the machine may have updated state that it updates for every command.
    """

    def __repr__(self) -> str:
        """Return the text of a ValueError: it is part of replicated results and must not depend on the class name."""
        return f"ValueError({str(self)!r})"


class CommandNotAnObjectError(InvalidCommandError):
    """The body of a command entry is valid JSON, but not an object."""

    def __init__(self) -> None:
        """Initialize the error with its text, which must not change as it is part of replicated results."""
        super().__init__("a command is an object")


class StateMachine(Protocol):
    """A deterministic state machine: its state depends only on the commands and their order."""

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply a command and return its result.

        Raises:
            ValueError, KeyError, TypeError: The command is malformed and without effect (see `InvalidCommandError`).
        """

    def snapshot(self) -> object:
        """Return the whole state as a JSON value."""

    def restore(self, snapshot: SnapshotJson) -> None:
        """Replace the state by a value that `snapshot` returned on this or another replica."""


class StateMachines:
    """All state machines of one log, by name, and the cached results of the clients' commands."""

    def __init__(self, machines: Mapping[str, StateMachine]) -> None:
        """Initialize with the state machines by name, and no cached results."""
        self.machines = dict(machines)
        self._results_by_client: OrderedDict[str, dict[int, ResultJson]] = OrderedDict()

    def cached_result(self, client: str, number: int) -> ResultJson | None:
        """Return the result of a client's command if it was already applied and is still cached."""
        return self._results_by_client.get(client, {}).get(number)

    def apply(self, body: str) -> tuple[CommandJson, ResultJson]:
        """Apply the body of a committed entry; return the command and its result.

        The result of a malformed command has the key `error` and is the same on every replica.
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
            return {"error": f"no machine {name[:MAX_QUOTED_NAME_CHARS]!r} here"}
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
        """Replace the state of the machines that the snapshot names, and all cached results.

        Raises:
            ValueError: The data is not valid JSON.
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
