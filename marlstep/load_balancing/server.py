"""One server of a pool: its latency, concurrency limit and health, and what it can take now."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit
from marlstep.load_balancing.latency_estimators import PeakEwma
from marlstep.load_balancing.outlier_detection import ServerHealth, ServerHealthState
from marlstep.units import MILLISECOND, ZERO

MIN_EXPECTED_LATENCY = 1 * MILLISECOND  # also of a server without responses yet, which is thus tried soon
SUSPECT_LATENCY_FACTOR = 3.0  # multiple of its latency at which a suspect server is rated
IN_SERVICE = frozenset({ServerHealthState.NEW, ServerHealthState.HEALTHY, ServerHealthState.SUSPECT})


@dataclass(slots=True, eq=False)
class Server:
    """What is known of one server, and the attempts that it has in flight."""

    name: str  # host:port, as configured
    health: ServerHealth
    latency: PeakEwma
    limit: AdaptiveConcurrencyLimit
    handle: int = 0
    in_flight: int = 0  # attempts
    boot_id: str | None = None  # of its current incarnation, where its responses name one
    # Removed from the pool: dropped once no attempt is in flight, and gets no new ones, except in a pool without
    # limits (`ServerPool.choose`).
    leaving: bool = False
    probe_in_flight: bool = False

    @property
    def in_service(self) -> bool:
        """Whether it takes regular attempts: it is a member of the pool, and not ejected or probed."""
        return not self.leaving and self.health.state in IN_SERVICE

    def available_capacity(self, now: datetime) -> int:
        """Return how many more attempts it may be given now; zero or less where none.

        Rule: its concurrency limit, scaled down in slow start, rounded down and at least 1, less what is in flight.
        """
        if not self.in_service:
            return 0
        return max(1, math.floor(self.limit.value * self.health.weight(now))) - self.in_flight

    def expected_completion_time(self, now: datetime) -> timedelta:
        """Return roughly how long an attempt that is sent now would take: the measure by which servers are compared.

        Rule: the peak latency times the attempts that the server would then have in flight, over its slow-start
        weight. A suspect server is rated several times slower: it has just failed, and should get few requests.
        """
        latency = max(MIN_EXPECTED_LATENCY, self.latency.value or ZERO)
        penalty = SUSPECT_LATENCY_FACTOR if self.health.state is ServerHealthState.SUSPECT else 1.0
        return latency * (self.in_flight + 1) * penalty / self.health.weight(now)
