"""The core: drives the decision module on one clock and carries out what it decides.

It owns every request from `submit` until its slot is given back, the keys, the timers, the health, the drain,
and the final answers, each of which leaves through `_answer` exactly once.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from marlstep.admission.actions import (
    Action,
    Advertise,
    Attach,
    Call,
    Fail,
    ForgetKey,
    Health,
    IdleLimit,
    KeepKey,
    Log,
    Preempt,
    Reject,
    Run,
    SetTimer,
    SkipCall,
)
from marlstep.admission.controller import Controller
from marlstep.admission.events import (
    Arrival,
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Drain,
    Event,
    Measurements,
    Outcome,
    PoolCapacityChanged,
    PortionChanged,
    QuotaChanged,
    RunEnded,
    SettingsChanged,
    TimerDue,
)
from marlstep.admission.settings import ClassSettings, Effect, PreemptionMode, Settings
from marlstep.core.errors import RepeatedWorkError, RequestRejectedError
from marlstep.core.idempotency import IdempotencyKey, KeyRecord, KeyTable, encode_label
from marlstep.core.interfaces import (
    Backend,
    CallClient,
    ClaimResult,
    Frontend,
    GaugeSource,
    InboundRequest,
    Request,
    Response,
    ResponseHandle,
    ResponseStatus,
    SiblingProcesses,
    Stage,
)
from marlstep.core.serving_state import ServingState
from marlstep.slots import SlotTable, TableFullError
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import EPOCH, MILLISECOND, SECOND, ZERO, instant, instant_us, span, span_us

log = logging.getLogger(__name__)

GAUGES_MAX_AGE = 100 * MILLISECOND  # readings this young serve a timer as they are
GAUGES_TIMEOUT = 20 * MILLISECOND  # a timer waits no longer for new ones
STOP_MARGIN = 150 * MILLISECOND  # before the process is stopped, all that is left is answered
MAX_REQUESTS = 8_192  # in hand at once, about 40 MB; far beyond what the module's hold takes


ELSEWHERE_PREFIX = "elsewhere/"  # before the id of another process's try, which may be that of one here
RETIRED_CLASS_GRACE = (
    3 * SECOND
)  # front ends hear late that a class or a tenant is gone: until then it is still taken


@dataclass(slots=True)
class Ports:
    gauges: GaugeSource
    store: CallClient


class Core:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        timeline: TimerQueue,
        ports: Ports,
        most_requests: int = MAX_REQUESTS,
    ) -> None:
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self._retired: dict[str, datetime] = {}  # classes that are gone, and until when they are taken
        self.tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._former: dict[str, datetime] = {}  # tenants that are gone, likewise
        self.tenant_counts: dict[str, Counter[str]] = {name: Counter() for name in self.tenants}
        self.advertised_value: float | None = None  # the free value, carried by every answer
        self.serving_state = ServingState()
        self.counts: Counter[str] = Counter()
        self.stops_at: datetime | None = None
        self.on_grace_over: Callable[[], None] = lambda: None
        # Whether new work may be taken at all: in a fleet, not without rules to take it under.
        self.accepts_work: Callable[[], bool] | None = None
        self.config_versions = ""  # the versions of the documents that this node acts on, for the record
        self.on_backend_ready: Callable[[], None] = self.serving_state.mark_ready
        self._ports = ports
        self._timeline = timeline
        self._controller = Controller(settings, seed)
        self._requests: SlotTable[Request] = SlotTable(most_requests)
        self._by_id: dict[str, int] = {}
        self.idempotency_keys = KeyTable()
        self.siblings: SiblingProcesses | None = None  # other processes of this node, while there are any
        self._claims_elsewhere: dict[
            IdempotencyKey, list[str]
        ] = {}  # repeats that wait for what runs in another process
        self._most = most_requests  # in hand: less while two processes share the node
        self._frontends: list[Frontend] = []
        self._module_well = True  # what the module would have health checks told
        self._events: list[Event] = []
        self._turn_due = False
        self._unanswered = 0
        self._readings: Mapping[str, float] = {}
        self._read_at: datetime | None = None
        self._ticks: list[int] = []  # tags of timers that wait for readings
        self._tick_wait: Timer | None = None
        self._run_after: datetime | None = None  # what arrived later is not run: we leave

    def start(self) -> None:
        self._decide([])

    def add_frontend(self, front: Frontend) -> None:
        self._frontends.append(front)

    @property
    def healthy(self) -> bool:
        """What health checks are told."""
        return (
            self._module_well
            and self.serving_state.wants_traffic
            and (self.accepts_work is None or self.accepts_work())
        )

    @property
    def draining(self) -> bool:
        return self.stops_at is not None

    @property
    def shutdown_requested(self) -> bool:
        return self._run_after is not None

    @property
    def in_grace(self) -> bool:
        """The notice to leave has come, and arrivals are still run."""
        return self._run_after is not None and self._timeline.now() < self._run_after

    @property
    def unanswered(self) -> int:
        return self._unanswered

    @property
    def in_flight(self) -> int:
        return len(self._requests)

    @property
    def request_counts(self) -> tuple[int, int, int]:
        """Requests read so far, of them refused, and failed or late."""
        failed = self.counts[ResponseStatus.FAILED.value] + self.counts[ResponseStatus.EXPIRED.value]
        return self.counts["read"], self.counts[ResponseStatus.REJECTED.value], failed

    # From fronts.

    def submit(self, front: Frontend, ticket: ResponseHandle, backend: Backend, offer: InboundRequest) -> int:
        """Take a request that was read. From here on it is owed one answer, unless this raises Refused."""
        now = self._timeline.now()
        kind = self.classes.get(offer.request_class)
        if kind is None or self._retired.get(offer.request_class, now) < now:
            raise RequestRejectedError(f"unknown class {offer.request_class[:64]!r}")
        tenant = offer.tenant or ""
        strange = bool(self.tenants and tenant) and tenant not in self.tenants
        if strange and self._former.get(tenant, EPOCH) < now:
            raise RequestRejectedError(f"unknown tenant {tenant[:64]!r}")
        if kind.effect is Effect.KEYED and not offer.idempotency_key:
            raise RequestRejectedError("work that must not run twice, without the name that its tries share")
        if offer.id in self._by_id:
            raise RepeatedWorkError("an id that is in hand already")
        key = (
            (offer.request_class, offer.idempotency_key)
            if offer.idempotency_key and kind.effect is not Effect.SAFE
            else None
        )
        prior = self.idempotency_keys.find(key, min(now, offer.arrived_at)) if key else None
        if prior and kind.effect is Effect.UNSAFE:
            raise RepeatedWorkError("a repeat of work that must not run twice")
        if prior and not prior.matches_body(offer.digest):
            raise RepeatedWorkError("a name in use for work with another body")
        due = max(now, offer.arrived_at + span(kind.deadline_us))
        request = Request(
            offer,
            kind,
            front,
            ticket,
            backend,
            due,
            config_versions=self.config_versions,
            idempotency_key=key,
        )
        if len(self._requests) >= self._most:
            raise RequestRejectedError("too many in hand for this process's part of the node")
        try:
            request.handle = self._requests.add(request)
        except TableFullError as fault:
            raise RequestRejectedError(str(fault)) from fault
        self._by_id[offer.id] = request.handle
        request.deadline_timer = self._timeline.at(due, lambda: self._overdue(request))
        self._unanswered += 1
        self._count(request, "read")
        if self.accepts_work is not None and not self.accepts_work():
            # Told in a turn of its own: the front does not have the handle yet.
            self._timeline.soon(lambda: self._reject(request))
            return request.handle
        if key and prior is None and self.siblings is not None:
            request.stage = Stage.CLAIMING

            def told(outcome: ClaimResult) -> None:
                # It may be told before this returns, and no answer leaves before the front has its handle.
                self._timeline.soon(lambda: self._claim_decided(request, key, outcome))

            if self.siblings.claim(*key, encode_label(offer.id, offer.digest), now, told):
                return request.handle
        self._enqueue(request, prior)
        return request.handle

    def _reject(self, request: Request) -> None:
        """There are no rules here to take it under: the module never hears of it."""
        if not request.responded:
            self._count(request, "without rules")
            self._respond(request, Response(ResponseStatus.REJECTED, retry_after=self._retry_after()))

    def _enqueue(self, request: Request, prior: KeyRecord | None) -> None:
        """The module hears of it."""
        offer = request.inbound
        request.stage = Stage.QUEUED
        if request.idempotency_key:
            self.idempotency_keys.record(
                request.idempotency_key, offer.id, self._post_arrival(request), request.inbound.digest
            )
        self._post(
            Arrival(
                id=offer.id,
                request_class=offer.request_class,
                memory_kb=offer.memory_kb,
                caller=offer.caller,
                unread_us=max(0, span_us(self._timeline.now() - offer.arrived_at)),
                tenant=offer.tenant,
                key=offer.entity,
                is_retry=offer.is_retry,
                rank=offer.rank,
                cost_hint_us=None if offer.cost_hint is None else span_us(offer.cost_hint),
                # One that is not in hand any more has run, or may have: its id may be another's by now.
                prior=None
                if prior is None
                else prior.request_id
                if self._standing(request, prior)
                else ELSEWHERE_PREFIX + prior.request_id,
                is_write=request.class_settings.effect is not Effect.SAFE,
                pool=offer.pool,
            )
        )

    def _post_arrival(self, request: Request) -> datetime:
        """The moment at which it counts as having arrived: a caller's clock may run ahead."""
        return min(self._timeline.now(), request.inbound.arrived_at)

    def _claim_decided(self, request: Request, key: IdempotencyKey, told: ClaimResult) -> None:
        """Another process of this node has said whether the work may be held here, or nobody can."""
        if told is ClaimResult.GRANTED:
            self.idempotency_keys.forget(
                key, request.id
            )  # the other has noted this very try, and may have said so
        came = self._post_arrival(request)
        prior = self.idempotency_keys.find(key, came)
        if request.stage is not Stage.CLAIMING:  # its time is over: what was granted is given back
            if told is ClaimResult.GRANTED and prior is None:
                self.idempotency_keys.record(key, request.id, came, request.inbound.digest)
                self.idempotency_keys.drop(key, request.id, kept_too=False)
        elif prior is not None and (
            request.class_settings.effect is Effect.UNSAFE or not prior.matches_body(request.inbound.digest)
        ):
            self._respond(request, Response(ResponseStatus.FAILED))
        elif prior is not None or told is ClaimResult.GRANTED:
            self._enqueue(request, prior)
        else:  # it may have run there, and did not run here
            self._respond(request, Response(ResponseStatus.REJECTED, retry_after=self._retry_after()))

    def client_disconnected(self, handle: int) -> None:
        """Nobody can take the answer any more."""
        request = self._requests.get(handle)
        if request is not None and not request.responded:
            self._count(request, "gone")
            self._post(ClientDisconnected(request.id))
            self._settle(request)

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Change a tenant's allowance from now on."""
        self.tenants[tenant] = replace(self.tenants[tenant], quota_per_s=per_s)
        self._post(QuotaChanged(tenant, per_s))

    def apply_settings(self, settings: Settings) -> None:
        """Other settings from now on. What is in hand keeps the class that it came with.

        An allowance that was changed here stays, unless the settings' own figure for it has changed.
        """
        now, old = self._timeline.now(), self.settings
        told = {tenant.name: tenant for tenant in old.tenants}
        self.tenants = {
            tenant.name: self.tenants[tenant.name] if told.get(tenant.name) == tenant else tenant
            for tenant in settings.tenants
        }
        self.tenant_counts = {name: self.tenant_counts.get(name, Counter()) for name in self.tenants}
        self._former = {name: end for name, end in self._former.items() if end >= now}
        self._former |= dict.fromkeys(told.keys() - self.tenants.keys(), now + RETIRED_CLASS_GRACE)
        told_kinds = {kind.name: kind for kind in old.classes}
        names = {kind.name for kind in settings.classes}
        gone = {kind.name: kind for kind in old.classes if kind.name not in names}
        until = {name: end for name, end in self._retired.items() if end >= now and name not in names}
        retired: dict[str, ClassSettings] = {name: self.classes[name] for name in until} | gone
        self._retired = until | dict.fromkeys(gone, now + RETIRED_CLASS_GRACE)
        self.classes = retired | {kind.name: kind for kind in settings.classes}
        for kind in settings.classes:  # what ran under a shorter window must not come again within this one
            was = told_kinds.get(kind.name)
            if was is not None and kind.idempotency_window_us > was.idempotency_window_us:
                self.idempotency_keys.extend(
                    kind.name,
                    span(kind.idempotency_window_us - was.idempotency_window_us),
                    now,
                    span(kind.deadline_us),
                )
        if settings.load_signal is not old.load_signal:
            self.advertised_value = None  # it was a number of another kind
        self.settings = settings
        self._post(
            SettingsChanged(replace(settings, tenants=tuple(self.tenants.values())), tuple(retired.values()))
        )

    def _count(self, request: Request, what: str) -> None:
        self.counts[what] += 1
        if (counts := self.tenant_counts.get(request.inbound.tenant or "")) is not None:
            counts[what] += 1

    # From backends and stores.

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None:
        request = self._find(id)
        if request is None:
            return
        if outcome is Outcome.CANCELLED and request.pause_requested and not request.responded:
            request.pause_requested = False
            request.known_to_have_run = True
            dropped = self.settings.preemption_mode is PreemptionMode.DROP
            request.stage = Stage.QUEUED if dropped else Stage.PAUSED
        else:
            if request.stage is Stage.CALLING:
                self._ports.store.abandon_call(request)
            request.stage = Stage.FINISHED
            self._respond(request, self._response_for(request, outcome, result))
            self._forward_result(request, outcome, result)
            if outcome is Outcome.CANCELLED:
                # It was not halted, and is over here: told as cancelled, the module would take it for paused,
                # and keep it beside a request that comes under its id later.
                outcome = Outcome.ERROR
        self._post(RunEnded(id, outcome, span_us(elapsed)))
        self._release_if_over(request)

    def _response_for(self, request: Request, outcome: Outcome, result: bytes) -> Response:
        if outcome is Outcome.OK:
            return Response(ResponseStatus.DONE, result)
        if outcome.never_ran and not request.known_to_have_run:
            if request.idempotency_key:  # the work may come again
                self.idempotency_keys.drop(request.idempotency_key, request.id, kept_too=True)
            return Response(ResponseStatus.REJECTED, retry_after=self._retry_after())
        return Response(ResponseStatus.FAILED)

    def backend_ready(self) -> None:
        self.on_backend_ready()

    def call_needed(self, id: str, body: bytes) -> None:
        request = self._find(id)
        if request is not None:
            request.stage, request.call_body, request.known_to_have_run = Stage.AWAITING_CALL, body, True
            request.pause_requested = False  # it came to the call before the halt reached it
            self._post(CallNeeded(id))

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None:
        request = self._find(id)
        if request is None or request.stage is not Stage.CALLING:
            return
        now = self._timeline.now()
        elapsed = now - (request.call_started_at or now)
        request.call_failed = outcome is not Outcome.OK
        if outcome is Outcome.OK:
            request.stage = Stage.RUNNING
            request.backend.supply(request, reply)
        else:
            request.stage = Stage.AWAITING_CALL
        self._post(CallEnded(id, outcome, span_us(elapsed)))

    def pool_capacity(self, pool: str, most: int) -> None:
        self._post(PoolCapacityChanged(pool, most))

    def gauges(self, values: Mapping[str, float]) -> None:
        self._readings, self._read_at = values, self._timeline.now()
        if self._ticks:
            self._post_ticks()

    # Other processes of this node.

    def set_capacity_share(self, share: float, most_requests: int) -> None:
        """This process's part of the node's room, from now on."""
        self._most = min(most_requests, self._requests.limit)
        self._post(PortionChanged(share))

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Of the node's room: what is in use here, and what all that is in hand may come to use."""
        return self._controller.memory_and_concurrency_in_use()

    def measurements(self) -> dict[str, object]:
        return self._controller.measurements().to_json()

    def adopt_measurements(self, learnt: Mapping[str, object]) -> None:
        """What the module of another process of this node has learnt; what makes no sense is left out."""
        self._post(Measurements.from_mapping(learnt))

    def adopt_remote_key(self, key: IdempotencyKey, told: KeyRecord) -> None:
        """Another process says this of a piece of work."""
        kind = self.classes.get(key[0])
        self.idempotency_keys.adopt(key, told, self._timeline.now(), span(kind.deadline_us) if kind else ZERO)
        if told.finished or told.result is not None:
            self._abroad_over(key, told.result)

    def forget_remote_key(self, key: IdempotencyKey, id: str) -> None:
        """The other's try never ran."""
        if self.idempotency_keys.forget(key, id):
            self._abroad_over(key, None)

    def mark_remote_outcomes_unknown(self, until: datetime) -> None:
        """Nobody will say any more how the others' tries ended."""
        for key in self.idempotency_keys.mark_remote_outcomes_unknown(until, self._timeline.now()):
            self._abroad_over(key, None)

    def _abroad_over(self, key: IdempotencyKey, result: bytes | None) -> None:
        for id in self._claims_elsewhere.pop(key, ()):
            if (repeat := self._find(id)) is not None and repeat.stage is Stage.ATTACHED:
                self._share(repeat, Outcome.ERROR if result is None else Outcome.OK, result or b"")

    # The drain.

    def drain(self, stops_at: datetime, noticed: datetime | None = None) -> None:
        """The notice to leave: arrivals of the grace may run, and all is answered before the end.

        The grace counts from when the notice came, which may be before this is told.
        """
        if not self.serving_state.begin_drain():
            return
        noticed = noticed or self._timeline.now()
        self._run_after = noticed + span(self.settings.drain_grace_us)
        self._end_at(stops_at)
        self._post(Drain(instant_us(stops_at), noticed_at=instant_us(noticed)))
        self._timeline.at(
            min(self._run_after, stops_at - STOP_MARGIN),
            lambda: self._timeline.after_reading(self._grace_over),
        )

    def begin_hand_over(self, stops_at: datetime) -> None:
        """Another process takes what comes from now on: what is here, and still comes here, is run as ever."""
        if self.stops_at is None:
            self.serving_state.begin_hand_over()
            self._end_at(stops_at)
            self._post(Drain(instant_us(stops_at), has_successor=True))
            # What has come to a socket of this process alone is read first: nobody else will.
            self._timeline.after_reading(self._handed_over)

    def _handed_over(self) -> None:
        if not self.shutdown_requested:  # else the successor was lost meanwhile: it is a drain by now
            self._grace_over()

    def _end_at(self, stops_at: datetime) -> None:
        self.stops_at = min(stops_at, self.stops_at or stops_at)
        log.info("leaving: %d in hand, %d unanswered", self.in_flight, self.unanswered)
        self._timeline.at(self.stops_at - STOP_MARGIN, self._answer_remaining)

    def _grace_over(self) -> None:
        for front in self._frontends:
            front.stop_accepting()
        self.on_grace_over()

    def _answer_remaining(self) -> None:
        """The module answers well before this; it is what stands behind it."""
        for request in self._requests:
            self._abandon(request)

    # Turns of the module.

    def _post(self, event: Event) -> None:
        self._events.append(event)
        if not self._turn_due:
            self._turn_due = True
            self._timeline.soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_due = False
        events, self._events = self._events, []
        self._decide(events)

    def _decide(self, events: list[Event]) -> None:
        for action in self._controller.decide(instant_us(self._timeline.now()), events):
            try:
                self._execute(action)
            except Exception:  # one action that fails must not take the others of its turn along
                log.exception("%s was not carried out", action)

    def _execute(self, action: Action) -> None:
        match action:
            case SetTimer(after_us, tag):
                self._timeline.at(self._timeline.now() + span(after_us), lambda: self._timer(tag))
            case Advertise(value):
                self.advertised_value = value
            case Health(_, good):
                self._module_well = good
            case IdleLimit(after_us):
                for front in self._frontends:
                    front.limit_idle_time(span(after_us))
            case Log(text):
                log.info("module: %s", text)
            case _ if (request := self._find(action.id)) is not None:
                self._execute_on_request(request, action)

    def _execute_on_request(self, request: Request, action: Action) -> None:
        match action:
            case Run():
                self._run(request)
            case Preempt():
                if request.stage is Stage.RUNNING:
                    request.pause_requested = True
                    request.backend.pause(request)
            case Reject(_, retry_after_us, give_up):
                if request.may_have_run and request.class_settings.effect is not Effect.SAFE:
                    log.error("the module refused work that has run: failed instead")
                    self._respond(request, Response(ResponseStatus.FAILED))
                else:
                    self._respond(
                        request,
                        Response(
                            ResponseStatus.REJECTED, retry_after=span(retry_after_us), no_failover=give_up
                        ),
                    )
            case Fail():
                verdict = ResponseStatus.FAILED if request.call_failed else ResponseStatus.EXPIRED
                self._respond(request, Response(verdict))
            case KeepKey(_, lifetime_us):
                self._keep(request, span(lifetime_us))
            case ForgetKey():
                if request.idempotency_key:
                    self.idempotency_keys.drop(request.idempotency_key, request.id, kept_too=True)
            case Attach():
                self._attach(request)
            case Call(_, until_us):
                self._call(request, instant(until_us))
            case SkipCall():
                request.stage, request.call_failed = Stage.RUNNING, False
                request.backend.skip(request)
        self._release_if_over(request)

    def _run(self, request: Request) -> None:
        """The one place where work is started. It stands behind the module on the rules that cost a life."""
        effect = request.class_settings.effect is not Effect.SAFE
        late = self._run_after is not None and request.inbound.arrived_at > self._run_after
        if (
            request.responded
            or late
            or (effect and request.may_have_run and request.stage is not Stage.PAUSED)
        ):
            log.error("the module would run %s against the rules: given up", request.id)
            self._abandon(request)
            self._post(ClientDisconnected(request.id))
        elif request.stage is Stage.PAUSED:
            request.stage = Stage.RUNNING
            request.backend.resume(request)
        elif request.stage is Stage.QUEUED:
            request.stage, request.may_have_run = Stage.RUNNING, True
            if request.class_settings.effect is Effect.UNSAFE:
                self._keep(
                    request,
                    span(request.class_settings.idempotency_window_us + request.class_settings.deadline_us),
                )
            self._count(request, "runs")
            request.backend.start(request)

    def _call(self, request: Request, until: datetime) -> None:
        if request.stage is not Stage.AWAITING_CALL:
            return
        request.stage, request.call_started_at = Stage.CALLING, self._timeline.now()
        self._count(request, "calls")
        self._ports.store.call(request, until)

    # Repeats of work that has an effect.

    def _keep(self, request: Request, window: timedelta) -> None:
        """Its name stands for so long from now on. A try that lies unread past its deadline is never run."""
        if request.idempotency_key:
            now, unread = self._timeline.now(), span(request.class_settings.deadline_us)
            self.idempotency_keys.retain(
                request.idempotency_key, request.id, now + window, now, unread, request.inbound.digest
            )

    def _standing(self, repeat: Request, known: KeyRecord) -> Request | None:
        """The try that stands for the work, while it is in hand here. Clients may use an id again for other work."""
        original = None if known.is_remote or known.finished else self._find(known.request_id)
        return (
            original if original is not None and original.idempotency_key == repeat.idempotency_key else None
        )

    def _attach(self, request: Request) -> None:
        key = request.idempotency_key or (request.inbound.request_class, "")
        known = self.idempotency_keys.find(key, self._post_arrival(request))
        original = self._standing(request, known) if known else None
        request.stage = Stage.ATTACHED
        if known and known.result is not None:
            self._share(request, Outcome.OK, known.result)
        elif original is not None and original is not request:
            original.attached_request_ids.append(request.id)
        elif known is not None and known.is_remote and not known.finished:
            self._claims_elsewhere.setdefault(key, []).append(request.id)
        else:
            self._share(request, Outcome.ERROR, b"")

    def _forward_result(self, request: Request, outcome: Outcome, result: bytes) -> None:
        """The end of a run, to the repeats that wait for it and those still to come."""
        if request.idempotency_key and request.class_settings.effect is Effect.KEYED:
            self.idempotency_keys.finish(
                request.idempotency_key, request.id, result if outcome is Outcome.OK else None
            )
        for id in request.attached_request_ids:
            repeat = self._find(id)
            if repeat is not None and repeat.stage is Stage.ATTACHED:
                self._share(repeat, outcome if outcome is Outcome.OK else Outcome.ERROR, result)
        request.attached_request_ids.clear()

    def _share(self, repeat: Request, outcome: Outcome, result: bytes) -> None:
        repeat.stage = Stage.FINISHED
        self._respond(
            repeat,
            Response(ResponseStatus.DONE, result)
            if outcome is Outcome.OK
            else Response(ResponseStatus.FAILED),
        )
        self._post(RunEnded(repeat.id, outcome, 0))
        self._release_if_over(repeat)

    # Timers.

    def _timer(self, tag: int) -> None:
        self._ticks.append(tag)
        if self._read_at is not None and self._timeline.now() - self._read_at <= GAUGES_MAX_AGE:
            return self._post_ticks()
        self._ports.gauges.request_gauges()
        if self._tick_wait is None:
            self._tick_wait = self._timeline.at(self._timeline.now() + GAUGES_TIMEOUT, self._post_ticks)

    def _post_ticks(self) -> None:
        self._timeline.cancel(self._tick_wait)
        self._tick_wait = None
        for tag in self._ticks:
            self._post(TimerDue(tag, self._readings))
        self._ticks.clear()

    # The end of requests.

    def _overdue(self, request: Request) -> None:
        """Behind the module, which answers earlier: at the due time the answer goes out whatever happens."""
        if not request.responded:
            log.warning("%s was still unanswered when due", request.id)
            self._abandon(request)
            self._post(ClientDisconnected(request.id))

    def _abandon(self, request: Request) -> None:
        if request.responded:
            return
        if request.may_have_run:
            self._respond(request, Response(ResponseStatus.EXPIRED))
        else:
            self._respond(request, Response(ResponseStatus.REJECTED, retry_after=self._retry_after()))
        self._release_if_over(request)

    def _retry_after(self) -> timedelta:
        """How long a caller is asked to stay away where the module was not asked."""
        return span(self.settings.max_retry_after_us) if self.settings.sends_retry_after else ZERO

    def _respond(self, request: Request, answer: Response) -> None:
        """The one place where final answers go out."""
        if request.responded:
            return
        self._count(request, answer.status.value)
        request.frontend.deliver(request.response_handle, answer)
        self._settle(request)

    def _settle(self, request: Request) -> None:
        """No answer is owed any more: what is not running is over, what runs is told."""
        request.responded = True
        self._unanswered -= 1
        self._timeline.cancel(request.deadline_timer)
        if request.stage in (Stage.RUNNING, Stage.AWAITING_CALL, Stage.CALLING):
            request.backend.abandon(request)
        elif request.stage is not Stage.FINISHED:
            if request.idempotency_key and request.stage is Stage.QUEUED and not request.may_have_run:
                self.idempotency_keys.drop(
                    request.idempotency_key, request.id, kept_too=True
                )  # it never began: its name is free
            request.stage = Stage.FINISHED
            self._forward_result(request, Outcome.ERROR, b"")
        self._release_if_over(request)

    def _release_if_over(self, request: Request) -> None:
        """The one place where a request's slot is given back: answered, and its run over."""
        if request.responded and request.stage is Stage.FINISHED and self._requests.free(request.handle):
            del self._by_id[request.id]
            if request.idempotency_key:
                self.idempotency_keys.drop(request.idempotency_key, request.id, kept_too=False)

    def _find(self, id: str) -> Request | None:
        handle = self._by_id.get(id)
        return None if handle is None else self._requests.get(handle)
