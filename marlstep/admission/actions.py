"""Actions that the admission controller asks its server to carry out, in the order returned.

Durations are in microseconds. An `id` is a request ID.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Run:
    """Start a queued request or resume a paused one."""

    id: str


@dataclass(slots=True)
class Preempt:
    """Preempt a run; the server reports `RunEnded` once the run has stopped."""

    id: str


@dataclass(slots=True)
class Reject:
    """Send a final response that rejects the request and guarantees that it never ran.

    Attributes:
        id: The request ID.
        retry_after_us: How long the caller should wait before it retries; 0 for no advice.
        no_failover: Whether the caller should not retry on another server either.
    """

    id: str
    retry_after_us: int
    no_failover: bool


@dataclass(slots=True)
class Fail:
    """Send an error as the final response, without a guarantee that the request had no effect."""

    id: str


@dataclass(slots=True)
class KeepKey:
    """Keep the idempotency key of a request for `lifetime_us`."""

    id: str
    lifetime_us: int


@dataclass(slots=True)
class ForgetKey:
    """Drop the idempotency key of a request that never ran."""

    id: str


@dataclass(slots=True)
class Attach:
    """Respond to a repeated request with the result of the request that it repeats."""

    id: str


@dataclass(slots=True)
class Call:
    """Make the downstream call of a request, and abandon it at `until_us` on the controller's clock."""

    id: str
    until_us: int


@dataclass(slots=True)
class SkipCall:
    """Continue the run without the downstream call."""

    id: str


@dataclass(slots=True)
class Advertise:
    """Advertise a value to callers, which interpret it by the setting `load_signal`."""

    value: float


@dataclass(slots=True)
class Health:
    """Set what health checks report.

    Attributes:
        stored: Whether health checks return this state without doing real work. Only the simulator reads it.
        good: Whether the server is healthy.
    """

    stored: bool
    good: bool


@dataclass(slots=True)
class IdleLimit:
    """Close connections that have been idle for `after_us`."""

    after_us: int


@dataclass(slots=True)
class SetTimer:
    """Report a `TimerDue` with this tag after `after_us`."""

    after_us: int
    tag: int


@dataclass(slots=True)
class Log:
    """Write a message to the server's log."""

    text: str


FinalResponse = Reject | Fail
Signal = Advertise | Health | IdleLimit | SetTimer | Log
Action = Run | Preempt | FinalResponse | KeepKey | ForgetKey | Attach | Call | SkipCall | Signal
