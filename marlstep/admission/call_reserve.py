"""The time that downstream calls may still spend in the dependency's hands: a token bucket, no decisions."""

from __future__ import annotations


class CallReserve:
    """Microseconds of calls in flight; what a call took and did not use is given back."""

    def __init__(self) -> None:
        """Start empty, without a rate."""
        self.rate = 0.0  # by which it fills, for each microsecond that passes; 0: calls are not bounded
        self.capacity_us = 0.0
        self.available_us = 0.0

    def configure(self, rate: float, capacity_us: float) -> None:
        """Change rate and capacity; what is taken stays taken."""
        self.rate = rate
        self.available_us = self.available_us + capacity_us - self.capacity_us
        self.capacity_us = capacity_us

    def refill(self, elapsed_us: int) -> None:
        """Let time pass."""
        self.available_us = min(self.capacity_us, self.available_us + self.rate * elapsed_us)

    def take(self, reserved_us: int) -> None:
        """Take out the time that a call may last."""
        self.available_us -= reserved_us

    def give_back(self, reserved_us: int, used_us: int) -> None:
        """Return what a call that has ended did not use."""
        self.available_us += max(0, reserved_us - used_us)
