"""The admission controller: maps events and the time to actions, without a clock or I/O (docs/design.md).

Types: marlstep/admission/settings.py, marlstep/admission/events.py, marlstep/admission/actions.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marlstep.admission import events
from marlstep.admission.actions import Action, Health, IdleLimit
from marlstep.admission.concurrency_limit import ConcurrencyLimit, is_cpu_busy
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.deadlines import drain_response_deadline, last_runnable_arrival
from marlstep.admission.downstream_calls import DownstreamCalls
from marlstep.admission.entry import Entry, State
from marlstep.admission.idle_timeout import adjusted_idle_timeout_us, connections_to_retain
from marlstep.admission.intake import Intake
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.retry_advisor import RetryAdvisor
from marlstep.admission.run_queue import RunQueue
from marlstep.admission.settings import ClassSettings, LoadSignal, Settings
from marlstep.admission.timing import NEVER, SECOND_US
from marlstep.admission.turn_timer import TurnTimer

# Paused runs need no tick: they are resumed when another run ends, or handled when their objective is due.
STATES_CHECKED_EACH_TICK = (State.QUEUED, State.STOPPING, State.AWAITING_CALL)
CPU_GAUGE = "cpu"  # share of the cores in use
CONNECTIONS_GAUGE = "conns"
CPU_LOAD_IF_UNKNOWN = 1.0  # without a measurement the cores are assumed to be busy


class Controller:
    """Makes the admission decisions of one server by composing the components below.

    Each call of `decide` is a turn: the events are dispatched to the components, due requests get their final
    response, downstream calls are made, and queued or paused runs are started.

    Attributes:
        state: State shared by the components: requests, measurements, the settings in force, the clock.
        concurrency: The limit on concurrent runs.
        memory: The memory limits.
        advisor: Computes Retry-After and callers' credit.
        lifecycle: Gives final responses.
        queue: Orders, starts and preempts runs.
        intake: Handles arrivals.
        calls: Makes downstream calls.
        timer: The controller's timer.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the components.

        Args:
            settings: Settings in force until a `SettingsChanged`.
            seed: Not used, since no decision is random; the simulator passes a seed to every controller.
        """
        del seed
        self.state = ControllerState(settings)
        self.concurrency = ConcurrencyLimit(self.state)
        self.memory = MemoryLedger(self.state)
        self.advisor = RetryAdvisor(self.state, self.concurrency)
        self.lifecycle = RequestLifecycle(self.state, self.advisor)
        self.queue = RunQueue(self.state, self.concurrency, self.memory, self.lifecycle)
        self.intake = Intake(self.state, self.memory, self.lifecycle, self.queue)
        self.calls = DownstreamCalls(self.state, self.lifecycle)
        self.timer = TurnTimer()
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.Arrival: self.intake.handle_arrival,
            events.ClientDisconnected: self._on_client_disconnected,
            events.CallNeeded: self._on_call_needed,
            events.CallEnded: self._on_call_ended,
            events.RunEnded: self._on_run_ended,
            events.TimerDue: self._on_timer,
            events.Drain: self._on_drain,
            events.Measurements: self._on_measurements,
            events.SettingsChanged: self._on_settings_changed,
            events.QuotaChanged: self._on_quota_changed,
            events.PoolCapacityChanged: self._on_pool_capacity_changed,
            events.PortionChanged: self._on_portion_changed,
            events.BackendStarted: self._on_backend_started,
        }
        self._apply_settings(settings, ())

    def decide(self, now_us: int, new_events: list[events.Event]) -> list[Action]:
        """Process the events since the last turn, and return the actions to carry out, in this order.

        Args:
            now_us: The time in microseconds, not before that of the last turn.
            new_events: Events since the last turn, in the order in which they happened.
        """
        is_first_turn = self.state.begin_turn(now_us)
        if is_first_turn:
            self.concurrency.adjusted_at = now_us
            self.state.actions.append(Health(stored=True, good=True))
        for event in new_events:
            self._handlers[type(event)](event)
        for entry in self.state.due_entries():
            self._respond_if_due(entry)
        self.calls.dispatch()
        self.queue.fill()
        self._arm_timer()
        return self.state.actions

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return the share of the server in use, and the share that all requests in flight may need."""
        return self.state.memory_and_concurrency_in_use()

    def measurements(self) -> events.Measurements:
        """Return the measurements to pass to the controller of another process of this server."""
        return events.Measurements(
            limit=self.concurrency.limit,
            least_run_us=self.state.statistics.least_run_us,
            usual_call_us=self.state.call_latency.usual_us,
            mean_call_us=self.state.call_latency.mean_us,
            mean_run_us=dict(self.state.statistics.mean_run_us),
        )

    # Request events. Events of requests that are unknown or already finished are ignored.

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.lifecycle.abandon(entry)

    def _on_call_needed(self, event: events.CallNeeded) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.state.await_call(entry)

    def _on_call_ended(self, event: events.CallEnded) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.calls.handle_call_ended(entry, event)

    def _on_run_ended(self, event: events.RunEnded) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.queue.handle_run_ended(entry, event.outcome)

    # Server events.

    def _on_drain(self, event: events.Drain) -> None:
        """Bring deadlines forward so that all requests get a response before the process is stopped.

        Without a successor, health also turns bad and arrivals after the grace period are not run. With a
        successor, which replaces this process, late arrivals still run and health stays good.
        """
        self.state.respond_by = drain_response_deadline(event.stops_at, self.state.tick_us)
        if not event.has_successor:
            noticed_at = event.noticed_at or self.state.now
            self.state.last_runnable_arrival_at = last_runnable_arrival(
                noticed_at, self.state.settings.drain_grace_us
            )
            self.state.actions.append(Health(stored=True, good=False))
        for entry in self.state.entries.by_id.values():
            entry.deadline_at = min(entry.deadline_at, self.state.respond_by)
            self.state.wakeups.add(entry, entry.deadline_at - self.state.response_lead_us)

    def _on_timer(self, event: events.TimerDue) -> None:
        self.timer.mark_fired(event.tag)
        self.queue.resume_unstopped()
        if self.state.settings.load_signal is LoadSignal.CREDIT:
            self.advisor.advertise_credit()
        if self.state.now - self.concurrency.adjusted_at >= SECOND_US:
            self._end_second(event)

    def _end_second(self, event: events.TimerDue) -> None:
        """Adapt the limit and the idle timeout to the second that ends, and decay the measurements."""
        is_busy = is_cpu_busy(event.gauges.get(CPU_GAUGE, CPU_LOAD_IF_UNKNOWN))
        self.concurrency.adjust(is_busy)
        self._adjust_idle_timeout(event.gauges.get(CONNECTIONS_GAUGE, 0.0), is_busy)
        self.state.end_second()

    def _adjust_idle_timeout(self, open_connections: float, is_busy: bool) -> None:
        """Adjust the idle timeout to the number of open connections, if both are known."""
        state = self.state
        if not open_connections or not state.idle_timeout_us:
            return
        retained = connections_to_retain(
            state.entries.count_in_flight(), is_busy, state.settings.cores, state.max_concurrency
        )
        state.idle_timeout_us = adjusted_idle_timeout_us(
            state.idle_timeout_us, retained, open_connections, state.tick_us, state.settings.idle_timeout_us
        )
        state.actions.append(IdleLimit(state.idle_timeout_us))

    def _on_measurements(self, event: events.Measurements) -> None:
        self.concurrency.adopt(event.limit)
        self.state.statistics.adopt(event.mean_run_us, event.least_run_us)
        self.state.call_latency.adopt(event.usual_call_us, event.mean_call_us)

    def _on_settings_changed(self, event: events.SettingsChanged) -> None:
        self._apply_settings(event.settings, event.retired)
        if self.state.idle_timeout_us > 0:
            self.state.actions.append(IdleLimit(self.state.idle_timeout_us))

    def _apply_settings(self, settings: Settings, retired: tuple[ClassSettings, ...]) -> None:
        """Apply settings at the start or after a change; measurements are kept."""
        self.state.configure(settings, retired)
        self.concurrency.clamp()
        self.calls.configure()
        self.advisor.advertised_credit = 0.0

    def _on_quota_changed(self, event: events.QuotaChanged) -> None:
        self.state.set_quota(event.tenant, event.per_s)

    def _on_pool_capacity_changed(self, event: events.PoolCapacityChanged) -> None:
        self.state.entries.pool_capacity[event.pool] = event.capacity

    def _on_portion_changed(self, event: events.PortionChanged) -> None:
        self.state.set_portion(event.portion)
        self.calls.apply_portion()

    def _on_backend_started(self, event: events.BackendStarted) -> None:
        self.state.set_backend_start(event.age_us, event.is_cold)
        self.concurrency.clamp()

    # Last steps of a turn: due responses and the timer.

    def _respond_if_due(self, entry: Entry) -> None:
        """Give the final response if the deadline is near, else schedule another check."""
        if not entry.response_owed:
            return
        respond_at = entry.deadline_at - self.state.response_lead_us
        if respond_at <= self.state.now:
            self.lifecycle.reject_or_fail(entry)
        else:
            self.state.wakeups.add(entry, respond_at)

    def _arm_timer(self) -> None:
        """Set the timer for the next wakeup, or for the next tick or second if requests need that sooner."""
        now, entries = self.state.now, self.state.entries
        next_check = NEVER
        if entries.count(*STATES_CHECKED_EACH_TICK):
            next_check = now + self.state.tick_us
        elif entries.count_in_flight():
            next_check = self.concurrency.adjusted_at + SECOND_US
        due = min(next_check, self.state.wakeups.next_due())
        self.state.actions += self.timer.arm(now, due)
