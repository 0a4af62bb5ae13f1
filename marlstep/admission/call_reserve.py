"""A token bucket for the time that downstream calls may spend in the dependency."""

from __future__ import annotations


class CallReserve:
    """A token bucket in microseconds of call time; time that a call reserved but did not use is returned.

    Attributes:
        rate: Microseconds added to the reserve per elapsed microsecond; 0 if calls are not bounded.
        capacity_us: Maximum of the reserve, in microseconds.
        available_us: Time available, in microseconds; negative if the reserve is overdrawn.
    """

    def __init__(self) -> None:
        """Initialize an empty reserve with rate and capacity 0."""
        self.rate = 0.0
        self.capacity_us = 0.0
        self.available_us = 0.0

    def configure(self, rate: float, capacity_us: float) -> None:
        """Set rate and capacity (microseconds); time reserved by calls in flight stays reserved."""
        self.rate = rate
        self.available_us = self.available_us + capacity_us - self.capacity_us
        self.capacity_us = capacity_us

    def set_portion(self, rate: float, capacity_us: float) -> None:
        """Set rate and capacity (microseconds) after this process's portion of the server has changed.

        What a smaller portion loses leaves the reserve at once. What a larger one gains is only refilled, as
        the process that had it may have used it. The reserves of all processes stay within the server's.
        """
        self.rate = rate
        self.available_us += min(0.0, capacity_us - self.capacity_us)
        self.capacity_us = capacity_us

    def refill(self, elapsed_us: int) -> None:
        """Refill the reserve for the elapsed time in microseconds, up to its capacity."""
        self.available_us = min(self.capacity_us, self.available_us + self.rate * elapsed_us)

    def take(self, reserved_us: int) -> None:
        """Reserve time for a call, in microseconds."""
        self.available_us -= reserved_us

    def return_unused(self, reserved_us: int, used_us: int) -> None:
        """Return the time that an ended call reserved and did not use, in microseconds."""
        self.available_us += max(0, reserved_us - used_us)
