"""One process of the program, its door and its log."""

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
from typing import Any

from benchmarks.mixed.http_client import CallFailed, HttpAddress
from benchmarks.mixed.versions import CheckFailed, Version

READY_WITHIN_S = 15.0
ENDS_WITHIN_S = 8.0
POLL_S = 0.02
LOG_LINE = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3} (?P<level>[A-Z]+) (?P<text>.*)")
CALM_LEVELS = ("DEBUG", "INFO")
DIGITS = re.compile(r"\d+")


async def wait_until(what: str, holds: Callable[[], Awaitable[bool]], within_s: float) -> None:
    """Poll until it holds. Raises CheckFailed, naming what did not come, when the time is over."""
    deadline = time.monotonic() + within_s
    while not await holds():
        if time.monotonic() > deadline:
            raise CheckFailed(f"not within {within_s:g} s: {what}")
        await asyncio.sleep(POLL_S)


@dataclass(slots=True)
class LogFindings:
    """What a process logged beyond the ordinary."""

    errors: list[str] = field(
        default_factory=list
    )  # but for the expected ones; also what is no line of the log: a traceback
    warnings: Counter[str] = field(
        default_factory=Counter
    )  # with figures replaced, so that like is counted together


def read_log(path: Path, expected: re.Pattern[str] | None = None) -> LogFindings:
    """`expected`: errors that may be logged, and are counted with the warnings."""
    findings = LogFindings()
    for line in path.read_text(errors="replace").splitlines():
        match = LOG_LINE.fullmatch(line)
        if match is None:
            findings.errors.append(line)
        elif match["level"] == "WARNING" or (expected is not None and expected.search(match["text"])):
            findings.warnings[DIGITS.sub("N", match["text"])[:120]] += 1
        elif match["level"] not in CALM_LEVELS:
            findings.errors.append(line)
    return findings


@dataclass(slots=True, frozen=True)
class Launch:
    """What a process is started with."""

    config: Path  # the platform's JSON
    listening: socket.socket  # the passed socket, which the platform holds for all versions
    meeting_folder: Path  # where processes of one node find each other
    door: HttpAddress
    log: Path
    operator: Path | None = None  # the operator's file


class ServerProcess:
    def __init__(self, version: Version, launch: Launch) -> None:
        self.version, self.launch = version, launch
        self.ended_on_purpose = False
        self.killed_at: float | None = None  # on the monotonic clock
        self._process: asyncio.subprocess.Process | None = None

    def _arguments(self) -> Sequence[str]:
        return () if self.launch.operator is None else ("--operator", str(self.launch.operator))

    async def start(self) -> None:
        launch = self.launch
        descriptor = launch.listening.fileno()
        names = {
            "PROXY_CONFIG": str(launch.config),
            "PROXY_PASSED_SOCKET": str(descriptor),
            "TMPDIR": str(launch.meeting_folder),
        }
        with launch.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.version.command(*self._arguments()),
                cwd=self.version.checkout,
                env=self.version.environment(names),
                pass_fds=[descriptor],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def ended_by_itself(self) -> bool:
        return self._process is not None and not self.running and not self.ended_on_purpose

    async def state(self) -> str:
        """What it is on, by its own account; empty where it does not answer."""
        try:
            answer: dict[str, Any] = await self.launch.door.call("/admin/health")
        except CallFailed:
            return ""
        return str(answer["state"])

    async def is_ready(self) -> bool:
        """Its door says yes. Raises CheckFailed where it has ended."""
        if not self.running:
            raise CheckFailed(f"a process of the {self.version.label} version ended before it was ready")
        return bool(await self.state())

    async def wait_ready(self) -> None:
        await wait_until(f"the {self.version.label} version is ready", self.is_ready, READY_WITHIN_S)

    async def wait_state(self, wanted: str, within_s: float = 3.0) -> None:
        async def reached() -> bool:
            return await self.state() == wanted

        await wait_until(f"state {wanted!r} of the {self.version.label} version", reached, within_s)

    def send_signal(self, number: signal.Signals) -> None:
        self.ended_on_purpose = True
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait_end(self, within_s: float = ENDS_WITHIN_S) -> int:
        """Its exit code. Raises CheckFailed where it does not end in time."""
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), within_s)
        except TimeoutError:
            raise CheckFailed(f"the {self.version.label} version did not end in {within_s:g} s") from None

    async def terminate(self, within_s: float = ENDS_WITHIN_S) -> int:
        self.send_signal(signal.SIGTERM)
        return await self.wait_end(within_s)

    async def kill(self) -> None:
        self.killed_at = time.monotonic()
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
