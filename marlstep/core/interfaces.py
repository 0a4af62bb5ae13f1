"""What the core deals in, requests and responses, and the ports through which it meets the world.

Frontends bring requests and deliver responses, backends do the work, a call client makes downstream calls, and a
gauge source reads the machine. Each is a protocol here; none of them imports the core's own modules.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.admission.events import Outcome
from marlstep.admission.settings import ClassSettings
from marlstep.core.idempotency import IdempotencyKey
from marlstep.timer_queue import Timer
from marlstep.units import ZERO

ResponseHandle = tuple[int, int]  # a frontend's own way to find where a response goes


@dataclass(slots=True, frozen=True)
class InboundRequest:
    """A request as a frontend has read it.

    Attributes:
        id: unique among the requests in flight.
        request_class: the name of its class.
        body: passed on to the backend unchanged.
        arrived_at: when its first byte came, as far as the frontend knows. It may come from the client's clock and
            lie after now; see `effective_arrival_time`.
        memory_kb: that it takes while it is queued.
        caller: the number of the calling server; 0 where callers have none.
        is_retry: whether the client marks it as a retry.
        cost_hint: the client's estimate of its run time.
        rank: by which the load signal `LEVEL` compares requests.
        tenant: the name of its tenant; None where it names none.
        entity: the subject of the request, for classes whose responses may be shared by subject.
        pool: of the servers that do the work; empty where this node's cores do.
        idempotency_key: the name of the work of which this is one attempt, where the client gives one.
        digest: of the body, where the wire promises that all attempts of the work carry the same; else empty.
    """

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
    entity: int | None = None
    pool: str = ""
    idempotency_key: str | None = None
    digest: str = ""


class ClaimResult(enum.Enum):
    """What the node's other processes say when this one claims a piece of keyed work."""

    GRANTED = "granted"  # none of them has accepted it before
    KNOWN = "known"  # not granted: one has, and reported it to `Core.adopt_remote_key`, or could not decide
    UNSURE = "unsure"  # nobody can say any more whether it ran


ClaimCallback = Callable[[ClaimResult], None]


class SiblingProcesses(Protocol):
    """The other processes of this node, while one version takes over from another."""

    def claim(
        self, request_class: str, key: str, label: str, now: datetime, on_decided: ClaimCallback, /
    ) -> bool:
        """Ask whether this process may run a piece of work.

        Args:
            request_class: the class of the work.
            key: the name of the work, which the client chose.
            label: of the request, see `encode_label`.
            now: the time of the claim.
            on_decided: called once with the result, perhaps before this returns.

        Returns:
            False where nobody has to be asked; `on_decided` is not called then.
        """


class ResponseStatus(enum.Enum):
    """How a request ended for its client; the values are the names of the counters."""

    DONE = "done"
    REJECTED = "refused"  # this attempt did not run: the client may send it elsewhere
    FAILED = "failed"  # promises nothing about effects
    EXPIRED = "expired"  # likewise, as its time ran out


@dataclass(slots=True, frozen=True)
class Response:
    """The final response to a request.

    Attributes:
        status: how the request ended.
        body: the result of the run; empty for any other status than DONE.
        retry_after: of a rejection: how long the client is asked to stay away; zero where it is not.
        no_failover: of a rejection: whether the client is asked to try no other node.
    """

    status: ResponseStatus
    body: bytes = b""
    retry_after: timedelta = ZERO
    no_failover: bool = False


class Stage(enum.Enum):
    """Where a request stands, and what takes it to the next stage.

    CLAIMING: a sibling's reply makes it QUEUED, or FINISHED by a response.
    QUEUED: the controller runs it (RUNNING) or attaches it to another attempt (ATTACHED); a response ends it.
    RUNNING: pauses (PAUSED, or QUEUED again where pausing drops the work), needs a call, or its run ends.
    PAUSED: the controller resumes it (RUNNING); a response ends it.
    AWAITING_CALL: the controller makes the call (CALLING) or skips it (RUNNING), or the run ends.
    CALLING: a reply resumes the run (RUNNING); a failed call leaves it AWAITING_CALL, or the run ends.
    ATTACHED: the attempt that it repeats ends, or a response does.
    FINISHED: nothing runs any more; the request is released once its response has left.
    """

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"
    AWAITING_CALL = "awaiting call"
    CALLING = "calling"
    ATTACHED = "attached"
    FINISHED = "finished"


class Frontend(Protocol):
    """Where requests come from and responses go."""

    def deliver(self, response_handle: ResponseHandle, response: Response, /) -> None:
        """Send the final response to the request that was submitted with this handle."""

    def limit_idle_time(self, after: timedelta) -> None:
        """Close connections that have been idle for longer, from now on."""

    def stop_accepting(self) -> None:
        """Accept no new connections or requests; what has been read still gets its response."""


class Backend(Protocol):
    """What does the work. It reports to an `EventSink`."""

    def start(self, request: Request) -> None:
        """Run a request from its beginning. `EventSink.run_ended` follows."""

    def preempt(self, request: Request) -> None:
        """Preempt a run where the backend can. It then ends as cancelled; the settings say whether its work is kept.

        With `PreemptionMode.PAUSE` the run may be resumed, with `DROP` it begins again. A backend that can't preempt
        lets the run go on.
        """

    def resume(self, request: Request) -> None:
        """Let a paused run go on."""

    def supply(self, request: Request, reply: bytes) -> None:
        """Let a run that waits for its call go on with the reply."""

    def skip(self, request: Request) -> None:
        """Let a run that waits for its call go on without a reply."""

    def abandon(self, request: Request) -> None:
        """Stop the run where the backend can, as nobody waits for its result; report its end either way."""


class CallClient(Protocol):
    """What makes downstream calls. It reports to `EventSink.call_ended`."""

    def call(self, request: Request, until: datetime) -> None:
        """Make the call in `request.call_body`, and give it up at `until`."""

    def abandon_call(self, request: Request) -> None:
        """Give up the request's call, and report nothing of it."""


class GaugeSource(Protocol):
    """What reads the gauges of processors, memory and connections."""

    def request_gauges(self) -> None:
        """Read them; the readings come to `EventSink.gauges`."""


@dataclass(slots=True)
class Request:
    """A request in flight: from `Core.submit` until its response has left and its run is over.

    Attributes:
        inbound: as it was read.
        class_settings: of its class at its arrival; later settings don't change them.
        frontend: which delivers its response.
        response_handle: the frontend's own name for where the response goes.
        backend: which does the work.
        deadline_at: when a response leaves whatever happens.
        handle: in the request registry.
        stage: where it stands.
        may_have_run: a run has begun, or may have; it never turns false again.
        known_to_have_run: the backend has reported something that only a run does.
        preempt_requested: the backend was asked to preempt the run, and has not reported its end.
        call_failed: the last call failed, and was not skipped.
        is_settled: no response is owed any more: it has left, or the client has disconnected.
        deadline_timer: that of `deadline_at`.
        call_body: of the call that the run needs.
        call_started_at: when its last call was made.
        attached_request_ids: repeats that wait for the result of this one.
        config_versions: of the cluster's documents in force at its arrival, as text for records.
        idempotency_key: names its work; None for idempotent work, and where the client names none.
    """

    inbound: InboundRequest
    class_settings: ClassSettings
    frontend: Frontend
    response_handle: ResponseHandle
    backend: Backend
    deadline_at: datetime
    handle: int = 0
    stage: Stage = Stage.QUEUED
    may_have_run: bool = False
    known_to_have_run: bool = False
    preempt_requested: bool = False
    call_failed: bool = False
    is_settled: bool = False
    deadline_timer: Timer | None = None
    call_body: bytes = b""
    call_started_at: datetime | None = None
    attached_request_ids: list[str] = field(default_factory=list)
    config_versions: str = ""
    idempotency_key: IdempotencyKey | None = None

    @property
    def id(self) -> str:
        """The id under which it is in flight."""
        return self.inbound.id


class EventSink(Protocol):
    """What backends, call clients and gauge sources report to; the core is one."""

    def backend_ready(self) -> None:
        """Report that the backend is up."""

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None:
        """Report the end of a run, or with `Outcome.CANCELLED` that it was preempted."""

    def call_needed(self, id: str, body: bytes) -> None:
        """Report that a run waits for a downstream call with this body."""

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None:
        """Report the end of a downstream call."""

    def gauges(self, values: Mapping[str, float]) -> None:
        """Report new readings, by gauge."""

    def pool_capacity(self, pool: str, capacity: int, /) -> None:
        """Report how many requests the servers of a pool run at once from now on."""
