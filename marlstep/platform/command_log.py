"""Which commands the kernel may not have read, and so what is sent again after its connection broke. Pure.

The rule: a command is sent again on a new connection unless the kernel is known to have read it. Three things prove
that: a notice that speaks of its request, the kernel's rejection of the command, or gauges that were asked for after it
on the same connection.

The reason for the rule: a command that was lost leaves a run that never starts or never goes on. One that is sent
twice is as bad: between the last notice of the new connection and the repeated command the run may end, or come to its
next call, and would be started a second time or get the reply to the call before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from marlstep.admission.events import Outcome
from marlstep.platform.kernel_wire import RESUME_RUN, SKIP_CALL, START_RUN, SUPPLY_REPLY

RUN_OUTCOME_BY_REJECTED_VERB = {
    START_RUN: Outcome.NOT_STARTED,
    RESUME_RUN: Outcome.ERROR,
    SUPPLY_REPLY: Outcome.ERROR,
    SKIP_CALL: Outcome.ERROR,
}


def run_outcome_of_rejected_command(verb: str) -> Outcome | None:
    """Return how a run ends whose command the kernel rejected; None where it is not affected.

    A run that was to start has not. One that was to go on never will, so it has failed. A rejected pause means that
    the run is over already or never stopped, and its own notice tells which.
    """
    return RUN_OUTCOME_BY_REJECTED_VERB.get(verb)


@dataclass(slots=True, eq=False)  # equal commands are two: a run may be paused and resumed many times
class Command:
    """A command as it is written to the kernel."""

    request_id: str
    data: bytes

    @property
    def verb(self) -> str:
        """Its verb on the wire."""
        return self.data.split(b" ", 1)[0].decode()


class CommandLog:
    """The commands that the kernel is not known to have read, with what was written on the present connection."""

    def __init__(self) -> None:
        """Start without commands."""
        self._unconfirmed: dict[str, list[Command]] = {}  # by request, in order
        self._written: deque[Command] = deque()  # on this connection, in order, and not known to be read
        self._probe_tag: str | None = None  # of gauges that were asked for to learn what has been read
        self._written_before_probe = 0

    def add(self, command: Command) -> None:
        """Note a command that is to be written."""
        self._unconfirmed.setdefault(command.request_id, []).append(command)

    def mark_written(self, command: Command) -> None:
        """Note that a command has been written on the present connection."""
        self._written.append(command)

    def connection_opened(self) -> None:
        """Forget what was written on the connection before: nothing on the new one can prove that it was read."""
        self._written.clear()
        self._probe_tag = None

    def commands_to_resend(self) -> list[Command]:
        """Return what is to be sent on a new connection, once the notices that it repeats have been applied.

        These are the commands that no notice and no gauges confirmed, by request in the order of their first one.
        """
        return [command for commands in self._unconfirmed.values() for command in commands]

    def unconfirmed_requests(self) -> set[str]:
        """Return the requests with commands that may not have been read."""
        return set(self._unconfirmed)

    def confirm_request(self, request_id: str) -> None:
        """Note that a notice speaks of a request: the kernel has read all that was sent for it."""
        self._unconfirmed.pop(request_id, None)

    def gauges_requested(self, tag: str) -> None:
        """Note a request for gauges. While one is open, later ones prove nothing: a slow kernel then still confirms."""
        if self._probe_tag is None:
            self._probe_tag = tag
            self._written_before_probe = len(self._written)

    def gauges_received(self, tag: str) -> None:
        """Note gauges: the kernel has read all that was written before it was asked for them."""
        if tag != self._probe_tag:
            return
        for _ in range(self._written_before_probe):
            self._confirm(self._written.popleft())
        self._probe_tag = None

    def confirm_rejected(self, verb: str, request_id: str) -> bool:
        """Note that the kernel rejected a command, which it has thus read; False where none of that kind is open."""
        commands = self._unconfirmed.get(request_id, [])
        rejected = next((command for command in commands if command.verb == verb), None)
        if rejected is None:
            return False
        self._confirm(rejected)
        return True

    def _confirm(self, command: Command) -> None:
        """Forget one command that was read; a notice may have confirmed it before."""
        commands = self._unconfirmed.get(command.request_id, [])
        if command in commands:
            commands.remove(command)
            if not commands:
                del self._unconfirmed[command.request_id]
