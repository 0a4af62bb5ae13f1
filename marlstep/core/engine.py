"""`Core` composes the request lifecycle from its parts, around the admission controller.

A request goes from its frontend through the intake to the controller's queue; the controller's actions start, pause,
call and reject; backends report what became of that; and exactly one response leaves. Each part owns its own state:

- `intake` accepts or rejects, `request_registry` holds what is in flight,
- `event_queue` brings events to the controller; `dispatcher` hands its actions to `request_actions` and
  `node_actions`,
- `run_events` takes the reports of backends, `responses` sends responses and ends requests,
- `idempotency`, `repeats` and `sibling_claims` know which work has been accepted before,
- `served_settings`, `drain`, `gauge_timers` and `counters` own what their names say.

To follow a request, start at `Core.submit`, then read `Core._run_controller`, which passes the pending events to the
controller, then `ActionDispatcher`, which carries out the resulting actions. The rest of `Core` delegates to the parts:
it is the complete interface for other packages.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.admission.controller import Controller
from marlstep.admission.events import (
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
from marlstep.core.idempotency import IdempotencyKey, KeyRecord, KeyTable
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
from marlstep.core.node_actions import NodeActions
from marlstep.core.repeats import RepeatedWork
from marlstep.core.request_actions import RequestActions
from marlstep.core.request_registry import MAX_REQUESTS, RequestRegistry
from marlstep.core.responses import ResponseDelivery
from marlstep.core.run_events import RunEvents
from marlstep.core.served_settings import ServedSettings
from marlstep.core.serving_state import ServingState
from marlstep.core.sibling_claims import SiblingClaims
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant_us, span


@dataclass(slots=True)
class Ports:
    """What the core asks for gauges and for downstream calls."""

    gauges: GaugeSource
    call_client: CallClient


class Core:
    """The request lifecycle of one process, on one clock. It is the `EventSink` of backends and call clients.

    Attributes:
        serving_state: whether the process starts, serves or leaves.
        idempotency_keys: the work that this process and its siblings have accepted.
        on_backend_ready: called when the backend is up; marks the process ready unless something else decides that.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        timeline: TimerQueue,
        ports: Ports,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        """Compose the parts; nothing happens before `start`.

        Args:
            settings: the first ones in force.
            seed: passed on to the controller, which ignores it.
            timeline: the clock and the timers of everything here.
            ports: for gauges and downstream calls.
            max_requests: in flight at once. Raises InvalidTableLimitError for a number that no table can have.
        """
        self._timeline = timeline
        self._controller = Controller(settings, seed)
        self._events = EventQueue(timeline, self._run_controller)
        self._served = ServedSettings(settings)
        self._counters = RequestCounters(self._served.tenants)
        self._requests = RequestRegistry(max_requests)
        self._frontends: list[Frontend] = []
        self.serving_state = ServingState()
        self.idempotency_keys = KeyTable()
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
            timeline, served, requests, keys, self._counters, self._responses, arrivals, self._claims
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
        """Let the controller set its first timers."""
        self._run_controller([])

    def _run_controller(self, events: list[Event]) -> None:
        now_us = instant_us(self._timeline.now())
        self._dispatcher.execute_all(self._controller.decide(now_us, events))

    # From frontends.

    def add_frontend(self, frontend: Frontend) -> None:
        """Tell this frontend about idle limits and the end of accepting from now on."""
        self._frontends.append(frontend)

    def submit(
        self, frontend: Frontend, response_handle: ResponseHandle, backend: Backend, inbound: InboundRequest
    ) -> int:
        """Accept a request. From here on it is owed one response, which leaves in a later turn of the loop.

        Args:
            frontend: which delivers the response.
            response_handle: given back with the response.
            backend: which runs the request.
            inbound: the request as it was read.

        Returns:
            The handle by which the frontend reports that the client has disconnected.

        Raises:
            RequestRejectedError: the request broke a rule of the intake. The core owes it no response: the frontend
                responds itself.
        """
        return self._intake.submit(frontend, response_handle, backend, inbound)

    def client_disconnected(self, handle: int) -> None:
        """Owe the client no response any more. A handle of a request that is over is ignored."""
        request = self._requests.get(handle)
        if request is not None and not request.is_settled:
            self._counters.count(request, DISCONNECTED_COUNT)
            self._events.post(ClientDisconnected(request.id))
            self._responses.settle(request)

    # From backends and call clients: see `EventSink`.

    def backend_ready(self) -> None:
        """Hear that the backend is up."""
        self.on_backend_ready()

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None:
        """Hear that a run has ended or paused."""
        self._run_events.run_ended(id, outcome, elapsed, result)

    def call_needed(self, id: str, body: bytes) -> None:
        """Hear that a run waits for a downstream call."""
        self._run_events.call_needed(id, body)

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None:
        """Hear that a downstream call has ended."""
        self._run_events.call_ended(id, outcome, reply)

    def pool_capacity(self, pool: str, capacity: int) -> None:
        """Hear how many requests the servers of a pool run at once from now on."""
        self._events.post(PoolCapacityChanged(pool, capacity))

    def gauges(self, values: Mapping[str, float]) -> None:
        """Take new readings of the gauges."""
        self._gauge_timers.record(values)

    # Settings.

    @property
    def settings(self) -> Settings:
        """The settings in force, without quotas that were changed at run time."""
        return self._served.settings

    @property
    def classes(self) -> Mapping[str, ClassSettings]:
        """The accepted classes by name, those included that were removed a short time ago."""
        return self._served.classes

    @property
    def tenants(self) -> Mapping[str, TenantSettings]:
        """The tenants by name, with the quotas in force."""
        return self._served.tenants

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Change a tenant's quota, in requests a second. Raises KeyError for an unknown tenant."""
        self._served.set_quota(tenant, per_s)
        self._events.post(QuotaChanged(tenant, per_s))

    def apply_settings(self, settings: Settings) -> None:
        """Put other settings in force. Requests in flight keep the class that they came with."""
        now = self._timeline.now()
        change = self._served.change(settings, now)
        self._counters.set_tenants(self._served.tenants)
        for extension in change.window_extensions:
            self.idempotency_keys.extend(extension.request_class, extension.added, now, extension.deadline)
        if change.load_signal_changed:
            self._signals.advertised_value = None  # callers would misread it
        self._events.post(SettingsChanged(change.effective, change.retired))

    @property
    def accepts_work(self) -> Callable[[], bool] | None:
        """Whether there is a configuration to accept work under; None where there always is one."""
        return self._intake.accepts_work

    @accepts_work.setter
    def accepts_work(self, accepts_work: Callable[[], bool]) -> None:
        self._intake.accepts_work = accepts_work

    @property
    def config_versions(self) -> str:
        """The versions of the cluster's documents that this node acts on, as requests record them."""
        return self._intake.config_versions

    @config_versions.setter
    def config_versions(self, versions: str) -> None:
        self._intake.config_versions = versions

    # Figures.

    @property
    def healthy(self) -> bool:
        """Whether health checks succeed: the controller, the operator and the configuration all agree."""
        return (
            self._signals.is_healthy
            and self.serving_state.wants_traffic
            and (self.accepts_work is None or self.accepts_work())
        )

    @property
    def advertised_value(self) -> float | None:
        """The load signal that every response carries; None for none."""
        return self._signals.advertised_value

    @property
    def counts(self) -> Counter[str]:
        """Counts of what happened to requests, by the names in `counters`."""
        return self._counters.totals

    @property
    def tenant_counts(self) -> Mapping[str, Counter[str]]:
        """The same for each tenant in force."""
        return self._counters.by_tenant

    @property
    def request_counts(self) -> tuple[int, int, int]:
        """Requests accepted at intake so far, of them those rejected, and those failed or expired."""
        return self._counters.accepted_rejected_failed()

    def accepted_count(self, tenant: str) -> int:
        """Return how many requests of a tenant were accepted at intake so far."""
        return self.tenant_counts[tenant][ACCEPTED_COUNT]

    @property
    def unanswered(self) -> int:
        """Accepted requests that are still owed a response."""
        return self._responses.unanswered

    @property
    def in_flight(self) -> int:
        """Accepted requests whose response or run is not over."""
        return len(self._requests)

    # Other processes of this node.

    @property
    def siblings(self) -> SiblingProcesses | None:
        """The other processes, which are asked about keyed work; None while there are none."""
        return self._claims.siblings

    @siblings.setter
    def siblings(self, siblings: SiblingProcesses | None) -> None:
        self._claims.siblings = siblings

    def set_capacity_share(self, share: float, max_requests: int) -> None:
        """Bound this process to its part of the node from now on.

        Args:
            share: of the memory and concurrency that the controller may use, 0 to 1.
            max_requests: in flight at once.
        """
        self._requests.set_capacity(max_requests)
        self._events.post(PortionChanged(share))

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return the shares of the node that are in use here, and that all requests in flight may come to use."""
        return self._controller.memory_and_concurrency_in_use()

    def measurements(self) -> dict[str, object]:
        """Return what the controller has measured, for the controller of another process."""
        return self._controller.measurements().to_json()

    def adopt_measurements(self, measured: Mapping[str, object]) -> None:
        """Start from what another process's controller has measured; implausible values are left out."""
        self._events.post(Measurements.from_mapping(measured))

    def adopt_remote_key(self, key: IdempotencyKey, remote: KeyRecord) -> None:
        """Enter what another process says of a piece of work."""
        self._repeats.adopt_remote(key, remote)

    def drop_remote_key(self, key: IdempotencyKey, request_id: str) -> None:
        """Hear that another process's request never ran."""
        self._repeats.drop_remote(key, request_id)

    def mark_remote_outcomes_unknown(self, expires_at: datetime) -> None:
        """Hear that nobody reports any more how the other processes' requests end.

        Their work stays known: until the end of its key, or until `expires_at` where that has none.
        """
        self._repeats.mark_remote_outcomes_unknown(expires_at)

    # Leaving. A process *shuts down* from SIGTERM on. It *drains* if it has no successor: after a grace it rejects what
    # arrives. With a successor it finishes what it has, and does not drain unless the successor is lost.

    @property
    def stops_at(self) -> datetime | None:
        """When the process is stopped; None while it stays."""
        return self._shutdown.stops_at

    @property
    def is_shutting_down(self) -> bool:
        """Whether SIGTERM has come: the process drains, or leaves beside a successor that serves."""
        return self._shutdown.stops_at is not None

    @property
    def is_draining(self) -> bool:
        """Whether the process shuts down without a successor: it rejects what arrives after the grace."""
        return self._shutdown.is_draining

    @property
    def in_grace(self) -> bool:
        """Whether a graceful shutdown has begun and arrivals are still run."""
        return self._shutdown.in_grace

    @property
    def on_accepting_stopped(self) -> Callable[[], None]:
        """Called once frontends have stopped accepting: after the grace of a drain, or for a successor."""
        return self._shutdown.on_accepting_stopped

    @on_accepting_stopped.setter
    def on_accepting_stopped(self, callback: Callable[[], None]) -> None:
        self._shutdown.on_accepting_stopped = callback

    def drain(self, stops_at: datetime, noticed_at: datetime | None = None) -> None:
        """Begin graceful shutdown: arrivals of the grace run, and all get their response before the stop.

        Args:
            stops_at: when the process is stopped.
            noticed_at: when the notice to leave came, if that was before now; the grace counts from then.
        """
        grace = span(self.settings.drain_grace_us)
        self._shutdown.drain(stops_at, noticed_at or self._timeline.now(), grace)

    def begin_hand_over(self, stops_at: datetime) -> None:
        """Leave to a successor that serves: what is here, and what still arrives here, is run as ever."""
        self._shutdown.begin_hand_over(stops_at)
