"""Errors of the fault-injection package: violated invariants, invalid plans, clusters that fail to start."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from marlstep.errors import MarlstepError


class InvariantViolationError(MarlstepError):
    """An invariant was violated. The text names the invariant, the time and the node."""


class EventStormError(InvariantViolationError):
    """Simulated nodes keep producing events and never become idle."""

    def __init__(self, event_count: int, true_us: int) -> None:
        """`event_count` events were processed up to the simulated time `true_us`, in microseconds."""
        super().__init__(f"a storm: {event_count} events by {true_us} us")
        self.event_count, self.true_us = event_count, true_us


class InvalidPlanError(MarlstepError, ValueError):
    """A fault plan is invalid."""


class MalformedPlanError(InvalidPlanError):
    """The JSON does not have the structure of a fault plan."""

    def __init__(self, cause: Exception) -> None:
        """`cause` names the missing field or the value of the wrong type."""
        super().__init__(f"no plan: {cause!r}")


class UnknownFaultError(InvalidPlanError):
    """A fault has a type or a node that does not exist."""

    def __init__(self, fault: Mapping[str, object]) -> None:
        """`fault` is the fault as the plan has it."""
        super().__init__(f"unknown fault type or node: {fault}")


class UnknownStepError(InvalidPlanError):
    """A fault is to be injected at a step that does not exist."""

    def __init__(self, step: str, known: Sequence[str]) -> None:
        """`known` are the names of the existing steps."""
        super().__init__(f"unknown step {step!r}, expected one of: {', '.join(known)}")
        self.step = step


class InconsistentPlanError(InvalidPlanError):
    """The nodes, clock rates and voters of a plan contradict each other."""

    def __init__(self) -> None:
        """Initialize the error; its text states the requirement."""
        super().__init__("expected one clock rate per node, and voters that are all among the nodes")


class ProcessClusterError(MarlstepError):
    """A cluster of processes could not be started, so nothing was learned about the program under test."""
