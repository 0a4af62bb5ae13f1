"""Settings of the nodes of a replay, and of what they stand on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marlstep.errors import MarlstepError


class ReplayError(MarlstepError):
    """A replay on sockets could not be run: a process did not start, or ended too early."""


@dataclass(slots=True, frozen=True)
class Settings:
    """How the nodes of a replay are run.

    Attributes:
        config: the node's configuration, as the platform writes it; the addresses are replaced.
        front: the frontend that requests come to, `resp` or `uwsgi`.
        speed: of an emulated core; 1 for the schedule's own.
        call_us: how long a call to the dependency takes, in microseconds.
        senders: connections are kept for so many callers.
        nodes: how many nodes there are.
        late_us: a run whose senders were later than this, at the 99th percentile, does not count; in microseconds.
        once: the request class that must never run twice.
    """

    config: Mapping[str, Any]
    front: str = "resp"
    speed: float = 1.0
    call_us: int = 30_000
    senders: int = 4
    nodes: int = 1
    late_us: int = 50_000
    once: str = "setpoint-cmd"

    @property
    def cores(self) -> int:
        """The cores of one node."""
        cores: int = self.config["settings"]["familyInfo"]["cpus"]
        return cores
