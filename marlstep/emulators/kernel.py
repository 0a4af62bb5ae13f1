"""Emulator of the kernel: serves the kernel's protocol on sockets and runs requests on an emulated machine.

The words of the protocol are written out here instead of imported from the node's code: an emulator that shared the
node's table could not reveal a mistake in it.
"""

from __future__ import annotations

from marlstep.emulators.machine import Machine, Notice, NoticeType
from marlstep.emulators.machine_driver import LoopClock, MachineDriver
from marlstep.net.lines import LineProtocolError, LineStream, parse_length

RING_BYTES = 256 * 1024
MAX_LINE_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_RETAINED_NOTICES = 4_000  # kept for repetition on a new connection, as the protocol specifies
# Number of words of each command that is followed by a body; the last word is the length of the body.
WORDS_BEFORE_BODY = {"SCHED": 4, "IODONE": 3}
MAX_SHOWN_CHARACTERS = 64  # of an unknown command in an error message


class UnknownCommandError(LineProtocolError):
    """A line is not a command of the kernel's protocol."""

    def __init__(self, words: list[str]) -> None:
        """Initialize the error with the words of the line."""
        super().__init__(f"unknown kernel command: {' '.join(words)[:MAX_SHOWN_CHARACTERS]!r}")
        self.words = words


class KernelEmulator:
    """The kernel's side of the protocol.

    Only the latest connection is used. It first receives the earlier notices that the node has not read yet.

    Attributes:
        machine: runs the requests.
    """

    def __init__(self, machine: Machine, clock: LoopClock) -> None:
        """Initialize the kernel with no connection and no notices; commands act on `machine`."""
        self.machine = machine
        self._clock = clock
        self._driver = MachineDriver(machine, clock, self._send_notice)
        self._connection: KernelConnection | None = None
        self._last_number = 0
        self._notices: list[tuple[int, bytes]] = []  # the most recent ones with their numbers, ascending

    def handle_command(self, connection: KernelConnection, words: list[str], body: bytes) -> None:
        """Execute a command.

        Raises:
            UnknownCommandError: the words are not a command of the protocol.
        """
        machine = self.machine
        self._driver.advance()
        match words:
            case ["OPEN", last_number] if last_number.isdigit():
                self._replace_connection(connection, int(last_number))
            case ["SYSINFO", tag]:
                gauges = " ".join(f"{value:.4f}" for value in machine.read_gauges())
                connection.send(f"INFO {tag} {gauges}\r\n".encode())
            case ["SCHED", run_id, request_class, _]:
                self._send_error_unless_accepted(
                    connection, machine.start(run_id, request_class, body), "SCHED", run_id
                )
            case ["PREEMPT", run_id]:
                if (notice := machine.pause(run_id)) is not None:
                    self._send_notice(notice)
            case ["RESCHED", run_id]:
                self._send_error_unless_accepted(connection, machine.resume(run_id), "RESCHED", run_id)
            case ["IODONE", run_id, _]:
                self._send_error_unless_accepted(
                    connection, machine.end_call(run_id, skipped=False), "IODONE", run_id
                )
            case ["NOIO", run_id, _]:
                self._send_error_unless_accepted(
                    connection, machine.end_call(run_id, skipped=True), "NOIO", run_id
                )
            case _:
                raise UnknownCommandError(words)
        self._driver.reschedule()

    def response_delivered(self, run_id: str) -> None:
        """End the run as soon as the machine can, because its client has the response already."""
        self._driver.advance()
        if (notice := self.machine.response_delivered(run_id)) is not None:
            self._send_notice(notice)
        self._driver.reschedule()

    def connection_closed(self, connection: KernelConnection) -> None:
        """Stop sending on this connection; notices are retained for the next one."""
        if self._connection is connection:
            self._connection = None

    def _replace_connection(self, connection: KernelConnection, last_number: int) -> None:
        """Replace the current connection, and repeat the retained notices with numbers above `last_number`."""
        previous, self._connection = self._connection, connection
        if previous is not None and previous is not connection:
            previous.abort()
        connection.send(f"BOOTED hot {self._clock.now_us() // 1000}\r\n".encode())
        for number, data in self._notices:
            if number > last_number:
                connection.send(data)

    def _send_notice(self, notice: Notice) -> None:
        self._last_number += 1
        data = encode_notice(self._last_number, notice)
        self._notices.append((self._last_number, data))
        del self._notices[:-MAX_RETAINED_NOTICES]
        if self._connection is not None:
            self._connection.send(data)

    @staticmethod
    def _send_error_unless_accepted(
        connection: KernelConnection, accepted: bool, command: str, run_id: str
    ) -> None:
        if not accepted:
            connection.send(f"EINVAL {command} {run_id}\r\n".encode())


def encode_notice(number: int, notice: Notice) -> bytes:
    """Return the bytes of a numbered notice: its line, its body and a line end."""
    if notice.type is NoticeType.CALL:
        line = f"IOREQ {number} {notice.run_id} {len(notice.body)}\r\n"
    else:
        elapsed_ms = notice.elapsed_us / 1000
        line = f"REAP {number} {notice.run_id} {notice.type} {elapsed_ms:.3f} {len(notice.body)}\r\n"
    return line.encode() + notice.body + b"\r\n"


class KernelConnection(LineStream):
    """A connection from a node to the emulated kernel."""

    def __init__(self, kernel: KernelEmulator) -> None:
        """Initialize a connection whose commands are executed by `kernel`."""
        super().__init__(RING_BYTES, MAX_LINE_BYTES)
        self._kernel = kernel

    def body_length(self, words: list[str]) -> int | None:
        """Return the length of a command's body in bytes; None if the command has none.

        Raises:
            LineProtocolError: the length is not a number, or is over the limit.
        """
        word_count = WORDS_BEFORE_BODY.get(words[0])
        has_body = word_count is not None and len(words) == word_count
        return parse_length(words[-1], MAX_BODY_BYTES) if has_body else None

    def message(self, words: list[str], body: bytes) -> None:
        """Execute a command.

        Raises:
            UnknownCommandError: the words are not a command of the protocol.
        """
        self._kernel.handle_command(self, words, body)

    def closed(self) -> None:
        """Remove this connection from the kernel if it is the current one."""
        self._kernel.connection_closed(self)
