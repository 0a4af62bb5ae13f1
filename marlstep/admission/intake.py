"""Arrivals: which are queued, attached to the run that they repeat, or rejected at once."""

from dataclasses import dataclass

from marlstep.admission.actions import Attach, Reject
from marlstep.admission.entry import Entry, State
from marlstep.admission.events import Arrival
from marlstep.admission.lifecycle import RequestLifecycle
from marlstep.admission.memory_ledger import MemoryLedger
from marlstep.admission.run_queue import RunQueue
from marlstep.admission.server_state import ServerState


@dataclass(slots=True)
class Intake:
    """Takes arrivals in."""

    state: ServerState
    memory: MemoryLedger
    lifecycle: RequestLifecycle
    queue: RunQueue

    def arrive(self, event: Arrival) -> None:
        """Take in a request that has been read."""
        request_class = self.state.classes.get(event.request_class)
        if request_class is None:
            self.state.actions.append(Reject(event.id, 0, give_up=True))
            return
        if replaced := self.state.entries.by_id.get(event.id):  # its sender is done with the one before
            replaced.response_owed = False
            self.state.entries.release_key(replaced)
            self.lifecycle.finish(replaced)
        weight = request_class.priority_weight * self._quota_factor(event.tenant)
        entry = Entry.from_arrival(event, request_class, weight, self.state.now)
        self.state.add(entry, event.unread_us)
        self._place(entry, event.prior)

    def _quota_factor(self, tenant: str | None) -> float:
        """Give less weight to what is beyond its tenant's quota; up to a second's quota may come at once."""
        quotas, now = self.state.quotas_per_s, self.state.now
        if not quotas or tenant is None:
            return 1.0
        rate = quotas.get(tenant, 0.0)
        is_within = tenant in quotas and self.state.buckets.take(tenant, rate, max(1.0, rate), now)
        return 1.0 if is_within else self.state.settings.over_quota_factor

    def _place(self, entry: Entry, prior_id: str | None) -> None:
        prior = self.state.entries.latest_attempt(prior_id, entry) if prior_id else None
        if prior_id and entry.is_keyed and not (prior and not prior.has_run):
            self._attach(entry)
        elif entry.arrived_at > self.state.last_runnable_arrival_at or not self._fits_queue(entry, prior):
            entry.superseded_by = prior
            self.lifecycle.reject_or_fail(entry)
        elif entry.is_keyed:
            self._keep_key(entry, prior)

    def _attach(self, entry: Entry) -> None:
        """Let a repeat of what has run, or may have, share that result: it never runs itself."""
        entry.has_run = True
        if self.memory.fits(0.0):
            self.state.actions.append(Attach(entry.id))
            self.state.move(entry, State.ATTACHED)
        else:
            self.lifecycle.reject_or_fail(entry)

    def _keep_key(self, entry: Entry, prior: Entry | None) -> None:
        """Keep an entry's key before its run; the attempt that its caller has left gives up its place."""
        if prior:
            self.state.entries.release_key(prior)
        self.state.keep_key(entry)
        if prior:
            entry.arrival_number, prior.superseded_by = prior.arrival_number, entry
            self.lifecycle.reject_or_fail(prior)

    def _fits_queue(self, entry: Entry, prior: Entry | None) -> bool:
        """Tell whether the queue, this entry and its key fit; what is worth nothing gives way first."""
        bound = self.memory.queue_limit_kb(entry, prior)
        entries = self.state.entries
        if not self.memory.could_ever_run(entry):
            return False
        for other in entries.in_states(State.PAUSED, State.QUEUED):
            if entries.memory_kb > bound and other is not entry and self.queue.current_weight(other) <= 0:
                self.lifecycle.reject_or_fail(other)
        return entries.memory_kb <= bound
