"""Processes that keep CPU cores busy, so that a drill runs beside other work."""

from __future__ import annotations

import subprocess
import sys
from types import TracebackType

# Ends by itself when its parent has ended, so that no busy process outlives a drill that was killed.
BUSY_PROGRAM = """
import os
parent = os.getppid()
while os.getppid() == parent:
    sum(number * number for number in range(100_000))
"""


class BusyProcesses:
    """Context manager that runs a number of busy processes, each of which takes as much of a core as it gets."""

    def __init__(self, count: int) -> None:
        """Initialize the manager; `count` is the number of processes."""
        self.count = count
        self._processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> BusyProcesses:
        """Start the processes."""
        self._processes = [
            subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM], stdin=subprocess.DEVNULL)
            for _ in range(self.count)
        ]
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the processes."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
