"""The admission controller's requests by id and by state, with the memory that they take.

It only counts; what may enter a state, and when, is decided by its callers.
"""

from __future__ import annotations

from marlstep.admission.entry import ACTIVE_STATES, Entry, State
from marlstep.admission.settings import Settings

UNBOUNDED = float("inf")
ACTIVE_RUNS_IN_STATE = {state: int(state in ACTIVE_STATES) for state in State}  # 1: it counts for its pool


class EntryIndex:
    """All entries by id; those that are not finished also by state, active runs counted by pool.

    Attributes:
        by_id: all entries, those of finished requests with a remembered key included.
        by_state: the entries of each state but `FINISHED`, by id, in the order in which they entered it.
        active_by_pool: active runs, by pool: on the cores or at a call.
        pool_capacity: how many the servers of a pool run at once; pools that are not named have no bound.
        memory_kb: of all entries and kept keys, in kilobytes.
        key_kb: of one kept key, in kilobytes.
    """

    def __init__(self, settings: Settings) -> None:
        """Start empty."""
        self.by_id: dict[str, Entry] = {}
        self.by_state: dict[State, dict[str, Entry]] = {state: {} for state in State}
        self.active_by_pool: dict[str, int] = {}
        self.pool_capacity: dict[str, int] = {}
        self.memory_kb = 0.0
        self._added = 0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Count all memory again by new settings."""
        self._run_factor = settings.running_memory_factor
        self.key_kb = settings.idempotency_key_kb
        self._factors = dict.fromkeys(State, self._run_factor)
        self._factors |= {State.QUEUED: 1.0, State.ATTACHED: 1.0, State.FINISHED: 0.0}
        self.memory_kb = sum(
            self.size(entry, entry.state) + self.key_kb * (entry.key_kept_until > 0)
            for entry in self.by_id.values()
        )

    def add(self, entry: Entry) -> None:
        """Add an entry as the latest to arrive."""
        self._added += 1
        entry.arrival_number = self._added
        self.by_id[entry.id] = entry

    def unfinished(self, request_id: str) -> Entry | None:
        """Return the entry of this id, or None if it is unknown or finished."""
        entry = self.by_id.get(request_id)
        return entry if entry is not None and entry.state is not State.FINISHED else None

    def latest_attempt(self, request_id: str, excluding: Entry) -> Entry | None:
        """Return the attempt that superseded the one of this id, or that one itself; None if it is unknown.

        Whichever attempt a repeat names, it is compared with the latest, since two attempts of one key must
        never both be queued.

        Args:
            request_id: of the attempt that a repeat names.
            excluding: the repeat itself.
        """
        entry = self.by_id.get(request_id) if request_id != excluding.id else None
        while entry is not None and entry.superseded_by is not None:
            entry = entry.superseded_by
        return entry

    def is_current(self, entry: Entry) -> bool:
        """Return whether this entry is still the one known under its id."""
        return self.by_id.get(entry.id) is entry

    def in_states(self, *states: State) -> list[Entry]:
        """Return the entries of these states, state by state, as a list of its own."""
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
        """Return how many requests are in flight: all that are not finished, attached repeats included."""
        return sum(map(len, self.by_state.values()))

    def is_pool_full(self, pool: str) -> bool:
        """Return whether the servers of a pool run as many as they can."""
        return self.active_by_pool.get(pool, 0) >= self.pool_capacity.get(pool, UNBOUNDED)

    def growth_at_start(self, entry: Entry) -> float:
        """Return the memory that a start adds, in kilobytes; a paused run has it already."""
        if entry.state is not State.QUEUED:
            return 0.0
        return entry.memory_kb * (self._run_factor - 1)

    def size(self, entry: Entry, state: State) -> float:
        """Return the memory that an entry takes in a state, in kilobytes."""
        return entry.memory_kb * self._factors[state]

    def move(self, entry: Entry, state: State, now: int) -> None:
        """Put an entry into a state and count its memory there; a finished one is known by its id alone."""
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
        """Count the memory of an entry's idempotency key, which expires at this time."""
        entry.key_kept_until = expires_at
        self.memory_kb += self.key_kb

    def release_key_memory(self, entry: Entry) -> bool:
        """Free the memory of an entry's key, kept or expired, and return whether it was counted.

        Whether the key is forgotten is decided by the caller.
        """
        was_kept = entry.key_kept_until > 0
        if was_kept:
            entry.key_kept_until = 0
            self.memory_kb -= self.key_kb
        return was_kept
