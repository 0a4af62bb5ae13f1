"""An emulator of the kernel: its protocol on sockets, with a machine behind it.

The words of the protocol are written out here again, apart from the node's own table of them: an emulator that shared
that table could not show a fault in it.
"""

from __future__ import annotations

from marlstep.emulators.machine import Machine, Notice, NoticeType
from marlstep.emulators.machine_driver import LoopClock, MachineDriver
from marlstep.net.lines import LineProtocolError, LineStream, parse_length

RING_BYTES = 256 * 1024
MAX_LINE_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_RETAINED_NOTICES = 4_000  # that a new connection can ask for again, as the protocol says
WORDS_BEFORE_BODY = {
    "SCHED": 4,
    "IODONE": 3,
}  # how many words such a command has; the last is its body's length
MAX_SHOWN_CHARACTERS = 64  # of a wrong command, in the log


class UnknownCommandError(LineProtocolError):
    """A line is no command of the kernel's protocol."""

    def __init__(self, words: list[str]) -> None:
        """`words` are those of the line."""
        super().__init__(f"no command: {' '.join(words)[:MAX_SHOWN_CHARACTERS]!r}")
        self.words = words


class KernelEmulator:
    """The kernel's end of the protocol: one connection at a time, to which earlier notices are repeated."""

    def __init__(self, machine: Machine, clock: LoopClock) -> None:
        """`machine` is what commands act on."""
        self.machine = machine
        self._clock = clock
        self._driver = MachineDriver(machine, clock, self._send_notice)
        self._connection: KernelConnection | None = None
        self._last_number = 0
        self._notices: list[tuple[int, bytes]] = []  # the last ones, by number

    def handle_command(self, connection: KernelConnection, words: list[str], body: bytes) -> None:
        """Carry out a command. Raises UnknownCommandError."""
        machine = self.machine
        self._driver.advance()
        match words:
            case ["OPEN", last_number] if last_number.isdigit():
                self._open(connection, int(last_number))
            case ["SYSINFO", tag]:
                gauges = " ".join(f"{value:.4f}" for value in machine.read_gauges())
                connection.send(f"INFO {tag} {gauges}\r\n".encode())
            case ["SCHED", run_id, request_class, _]:
                self._confirm(connection, machine.start(run_id, request_class, body), "SCHED", run_id)
            case ["PREEMPT", run_id]:
                if (notice := machine.pause(run_id)) is not None:
                    self._send_notice(notice)
            case ["RESCHED", run_id]:
                self._confirm(connection, machine.resume(run_id), "RESCHED", run_id)
            case ["IODONE", run_id, _]:
                self._confirm(connection, machine.end_call(run_id, skipped=False), "IODONE", run_id)
            case ["NOIO", run_id, _]:
                self._confirm(connection, machine.end_call(run_id, skipped=True), "NOIO", run_id)
            case _:
                raise UnknownCommandError(words)
        self._driver.reschedule()

    def response_delivered(self, run_id: str) -> None:
        """Note that the client has its response, so that nobody waits for the run."""
        self._driver.advance()
        if (notice := self.machine.response_delivered(run_id)) is not None:
            self._send_notice(notice)
        self._driver.reschedule()

    def connection_closed(self, connection: KernelConnection) -> None:
        """Send nothing more on a connection; notices wait for the next."""
        if self._connection is connection:
            self._connection = None

    def _open(self, connection: KernelConnection, last_number: int) -> None:
        """Take a connection in place of the one before, and repeat the notices that the node has not read."""
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
    def _confirm(connection: KernelConnection, accepted: bool, command: str, run_id: str) -> None:
        if not accepted:
            connection.send(f"EINVAL {command} {run_id}\r\n".encode())


def encode_notice(number: int, notice: Notice) -> bytes:
    """Return the bytes of a numbered notice: its line, and its body with a line end."""
    if notice.type is NoticeType.CALL:
        line = f"IOREQ {number} {notice.run_id} {len(notice.body)}\r\n"
    else:
        elapsed_ms = notice.elapsed_us / 1000
        line = f"REAP {number} {notice.run_id} {notice.type} {elapsed_ms:.3f} {len(notice.body)}\r\n"
    return line.encode() + notice.body + b"\r\n"


class KernelConnection(LineStream):
    """A connection from a node to the emulated kernel."""

    def __init__(self, kernel: KernelEmulator) -> None:
        """Pass each command to `kernel`."""
        super().__init__(RING_BYTES, MAX_LINE_BYTES)
        self._kernel = kernel

    def body_length(self, words: list[str]) -> int | None:
        """Return the length of a command's body. Raises LineProtocolError."""
        word_count = WORDS_BEFORE_BODY.get(words[0])
        has_body = word_count is not None and len(words) == word_count
        return parse_length(words[-1], MAX_BODY_BYTES) if has_body else None

    def message(self, words: list[str], body: bytes) -> None:
        """Carry out a command. Raises UnknownCommandError."""
        self._kernel.handle_command(self, words, body)

    def closed(self) -> None:
        """Leave the kernel without a connection, unless another has taken this one's place."""
        self._kernel.connection_closed(self)
