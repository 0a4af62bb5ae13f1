"""Memory: what may be queued, run and attached beside what is already there."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State

MAX_QUEUE_MEMORY_FRACTION = 0.8  # of memory, for arrivals that are queued; the rest is for runs that start
MAX_MEMORY_FRACTION = 0.95  # of memory, for starts; the rest is for repeats that attach


@dataclass(slots=True)
class MemoryLedger:
    """The bounds on the memory that requests and idempotency keys take. Sizes are kilobytes."""

    state: ControllerState

    def fits(self, growth_kb: float) -> bool:
        """Return whether a run that takes so much more memory may start, or a repeat may attach."""
        return self.state.entries.memory_kb + growth_kb <= MAX_MEMORY_FRACTION * self.state.memory_kb

    def could_ever_run(self, entry: Entry) -> bool:
        """Return whether a request could run if it were alone.

        One that could not would only take memory from others in the queue until its objective is past.
        """
        running_kb = self.state.entries.size(entry, State.RUNNING)
        return running_kb <= MAX_MEMORY_FRACTION * self.state.memory_kb

    def queue_limit_kb(self, entry: Entry, prior: Entry | None) -> float:
        """Return how much memory may be in use for an arrival to be queued.

        It leaves room for the arrival's idempotency key, unless it takes over the key of the attempt that it
        repeats.

        Args:
            entry: the arrival; its own memory is already counted.
            prior: the attempt that it repeats, if any.
        """
        limit_kb = MAX_QUEUE_MEMORY_FRACTION * self.state.memory_kb
        takes_over_key = prior is not None and prior.key_kept_until > 0
        if entry.is_keyed and not takes_over_key:
            limit_kb -= self.state.settings.idempotency_key_kb
        return limit_kb
