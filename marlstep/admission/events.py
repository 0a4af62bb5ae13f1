"""Events that a server reports to its admission controller.

Times are microseconds on a monotonic clock, sizes are kilobytes. An `id` is a request ID.
"""

from __future__ import annotations

import enum
import typing
from collections.abc import Mapping
from dataclasses import dataclass, field

from marlstep.admission.settings import ClassSettings, Settings

MAX_PLAUSIBLE_ESTIMATE = 1e12  # microseconds or requests; larger values cannot be real measurements


class Outcome(enum.StrEnum):
    """How a run or a downstream call ended. The values are part of stored data and must not change."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"  # the other side rejected it without processing it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection was lost after the request was sent
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # the request ended before the run or call began

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the run or call had no effect."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


@dataclass(slots=True)
class Arrival:
    """A request has been read; it is queued until it runs or gets its final response.

    Attributes:
        id: The request ID.
        request_class: Name of its class.
        memory_kb: Memory that it takes while queued.
        caller: Number of the caller that sent it.
        unread_us: How long it waited in the server's buffers before it was read.
        caller_deadline_at: Time at which the caller stops waiting; None if unknown.
        tenant: Name of its tenant; None if it has none.
        key: Number of the item that the request is about; not used by this controller.
        is_retry: Whether it is marked as a retry; not used.
        rank: Rank of the user within the class, 0 to 1; not used.
        cost_hint_us: Expected time on a core; None if unknown; not used.
        prior: ID of the request with the same idempotency key that this one repeats; None if it repeats none.
        is_write: Whether it changes data; not used.
        pool: Pool of the servers that would do the work; empty for the cores of this server.
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
    """The client has disconnected; no response is owed."""

    id: str


@dataclass(slots=True)
class CallNeeded:
    """A run needs a downstream call; it is off the cores until a `Call`, `SkipCall` or `Fail` action."""

    id: str


@dataclass(slots=True)
class CallEnded:
    """A downstream call has ended."""

    id: str
    outcome: Outcome
    elapsed_us: int


@dataclass(slots=True)
class RunEnded:
    """A run has ended, or has stopped after a preemption (cancelled). The controller times runs itself."""

    id: str
    outcome: Outcome
    elapsed_us: int


@dataclass(slots=True)
class Drain:
    """This server shuts down gracefully.

    Attributes:
        stops_at: When its process is stopped.
        has_successor: Whether another process replaces it, so that late arrivals still run.
        noticed_at: When the shutdown notice arrived, if that was before this event; else 0.
    """

    stops_at: int
    has_successor: bool = False
    noticed_at: int = 0


@dataclass(slots=True)
class TimerDue:
    """A timer that the controller set is due.

    Attributes:
        tag: Tag of the timer.
        gauges: Values of `cpu`, `runq`, `memory`, `conns`, if measured; only `cpu` and `conns` are used.
    """

    tag: int
    gauges: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class QuotaChanged:
    """A tenant has a new quota, in requests per second over all servers of the tier."""

    tenant: str
    per_s: float


@dataclass(slots=True)
class SettingsChanged:
    """New settings are in force. Requests in flight keep the class settings of their arrival.

    Attributes:
        settings: Settings in force from now on.
        retired: Classes that are no longer in the settings but whose requests may still arrive.
    """

    settings: Settings
    retired: tuple[ClassSettings, ...] = ()


@dataclass(slots=True)
class PoolCapacityChanged:
    """The number of concurrent requests that the servers of a pool can run has changed."""

    pool: str
    capacity: int


@dataclass(slots=True)
class PortionChanged:
    """This process's portion of the server's memory and concurrency has changed, 0 to 1.

    This happens when another process starts or stops serving on the same server.
    """

    portion: float


@dataclass(slots=True)
class BackendStarted:
    """The backend has reported when it started and in which state, on a new connection.

    Attributes:
        age_us: How long ago it started.
        is_cold: Whether it started with a part of its capacity.
    """

    age_us: int
    is_cold: bool


@dataclass(slots=True)
class Measurements:
    """Measurements by the controller of another process of this server; 0 means not measured.

    Processes, perhaps of different versions, exchange them as JSON with the keys of `STORED_NAMES`.
    """

    limit: float = 0.0
    least_run_us: float = 0.0
    usual_call_us: float = 0.0
    mean_call_us: float = 0.0
    mean_run_us: Mapping[str, float] = field(default_factory=dict)

    @classmethod
    def from_mapping(cls, raw: Mapping[str, object]) -> Measurements:
        """Create from JSON, perhaps of another version; implausible values count as not measured."""
        means = raw.get(MEANS_STORED_NAME)
        rows = means.items() if isinstance(means, Mapping) else ()
        return cls(
            **{name: _plausible(raw.get(stored)) for name, stored in STORED_NAMES.items()},
            mean_run_us={str(name): _plausible(value) for name, value in rows},
        )

    def to_json(self) -> dict[str, object]:
        """Return the JSON form, with the keys in a fixed order."""
        plain: dict[str, object] = {stored: getattr(self, name) for name, stored in STORED_NAMES.items()}
        return {**plain, MEANS_STORED_NAME: dict(self.mean_run_us)}


# JSON keys of `Measurements` by field name. They are fixed, so they differ from renamed fields.
STORED_NAMES = {
    "limit": "limit",
    "least_run_us": "base_us",
    "usual_call_us": "call_usual_us",
    "mean_call_us": "call_mean_us",
}
MEANS_STORED_NAME = "means_us"


def _plausible(value: object) -> float:
    """Return a value as a float, or 0 if it is not a plausible measurement."""
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
    | BackendStarted
    | Measurements
)
