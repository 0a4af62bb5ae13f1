"""Adapter between the simulator's wire protocol on standard input and output and one controller per instance.

The adapter only translates messages; every decision is made by the controllers. Each line is one JSON message.
Input arrives in batches: a `mark` line with the simulated time, lines with events, and an `eob` line. The reply
to each batch is the actions of all instances followed by a `done` line.
"""

from __future__ import annotations

import sys
import typing
from collections.abc import Iterator
from typing import BinaryIO

import orjson

from marlstep.admission.controller import Controller
from marlstep.admission.events import Event
from marlstep.errors import MarlstepError
from marlstep.simulator.configuration import read_settings
from marlstep.simulator.errors import FieldTypeError, UnknownInstanceError, WireError
from marlstep.simulator.messages import (
    RawMessage,
    check_event_name,
    read_event,
    required_field,
    write_action,
    write_crash,
)

DONE = b'{"m":"done"}'
MARK, END_OF_BATCH = "mark", "eob"  # first and last message of a batch

NumberedMessage = tuple[int, RawMessage]  # number of the input line, counted from 1, and its message


class SimulatedServers:
    """The server instances of one simulation and their controllers.

    Attributes:
        instances: the controller of each instance by its `serverId`.
    """

    def __init__(self) -> None:
        """Initialize the simulation with no instances."""
        self.instances: dict[int, Controller] = {}

    def process_batch(self, clock: int, messages: list[NumberedMessage]) -> list[bytes]:
        """Process one batch of messages and return the lines of the reply without `done`.

        Args:
            clock: simulated time of the batch in microseconds.
            messages: the messages between `mark` and `eob`, in input order.

        Raises:
            WireError: a message is malformed, or is for an instance that does not exist.
        """
        events_by_server: dict[int, list[Event]] = {}
        for line, raw in messages:
            try:
                self._dispatch(raw, events_by_server)
            except (MarlstepError, ValueError, TypeError, AttributeError) as error:
                raise WireError(line, f"{raw['m']}: {error}") from error
        reply: list[bytes] = []
        for server, events in events_by_server.items():
            reply.extend(self._decide(clock, server, events))
        return reply

    def _dispatch(self, raw: RawMessage, events_by_server: dict[int, list[Event]]) -> None:
        """Create or remove an instance, or append an event to the list of its instance."""
        server = required_field(raw, "serverId")
        if not isinstance(server, int):
            raise FieldTypeError("serverId", "a whole number")
        match raw["m"]:
            case "create":
                settings = read_settings(required_field(raw, "conf"))
                seed = typing.cast(int, required_field(raw, "rngSeed"))
                self.instances[server] = Controller(settings, seed)
                events_by_server[server] = []
            case "down":
                self._require_instance(server)
                del self.instances[server]
                events_by_server.pop(server, None)
            case event_name:
                check_event_name(event_name)
                self._require_instance(server)
                events_by_server.setdefault(server, []).append(read_event(raw))

    def _require_instance(self, server: int) -> None:
        if server not in self.instances:
            raise UnknownInstanceError(server)

    def _decide(self, clock: int, server: int, events: list[Event]) -> list[bytes]:
        try:
            return [write_action(server, action) for action in self.instances[server].decide(clock, events)]
        except Exception as error:  # noqa: BLE001 - an exception in one instance must not end the others
            return [write_crash(server, error)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches from `source` and write the reply to each to `sink`, until the end of input.

    Raises:
        WireError: a line is malformed or outside a batch, or the input ends inside a batch.
    """
    servers = SimulatedServers()
    clock: int | None = None
    messages: list[NumberedMessage] = []
    for line, raw in _read_lines(source):
        name = raw["m"]
        if name == MARK:
            clock, messages = _read_clock(line, raw), []
        elif clock is None:
            raise WireError(line, f"{name}: message outside a batch, expected {MARK!r}")
        elif name == END_OF_BATCH:
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
        if not isinstance(raw, dict) or not isinstance(raw.get("m"), str):
            raise WireError(line, "not a message: expected an object with a text in the field 'm'")
        if not raw["m"].isprintable():
            raise WireError(line, f"not a message: {raw['m']!r}")
        yield line, raw


def _read_clock(line: int, raw: RawMessage) -> int:
    clock = raw.get("clockUs")
    if isinstance(clock, bool) or not isinstance(clock, int):
        raise WireError(line, f"mark: clockUs must be a whole number, got {clock!r}")
    return clock


def main() -> int:
    """Serve standard input and output; return 0 at the end of input and 1 after malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"marlstep.simulator: {error}", file=sys.stderr)
        return 1
    return 0
