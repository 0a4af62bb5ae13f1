"""What is known of one server of a pool."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit
from marlstep.load_balancing.latency_estimators import PeakEwma
from marlstep.load_balancing.outlier_detection import ServerHealth, ServerState


@dataclass(slots=True, eq=False)
class Server:
    """What is known of one server."""

    name: str  # host:port, as configured
    health: ServerHealth
    latency: PeakEwma
    limit: AdaptiveConcurrencyLimit
    handle: int = 0
    in_flight: int = 0
    boot_id: str | None = None  # the identity that it tells of its present life
    leaving: bool = False  # no new work; gone once nothing is in flight
    probe_in_flight: bool = False

    @property
    def is_usable(self) -> bool:
        return not self.leaving and self.health.state in (
            ServerState.NEW,
            ServerState.HEALTHY,
            ServerState.SUSPECT,
        )
