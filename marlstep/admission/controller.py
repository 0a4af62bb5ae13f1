"""The admission controller: takes events and the time, gives actions; no clock, no I/O (docs/design.md).

Types: marlstep/admission/settings.py, marlstep/admission/events.py, marlstep/admission/actions.py.
"""

from marlstep.admission import events
from marlstep.admission.actions import Action, Health, IdleLimit
from marlstep.admission.concurrency_limit import is_cpu_busy
from marlstep.admission.entry import Entry, State
from marlstep.admission.parts import Parts
from marlstep.admission.settings import LoadSignal, Settings
from marlstep.admission.timing import NEVER, SECOND
from marlstep.admission.turn_timer import TurnTimer

DRAIN_LEAD_TICKS = 8  # before the process is stopped all is answered: room for ticks and a stall
LOOKED_AT_EACH_TICK = (State.QUEUED, State.STOPPING, State.AWAITING_CALL)


class Controller:
    """The decisions of one server, from its start to its end."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Compose the parts. Nothing is random: the seed, which all controllers are given, is not used."""
        del seed
        self.parts = Parts(settings)
        self.state = self.parts.state
        self.timer = TurnTimer()
        self._handlers = self.parts.handlers() | {
            events.TimerDue: self._on_timer,
            events.Drain: self._on_drain,
        }

    def decide(self, now_us: int, new_events: list[events.Event]) -> list[Action]:
        """Take what has happened, and give what is to be done, in this order."""
        if self.state.begin_turn(now_us):  # the first
            self.parts.concurrency.adjusted_at = now_us
            self.state.actions.append(Health(stored=True, good=True))
        for event in new_events:
            self._handlers[type(event)](event)
        for entry in self.state.due_entries():
            self._wake(entry)
        self.parts.calls.dispatch()
        self.parts.queue.fill()
        self._arm_timer()
        return self.state.actions

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Give the share of the server's room that is in use, and that all in flight may come to use."""
        return self.state.memory_and_concurrency_in_use()

    def measurements(self) -> events.Measurements:
        """Give what was measured, for the controller of another process of this server."""
        return self.parts.measurements()

    def _on_drain(self, event: events.Drain) -> None:
        """Answer all before the process is stopped; without a successor, run no late arrival."""
        self.state.respond_by = event.stops_at - DRAIN_LEAD_TICKS * self.state.tick_us
        if not event.has_successor:
            noticed_at = event.noticed_at or self.state.now
            self.state.last_runnable_arrival_at = noticed_at + self.state.settings.drain_grace_us
            self.state.actions.append(Health(stored=True, good=False))
        for entry in self.state.entries.by_id.values():
            entry.deadline_at = min(entry.deadline_at, self.state.respond_by)
            self.state.wakeups.add(entry, entry.deadline_at - self.state.response_lead_us)

    def _on_timer(self, event: events.TimerDue) -> None:
        self.timer.fired(event.tag)
        self.parts.queue.resume_unstopped()
        if self.state.settings.load_signal is LoadSignal.CREDIT:
            self.parts.advisor.advertise_credit()
        if self.state.now - self.parts.concurrency.adjusted_at >= SECOND:
            is_busy = is_cpu_busy(event.gauges.get("cpu", 1.0))
            self.parts.concurrency.adjust(is_busy)
            self._adjust_idle_limit(event.gauges.get("conns", 0.0), is_busy)
            self.state.end_second()

    def _adjust_idle_limit(self, connections: float, is_busy: bool) -> None:
        """Keep fewer idle connections the more there are: busy cores keep about as many idle as in use."""
        if not connections or not self.state.idle_us:
            return
        state, in_use = self.state, self.state.entries.count_unfinished()
        kept = in_use + (in_use + state.settings.cores if is_busy else state.max_concurrency)
        fitting_us = max(state.tick_us, state.idle_us * kept / connections)
        state.idle_us = int(min(state.settings.idle_timeout_us, fitting_us))
        state.actions.append(IdleLimit(state.idle_us))

    def _wake(self, entry: Entry) -> None:
        """Answer an entry before its deadline; after its objective it is looked at again when that is due."""
        answer_at = entry.deadline_at - self.state.response_lead_us
        if entry.response_owed and answer_at <= self.state.now:
            self.parts.lifecycle.reject_or_fail(entry)
        elif entry.response_owed:
            self.state.wakeups.add(entry, answer_at)

    def _arm_timer(self) -> None:
        """Ask for a timer for what is due next: a tick while something waits, else a second or a wake."""
        now, entries = self.state.now, self.state.entries
        second_ends = self.parts.concurrency.adjusted_at + SECOND if entries.count_unfinished() else NEVER
        next_look = now + self.state.tick_us if entries.count(*LOOKED_AT_EACH_TICK) else second_ends
        due = min(next_look, self.state.wakeups.next_due())
        self.state.actions += self.timer.arm(now, due)
