"""Errors of the fault-injection package: broken invariants, plans that can't be read, clusters that don't start."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class InvariantViolationError(MarlstepError):
    """A property that must hold does not. The text says which one, when, and for which node."""


class EventStormError(InvariantViolationError):
    """Simulated nodes cause ever more events instead of coming to rest."""

    def __init__(self, event_count: int, true_us: int) -> None:
        """`event_count` is how many events there were by the simulated time `true_us`, in microseconds."""
        super().__init__(f"a storm: {event_count} events by {true_us} us")
        self.event_count, self.true_us = event_count, true_us


class InvalidPlanError(MarlstepError, ValueError):
    """A plan of faults can't be read. The text says what was expected."""


class ProcessClusterError(MarlstepError):
    """A cluster of processes could not be started. It says nothing about the program under test."""
