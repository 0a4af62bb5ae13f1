"""Intake of arrivals: queues them, attaches them to the run that they repeat, or rejects them."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.actions import Attach, Reject
from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State
from marlstep.admission.events import Arrival
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.run_queue import RunQueue

MIN_QUOTA_BURST = 1.0  # requests; even with a quota below one per second, a single request counts in full
FULL_WEIGHT = 1.0


def quota_burst(quota_per_s: float) -> float:
    """Return the burst size of a tenant's quota, in requests: the quota of one second, but at least one."""
    return max(MIN_QUOTA_BURST, quota_per_s)


def must_share_result(entry: Entry, prior_id: str | None, prior: Entry | None) -> bool:
    """Return whether an arrival must be attached to the run of another attempt instead of being run.

    A repeat with an idempotency key must not run if the attempt that it repeats has run, or may have run
    because it is no longer known. If that attempt is known not to have run, the repeat takes its place in the
    queue.

    Args:
        entry: The arrival.
        prior_id: ID of the attempt that it repeats, if any.
        prior: The latest attempt for that ID, if still known.
    """
    if not entry.is_keyed or not prior_id:
        return False
    return prior is None or prior.has_run


@dataclass(slots=True)
class Intake:
    """Queues, attaches or rejects arrivals."""

    state: ControllerState
    memory: MemoryLedger
    lifecycle: RequestLifecycle
    queue: RunQueue

    def handle_arrival(self, event: Arrival) -> None:
        """Handle a request that has been read; one of an unknown class is rejected without failover."""
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
        self._admit(entry, event.prior)

    def _discard(self, replaced: Entry) -> None:
        """Drop a request whose ID has arrived again; its sender no longer waits for the earlier one."""
        replaced.response_owed = False
        self.state.entries.release_key_memory(replaced)
        self.lifecycle.finish(replaced)

    def _quota_factor(self, tenant: str | None) -> float:
        """Return the factor by which the tenant's quota reduces a request's priority weight.

        Requests within the quota keep their full weight. Requests beyond it and those of unknown tenants get
        `over_quota_factor`. If the settings have no tenants, all requests keep their full weight.
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

    def _admit(self, entry: Entry, prior_id: str | None) -> None:
        """Attach a queued arrival to the run that it repeats, leave it in the queue, or reject it."""
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
        """Return whether an arrival is within a drain's grace period and would fit in memory on its own."""
        is_in_time = entry.arrived_at <= self.state.last_runnable_arrival_at
        return is_in_time and self.memory.could_ever_run(entry)

    def _make_room_for(self, entry: Entry, prior: Entry | None) -> bool:
        """Evict worthless waiting requests if memory is short; return whether the arrival fits."""
        limit_kb = self.memory.queue_limit_kb(entry, prior)
        self._evict_down_to(limit_kb, entry)
        return self.state.entries.memory_kb <= limit_kb

    def _evict_down_to(self, limit_kb: float, arrival: Entry) -> None:
        """Evict waiting requests whose response would earn nothing until the memory is within the limit."""
        entries = self.state.entries
        for waiting in entries.in_states(State.PAUSED, State.QUEUED):
            if entries.memory_kb <= limit_kb:
                return
            if waiting is not arrival and self.queue.current_weight(waiting) <= 0:
                self.lifecycle.reject_or_fail(waiting)

    def _attach(self, entry: Entry) -> None:
        """Attach a repeat to the attempt that ran, to share its result; fail it if memory is short."""
        entry.has_run = True
        if self.memory.fits(0.0):
            self.state.actions.append(Attach(entry.id))
            self.state.move(entry, State.ATTACHED)
        else:
            self.lifecycle.reject_or_fail(entry)

    def _supersede(self, prior: Entry, entry: Entry) -> None:
        """Give an arrival the key and queue position of the attempt that it repeats, and reject that one."""
        self.state.entries.release_key_memory(prior)
        self.state.keep_key(entry)
        entry.arrival_number = prior.arrival_number
        prior.superseded_by = entry
        self.lifecycle.reject_or_fail(prior)
