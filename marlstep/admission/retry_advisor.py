"""What callers are told: when to retry, and how much they may have outstanding here."""

from dataclasses import dataclass

from marlstep.admission.actions import Advertise
from marlstep.admission.concurrency_limit import ConcurrencyLimit
from marlstep.admission.entry import State
from marlstep.admission.memory_ledger import MAX_QUEUE_MEMORY_FRACTION
from marlstep.admission.server_state import ServerState
from marlstep.admission.timing import SECOND

CREDIT_OBJECTIVE_FRACTION = (
    0.3  # of the shortest objective: as much work as callers may have out here, once there is a line
)
MIN_CREDIT_CHANGE_FRACTION = 0.1  # of the advertised value: a smaller change is not advertised


@dataclass(slots=True)
class RetryAdvisor:
    """Retry-After and credit, from the pace of the last seconds and the callers heard lately."""

    state: ServerState
    concurrency: ConcurrencyLimit
    advertised: float = 0.0

    def count_callers(self) -> int:
        """Count those heard lately; if most came only once, no more than the settings tell."""
        settings = self.state.settings
        heard, came_again = self.state.callers.count(
            self.state.now - settings.load_signal_lifetime_us - 2 * SECOND
        )
        return max(1, min(heard, max(settings.caller_count, came_again)))

    def retry_after(self) -> int:
        """Give how long to stay away: until what waits here is done, at the pace of the last seconds."""
        longest = self.state.settings.max_retry_after_us * self.state.settings.sends_retry_after
        waiting = self.state.entries.count(State.QUEUED, State.PAUSED)
        line_us = waiting * self.state.statistics.us_per_run() / self.concurrency.limit
        return longest if self.state.is_draining else int(min(longest, max(self.state.tick_us, line_us)))

    def advertise_credit(self) -> None:
        """Give each caller credit: once there is a line, for what can be run well inside the objective."""
        credit = MAX_QUEUE_MEMORY_FRACTION * self.state.settings.memory_kb  # as good as no bound
        us_per_run, lag_factor = self.state.statistics.us_per_run(), self.concurrency.lag_factor()
        if us_per_run > 0 and (self.state.entries.by_state[State.QUEUED] or lag_factor < 1):
            work = self.concurrency.limit * (
                1 + CREDIT_OBJECTIVE_FRACTION * self.state.shortest_objective_us / us_per_run
            )
            work += self.state.entries.count(State.AWAITING_CALL, State.CALLING)
            credit = max(1.0, work * lag_factor / self.count_callers())
        if abs(credit - self.advertised) > MIN_CREDIT_CHANGE_FRACTION * self.advertised:
            self.advertised = credit
            self.state.actions.append(Advertise(credit))
