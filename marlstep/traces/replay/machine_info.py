"""Describes the machine on which a replay runs, for the replay's report."""

from __future__ import annotations

import os
import platform
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MachineInfo:
    """What a report states about the machine.

    Attributes:
        cores: Number of logical CPUs; None if the system does not report it.
        python: Version of the Python interpreter.
    """

    cores: int | None
    python: str

    def to_json(self) -> dict[str, int | str | None]:
        """Return the JSON object that a report contains."""
        return {"cores": self.cores, "python": self.python}


def describe_this_machine() -> MachineInfo:
    """Return the description of the machine that runs this process."""
    return MachineInfo(os.cpu_count(), platform.python_version())
