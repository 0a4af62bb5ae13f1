"""One process of the program: its start, its exit, its health endpoint and its log."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.mixed.errors import CallFailedError, ExitCodeError, StillRunningError, WaitTimeoutError
from benchmarks.mixed.http_client import HttpAddress
from benchmarks.mixed.versions import Version

READY_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.02
MAX_WARNING_CHARACTERS = 300  # kept of each warning; the reason may be at the end of the line
LOG_LINE = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} (?P<level>[A-Z]+) (?P<text>.*)")
ORDINARY_LEVELS = ("DEBUG", "INFO")
DIGITS = re.compile(r"\d+")


async def wait_until(condition: str, holds: Callable[[], Awaitable[bool]], timeout_s: float) -> None:
    """Poll until a condition holds.

    Args:
        condition: The condition, as a statement for the error message.
        holds: Returns whether the condition holds.
        timeout_s: How long to poll, in seconds.

    Raises:
        WaitTimeoutError: The condition did not become true in time.
    """
    deadline = time.monotonic() + timeout_s
    while not await holds():
        if time.monotonic() > deadline:
            raise WaitTimeoutError(condition, timeout_s)
        await asyncio.sleep(POLL_INTERVAL_S)


@dataclass(slots=True)
class LogFindings:
    """The errors and warnings in the log of a process.

    Attributes:
        errors: The lines of errors that were not expected, and lines that are not in the log's format, such as those
            of a traceback.
        warnings: How often each warning was logged. Digits are replaced, so that warnings that differ only in
            numbers are counted together.
    """

    errors: list[str] = field(default_factory=list)
    warnings: Counter[str] = field(default_factory=Counter)


def read_log(path: Path, expected: re.Pattern[str] | None = None) -> LogFindings:
    """Read a log. Errors that match `expected` are counted with the warnings."""
    findings = LogFindings()
    for line in path.read_text(errors="replace").splitlines():
        match = LOG_LINE.fullmatch(line)
        if match is None:
            findings.errors.append(line)
        elif match["level"] == "WARNING" or (expected is not None and expected.search(match["text"])):
            findings.warnings[DIGITS.sub("N", match["text"])[:MAX_WARNING_CHARACTERS]] += 1
        elif match["level"] not in ORDINARY_LEVELS:
            findings.errors.append(line)
    return findings


@dataclass(slots=True, frozen=True)
class Launch:
    """What a process is started with.

    Attributes:
        config: The file of the platform's configuration, JSON.
        listening: The passed socket, which the platform keeps open for all processes of the node.
        temporary_folder: The folder of the sockets by which processes of one node find each other.
        health_endpoint: Where the process listens for health checks.
        log: The file to which its standard error is appended.
        operator_file: The operator's file, if there is one.
    """

    config: Path
    listening: socket.socket
    temporary_folder: Path
    health_endpoint: HttpAddress
    log: Path
    operator_file: Path | None = None


class ServerProcess:
    """A process of one version, which is started once."""

    def __init__(self, version: Version, launch: Launch) -> None:
        """Prepare the process without starting it."""
        self.version, self.launch = version, launch
        self.ended_on_purpose = False
        self.killed_at: float | None = None  # monotonic time in seconds
        self._process: asyncio.subprocess.Process | None = None

    def _arguments(self) -> Sequence[str]:
        return () if self.launch.operator_file is None else ("--operator", str(self.launch.operator_file))

    async def start(self) -> None:
        """Start the process and append its standard error to its log.

        Raises:
            OSError: The process could not be created.
        """
        launch = self.launch
        descriptor = launch.listening.fileno()
        variables = {
            "PROXY_CONFIG": str(launch.config),
            "PROXY_PASSED_SOCKET": str(descriptor),
            "TMPDIR": str(launch.temporary_folder),
        }
        with launch.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.version.command(*self._arguments()),
                cwd=self.version.checkout,
                env=self.version.environment(variables),
                pass_fds=[descriptor],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )

    @property
    def _name(self) -> str:
        return f"a process of the {self.version.label} version"

    @property
    def exit_code(self) -> int | None:
        """The exit code; None if the process was not started or still runs."""
        return None if self._process is None else self._process.returncode

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self.exit_code is None

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process exited although `send_signal` was not called."""
        return self._process is not None and not self.running and not self.ended_on_purpose

    async def state(self) -> str:
        """Return the serving state that the health endpoint reports; empty if it does not answer."""
        try:
            health = await self.launch.health_endpoint.call("/admin/health")
        except CallFailedError:
            return ""
        return str(health["state"])

    async def is_ready(self) -> bool:
        """Whether the health endpoint answers.

        Raises:
            ExitCodeError: The process has exited.
        """
        if not self.running:
            raise ExitCodeError(self._name, self.exit_code, "before it was ready")
        return bool(await self.state())

    async def wait_ready(self) -> None:
        """Wait until the process is ready: its health endpoint answers.

        Raises:
            ExitCodeError: The process has exited.
            WaitTimeoutError: The process was not ready in time.
        """
        await wait_until(f"{self._name} is ready", self.is_ready, READY_TIMEOUT_S)

    async def wait_state(self, wanted: str, timeout_s: float = 3.0) -> None:
        """Wait until the health endpoint reports a serving state.

        Raises:
            WaitTimeoutError: The process did not reach the state in time.
        """

        async def reached() -> bool:
            return await self.state() == wanted

        await wait_until(f"{self._name} is {wanted!r}", reached, timeout_s)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal that makes the process exit."""
        self.ended_on_purpose = True
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def wait_end(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait until the process exits and return its exit code.

        Raises:
            StillRunningError: The process did not exit in time.
        """
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            raise StillRunningError(self._name, timeout_s) from None

    async def terminate(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Send SIGTERM, wait until the process exits and return its exit code.

        Raises:
            StillRunningError: The process did not exit in time.
        """
        self.send_signal(signal.SIGTERM)
        return await self.wait_end(timeout_s)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process exits."""
        self.killed_at = time.monotonic()
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
