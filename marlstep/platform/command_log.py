"""Tracks commands that the kernel may not have read, so that they are resent after a reconnect. No I/O.

A command is resent on a new connection unless the kernel is known to have read it. A command is confirmed as read by

- a notice about its request,
- the kernel's rejection of the command, or
- gauge readings that were requested after the command on the same connection.

Both a lost and a repeated command do harm. A run whose command is lost never starts or never continues. If a command is
repeated, its run may end or reach its next call after the last notice read on the new connection but before the kernel
reads the repeated command: the run would then start a second time, or receive the reply to its previous call.
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
    """Return the outcome of a run whose command the kernel rejected, or None if the run is not affected.

    If a start was rejected, the run did not start. If a command that continues a run was rejected, the run can never
    continue, so it has failed. A rejected pause leaves the run unaffected: it has ended already or keeps running, and
    its own notice reports the outcome.
    """
    return RUN_OUTCOME_BY_REJECTED_VERB.get(verb)


@dataclass(slots=True, eq=False)  # by identity: a run may be paused and resumed by equal commands many times
class Command:
    """A command in the encoded form that is sent to the kernel."""

    request_id: str
    data: bytes

    @property
    def verb(self) -> str:
        """The verb of the command on the wire."""
        return self.data.split(b" ", 1)[0].decode()


class CommandLog:
    """The commands that the kernel is not known to have read, and those written on the current connection."""

    def __init__(self) -> None:
        """Initialize an empty log."""
        self._unconfirmed: dict[str, list[Command]] = {}  # by request, in the order of `add`
        self._written: deque[Command] = deque()  # on this connection, not confirmed by gauges, oldest first
        self._probe_tag: str | None = None  # of the pending gauge request that will confirm commands
        self._written_before_probe = 0

    def add(self, command: Command) -> None:
        """Record a command that will be written."""
        self._unconfirmed.setdefault(command.request_id, []).append(command)

    def mark_written(self, command: Command) -> None:
        """Record that a command has been written on the current connection."""
        self._written.append(command)

    def connection_opened(self) -> None:
        """Forget what was written on the previous connection: gauges on the new one cannot confirm it."""
        self._written.clear()
        self._probe_tag = None

    def commands_to_resend(self) -> list[Command]:
        """Return the unconfirmed commands.

        They are to be resent on a new connection after the notices repeated on it have been applied. They are
        grouped by request, in the order of the first unconfirmed command of each request.
        """
        return [command for commands in self._unconfirmed.values() for command in commands]

    def unconfirmed_requests(self) -> set[str]:
        """Return the ids of the requests with commands that the kernel may not have read."""
        return set(self._unconfirmed)

    def confirm_request(self, request_id: str) -> None:
        """Confirm all commands of a request: a notice about it shows that the kernel has read them."""
        self._unconfirmed.pop(request_id, None)

    def gauges_requested(self, tag: str) -> None:
        """Record a request for gauges, whose readings will confirm the commands written before it.

        While such a request is pending, later ones are ignored. Otherwise each would postpone the confirmation, and a
        kernel that responds more slowly than gauges are requested would never confirm anything.
        """
        if self._probe_tag is None:
            self._probe_tag = tag
            self._written_before_probe = len(self._written)

    def gauges_received(self, tag: str) -> None:
        """Confirm the commands that were written before the gauges with this tag were requested."""
        if tag != self._probe_tag:
            return
        for _ in range(self._written_before_probe):
            self._confirm(self._written.popleft())
        self._probe_tag = None

    def confirm_rejected(self, verb: str, request_id: str) -> bool:
        """Confirm a command that the kernel rejected, and so has read.

        Returns:
            Whether the request had an unconfirmed command with this verb.
        """
        commands = self._unconfirmed.get(request_id, [])
        rejected = next((command for command in commands if command.verb == verb), None)
        if rejected is None:
            return False
        self._confirm(rejected)
        return True

    def _confirm(self, command: Command) -> None:
        """Forget a command that the kernel has read, unless a notice has already confirmed it."""
        commands = self._unconfirmed.get(command.request_id, [])
        if command in commands:
            commands.remove(command)
            if not commands:
                del self._unconfirmed[command.request_id]
