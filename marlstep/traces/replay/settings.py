"""Settings of the nodes and the emulators of a replay."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marlstep.errors import MarlstepError


class ReplayError(MarlstepError):
    """A replay on sockets could not be run: a process did not start, or exited before the first request."""


@dataclass(slots=True, frozen=True)
class Settings:
    """How the nodes of a replay are run.

    Attributes:
        config: Configuration of a node as the platform writes it; its addresses are replaced.
        front: Frontend that receives the requests, `resp` or `uwsgi`.
        speed: Speed of an emulated core; 1 runs the work in the time that the schedule states.
        call_us: Duration of a call to the dependency, in microseconds.
        senders: Number of callers; each has its own RESP connections to each node.
        nodes: Number of nodes.
        late_us: Maximum 99th percentile of the sending delay of a valid run, in microseconds.
        once: Request class that must never run twice.
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
        """Number of cores of one node."""
        cores: int = self.config["settings"]["familyInfo"]["cpus"]
        return cores
