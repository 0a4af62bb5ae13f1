"""The share of a server's recent attempts that failed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import SECOND, ZERO


@dataclass(slots=True)
class FailureRate:
    """Counts of attempts and failures that decay exponentially, so that their ratio reflects recent attempts."""

    half_life: timedelta = 5 * SECOND  # of both counts
    attempts: float = 0.0
    failures: float = 0.0
    updated_at: datetime | None = None

    def add(self, now: datetime, failed: bool) -> None:
        """Count one attempt, and as a failure if `failed`."""
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
        """The share of the counted attempts that failed, from 0 to 1; 0 if there were none."""
        return self.failures / self.attempts if self.attempts > 0 else 0.0

    def reset(self) -> None:
        """Reset both counts to zero."""
        self.attempts = self.failures = 0.0
