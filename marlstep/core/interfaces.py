"""What the core deals in, and the ports through which it meets the world."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.admission.events import Outcome
from marlstep.admission.settings import ClassSettings
from marlstep.timer_queue import Timer

ResponseHandle = tuple[int, int]  # a front's own way to find where an answer goes


@dataclass(slots=True, frozen=True)
class InboundRequest:
    """A request as a front has read it."""

    id: str
    request_class: str
    body: bytes
    arrived_at: datetime
    memory_kb: float
    caller: int = 0
    is_retry: bool = False
    cost_hint: timedelta | None = None
    rank: float = 0.0
    tenant: str | None = None
    entity: int | None = None  # the subject of the request
    pool: str = ""  # of servers that do the work, where the cores here do not
    idempotency_key: str | None = None  # names the work of which this is one try, where the wire tells
    digest: str = ""  # of what all tries of that work have in common, where the wire promises any of that


class ClaimResult(enum.Enum):
    """What a claim of named work came to, where another process of this node had to be asked."""

    GRANTED = "granted"  # no process of this node has held it
    KNOWN = "known"  # it has been; what is known of it was told before
    UNSURE = "unsure"  # nobody can say


ClaimCallback = Callable[[ClaimResult], None]


class SiblingProcesses(Protocol):
    """The other processes of this node, while one version takes over from another."""

    def claim(self, kind: str, once: str, id: str, now: datetime, told: ClaimCallback) -> bool:
        """Ask whether this try may be held. False where nobody has to be asked."""


class ResponseStatus(enum.Enum):
    DONE = "done"
    REJECTED = "refused"  # never ran
    FAILED = "failed"
    EXPIRED = "expired"  # failed, as its time ran out


@dataclass(slots=True, frozen=True)
class Response:
    """The final answer to a request."""

    status: ResponseStatus
    body: bytes = b""
    retry_after: timedelta = timedelta(0)  # on a refusal: how long to stay away
    no_failover: bool = False  # on a refusal: the wish that no other node be tried


class Stage(enum.Enum):
    CLAIMING = "claiming"  # another process of this node may know the work
    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"
    AWAITING_CALL = "awaiting call"  # its call is not made yet
    CALLING = "calling"
    ATTACHED = "attached"  # waits for the result of another try
    FINISHED = "finished"


class Frontend(Protocol):
    """Where requests come from and answers go."""

    def deliver(self, ticket: ResponseHandle, answer: Response) -> None: ...

    def limit_idle_time(self, after: timedelta) -> None:
        """Close connections that carry nothing for longer."""

    def stop_accepting(self) -> None:
        """Take nothing new; what was read is still answered."""


class Backend(Protocol):
    """What does the work."""

    def start(self, request: Request) -> None: ...

    def pause(self, request: Request) -> None:
        """Stop the run; where that takes effect, it ends as cancelled."""

    def resume(self, request: Request) -> None: ...

    def supply(self, request: Request, reply: bytes) -> None:
        """The reply to the call that the run waits for."""

    def skip(self, request: Request) -> None:
        """Go on without the call."""

    def abandon(self, request: Request) -> None:
        """The request was answered while its run goes on."""


class CallClient(Protocol):
    """What calls go to."""

    def call(self, request: Request, until: datetime) -> None: ...

    def abandon_call(self, request: Request) -> None: ...


class GaugeSource(Protocol):
    """Readings of the cores, memory and connections."""

    def request_gauges(self) -> None:
        """The answer comes to `Core.gauges`."""


@dataclass(slots=True)
class Request:
    inbound: InboundRequest
    class_settings: ClassSettings
    frontend: Frontend
    response_handle: ResponseHandle
    backend: Backend
    deadline_at: datetime
    handle: int = 0
    stage: Stage = Stage.QUEUED
    may_have_run: bool = False  # a run has begun, or may have
    known_to_have_run: bool = False  # a run is known to have begun
    pause_requested: bool = False  # told to stop, and not yet known to have stopped
    call_failed: bool = False  # its last attempt or call went wrong
    responded: bool = False
    deadline_timer: Timer | None = None  # of the final answer
    call_body: bytes = b""
    call_started_at: datetime | None = None
    attached_request_ids: list[str] = field(default_factory=list)  # repeats attached to this one
    config_versions: str = ""  # the versions of the documents that it came under, in a fleet
    idempotency_key: tuple[str, str] | None = (
        None  # class and name of the work that has an effect, where the wire names it
    )

    @property
    def id(self) -> str:
        return self.inbound.id


class EventSink(Protocol):
    """What backends and stores tell the core."""

    def backend_ready(self) -> None: ...

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None: ...

    def call_needed(self, id: str, body: bytes) -> None: ...

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None: ...

    def gauges(self, values: Mapping[str, float]) -> None: ...

    def pool_capacity(self, pool: str, most: int) -> None:
        """The servers of a pool take so many at once, from now on."""
