"""The share of a server's attempts that failed lately."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import SECOND, ZERO


@dataclass(slots=True)
class FailureRate:
    """Attempts and failures, both decaying with the same half-life, so that their ratio follows the recent past."""

    half_life: timedelta = 5 * SECOND
    attempts: float = 0.0
    failures: float = 0.0
    updated_at: datetime | None = None

    def add(self, now: datetime, failed: bool) -> None:
        """Count one attempt."""
        retained = self._retained_share(now)
        self.attempts = self.attempts * retained + 1
        self.failures = self.failures * retained + failed
        self.updated_at = now

    def _retained_share(self, now: datetime) -> float:
        if self.updated_at is None:
            return 0.0
        return float(0.5 ** (max(ZERO, now - self.updated_at) / self.half_life))

    @property
    def failure_share(self) -> float:
        """The failed share of the counted attempts, from 0 to 1; 0 where there were none."""
        return self.failures / self.attempts if self.attempts > 0 else 0.0

    def reset(self) -> None:
        """Forget all attempts."""
        self.attempts = self.failures = 0.0
