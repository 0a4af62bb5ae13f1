"""Actions: what the admission controller asks its server to do, in the order given.

Durations are microseconds. An `id` is that of a request.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Run:
    """Start a queued request or resume a paused one."""

    id: str


@dataclass(slots=True)
class Preempt:
    """Preempt a run; the server reports when it has stopped."""

    id: str


@dataclass(slots=True)
class Reject:
    """Give the final response: rejected, with the promise that the request never ran.

    Attributes:
        id: of the request.
        retry_after_us: for which the caller should stay away; 0 for no advice.
        no_failover: whether the caller should not try another server either.
    """

    id: str
    retry_after_us: int
    no_failover: bool


@dataclass(slots=True)
class Fail:
    """Give the final response: an error that promises nothing about effects."""

    id: str


@dataclass(slots=True)
class KeepKey:
    """Keep the idempotency key of a request for the given time."""

    id: str
    lifetime_us: int


@dataclass(slots=True)
class ForgetKey:
    """Drop the idempotency key of a request that never ran."""

    id: str


@dataclass(slots=True)
class Attach:
    """Respond to a queued repeat with the result of the request that it repeats."""

    id: str


@dataclass(slots=True)
class Call:
    """Make the downstream call of a request, and abandon it at the given time on the controller's clock."""

    id: str
    until_us: int


@dataclass(slots=True)
class SkipCall:
    """Go on without the downstream call."""

    id: str


@dataclass(slots=True)
class Advertise:
    """Advertise a value to callers; how they read it depends on the settings' `load_signal`."""

    value: float


@dataclass(slots=True)
class Health:
    """Set what health checks report.

    Attributes:
        stored: whether checks are served from this alone, without real work; only the simulator reads it.
        good: whether the server is healthy.
    """

    stored: bool
    good: bool


@dataclass(slots=True)
class IdleLimit:
    """Close connections that have been idle for the given time."""

    after_us: int


@dataclass(slots=True)
class SetTimer:
    """Report a `TimerDue` with this tag after the given time."""

    after_us: int
    tag: int


@dataclass(slots=True)
class Log:
    """Write a message to the server's log."""

    text: str


FinalResponse = Reject | Fail
Signal = Advertise | Health | IdleLimit | SetTimer | Log
Action = Run | Preempt | FinalResponse | KeepKey | ForgetKey | Attach | Call | SkipCall | Signal
