"""Memory: what may be queued, run and attached, and for how long idempotency keys are kept in it."""

from dataclasses import dataclass

from marlstep.admission.entry import Entry, State
from marlstep.admission.server_state import ServerState

MAX_QUEUE_MEMORY_FRACTION = 0.8  # of memory, fills the queue; the rest is for runs that start out of it
MAX_MEMORY_FRACTION = (
    0.95  # of memory, no start goes past it: sizes are exact, the rest is for repeats that attach
)


@dataclass(slots=True)
class MemoryLedger:
    """The bounds on the memory that the entries and their keys take."""

    state: ServerState

    def fits(self, growth_kb: float) -> bool:
        """Tell whether a run may start that takes so much more, or a repeat be attached."""
        return self.state.entries.memory_kb + growth_kb <= MAX_MEMORY_FRACTION * self.state.memory_kb

    def could_ever_run(self, entry: Entry) -> bool:
        """Tell whether an entry would fit alone; else it would fill the queue until its objective is past."""
        return self.state.entries.size(entry, State.RUNNING) <= MAX_MEMORY_FRACTION * self.state.memory_kb

    def queue_bound(self, entry: Entry, prior: Entry | None) -> float:
        """Give the bound of the queue, which leaves room for the entry's key where that is new."""
        is_new_key = entry.is_keyed and not (prior and prior.key_kept_until)
        return (
            MAX_QUEUE_MEMORY_FRACTION * self.state.memory_kb
            - self.state.settings.idempotency_key_kb * is_new_key
        )
