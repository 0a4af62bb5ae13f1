"""Requests and responses, and the protocols that connect the core with its surroundings.

Frontends submit requests and deliver responses, backends run them, a call client makes downstream calls, and a gauge
source reads machine metrics. Each is a protocol here, so that implementations don't depend on the core's internals.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.admission.events import Outcome
from marlstep.admission.settings import ClassSettings
from marlstep.core.work_identity import IdempotencyKey
from marlstep.timer_queue import Timer
from marlstep.units import ZERO

ResponseHandle = tuple[int, int]  # chosen by a frontend, which finds the destination of a response by it


@dataclass(slots=True, frozen=True)
class InboundRequest:
    """A request as a frontend has read it.

    Attributes:
        id: unique among the requests in flight.
        request_class: the name of its class.
        body: passed to the backend unchanged.
        arrived_at: when its first byte arrived, as far as the frontend knows. It may be taken from the client's clock
            and be later than now; see `effective_arrival_time`.
        memory_kb: the memory that it takes while it is queued.
        caller: the number of the caller; 0 if callers are not numbered.
        is_retry: whether the client marked it as a retry.
        cost_hint: the client's estimate of its run time; None without one.
        rank: the value by which the load signal `LEVEL` compares requests.
        tenant: the name of its tenant; None if it names none.
        entity: the subject of the request, for classes whose responses may be shared by subject; None without one.
        pool: the name of the upstream pool that runs it; empty if it runs on this node's own cores.
        idempotency_key: the name of the work of which this request is one attempt; None if the client gave none.
        key_scope: the scope of that name; see `IdempotencyKey`.
        digest: the digest of what the request does, by which it is compared with other requests under its key. Empty if
            no other work can have the same name.
        id_chosen_by_client: whether the client chose the id, so that the same request may come again under it.
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
    key_scope: str = ""
    digest: str = ""
    id_chosen_by_client: bool = False


class ClaimResult(enum.Enum):
    """The reply of the sibling processes to this process's claim of keyed work."""

    GRANTED = "granted"  # no sibling has accepted the work before
    KNOWN = "known"  # not granted: a sibling has reported the work to `Core.adopt_remote_key`, or could not decide
    UNSURE = "unsure"  # no process can tell any more whether the work ran


ClaimCallback = Callable[[ClaimResult], None]


class SiblingProcesses(Protocol):
    """The sibling processes of this node during a hot restart."""

    def claim(
        self, request_class: str, key: str, label: str, now: datetime, on_decided: ClaimCallback, /
    ) -> bool:
        """Ask the siblings whether this process may run a piece of work.

        Args:
            request_class: the class of the work.
            key: the name of the work, chosen by the client.
            label: the label of the request; see `WorkLabel`.
            now: the time of the claim.
            on_decided: called once with the result, possibly before this method returns.

        Returns:
            False if no sibling has to be asked; `on_decided` is not called then.
        """


class ResponseStatus(enum.Enum):
    """The final status of a request as its client sees it. The values are also counter names."""

    DONE = "done"
    REJECTED = "refused"  # this attempt did not run, so the client may send it to another node
    FAILED = "failed"  # the request may or may not have had its effect
    EXPIRED = "expired"  # the time for a response ran out; the request may or may not have had its effect


@dataclass(slots=True, frozen=True)
class Response:
    """The final response to a request.

    Attributes:
        status: how the request ended.
        body: the result of the run; empty unless the status is DONE.
        retry_after: for a rejection, how long the client should wait before it retries; zero if no wait is requested.
        no_failover: for a rejection, whether the client is asked not to try another node.
    """

    status: ResponseStatus
    body: bytes = b""
    retry_after: timedelta = ZERO
    no_failover: bool = False


class Stage(enum.Enum):
    """The stage of a request in its lifecycle, and the transitions out of each stage.

    CLAIMING: a sibling's reply leads to QUEUED, or to FINISHED with a response.
    QUEUED: the controller runs it (RUNNING) or attaches it to another attempt (ATTACHED); a response finishes it.
    RUNNING: it is preempted (PAUSED, or QUEUED again if preemption drops its work), it needs a downstream call
        (AWAITING_CALL), or its run ends (FINISHED).
    PAUSED: the controller resumes it (RUNNING); a response finishes it.
    AWAITING_CALL: the controller makes the call (CALLING) or skips it (RUNNING), or the run ends (FINISHED).
    CALLING: a reply resumes the run (RUNNING), a failed call leads back to AWAITING_CALL, or the run ends (FINISHED).
    ATTACHED: the end of the attempt that it repeats, or a response, finishes it.
    FINISHED: nothing runs any more; the request is released once it is settled.
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
    """Reads requests from clients and sends them their responses."""

    def deliver(self, response_handle: ResponseHandle, response: Response, /) -> None:
        """Send the final response to the request that was submitted with this handle."""

    def limit_idle_time(self, after: timedelta) -> None:
        """From now on, close connections that have been idle for longer than `after`."""

    def stop_accepting(self) -> None:
        """Stop accepting connections and requests. Requests that have been read still get their response."""


class Backend(Protocol):
    """Runs requests, and reports to an `EventSink`."""

    def start(self, request: Request) -> None:
        """Start the run of a request. The backend reports the end to `EventSink.run_ended`."""

    def preempt(self, request: Request) -> None:
        """Preempt a run, if the backend supports it. A preempted run ends with `Outcome.CANCELLED`.

        With `PreemptionMode.PAUSE` the run can be resumed; with `PreemptionMode.DROP` its work is lost and it starts
        over. A backend that can't preempt lets the run continue.
        """

    def resume(self, request: Request) -> None:
        """Resume a paused run."""

    def supply(self, request: Request, reply: bytes) -> None:
        """Continue a run that waits for its downstream call, with the reply."""

    def skip(self, request: Request) -> None:
        """Continue a run that waits for its downstream call, without a reply."""

    def abandon(self, request: Request) -> None:
        """Stop the run if the backend can, as its result is no longer needed. The end is reported in any case."""


class CallClient(Protocol):
    """Makes downstream calls, and reports to `EventSink.call_ended`."""

    def call(self, request: Request, until: datetime) -> None:
        """Make the call in `request.call_body`. The call times out at `until`."""

    def abandon_call(self, request: Request) -> None:
        """Abandon the request's call without reporting its end."""


class GaugeSource(Protocol):
    """Reads the gauges of processors, memory and connections."""

    def request_gauges(self) -> None:
        """Start reading the gauges. The readings are reported to `EventSink.gauges`."""


@dataclass(slots=True)
class Request:
    """A request in flight: from `Core.submit` until it is settled and its run has ended.

    Attributes:
        inbound: the request as the frontend read it.
        class_settings: the settings of its class at its arrival; later changes of the settings don't affect them.
        frontend: delivers its response.
        response_handle: the frontend's handle for the destination of the response.
        backend: runs it.
        deadline_at: when a response is sent at the latest, in any stage.
        handle: its handle in the request registry.
        stage: its stage in the lifecycle.
        may_have_run: whether a run has begun or may have begun; never reset to False.
        known_to_have_run: whether the backend has reported something that proves that a run began.
        preempt_requested: whether the backend was asked to preempt the run and has not reported its end yet.
        call_failed: whether the last downstream call failed and was not skipped.
        is_settled: whether no response is due any more: it was sent, or the client has disconnected.
        deadline_timer: the timer that fires at `deadline_at`.
        call_body: the body of the downstream call that the run needs.
        call_started_at: when the last downstream call was started.
        attached_request_ids: the ids of repeats that wait for the result of this request.
        config_versions: the versions of the cluster documents in force at its arrival, as text for records.
        idempotency_key: identifies its work; None for idempotent work, and if the client gave no key.
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
        """The id of the request, unique among those in flight."""
        return self.inbound.id


class EventSink(Protocol):
    """Receives the reports of backends, call clients and gauge sources. `Core` implements it."""

    def backend_started(self, age: timedelta, is_cold: bool) -> None:
        """Report, before `backend_ready`, how long ago the backend started, and whether it started cold."""

    def backend_ready(self) -> None:
        """Report that the backend is up."""

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None:
        """Report the end of a run. `Outcome.CANCELLED` also reports a preemption that was requested."""

    def call_needed(self, id: str, body: bytes) -> None:
        """Report that a run waits for a downstream call with this body."""

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None:
        """Report the end of a downstream call."""

    def gauges(self, values: Mapping[str, float]) -> None:
        """Report new gauge readings, by gauge name."""

    def pool_capacity(self, pool: str, capacity: int, /) -> None:
        """Report a change in how many requests the servers of a pool run at once."""
