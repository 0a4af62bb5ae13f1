"""Events: what has happened to a server, as its admission controller is told.

Times are microseconds on one clock that only advances, sizes are kilobytes. An `id` is that of a request.
"""

from __future__ import annotations

import enum
import typing
from collections.abc import Mapping
from dataclasses import dataclass, field

from marlstep.admission.settings import ClassSettings, Settings

MAX_PLAUSIBLE_ESTIMATE = 1e12  # microseconds or requests; more than that was not measured


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
        """Whether this ending proves that nothing took effect."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


@dataclass(slots=True)
class Arrival:
    """A request has been read; it is queued until it runs or is answered."""

    id: str
    request_class: str  # the name of its request class
    memory_kb: float  # memory that it takes while it is queued
    caller: int
    unread_us: int  # how long it lay unread in the server's buffers
    gives_up_us: int | None = None  # clock time at which the caller stops waiting
    tenant: str | None = None
    key: int | None = None
    is_retry: bool = False  # marked as a retry
    rank: float = 0.0
    cost_hint_us: int | None = None
    prior: str | None = None  # the request with the same idempotency key that this one repeats
    is_write: bool = False
    pool: str = ""  # of the servers that would do the work; "": the cores of this one


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits; no answer is owed."""

    id: str


@dataclass(slots=True)
class CallNeeded:
    """A run stands off the cores until it is told to call, to go on without, or failed."""

    id: str


@dataclass(slots=True)
class CallEnded:
    """A downstream call has ended."""

    id: str
    outcome: Outcome
    elapsed_us: int


@dataclass(slots=True)
class RunEnded:
    """A run has ended, or has been preempted (cancelled)."""

    id: str
    outcome: Outcome
    elapsed_us: int


@dataclass(slots=True)
class Drain:
    """This server shuts down gracefully; its process is stopped at the given time."""

    stops_at: int
    has_successor: bool = False  # another process takes its place: what still arrives is run as ever
    noticed_at: int = 0  # when the notice came, where that was before this event; else 0


@dataclass(slots=True)
class TimerDue:
    """A timer that the controller asked for is due."""

    tag: int
    gauges: Mapping[str, float] = field(default_factory=dict)  # cpu, runq, memory, conns; where measured


@dataclass(slots=True)
class QuotaChanged:
    """From now on a tenant may send so many requests a second, over all servers of the tier."""

    tenant: str
    per_s: float


@dataclass(slots=True)
class SettingsChanged:
    """From now on these settings hold. Requests in flight keep the class that they came with."""

    settings: Settings
    retired: tuple[ClassSettings, ...] = ()  # no longer among the classes, but may still arrive


@dataclass(slots=True)
class PoolCapacityChanged:
    """From now on the servers of a pool run so many requests at once."""

    pool: str
    capacity: int


@dataclass(slots=True)
class PortionChanged:
    """Another process serves beside this one on the same cores: this one's part of memory and concurrency."""

    portion: float


@dataclass(slots=True)
class Measurements:
    """What the controller of another process of this server has measured; 0: nothing.

    It passes between two processes, perhaps of different versions, as JSON under the names of `STORED_NAMES`.
    """

    limit: float = 0.0
    least_run_us: float = 0.0
    usual_call_us: float = 0.0
    mean_call_us: float = 0.0
    mean_run_us: Mapping[str, float] = field(default_factory=dict)

    @classmethod
    def from_mapping(cls, raw: Mapping[str, object]) -> Measurements:
        """Read what another version may have written; a value that makes no sense counts as unknown."""
        means = raw.get(MEANS_STORED_NAME)
        rows = means.items() if isinstance(means, Mapping) else ()
        return cls(
            **{name: _plausible(raw.get(stored)) for name, stored in STORED_NAMES.items()},
            mean_run_us={str(name): _plausible(value) for name, value in rows},
        )

    def to_json(self) -> dict[str, object]:
        """Give the stored form, keys in their fixed order."""
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
    good = (
        isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < MAX_PLAUSIBLE_ESTIMATE
    )
    return float(typing.cast(float, value)) if good else 0.0


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
