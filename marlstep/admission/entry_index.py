"""Index of the admission controller's requests by ID and state, with the memory that they take.

The index only keeps count; its callers decide which requests enter which state, and when.
"""

from __future__ import annotations

from marlstep.admission.entry import ACTIVE_STATES, Entry, State
from marlstep.admission.settings import Settings

UNBOUNDED = float("inf")
# 1 if a request in this state counts against its pool's capacity, else 0.
ACTIVE_RUNS_IN_STATE = {state: int(state in ACTIVE_STATES) for state in State}


class EntryIndex:
    """Entries by ID, unfinished entries also by state, and the number of active runs by pool.

    Attributes:
        by_id: All entries by ID, including finished requests whose key is remembered.
        by_state: Entries of each state except `FINISHED`, by ID, in the order in which they entered it.
        active_by_pool: Number of active runs by pool, on the cores or at a call.
        pool_capacity: Maximum number of concurrent runs by pool; pools without an entry are unbounded.
        memory_kb: Memory of all entries and kept keys, in kilobytes.
        key_kb: Memory of one kept key, in kilobytes.
    """

    def __init__(self, settings: Settings) -> None:
        """Initialize an empty index with the memory factors of the settings."""
        self.by_id: dict[str, Entry] = {}
        self.by_state: dict[State, dict[str, Entry]] = {state: {} for state in State}
        self.active_by_pool: dict[str, int] = {}
        self.pool_capacity: dict[str, int] = {}
        self.memory_kb = 0.0
        self._added = 0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the memory factors of new settings, and recalculate the memory in use."""
        self._run_factor = settings.running_memory_factor
        self.key_kb = settings.idempotency_key_kb
        self._factors = dict.fromkeys(State, self._run_factor)
        self._factors |= {State.QUEUED: 1.0, State.ATTACHED: 1.0, State.FINISHED: 0.0}
        self.memory_kb = sum(
            self.size(entry, entry.state) + self.key_kb * (entry.key_kept_until > 0)
            for entry in self.by_id.values()
        )

    def add(self, entry: Entry) -> None:
        """Add an entry as the latest arrival."""
        self._added += 1
        entry.arrival_number = self._added
        self.by_id[entry.id] = entry

    def unfinished(self, request_id: str) -> Entry | None:
        """Return the entry with this ID, or None if it is unknown or finished."""
        entry = self.by_id.get(request_id)
        return entry if entry is not None and entry.state is not State.FINISHED else None

    def latest_attempt(self, request_id: str, excluding: Entry) -> Entry | None:
        """Return the attempt with this ID or the latest one that superseded it; None if the ID is unknown.

        A repeat is always compared with the latest attempt, whichever one it names, since two attempts with
        the same key must never both be queued.

        Args:
            request_id: ID of the attempt that a repeat names.
            excluding: The entry of the repeat itself.
        """
        entry = self.by_id.get(request_id) if request_id != excluding.id else None
        while entry is not None and entry.superseded_by is not None:
            entry = entry.superseded_by
        return entry

    def is_current(self, entry: Entry) -> bool:
        """Return whether this entry is still the one indexed under its ID."""
        return self.by_id.get(entry.id) is entry

    def in_states(self, *states: State) -> list[Entry]:
        """Return a new list of the entries in these states, grouped by state."""
        found: list[Entry] = []
        for state in states:
            found.extend(self.by_state[state].values())
        return found

    def count(self, *states: State) -> int:
        """Return how many entries are in these states."""
        total = 0
        for state in states:
            total += len(self.by_state[state])
        return total

    def count_in_flight(self) -> int:
        """Return how many requests are in flight: all that are not finished, including attached ones."""
        return sum(map(len, self.by_state.values()))

    def is_pool_full(self, pool: str) -> bool:
        """Return whether the servers of a pool run as many requests as they can."""
        return self.active_by_pool.get(pool, 0) >= self.pool_capacity.get(pool, UNBOUNDED)

    def growth_at_start(self, entry: Entry) -> float:
        """Return the memory added by a start, in kilobytes; 0 for a paused run, which has it already."""
        if entry.state is not State.QUEUED:
            return 0.0
        return entry.memory_kb * (self._run_factor - 1)

    def size(self, entry: Entry, state: State) -> float:
        """Return the memory that an entry takes in a state, in kilobytes."""
        return entry.memory_kb * self._factors[state]

    def move(self, entry: Entry, state: State, now: int) -> None:
        """Move an entry to a state and update the memory in use; finished entries are indexed by ID only."""
        previous, factors = entry.state, self._factors
        self.memory_kb += entry.memory_kb * factors[state] - entry.memory_kb * factors[previous]
        self.by_state[previous].pop(entry.id, None)
        run_change = ACTIVE_RUNS_IN_STATE[state] - ACTIVE_RUNS_IN_STATE[previous]
        if run_change:
            self.active_by_pool[entry.pool] = self.active_by_pool.get(entry.pool, 0) + run_change
        entry.state = state
        entry.entered_state_at = now
        if state is not State.FINISHED:
            self.by_state[state][entry.id] = entry

    def keep_key(self, entry: Entry, expires_at: int) -> None:
        """Record that an entry's idempotency key is kept until `expires_at`, and count its memory."""
        entry.key_kept_until = expires_at
        self.memory_kb += self.key_kb

    def release_key_memory(self, entry: Entry) -> bool:
        """Stop counting the memory of an entry's key, and return whether it was counted.

        The caller decides whether the server also forgets the key.
        """
        was_kept = entry.key_kept_until > 0
        if was_kept:
            entry.key_kept_until = 0
            self.memory_kb -= self.key_kb
        return was_kept
