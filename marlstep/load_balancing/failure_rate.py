"""The share of a server's attempts that failed lately."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import SECOND, ZERO


@dataclass(slots=True)
class FailureRate:
    """The share of attempts that failed, lately: both counts fade with the same half-life."""

    half_life: timedelta = 5 * SECOND
    attempts: float = 0.0
    failures: float = 0.0
    updated_at: datetime | None = None

    def add(self, now: datetime, failed: bool) -> None:
        retained = self.retained_share(now)
        self.attempts = self.attempts * retained + 1
        self.failures = self.failures * retained + failed
        self.updated_at = now

    def retained_share(self, now: datetime) -> float:
        if self.updated_at is None:
            return 0.0
        return float(0.5 ** (max(ZERO, now - self.updated_at) / self.half_life))

    @property
    def failure_share(self) -> float:
        return self.failures / self.attempts if self.attempts > 0 else 0.0

    def reset(self) -> None:
        self.attempts = self.failures = 0.0
