"""State shared by the components of the admission controller: clock, settings, requests, measurements.

State changes of requests are carried out and accounted for here; the components decide when they happen.
"""

from __future__ import annotations

from collections.abc import Iterator

from marlstep.admission import deadlines
from marlstep.admission.actions import Action, KeepKey
from marlstep.admission.call_latency import CallLatency
from marlstep.admission.call_reserve import CallReserve
from marlstep.admission.caller_activity import CallerActivity
from marlstep.admission.capacity import survivable_concurrency, warm_up_share
from marlstep.admission.entry import ACTIVE_STATES, UNFINISHED_STATES, Entry, State
from marlstep.admission.entry_index import EntryIndex
from marlstep.admission.key_retention import key_expires_at
from marlstep.admission.run_statistics import RunStatistics
from marlstep.admission.settings import ClassSettings, Settings
from marlstep.admission.timing import NEVER
from marlstep.admission.token_buckets import TokenBuckets
from marlstep.admission.wake_heap import WakeHeap

FULLY_WARM = 1.0  # share of the capacity
MIN_PORTION = 1e-6  # of the server; above 0, since shares are divided by the portion


class ControllerState:
    """State of this server, this node. Times and durations are microseconds, sizes kilobytes.

    Attributes:
        now: Time of the current turn.
        actions: Actions of the current turn.
        portion: Portion of the server that this process uses; below 1 while another one serves beside it.
        memory_kb: Memory that this process may use.
        max_concurrency: How many requests on the cores this process's portion of the server survives.
        last_runnable_arrival_at: Requests that arrive later are not run; `NEVER` unless the server drains.
        respond_by: Time by which all responses must be given; `NEVER` until a `Drain`, with or without a
            successor.
        settings: Settings in force.
        shortest_objective_us: The shortest latency objective of all classes.
        highest_weight: The highest priority weight of all classes.
        tick_us: Interval at which waiting requests are checked.
        response_lead_us: How long before its deadline a request gets its final response.
        idle_timeout_us: Current idle timeout of connections; 0 for none.
        classes: Request classes by name, including retired ones.
        quotas_per_s: This server's part of each tenant's quota, in requests per second.
        wakeups: Times at which requests are to be checked again.
        buckets: Token buckets of the tenants' quotas.
        callers: Recent activity of callers.
        statistics: Measurements of runs.
        call_latency: Measured duration of downstream calls.
        call_reserve: Reserve of time for downstream calls.
        entries: The known requests.
    """

    def __init__(self, settings: Settings) -> None:
        """Initialize with these settings, the whole server as this process's portion, and no measurements."""
        self.now = 0
        self.actions: list[Action] = []
        self.portion = 1.0
        self.last_runnable_arrival_at = NEVER
        self.respond_by = NEVER
        self._started_at: int | None = (
            None  # the start of the backend, or of this process until that is known
        )
        self._has_begun = False  # the first turn has begun
        self._backend_started_cold = False
        self.wakeups = WakeHeap()
        self.buckets = TokenBuckets()
        self.callers = CallerActivity()
        self.statistics = RunStatistics()
        self.call_reserve = CallReserve()
        self.entries = EntryIndex(settings)
        self.configure(settings, ())
        self.call_latency = CallLatency(self.shortest_objective_us)

    @property
    def is_draining(self) -> bool:
        """Whether the server drains without a successor."""
        return self.last_runnable_arrival_at < NEVER

    def configure(self, settings: Settings, retired: tuple[ClassSettings, ...]) -> None:
        """Apply new settings; measurements are kept.

        Args:
            settings: Settings in force from now on.
            retired: Classes that are no longer in the settings but whose requests may still arrive.
        """
        self.settings = settings
        self.idle_timeout_us = settings.idle_timeout_us
        self.classes = {each.name: each for each in (*retired, *settings.classes)}
        self.quotas_per_s = {each.name: each.quota_per_s / settings.server_count for each in settings.tenants}
        self.buckets.keep_only(self.quotas_per_s)
        self.shortest_objective_us = min(each.latency_objective_us for each in settings.classes)
        self.highest_weight = max(each.priority_weight for each in settings.classes)
        self.tick_us = deadlines.tick_us(settings.tick_us, self.shortest_objective_us)
        self.response_lead_us = deadlines.response_lead_us(self.tick_us, settings.tick_us)
        self.entries.configure(settings)
        in_use = [entry.request_class for entry in self.entries.by_id.values()]
        self.statistics.configure([*self.classes.values(), *in_use])
        self._update_capacity()

    def begin_turn(self, now: int) -> bool:
        """Advance the clock to `now` and clear the actions; return whether this is the first turn."""
        is_first = not self._has_begun
        self._has_begun = True
        if self._started_at is None:
            self._started_at = now
        self.call_reserve.refill(now - self.now)
        self.now = now
        self.actions = []
        if self._warms_up:
            self._update_capacity()
        return is_first

    def end_second(self) -> None:
        """Decay measurements and drop inactive callers."""
        self.callers.forget_inactive(self.now, self.settings.load_signal_lifetime_us)
        self.statistics.end_second()

    def set_portion(self, portion: float) -> None:
        """Set the portion of the server that this process uses, 0 to 1."""
        self.portion = max(portion, MIN_PORTION)
        self._update_capacity()

    def set_backend_start(self, age_us: int, is_cold: bool) -> None:
        """Count the warm-up from the start of the backend, which was `age_us` microseconds ago.

        The backend may start long after this process, as well as long before it.

        Args:
            age_us: How long ago the backend started.
            is_cold: Whether it started with a part of its capacity, whatever the settings say.
        """
        self._started_at = self.now - age_us
        self._backend_started_cold = is_cold
        self._update_capacity()

    @property
    def _warms_up(self) -> bool:
        """Whether the server starts with a part of its capacity, by its settings or its backend."""
        return self.settings.warms_up or self._backend_started_cold

    def add(self, entry: Entry, unread_us: int) -> None:
        """Queue an arrival, and schedule a check past its objective or, if sooner, before its deadline."""
        entry.deadline_at = min(entry.deadline_at, self.respond_by)
        self.callers.record(entry.caller, self.now)
        self.statistics.record_read_lag(unread_us)
        self.entries.add(entry)
        self.move(entry, State.QUEUED)
        self.wakeups.add(entry, min(entry.objective_at + 1, entry.deadline_at - self.response_lead_us))

    def move(self, entry: Entry, state: State) -> None:
        """Move a request to a state, and account for the time that it spent in the previous one.

        A finished request with an idempotency key is kept, so that repeats are recognised.
        """
        elapsed_us = self.now - entry.entered_state_at
        if entry.state is State.RUNNING:
            self._account_for_run(entry, elapsed_us)
        elif entry.state is State.CALLING:
            self._account_for_call(entry, elapsed_us, is_abandoned=state is not State.RUNNING)
        if state is State.FINISHED and entry.state is not State.FINISHED and entry.run_us > 0:
            self.statistics.runs_ended += 1
        self.entries.move(entry, state, self.now)
        if state is State.FINISHED:
            self._forget_or_remember(entry)

    def _account_for_run(self, entry: Entry, elapsed_us: int) -> None:
        entry.run_us += elapsed_us
        self.statistics.spent_us[entry.request_class.priority_weight] += elapsed_us

    def _account_for_call(self, entry: Entry, elapsed_us: int, is_abandoned: bool) -> None:
        """Return the unused part of a call's reservation to the reserve.

        An abandoned call stays in the dependency for `abandoned_call_us`, which counts as used.
        """
        used_us = elapsed_us
        if is_abandoned:
            used_us += self.settings.abandoned_call_us
        self.call_reserve.return_unused(entry.reserved_call_us, used_us)

    def _forget_or_remember(self, entry: Entry) -> None:
        if entry.is_keyed:
            self.wakeups.add(entry, entry.recognised_until)
        else:
            del self.entries.by_id[entry.id]

    def await_call(self, entry: Entry) -> None:
        """Take a run off the cores for a downstream call, and reset its attempt counters."""
        entry.calls_made = 0
        entry.calls_never_ran = 0
        entry.next_call_at = self.now
        self.move(entry, State.AWAITING_CALL)

    def begin_call(self, entry: Entry, until: int) -> None:
        """Reserve the time until a call is abandoned, and the time that it then stays in the dependency."""
        entry.reserved_call_us = until - self.now + self.settings.abandoned_call_us
        self.call_reserve.take(entry.reserved_call_us)
        entry.calls_made += 1
        self.move(entry, State.CALLING)

    def keep_key(self, entry: Entry) -> None:
        """Keep a request's idempotency key, and count its memory, until it expires."""
        window_us = entry.request_class.idempotency_window_us
        expires_at = key_expires_at(entry.arrived_at, window_us, self.now, self.settings.tick_us)
        self.entries.keep_key(entry, expires_at)
        self.wakeups.add(entry, expires_at)
        self.actions.append(KeepKey(entry.id, expires_at - self.now))

    def due_entries(self) -> Iterator[Entry]:
        """Yield due requests.

        An expired key of a request stops counting as memory before the request is yielded. Afterwards the
        request is dropped if it has finished and its repeats are no longer recognised.
        """
        while (entry := self.wakeups.pop_due(self.now, self.entries.is_current)) is not None:
            if 0 < entry.key_kept_until <= self.now:
                self.entries.release_key_memory(entry)
            yield entry
            if entry.state is State.FINISHED and entry.recognised_until <= self.now:
                self.entries.by_id.pop(entry.id, None)

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return the share of the server in use, and the share that all requests in flight may need.

        Each is a share of the whole server's memory or concurrency, whichever is larger.
        """
        memory_kb = self.settings.memory_kb
        concurrency = self.max_concurrency / self.portion
        entries = self.entries
        unfinished = entries.in_states(*UNFINISHED_STATES)
        running_kb = sum(entries.size(entry, State.RUNNING) for entry in unfinished)
        in_use = max(entries.memory_kb / memory_kb, entries.count(*ACTIVE_STATES) / concurrency)
        needed = max(running_kb / memory_kb, entries.count_in_flight() / concurrency)
        return in_use, needed

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Set a tenant's quota, in requests per second over all servers of the tier."""
        self.quotas_per_s[tenant] = per_s / self.settings.server_count

    def _update_capacity(self) -> None:
        settings = self.settings
        self.memory_kb = settings.memory_kb * self.portion
        self.max_concurrency = survivable_concurrency(
            settings.cores, settings.overload_concurrency_factor, self._warm_share(), self.portion
        )

    def _warm_share(self) -> float:
        """Return the share of its full capacity that the server currently has, 0 to 1."""
        settings = self.settings
        if not self._warms_up or settings.warm_up_us <= 0:
            return FULLY_WARM
        if self._started_at is None:
            return FULLY_WARM
        elapsed_us = self.now - self._started_at
        return warm_up_share(elapsed_us, settings.warm_up_us, settings.initial_capacity_share)
