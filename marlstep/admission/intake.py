"""Arrivals: which are queued, attached to the run that they repeat, or rejected at once."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Attach, Reject
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State
from marlstep.admission.events import Arrival
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.run_queue import RunQueue

MIN_QUOTA_BURST = 1.0  # requests; a quota under one a second still lets one through in full
FULL_WEIGHT = 1.0


def quota_burst(quota_per_s: float) -> float:
    """Return how many requests of a tenant count in full at once: a second's quota, one at least."""
    return max(MIN_QUOTA_BURST, quota_per_s)


def must_share_result(entry: Entry, prior_id: str | None, prior: Entry | None) -> bool:
    """Return whether an arrival must be attached to the run of another attempt, and never run itself.

    A repeat with an idempotency key never runs, because the attempt that it repeats has run, or may have if
    it is no longer known. The exception is an attempt that is known not to have run: the repeat takes its
    place in the queue.

    Args:
        entry: the arrival.
        prior_id: the id of the attempt that it repeats, if it repeats one.
        prior: the latest attempt of that id, if it is still known.
    """
    if not entry.is_keyed or not prior_id:
        return False
    return prior is None or prior.has_run


@dataclass(slots=True)
class Intake:
    """Takes arrivals in."""

    state: ControllerState
    memory: MemoryLedger
    lifecycle: RequestLifecycle
    queue: RunQueue

    def arrive(self, event: Arrival) -> None:
        """Take in a request that has been read; one of an unknown class is rejected and not retried."""
        request_class = self.state.classes.get(event.request_class)
        if request_class is None:
            self.state.actions.append(Reject(event.id, 0, no_failover=True))
            return
        replaced = self.state.entries.by_id.get(event.id)
        if replaced is not None:
            self._discard(replaced)
        priority_weight = request_class.priority_weight * self._quota_factor(event.tenant)
        entry = Entry.from_arrival(event, request_class, priority_weight, self.state.now)
        self.state.add(entry, event.unread_us)
        self._place(entry, event.prior)

    def _discard(self, replaced: Entry) -> None:
        """Drop a request whose id has come again: its sender no longer waits for the one before."""
        replaced.response_owed = False
        self.state.entries.release_key_memory(replaced)
        self.lifecycle.finish(replaced)

    def _quota_factor(self, tenant: str | None) -> float:
        """Return the share of its class's priority weight that a request of this tenant has.

        Requests within the tenant's quota count in full, those beyond it and those of unknown tenants for the
        share that the settings give. Where the settings name no tenants, all count in full.
        """
        quotas_per_s = self.state.quotas_per_s
        if tenant is None or not quotas_per_s:
            return FULL_WEIGHT
        if tenant not in quotas_per_s:
            return self.state.settings.over_quota_factor
        rate_per_s = quotas_per_s[tenant]
        if self.state.buckets.take(tenant, rate_per_s, quota_burst(rate_per_s), self.state.now):
            return FULL_WEIGHT
        return self.state.settings.over_quota_factor

    def _place(self, entry: Entry, prior_id: str | None) -> None:
        """Attach an arrival to the run that it repeats, leave it in the queue, or reject it."""
        prior = self.state.entries.latest_attempt(prior_id, entry) if prior_id else None
        if must_share_result(entry, prior_id, prior):
            self._attach(entry)
        elif not (self._may_queue(entry) and self._make_room_for(entry, prior)):
            entry.superseded_by = prior
            self.lifecycle.reject_or_fail(entry)
        elif entry.is_keyed:
            if prior is None:
                self.state.keep_key(entry)
            else:
                self._supersede(prior, entry)

    def _may_queue(self, entry: Entry) -> bool:
        """Return whether an arrival came within the drain's grace and could run if it were alone."""
        is_in_time = entry.arrived_at <= self.state.last_runnable_arrival_at
        return is_in_time and self.memory.could_ever_run(entry)

    def _make_room_for(self, entry: Entry, prior: Entry | None) -> bool:
        """End waiting requests that can earn nothing while memory lacks; return whether there is enough."""
        limit_kb = self.memory.queue_limit_kb(entry, prior)
        self._evict_down_to(limit_kb, entry)
        return self.state.entries.memory_kb <= limit_kb

    def _evict_down_to(self, limit_kb: float, arrival: Entry) -> None:
        """End waiting requests that can earn nothing until the memory is within the limit."""
        entries = self.state.entries
        for waiting in entries.in_states(State.PAUSED, State.QUEUED):
            if entries.memory_kb <= limit_kb:
                return
            if waiting is not arrival and self.queue.current_weight(waiting) <= 0:
                self.lifecycle.reject_or_fail(waiting)

    def _attach(self, entry: Entry) -> None:
        """Let a repeat share the result of the attempt that ran; where memory lacks, it fails."""
        entry.has_run = True
        if self.memory.fits(0.0):
            self.state.actions.append(Attach(entry.id))
            self.state.move(entry, State.ATTACHED)
        else:
            self.lifecycle.reject_or_fail(entry)

    def _supersede(self, prior: Entry, entry: Entry) -> None:
        """Let an arrival take key and turn of the attempt that it repeats; that one is rejected."""
        self.state.entries.release_key_memory(prior)
        self.state.keep_key(entry)
        entry.arrival_number = prior.arrival_number
        prior.superseded_by = entry
        self.lifecycle.reject_or_fail(prior)
