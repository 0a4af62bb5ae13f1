"""The admission controller's requests by id and by state, with the memory that they take.

Counts only: what may enter a state, and when, is decided by the callers.
"""

from __future__ import annotations

from marlstep.admission.entry import IN_RUN, Entry, State
from marlstep.admission.settings import Settings

UNBOUNDED = float("inf")
COUNTS_AS_IN_RUN = {state: int(state in IN_RUN) for state in State}


class EntryIndex:
    """All entries by id; those that are not finished also by state, the running ones counted by pool."""

    def __init__(self, settings: Settings) -> None:
        """Start empty."""
        self.by_id: dict[str, Entry] = {}
        self.by_state: dict[State, dict[str, Entry]] = {state: {} for state in State}
        self.in_run_by_pool: dict[str, int] = {}
        self.pool_capacity: dict[str, int] = {}  # how many the servers of a pool run at once
        self.memory_kb = 0.0  # of all entries and kept keys
        self._added = 0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Follow new settings: count all memory anew."""
        self._run_factor, self.key_kb = settings.running_memory_factor, settings.idempotency_key_kb
        self._factors = dict.fromkeys(State, self._run_factor)
        self._factors |= {State.QUEUED: 1.0, State.ATTACHED: 1.0, State.FINISHED: 0.0}
        self.memory_kb = sum(
            self.size(entry, entry.state) + self.key_kb * (entry.key_kept_until > 0)
            for entry in self.by_id.values()
        )

    def add(self, entry: Entry) -> None:
        """Know an entry by its id, as the latest to arrive."""
        self._added += 1
        entry.arrival_number = self._added
        self.by_id[entry.id] = entry

    def unfinished(self, request_id: str) -> Entry | None:
        """Find the entry of this id, unless it is finished."""
        entry = self.by_id.get(request_id)
        return entry if entry is not None and entry.state is not State.FINISHED else None

    def latest_attempt(self, request_id: str, but_not: Entry) -> Entry | None:
        """Find the attempt that stands for this one: two of one key must never both be queued."""
        entry = self.by_id.get(request_id) if request_id != but_not.id else None
        while entry is not None and entry.superseded_by is not None:
            entry = entry.superseded_by
        return entry

    def is_current(self, entry: Entry) -> bool:
        """Tell whether this very entry stands under its id, and not another that came since."""
        return self.by_id.get(entry.id) is entry

    def in_states(self, *states: State) -> list[Entry]:
        """List the entries of these states, state by state."""
        found: list[Entry] = []
        for state in states:
            found.extend(self.by_state[state].values())
        return found

    def count(self, *states: State) -> int:
        """Count the entries of these states."""
        total = 0
        for state in states:
            total += len(self.by_state[state])
        return total

    def count_unfinished(self) -> int:
        """Count the entries of all states."""
        return sum(map(len, self.by_state.values()))

    def is_pool_full(self, pool: str) -> bool:
        """Tell whether the servers of a pool run as many as they can."""
        return self.in_run_by_pool.get(pool, 0) >= self.pool_capacity.get(pool, UNBOUNDED)

    def growth_at_start(self, entry: Entry) -> float:
        """Give the memory that a start adds; a paused run has it already."""
        return entry.memory_kb * (self._run_factor - 1) * (entry.state is State.QUEUED)

    def size(self, entry: Entry, state: State) -> float:
        """Give the memory that an entry takes in a state, in kilobytes."""
        return entry.memory_kb * self._factors[state]

    def move(self, entry: Entry, state: State, now: int) -> None:
        """Put an entry into a state and count its memory there; a finished one stays known by id alone."""
        left, factors = entry.state, self._factors
        self.memory_kb += entry.memory_kb * factors[state] - entry.memory_kb * factors[left]
        self.by_state[left].pop(entry.id, None)
        if change := COUNTS_AS_IN_RUN[state] - COUNTS_AS_IN_RUN[left]:
            self.in_run_by_pool[entry.pool] = self.in_run_by_pool.get(entry.pool, 0) + change
        entry.state, entry.entered_state_at = state, now
        if state is not State.FINISHED:
            self.by_state[state][entry.id] = entry

    def keep_key(self, entry: Entry, until: int) -> None:
        """Count the memory of an entry's idempotency key, kept until then."""
        entry.key_kept_until = until
        self.memory_kb += self.key_kb

    def release_key(self, entry: Entry) -> bool:
        """Free the memory of an entry's key; tell whether one was kept."""
        was_kept = entry.key_kept_until > 0
        if was_kept:
            entry.key_kept_until = 0
            self.memory_kb -= self.key_kb
        return was_kept
