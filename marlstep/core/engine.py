"""`Core` composes the request lifecycle from its parts, around the admission controller.

A request passes from its frontend through the intake to the controller's queue. The controller's actions run, preempt
or reject it and make its downstream calls, backends report the results, and exactly one response is sent. Each part
owns its own state:

- `intake` accepts or rejects requests, and `request_registry` holds those in flight,
- `event_queue` delivers events to the controller, and `dispatcher` passes its actions to `request_actions` and
  `node_actions`,
- `run_events` handles the reports of backends, and `responses` sends responses and ends requests,
- `idempotency`, `repeats` and `sibling_claims` track which work has been accepted before,
- `served_settings`, `drain`, `gauge_timers` and `counters` own the state that their names say.

To follow a request, start at `Core.submit`, then read `Core._run_controller`, which passes the pending events to the
controller, then `ActionDispatcher`, which carries out the resulting actions. The rest of `Core` delegates to the parts:
it is the complete interface for other packages.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.admission.controller import Controller
from marlstep.admission.events import (
    BackendStarted,
    ClientDisconnected,
    Event,
    Measurements,
    Outcome,
    PoolCapacityChanged,
    PortionChanged,
    QuotaChanged,
    SettingsChanged,
)
from marlstep.admission.settings import ClassSettings, Settings, TenantSettings
from marlstep.core.arrivals import ControllerArrivals
from marlstep.core.counters import ACCEPTED_COUNT, DISCONNECTED_COUNT, RequestCounters
from marlstep.core.dispatcher import ActionDispatcher
from marlstep.core.drain import GracefulShutdown
from marlstep.core.event_queue import EventQueue
from marlstep.core.gauge_timers import GaugeTimers
from marlstep.core.idempotency import KeyTable
from marlstep.core.idempotency_windows import IdempotencyWindows
from marlstep.core.intake import RequestIntake
from marlstep.core.interfaces import (
    Backend,
    CallClient,
    Frontend,
    GaugeSource,
    InboundRequest,
    ResponseHandle,
    SiblingProcesses,
)
from marlstep.core.key_memory import KeyMemory
from marlstep.core.key_record import KeyRecord
from marlstep.core.node_actions import NodeActions
from marlstep.core.repeats import RepeatedWork
from marlstep.core.request_actions import RequestActions
from marlstep.core.request_registry import MAX_REQUESTS, RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.run_events import RunEvents
from marlstep.core.served_settings import ServedSettings
from marlstep.core.serving_state import ServingState
from marlstep.core.sibling_claims import SiblingClaims
from marlstep.core.work_identity import IdempotencyKey
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant_us, span, span_us

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Ports:
    """The ports through which the core reads gauges and makes downstream calls."""

    gauges: GaugeSource
    call_client: CallClient


class Core:
    """The request lifecycle of one process, on one clock. It is the `EventSink` of backends and call clients.

    Attributes:
        serving_state: whether the process is starting, serving or shutting down.
        idempotency_keys: the keyed work that this process and its siblings have accepted.
        on_backend_ready: called when the backend is up. By default it marks the process ready; replaced where
            readiness depends on more than the backend.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        timeline: TimerQueue,
        ports: Ports,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        """Compose the parts. The controller does not run before `start`.

        Args:
            settings: the initial settings.
            seed: passed to the controller, which ignores it.
            timeline: the clock and the timers of all parts.
            ports: for gauges and downstream calls.
            max_requests: the limit on requests in flight at once.

        Raises:
            InvalidTableLimitError: `max_requests` is out of range for a slot table.
        """
        self._timeline = timeline
        self._controller = Controller(settings, seed)
        self._events = EventQueue(timeline, self._run_controller)
        self._served = ServedSettings(settings)
        self._counters = RequestCounters(self._served.tenants)
        self._requests = RequestRegistry(max_requests)
        self._frontends: list[Frontend] = []
        self.serving_state = ServingState()
        self._key_memory = KeyMemory(self._requests)
        self.idempotency_keys = KeyTable(
            IdempotencyWindows(settings.classes), self._key_memory.room_for_results
        )
        self.on_backend_ready: Callable[[], None] = self.serving_state.mark_ready
        self._compose(ports)

    def _compose(self, ports: Ports) -> None:
        timeline, requests, keys = self._timeline, self._requests, self.idempotency_keys
        events, served = self._events, self._served
        self._responses = ResponseDelivery(timeline, requests, keys, self._counters, events, served)
        self._repeats = RepeatedWork(timeline, requests, keys, self._responses, served)
        arrivals = ControllerArrivals(timeline, requests, keys, events)
        self._claims = SiblingClaims(timeline, keys, arrivals, self._responses)
        self._intake = RequestIntake(
            timeline,
            served,
            requests,
            keys,
            self._counters,
            self._responses,
            arrivals,
            self._claims,
            self._key_memory,
        )
        self._run_events = RunEvents(
            timeline, requests, self._responses, self._repeats, events, served, ports.call_client
        )
        self._shutdown = GracefulShutdown(
            timeline, self.serving_state, requests, self._responses, events, self._frontends
        )
        self._gauge_timers = GaugeTimers(timeline, ports.gauges, events.post)
        node_actions = NodeActions(self._gauge_timers, self._frontends)
        self._signals = node_actions.signals
        request_actions = RequestActions(
            timeline, self._responses, self._repeats, self._counters, self._shutdown, ports.call_client
        )
        self._dispatcher = ActionDispatcher(requests, self._responses, node_actions, request_actions)

    def start(self) -> None:
        """Run the controller once without events, so that it sets its first timers."""
        self._run_controller([])

    def _run_controller(self, events: list[Event]) -> None:
        now_us = instant_us(self._timeline.now())
        self._dispatcher.execute_all(self._controller.decide(now_us, events))

    # Calls made by frontends.

    def add_frontend(self, frontend: Frontend) -> None:
        """Register a frontend, which receives idle limits and is told when to stop accepting."""
        self._frontends.append(frontend)

    def submit(
        self, frontend: Frontend, response_handle: ResponseHandle, backend: Backend, inbound: InboundRequest
    ) -> int:
        """Accept a request. An accepted request gets exactly one response, in a later iteration of the event loop.

        Args:
            frontend: delivers the response.
            response_handle: passed to the frontend with the response.
            backend: runs the request.
            inbound: the request as the frontend read it.

        Returns:
            The handle by which the frontend reports that the client has disconnected.

        Raises:
            RequestRejectedError: the request broke an intake rule. The core sends no response; the frontend must
                respond itself.
        """
        return self._intake.submit(frontend, response_handle, backend, inbound)

    def client_disconnected(self, handle: int) -> None:
        """Settle a request without a response, as its client has disconnected. Ignored if it is settled or released."""
        request = self._requests.get(handle)
        if request is not None and not request.is_settled:
            self._counters.count(request, DISCONNECTED_COUNT)
            self._events.post(ClientDisconnected(request.id))
            self._responses.settle(request)

    # Reports from backends, call clients and gauge sources: see `EventSink`.

    def backend_started(self, age: timedelta, is_cold: bool) -> None:
        """Handle the report of how long ago the backend started, and whether it started cold."""
        self._events.post(BackendStarted(span_us(age), is_cold))

    def backend_ready(self) -> None:
        """Handle the report that the backend is up."""
        self.on_backend_ready()

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None:
        """Handle the report that a run has ended or was preempted."""
        self._run_events.run_ended(id, outcome, elapsed, result)

    def call_needed(self, id: str, body: bytes) -> None:
        """Handle the report that a run waits for a downstream call."""
        self._run_events.call_needed(id, body)

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None:
        """Handle the report that a downstream call has ended."""
        self._run_events.call_ended(id, outcome, reply)

    def pool_capacity(self, pool: str, capacity: int) -> None:
        """Handle a change in how many requests the servers of a pool run at once."""
        self._events.post(PoolCapacityChanged(pool, capacity))

    def gauges(self, values: Mapping[str, float]) -> None:
        """Handle new gauge readings."""
        self._gauge_timers.record(values)

    # Settings.

    @property
    def settings(self) -> Settings:
        """The settings in force, without quotas changed at run time."""
        return self._served.settings

    @property
    def classes(self) -> Mapping[str, ClassSettings]:
        """The accepted classes by name, including recently removed classes."""
        return self._served.classes

    @property
    def tenants(self) -> Mapping[str, TenantSettings]:
        """The tenants by name, with the quotas in force."""
        return self._served.tenants

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Change a tenant's quota, in requests per second. Raises KeyError for an unknown tenant."""
        self._served.set_quota(tenant, per_s)
        self._events.post(QuotaChanged(tenant, per_s))

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings. Requests in flight keep the class settings that were in force at their arrival."""
        now = self._timeline.now()
        change = self._served.change(settings, now)
        self._counters.set_tenants(self._served.tenants)
        self.idempotency_keys.apply_windows(settings.classes, now)
        if change.load_signal_changed:
            self._signals.advertised_value = None  # callers would read it as a value of the new load signal
        self._events.post(SettingsChanged(change.effective, change.retired))

    @property
    def accepts_work(self) -> Callable[[], bool] | None:
        """Callback that returns whether the node has a cluster configuration; None on nodes that need none."""
        return self._intake.accepts_work

    @accepts_work.setter
    def accepts_work(self, accepts_work: Callable[[], bool]) -> None:
        self._intake.accepts_work = accepts_work

    @property
    def config_versions(self) -> str:
        """The versions of the cluster documents in force on this node, in the text form that requests record."""
        return self._intake.config_versions

    @config_versions.setter
    def config_versions(self, versions: str) -> None:
        self._intake.config_versions = versions

    # Health, load signal and counters.

    @property
    def healthy(self) -> bool:
        """Whether protocol health checks succeed.

        They do while the controller reports health, the process neither drains nor is quiesced, and the node has the
        configuration that it needs.
        """
        return (
            self._signals.is_healthy
            and self.serving_state.wants_traffic
            and (self.accepts_work is None or self.accepts_work())
        )

    @property
    def advertised_value(self) -> float | None:
        """The load signal value that every response carries; None if none is advertised."""
        return self._signals.advertised_value

    @property
    def counts(self) -> Counter[str]:
        """Request counts over all tenants, by the names in `counters`."""
        return self._counters.totals

    @property
    def tenant_counts(self) -> Mapping[str, Counter[str]]:
        """Request counts for each tenant in force."""
        return self._counters.by_tenant

    @property
    def request_counts(self) -> tuple[int, int, int]:
        """Numbers of requests accepted at intake, and of those: rejected, and failed or expired."""
        return self._counters.accepted_rejected_failed()

    def accepted_count(self, tenant: str) -> int:
        """Return how many requests of a tenant have been accepted at intake. Raises KeyError for an unknown tenant."""
        return self.tenant_counts[tenant][ACCEPTED_COUNT]

    @property
    def unanswered(self) -> int:
        """Number of accepted requests that still await their response."""
        return self._responses.unanswered

    @property
    def in_flight(self) -> int:
        """Number of accepted requests whose response is outstanding or whose run has not ended."""
        return len(self._requests)

    # Sibling processes and hot restart.

    @property
    def siblings(self) -> SiblingProcesses | None:
        """The sibling processes, at which keyed work is claimed; None while there are none."""
        return self._claims.siblings

    @siblings.setter
    def siblings(self, siblings: SiblingProcesses | None) -> None:
        self._claims.siblings = siblings

    def set_capacity_share(self, share: float, max_requests: int) -> None:
        """Limit this process to its share of the node's capacity.

        Args:
            share: the share of the node's memory and concurrency that the controller may use, 0 to 1.
            max_requests: the limit on requests in flight at once.
        """
        self._requests.set_capacity(max_requests)
        self._events.post(PortionChanged(share))

    def limit_key_memory(self, limit_bytes: int) -> None:
        """Limit the memory that requests in flight, idempotency keys and kept results share.

        Results that don't fit are dropped at once. Keys stay; new work that needs one is rejected until they fit again.
        """
        if limit_bytes == self._key_memory.limit_bytes:
            return
        self._key_memory.limit_bytes = limit_bytes
        log.info("memory for keys and results: bytes=%d max_keys=%d", limit_bytes, self._key_memory.max_keys)
        self.idempotency_keys.fit_results()

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return the share of the node in use here, and the share that all requests in flight may need."""
        return self._controller.memory_and_concurrency_in_use()

    def measurements(self) -> dict[str, object]:
        """Return the controller's measurements, for the controller of a sibling process."""
        return self._controller.measurements().to_json()

    def adopt_measurements(self, measured: Mapping[str, object]) -> None:
        """Pass a sibling's measurements to the controller, to start from. Implausible values are ignored."""
        self._events.post(Measurements.from_mapping(measured))

    def adopt_remote_key(self, key: IdempotencyKey, remote: KeyRecord) -> None:
        """Record a sibling process's report on a piece of work."""
        self._repeats.adopt_remote(key, remote)

    def drop_remote_key(self, key: IdempotencyKey, request_id: str) -> None:
        """Drop the key of a sibling process's request, as that never ran."""
        self._repeats.drop_remote(key, request_id)

    def mark_remote_outcomes_unknown(self, expires_at: datetime) -> None:
        """Mark the siblings' unfinished requests as ended with an unknown outcome, as no report will come.

        Their keys stay recorded until their own expiry, or until `expires_at` if they have none.
        """
        self._repeats.mark_remote_outcomes_unknown(expires_at)

    # Shutdown. A process *shuts down* from SIGTERM on. Without a successor it *drains*: after a grace period it
    # rejects arriving requests. With a successor it finishes its requests, and drains only if the successor is lost.

    def stop_accepting(self) -> None:
        """Stop accepting connections now, during a drain, because another process accepts them."""
        self._shutdown.stop_accepting()

    def respond_to_all(self) -> None:
        """Respond to all open requests, because the process is about to exit."""
        self._shutdown.respond_to_all()

    @property
    def stops_at(self) -> datetime | None:
        """When the process is stopped; None while no shutdown has begun."""
        return self._shutdown.stops_at

    @property
    def is_shutting_down(self) -> bool:
        """Whether SIGTERM was received: the process drains, or hands over to a successor that serves."""
        return self._shutdown.stops_at is not None

    @property
    def is_draining(self) -> bool:
        """Whether the process shuts down without a successor, and so rejects requests after the grace period."""
        return self._shutdown.is_draining

    @property
    def in_grace(self) -> bool:
        """Whether a drain has begun and arriving requests are still run."""
        return self._shutdown.in_grace

    @property
    def on_accepting_stopped(self) -> Callable[[], None]:
        """Callback for when frontends have stopped accepting, after a drain's grace period or in a handover."""
        return self._shutdown.on_accepting_stopped

    @on_accepting_stopped.setter
    def on_accepting_stopped(self, callback: Callable[[], None]) -> None:
        self._shutdown.on_accepting_stopped = callback

    def drain(self, stops_at: datetime, noticed_at: datetime | None = None) -> None:
        """Begin a drain: arrivals within the grace period run, and all requests get a response before the stop.

        Args:
            stops_at: when the process is stopped.
            noticed_at: when the shutdown notice arrived; the grace period counts from then. None means now.
        """
        grace = span(self.settings.drain_grace_us)
        self._shutdown.drain(stops_at, noticed_at or self._timeline.now(), grace)

    def begin_hand_over(self, stops_at: datetime) -> None:
        """Hand over to a successor that serves. Requests in flight, and those that still arrive here, run normally."""
        self._shutdown.begin_hand_over(stops_at)
