"""The parts of the controller, put together, and what they are told of settings and other processes.

Nothing here decides: it wires the parts, and passes values on to those that own them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marlstep.admission.actions import IdleLimit
from marlstep.admission.concurrency_limit import ConcurrencyLimit
from marlstep.admission.downstream_calls import DownstreamCalls
from marlstep.admission.events import (
    Arrival,
    CallEnded,
    CallNeeded,
    ClientDisconnected,
    Measurements,
    PoolCapacityChanged,
    PortionChanged,
    QuotaChanged,
    RunEnded,
    SettingsChanged,
)
from marlstep.admission.intake import Intake
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.retry_advisor import RetryAdvisor
from marlstep.admission.run_queue import RunQueue
from marlstep.admission.server_state import ServerState
from marlstep.admission.settings import ClassSettings, Settings


class Parts:
    """One of each part, sharing one server state."""

    def __init__(self, settings: Settings) -> None:
        """Compose the parts."""
        self.state = ServerState(settings)
        self.concurrency = ConcurrencyLimit(self.state)
        self.memory = MemoryLedger(self.state)
        self.advisor = RetryAdvisor(self.state, self.concurrency)
        self.lifecycle = RequestLifecycle(self.state, self.advisor)
        self.queue = RunQueue(self.state, self.concurrency, self.memory, self.lifecycle)
        self.intake = Intake(self.state, self.memory, self.lifecycle, self.queue)
        self.calls = DownstreamCalls(self.state, self.lifecycle)
        self.configure(settings, ())

    def configure(self, settings: Settings, retired: tuple[ClassSettings, ...]) -> None:
        """Apply settings, at the start and whenever they change; what was measured stays."""
        self.state.configure(settings, retired)
        self.concurrency.clamp()
        self.calls.configure()
        self.advisor.advertised_credit = 0.0

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """Give what takes each kind of event, but for those of the controller itself."""
        return {
            Arrival: self.intake.arrive,
            ClientDisconnected: self._on_client_disconnected,
            CallNeeded: self._on_call_needed,
            CallEnded: self._on_call_ended,
            RunEnded: self._on_run_ended,
            QuotaChanged: self._on_quota_changed,
            SettingsChanged: self._on_settings_changed,
            Measurements: self._on_measurements,
            PoolCapacityChanged: self._on_pool_capacity_changed,
            PortionChanged: self._on_portion_changed,
        }

    def measurements(self) -> Measurements:
        """Give what was measured, for the controller of another process of this server."""
        return Measurements(
            limit=self.concurrency.limit,
            least_run_us=self.state.statistics.least_run_us,
            usual_call_us=self.state.call_latency.usual_us,
            mean_call_us=self.state.call_latency.mean_us,
            mean_run_us=dict(self.state.statistics.mean_run_us),
        )

    # Events of a request that has ended here are passed over.

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.lifecycle.abandon(entry)

    def _on_call_needed(self, event: CallNeeded) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.state.await_call(entry)

    def _on_call_ended(self, event: CallEnded) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.calls.end(entry, event)

    def _on_run_ended(self, event: RunEnded) -> None:
        if (entry := self.state.entries.unfinished(event.id)) is not None:
            self.queue.end(entry, event.outcome)

    def _on_measurements(self, event: Measurements) -> None:
        self.concurrency.adopt(event.limit)
        self.state.statistics.adopt(event.mean_run_us, event.least_run_us)
        self.state.call_latency.adopt(event.usual_call_us, event.mean_call_us)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        self.configure(event.settings, event.retired)
        if self.state.idle_us > 0:
            self.state.actions.append(IdleLimit(self.state.idle_us))

    def _on_pool_capacity_changed(self, event: PoolCapacityChanged) -> None:
        self.state.entries.pool_capacity[event.pool] = event.capacity

    def _on_portion_changed(self, event: PortionChanged) -> None:
        self.state.set_portion(event.portion)

    def _on_quota_changed(self, event: QuotaChanged) -> None:
        self.state.set_quota(event.tenant, event.per_s)
