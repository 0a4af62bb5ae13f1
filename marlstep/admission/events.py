"""Events: what has happened to a server, as reported to its admission controller.

Times are microseconds on one clock that only advances, sizes are kilobytes. An `id` is that of a request.
"""

from __future__ import annotations

import enum
import typing
from collections.abc import Mapping
from dataclasses import dataclass, field

from marlstep.admission.settings import ClassSettings, Settings

MAX_PLAUSIBLE_ESTIMATE = 1e12  # microseconds or requests; a greater value can't have been measured


class Outcome(enum.StrEnum):
    """How a run or a downstream call ended. The values are stored words and stay as they are."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # the other side rejected it unexamined
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection was lost after the request was sent
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # the request had ended before the run or call began

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that nothing took effect."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


@dataclass(slots=True)
class Arrival:
    """A request has been read; it is queued until it runs or gets its final response.

    Attributes:
        id: of the request.
        request_class: the name of its class.
        memory_kb: that it takes while it is queued.
        caller: number of the caller that sent it.
        unread_us: for which it lay unread in the server's buffers.
        caller_deadline_at: clock time at which the caller stops waiting; None if it is not known.
        tenant: name of its tenant; None for requests without one.
        key: number of what the request is about; not used by this controller.
        is_retry: whether it is marked as a retry; not used.
        rank: of the user within its class, 0 to 1; not used.
        cost_hint_us: expected time on a core; None if it is not known; not used.
        prior: id of the request with the same idempotency key that this one repeats.
        is_write: whether it changes data; not used.
        pool: of the servers that would do the work; empty for the cores of this server.
    """

    id: str
    request_class: str
    memory_kb: float
    caller: int
    unread_us: int
    caller_deadline_at: int | None = None
    tenant: str | None = None
    key: int | None = None
    is_retry: bool = False
    rank: float = 0.0
    cost_hint_us: int | None = None
    prior: str | None = None
    is_write: bool = False
    pool: str = ""


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits; no response is owed."""

    id: str


@dataclass(slots=True)
class CallNeeded:
    """A run has reached a downstream call; it is off the cores until a `Call`, a `SkipCall` or a `Fail`."""

    id: str


@dataclass(slots=True)
class CallEnded:
    """A downstream call has ended."""

    id: str
    outcome: Outcome
    elapsed_us: int


@dataclass(slots=True)
class RunEnded:
    """A run has ended, or has been preempted (cancelled). The controller keeps its own time of runs."""

    id: str
    outcome: Outcome
    elapsed_us: int


@dataclass(slots=True)
class Drain:
    """This server shuts down gracefully.

    Attributes:
        stops_at: when its process is stopped.
        has_successor: whether another process takes its place, so that late arrivals are run as ever.
        noticed_at: when the notice came, if that was before this event; else 0.
    """

    stops_at: int
    has_successor: bool = False
    noticed_at: int = 0


@dataclass(slots=True)
class TimerDue:
    """A timer that the controller has set is due.

    Attributes:
        tag: of the timer.
        gauges: `cpu`, `runq`, `memory`, `conns`, where measured; only `cpu` and `conns` are used.
    """

    tag: int
    gauges: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class QuotaChanged:
    """A tenant has a new quota, in requests a second over all servers of the tier."""

    tenant: str
    per_s: float


@dataclass(slots=True)
class SettingsChanged:
    """New settings are in force. Requests in flight keep the class that they came with.

    Attributes:
        settings: from now on.
        retired: classes that are no longer in the settings but may still arrive.
    """

    settings: Settings
    retired: tuple[ClassSettings, ...] = ()


@dataclass(slots=True)
class PoolCapacityChanged:
    """The servers of a pool run a new number of requests at once."""

    pool: str
    capacity: int


@dataclass(slots=True)
class PortionChanged:
    """Another process serves on the same server; this one has a new share of memory and concurrency."""

    portion: float


@dataclass(slots=True)
class Measurements:
    """What the controller of another process of this server has measured; 0 stands for nothing measured.

    It passes between two processes, perhaps of different versions, as JSON under the names of `STORED_NAMES`.
    """

    limit: float = 0.0
    least_run_us: float = 0.0
    usual_call_us: float = 0.0
    mean_call_us: float = 0.0
    mean_run_us: Mapping[str, float] = field(default_factory=dict)

    @classmethod
    def from_mapping(cls, raw: Mapping[str, object]) -> Measurements:
        """Read what another version may have written; an implausible value counts as not measured."""
        means = raw.get(MEANS_STORED_NAME)
        rows = means.items() if isinstance(means, Mapping) else ()
        return cls(
            **{name: _plausible(raw.get(stored)) for name, stored in STORED_NAMES.items()},
            mean_run_us={str(name): _plausible(value) for name, value in rows},
        )

    def to_json(self) -> dict[str, object]:
        """Return the stored form, keys in their fixed order."""
        plain: dict[str, object] = {stored: getattr(self, name) for name, stored in STORED_NAMES.items()}
        return {**plain, MEANS_STORED_NAME: dict(self.mean_run_us)}


# The keys of `Measurements` between two processes, by field; they don't follow the fields' names.
STORED_NAMES = {
    "limit": "limit",
    "least_run_us": "base_us",
    "usual_call_us": "call_usual_us",
    "mean_call_us": "call_mean_us",
}
MEANS_STORED_NAME = "means_us"


def _plausible(value: object) -> float:
    """Return a measured value as a float, or 0 if it can't have been measured."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number:
        return 0.0
    number = typing.cast(float, value)
    is_in_range = 0 <= number < MAX_PLAUSIBLE_ESTIMATE
    return float(number) if is_in_range else 0.0


Event = (
    Arrival
    | ClientDisconnected
    | CallNeeded
    | CallEnded
    | RunEnded
    | Drain
    | TimerDue
    | QuotaChanged
    | SettingsChanged
    | PoolCapacityChanged
    | PortionChanged
    | Measurements
)
