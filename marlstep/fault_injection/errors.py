"""Errors of the fault-injection package: broken invariants, plans that can't be read, clusters that don't start."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

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
    """A plan of faults can't be used as it was written."""


class MalformedPlanError(InvalidPlanError):
    """The JSON has not the form of a plan."""

    def __init__(self, cause: Exception) -> None:
        """`cause` says what is missing or of the wrong type."""
        super().__init__(f"no plan: {cause!r}")


class UnknownFaultError(InvalidPlanError):
    """A fault has a type or a node that does not exist."""

    def __init__(self, fault: Mapping[str, object]) -> None:
        """`fault` is the fault as it was written."""
        super().__init__(f"no fault that this rig knows: {fault}")


class UnknownStepError(InvalidPlanError):
    """A fault comes at a step that does not exist."""

    def __init__(self, step: str, known: Sequence[str]) -> None:
        """`known` are the steps that exist."""
        super().__init__(f"no hook {step!r}: {', '.join(known)}")
        self.step = step


class InconsistentPlanError(InvalidPlanError):
    """The nodes, their clocks and the voters of a plan don't fit together."""

    def __init__(self) -> None:
        """The text says what is required."""
        super().__init__("a plan has a rate for each node, and its voters are among the nodes")


class ProcessClusterError(MarlstepError):
    """A cluster of processes could not be started. It says nothing about the program under test."""
