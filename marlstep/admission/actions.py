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
    """Final answer: rejected, never ran."""

    id: str
    retry_after_us: int
    no_failover: bool  # the caller should not try another server either


@dataclass(slots=True)
class Fail:
    """Final answer: an error that promises nothing about effects."""

    id: str


@dataclass(slots=True)
class KeepKey:
    """Keep the idempotency key of a request for so long."""

    id: str
    lifetime_us: int


@dataclass(slots=True)
class ForgetKey:
    """Drop the idempotency key of a request that never ran."""

    id: str


@dataclass(slots=True)
class Attach:
    """Answer a queued repeat with the result of the request that it repeats."""

    id: str


@dataclass(slots=True)
class Call:
    """Make the downstream call of a request, and give it up at the given time."""

    id: str
    until_us: int


@dataclass(slots=True)
class SkipCall:
    """Go on without the downstream call."""

    id: str


@dataclass(slots=True)
class Advertise:
    """Advertise a value to callers; the settings tell how they read it."""

    value: float


@dataclass(slots=True)
class Health:
    """Report the server's health."""

    stored: bool
    good: bool


@dataclass(slots=True)
class IdleLimit:
    """Close connections that have been idle for so long."""

    after_us: int


@dataclass(slots=True)
class SetTimer:
    """Report a `TimerDue` with this tag after so long."""

    after_us: int
    tag: int


@dataclass(slots=True)
class Log:
    """Write a line to the server's log."""

    text: str


Answer = Reject | Fail
Signal = Advertise | Health | IdleLimit | SetTimer | Log
Action = Run | Preempt | Answer | KeepKey | ForgetKey | Attach | Call | SkipCall | Signal
