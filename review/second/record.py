"""The record of one play: what was sent, answered and run, with the time since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines of `record.txt`, written as they come."""

    def __init__(self, path: Path) -> None:
        """Open the file in place of an earlier one."""
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.time()

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.time() - self._started_s:9.3f} {text}\n")

    def close(self) -> None:
        """Write what is left to the disk."""
        self._file.close()
