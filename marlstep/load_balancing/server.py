"""One server of a pool: its latency, concurrency limit, health and available capacity."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit
from marlstep.load_balancing.latency_estimators import PeakEwma
from marlstep.load_balancing.outlier_detection import ServerHealth, ServerHealthState
from marlstep.units import MILLISECOND, ZERO

MIN_EXPECTED_LATENCY = 1 * MILLISECOND  # also used before a server's first response, so that it is tried soon
SUSPECT_LATENCY_FACTOR = 3.0  # multiplies the expected latency of a suspect server
IN_SERVICE = frozenset({ServerHealthState.NEW, ServerHealthState.HEALTHY, ServerHealthState.SUSPECT})


@dataclass(slots=True, eq=False)
class Server:
    """The state of one server, and the number of its attempts in flight."""

    name: str  # host:port, as configured
    health: ServerHealth
    latency: PeakEwma
    limit: AdaptiveConcurrencyLimit
    handle: int = 0
    in_flight: int = 0  # attempts
    boot_id: str | None = None  # of its current incarnation; None if its responses contain none
    # Removed from the pool: it gets no new attempts, and is dropped once no attempt is in flight.
    leaving: bool = False
    probe_in_flight: bool = False

    @property
    def in_service(self) -> bool:
        """Whether the server gets regular attempts: it is a member of the pool, and neither ejected nor probed."""
        return not self.leaving and self.health.state in IN_SERVICE

    def available_capacity(self, now: datetime) -> int:
        """Return how many more attempts may be sent to the server now; zero or less if none.

        The capacity is the concurrency limit, scaled down in slow start, rounded down and at least 1, minus the
        attempts in flight.
        """
        if not self.in_service:
            return 0
        return max(1, math.floor(self.limit.value * self.health.weight(now))) - self.in_flight

    def expected_completion_time(self, now: datetime) -> timedelta:
        """Return an estimate of how long an attempt that is sent now would take; servers are compared by it.

        It is the latency estimate times the number of attempts that would then be in flight, divided by the slow-start
        weight. A suspect server is rated several times slower, because it has just failed and should get few requests.
        """
        latency = max(MIN_EXPECTED_LATENCY, self.latency.value or ZERO)
        penalty = SUSPECT_LATENCY_FACTOR if self.health.state is ServerHealthState.SUSPECT else 1.0
        return latency * (self.in_flight + 1) * penalty / self.health.weight(now)
