"""What the parts of the admission controller share: clock, settings in force, requests and measurements.

Arithmetic on what the server was told, and the holders of what is known. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Iterator

from marlstep.admission.actions import Action, KeepKey
from marlstep.admission.call_latency import CallLatency
from marlstep.admission.call_reserve import CallReserve
from marlstep.admission.caller_activity import CallerActivity
from marlstep.admission.entry import ALIVE, IN_RUN, Entry, State
from marlstep.admission.entry_index import EntryIndex
from marlstep.admission.run_statistics import RunStatistics
from marlstep.admission.settings import ClassSettings, Settings
from marlstep.admission.timing import NEVER
from marlstep.admission.token_buckets import TokenBuckets
from marlstep.admission.wake_heap import WakeHeap

TICKS_PER_OBJECTIVE = 40  # in the shortest latency objective: deadlines and limits need no finer clock
MIN_PORTION = 1e-6  # above 0: it divides


class ServerState:
    """What is known of the server; durations are microseconds.

    `memory_kb` and `max_concurrency` are what this process may use of what the server survives, by the rule's
    own formula. A cold server warms up from the first time that passes.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with the whole server to this process, and nothing measured."""
        self.now = 0
        self.actions: list[Action] = []  # of this turn
        self.portion = 1.0  # less while another process serves beside this one
        self.last_runnable_arrival_at = NEVER  # while it drains: what arrives later is not run
        self.respond_by = NEVER  # before its process is stopped
        self._started_at: int | None = None
        self.wakeups = WakeHeap()
        self.buckets = TokenBuckets()  # of tenants
        self.callers = CallerActivity()
        self.statistics = RunStatistics()
        self.call_reserve = CallReserve()
        self.entries = EntryIndex(settings)
        self.configure(settings, ())
        self.call_latency = CallLatency(self.shortest_objective_us)

    @property
    def is_draining(self) -> bool:
        """Whether the server leaves service, without a successor."""
        return self.last_runnable_arrival_at < NEVER

    def configure(self, settings: Settings, retired: tuple[ClassSettings, ...]) -> None:
        """Put new settings in force; what was measured stays."""
        self.settings = settings
        self.idle_us = settings.idle_timeout_us  # as long as nothing shortens it
        self.classes = {each.name: each for each in (*retired, *settings.classes)}
        self.quotas_per_s = {each.name: each.quota_per_s / settings.server_count for each in settings.tenants}
        self.buckets.keep_only(self.quotas_per_s)
        self.shortest_objective_us = min(each.latency_objective_us for each in settings.classes)
        self.highest_weight = max(each.priority_weight for each in settings.classes)
        self.tick_us = settings.tick_us + self.shortest_objective_us // TICKS_PER_OBJECTIVE
        self.response_lead_us = (
            self.tick_us + settings.tick_us
        )  # before a deadline: the next tick could be late
        self.entries.configure(settings)
        in_use = [entry.request_class for entry in self.entries.by_id.values()]
        self.statistics.configure([*self.classes.values(), *in_use])
        self._update_capacity()

    def begin_turn(self, now: int) -> bool:
        """Let time pass, and tell whether this turn is the first."""
        is_first = self._started_at is None
        if is_first:
            self._started_at = now
        self.call_reserve.refill(now - self.now)
        self.now, self.actions = now, []
        if self.settings.warms_up:
            self._update_capacity()
        return is_first

    def end_second(self) -> None:
        """Let measurements fade, and forget callers that have not been heard for long."""
        self.callers.forget_inactive(self.now, self.settings.load_signal_lifetime_us)
        self.statistics.end_second()

    def set_portion(self, portion: float) -> None:
        """Use this part of the server from now on."""
        self.portion = max(portion, MIN_PORTION)
        self._update_capacity()

    def add(self, entry: Entry, unread_us: int) -> None:
        """Take an arrival in: queued, and looked at again when its objective or its deadline is due."""
        entry.deadline_at = min(entry.deadline_at, self.respond_by)
        self.callers.record(entry.caller, self.now)
        self.statistics.record_read_lag(unread_us)
        self.entries.add(entry)
        self.move(entry, State.QUEUED)
        self.wakeups.add(entry, min(entry.objective_at + 1, entry.deadline_at - self.response_lead_us))

    def move(self, entry: Entry, state: State) -> None:
        """Put an entry into a state, and count what it used in the one before.

        A finished entry with an idempotency key stays known, so that repeats are recognised.
        """
        elapsed_us = self.now - entry.entered_state_at
        if entry.state is State.RUNNING:
            entry.run_us += elapsed_us
            self.statistics.spent_us[entry.request_class.priority_weight] += elapsed_us
        elif entry.state is State.CALLING:  # an abandoned call stays in the dependency's hands for a while
            lingers_us = self.settings.abandoned_call_us if state is not State.RUNNING else 0
            self.call_reserve.give_back(entry.reserved_call_us, elapsed_us + lingers_us)
        if state is State.FINISHED and entry.state is not State.FINISHED:
            self.statistics.runs_ended += entry.run_us > 0
        self.entries.move(entry, state, self.now)
        if state is State.FINISHED and entry.is_keyed:
            self.wakeups.add(entry, entry.recognised_until)
        elif state is State.FINISHED:
            del self.entries.by_id[entry.id]

    def await_call(self, entry: Entry) -> None:
        """Begin a step of a run that needs a downstream call."""
        entry.calls_made, entry.calls_never_ran, entry.next_call_at = 0, 0, self.now
        self.move(entry, State.AWAITING_CALL)

    def begin_call(self, entry: Entry, until: int) -> None:
        """Take a call that is given up at this time out of the reserve; abandoned, it lingers a while."""
        entry.reserved_call_us = until - self.now + self.settings.abandoned_call_us
        self.call_reserve.take(entry.reserved_call_us)
        entry.calls_made += 1
        self.move(entry, State.CALLING)

    def keep_key(self, entry: Entry) -> None:
        """Keep an entry's idempotency key, and its memory, for its class's window from the arrival."""
        window_end = entry.arrived_at + entry.request_class.idempotency_window_us
        until = max(self.now, window_end) + self.settings.tick_us
        self.entries.keep_key(entry, until)
        self.wakeups.add(entry, until)
        self.actions.append(KeepKey(entry.id, until - self.now))

    def due_entries(self) -> Iterator[Entry]:
        """Give the entries that are due; an expired key is freed before, an expired entry dropped after."""
        while (entry := self.wakeups.pop_due(self.now, self.entries.is_current)) is not None:
            if 0 < entry.key_kept_until <= self.now:
                self.entries.release_key(entry)
            yield entry
            if entry.state is State.FINISHED and entry.recognised_until <= self.now:
                self.entries.by_id.pop(entry.id, None)

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Give the share of the server's room that is in use, and that all in flight may come to use."""
        memory_kb, concurrency = self.settings.memory_kb, self.max_concurrency / self.portion
        running_kb = sum(self.entries.size(entry, State.RUNNING) for entry in self.entries.in_states(*ALIVE))
        in_use = max(self.entries.memory_kb / memory_kb, self.entries.count(*IN_RUN) / concurrency)
        return in_use, max(running_kb / memory_kb, self.entries.count_unfinished() / concurrency)

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Change a tenant's quota, which all servers of the tier share."""
        self.quotas_per_s[tenant] = per_s / self.settings.server_count

    def _update_capacity(self) -> None:
        settings, warmth = self.settings, 1.0
        if settings.warms_up and self._started_at is not None and settings.warm_up_us > 0:
            warmed = (self.now - self._started_at) / settings.warm_up_us
            warmth = min(
                1.0, settings.initial_capacity_share + (1 - settings.initial_capacity_share) * warmed
            )
        self.memory_kb = settings.memory_kb * self.portion
        self.max_concurrency = (
            settings.cores * (1 + (settings.overload_concurrency_factor - 1) * warmth) * self.portion
        )
