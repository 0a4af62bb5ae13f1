"""The simulator's wire on standard input and output, one controller for each instance.

It only translates. Input comes in batches: a line `mark` with the time, lines of events, a line `eob`. The
reply to each batch is the actions of all instances and a line `done`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import BinaryIO

import orjson

from marlstep.admission.controller import Controller
from marlstep.admission.events import Event
from marlstep.errors import MarlstepError
from marlstep.simulator.configuration import read_settings
from marlstep.simulator.messages import READERS, RawMessage, write_action, write_crash

DONE = b'{"m":"done"}'

NumberedMessage = tuple[int, RawMessage]  # the number of the input line, and its message


class WireError(MarlstepError):
    """The input is malformed; the text is one line that names the line of input."""

    def __init__(self, line: int | None, problem: str) -> None:
        """Name the line of the input, counted from 1, or None for its end, and say what is wrong."""
        super().__init__(problem if line is None else f"line {line}: {problem}")


class InvalidMessageError(MarlstepError):
    """A field of a message has a value of the wrong type."""

    def __init__(self, field: str, expected: str) -> None:
        """Name the field, and say what was expected."""
        super().__init__(f"{field} must be {expected}")


class UnknownNameError(MarlstepError):
    """A message names an event or an instance that does not exist."""

    def __init__(self, subject: str, number: int | None = None) -> None:
        """Name what is not known, with its number if it has one."""
        super().__init__(f"unknown {subject}" if number is None else f"unknown {subject} {number}")


class SimulatedServers:
    """The servers of one simulation, each with its controller, by their numbers."""

    def __init__(self) -> None:
        """Start without a server."""
        self.instances: dict[int, Controller] = {}

    def process_batch(self, clock: int, messages: list[NumberedMessage]) -> list[bytes]:
        """Return the lines of the reply to the events of one instant.

        Raises:
            WireError: a message is malformed.
        """
        events_by_server: dict[int, list[Event]] = {}
        for line, raw in messages:
            try:
                self._dispatch(raw, events_by_server)
            except KeyError as error:
                raise WireError(line, f"{raw.get('m')}: missing or unknown {error}") from error
            except (MarlstepError, ValueError, TypeError, AttributeError) as error:
                raise WireError(line, f"{raw.get('m')}: {error}") from error
        reply: list[bytes] = []
        for server, events in events_by_server.items():
            reply.extend(self._decide(clock, server, events))
        return reply

    def _dispatch(self, raw: RawMessage, events_by_server: dict[int, list[Event]]) -> None:
        event, server = raw["m"], raw["serverId"]
        if not isinstance(server, int):
            raise InvalidMessageError("serverId", "a whole number")
        if event == "create":
            self.instances[server] = Controller(read_settings(raw["conf"]), raw["rngSeed"])
            events_by_server[server] = []
        elif event not in READERS and event != "down":
            raise UnknownNameError("event")
        elif server not in self.instances:
            raise UnknownNameError("instance", server)
        elif event == "down":
            del self.instances[server]
            events_by_server.pop(server, None)
        else:
            events_by_server.setdefault(server, []).append(READERS[event](raw))

    def _decide(self, clock: int, server: int, events: list[Event]) -> list[bytes]:
        try:
            return [write_action(server, action) for action in self.instances[server].decide(clock, events)]
        except Exception as error:  # noqa: BLE001 - an exception in one instance must not end the others
            return [write_crash(server, error)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batch after batch until the end of input.

    Raises:
        WireError: at the first malformed line.
    """
    servers = SimulatedServers()
    clock: int | None = None
    messages: list[NumberedMessage] = []
    for line, raw in _read_lines(source):
        event = raw["m"]
        if event == "mark":
            clock, messages = _read_clock(line, raw), []
        elif clock is None:
            raise WireError(line, f"{event}: stands outside a batch")
        elif event == "eob":
            sink.write(b"\n".join([*servers.process_batch(clock, messages), DONE, b""]))
            sink.flush()
            clock = None
        else:
            messages.append((line, raw))
    if clock is not None:
        raise WireError(None, "end of input inside a batch")


def _read_lines(source: BinaryIO) -> Iterator[NumberedMessage]:
    for line, text in enumerate(source, 1):
        try:
            raw = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            raise WireError(line, f"not JSON: {error}") from error
        if not isinstance(raw, dict) or "m" not in raw:
            raise WireError(line, "not a message with a field 'm'")
        yield line, raw


def _read_clock(line: int, raw: RawMessage) -> int:
    clock = raw.get("clockUs")
    if not isinstance(clock, int):
        raise WireError(line, "mark: clockUs is missing or no whole number")
    return clock


def main() -> int:
    """Serve standard input and output, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"marlstep.simulator: {error}", file=sys.stderr)
        return 1
    return 0
