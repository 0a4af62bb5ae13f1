"""The time that downstream calls may still spend in the dependency, as a token bucket."""

from __future__ import annotations


class CallReserve:
    """Microseconds of calls in flight; what a call reserved and did not use is given back.

    Attributes:
        rate: microseconds by which the reserve fills for each microsecond that passes; 0 if calls are not
            bounded.
        capacity_us: at which it is full.
        available_us: what it has left; it may be overdrawn.
    """

    def __init__(self) -> None:
        """Start empty, without a rate."""
        self.rate = 0.0
        self.capacity_us = 0.0
        self.available_us = 0.0

    def configure(self, rate: float, capacity_us: float) -> None:
        """Change rate and capacity; what calls in flight have reserved stays reserved."""
        self.rate = rate
        self.available_us = self.available_us + capacity_us - self.capacity_us
        self.capacity_us = capacity_us

    def refill(self, elapsed_us: int) -> None:
        """Fill the reserve for the time that has passed, up to its capacity."""
        self.available_us = min(self.capacity_us, self.available_us + self.rate * elapsed_us)

    def take(self, reserved_us: int) -> None:
        """Reserve the time that a call may last."""
        self.available_us -= reserved_us

    def give_back(self, reserved_us: int, used_us: int) -> None:
        """Return what a call that has ended did not use."""
        self.available_us += max(0, reserved_us - used_us)
