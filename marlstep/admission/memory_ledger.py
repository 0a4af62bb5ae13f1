"""Memory limits for queueing, starting and attaching requests."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.admission.controller_state import ControllerState
from marlstep.admission.entry import Entry, State

# Of memory, limit for queueing arrivals; the rest is for starts and attached repeats.
MAX_QUEUE_MEMORY_FRACTION = 0.8
MAX_MEMORY_FRACTION = 0.95  # of memory, limit for starts and for attaching repeats


@dataclass(slots=True)
class MemoryLedger:
    """Limits on the memory that requests and idempotency keys take. Sizes are kilobytes."""

    state: ControllerState

    def fits(self, growth_kb: float) -> bool:
        """Return whether memory allows a start that adds `growth_kb`, or, with 0, attaching a repeat."""
        return self.state.entries.memory_kb + growth_kb <= MAX_MEMORY_FRACTION * self.state.memory_kb

    def could_ever_run(self, entry: Entry) -> bool:
        """Return whether a request could run if it were the only one.

        A request that could not would only take queue memory from others until its objective has passed.
        """
        running_kb = self.state.entries.size(entry, State.RUNNING)
        return running_kb <= MAX_MEMORY_FRACTION * self.state.memory_kb

    def queue_limit_kb(self, entry: Entry, prior: Entry | None) -> float:
        """Return the memory use up to which an arrival may be queued.

        The limit leaves room for the arrival's idempotency key, unless it takes over the key of the attempt
        that it repeats.

        Args:
            entry: The arrival; its own memory is already counted.
            prior: The attempt that it repeats, if any.
        """
        limit_kb = MAX_QUEUE_MEMORY_FRACTION * self.state.memory_kb
        takes_over_key = prior is not None and prior.key_kept_until > 0
        if entry.is_keyed and not takes_over_key:
            limit_kb -= self.state.settings.idempotency_key_kb
        return limit_kb
