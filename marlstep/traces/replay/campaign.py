"""Who sends what and when, and what became of it; pure, with the clock passed in.

A piece of work is one line of the schedule. Its tries count with the first: the work is done when one try is, and
its answer is in time if it comes within the class's aim of the first try's planned instant. No try begins once the
client has stopped waiting. A setpoint that failed may have run and is never sent again.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from blake3 import blake3

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.figures import Figures
from marlstep.traces.retries import Retries

BACKOFF_US = 100_000
HASTY_US = 20_000
MOST_POLITE = 3
SLACK_US = 110_000  # past its due time an answer may still be on its way: the rule's 60 ms, and 50 on sockets
CALLS = (1, 0, 2, 1)  # of a setpoint, by its number: once on average


@dataclass(slots=True)
class Work:
    number: int
    planned: PlannedRequest
    tries: int = 0
    open: str | None = None  # the id of the try that is out there
    due_us: int = 0  # of that try


@dataclass(slots=True, frozen=True)
class Try:
    """One request to be sent at `at_us`."""

    id: str
    work: Work
    at_us: int
    again: bool
    node: int  # which of the nodes it goes to


@dataclass(slots=True)
class Campaign:
    classes: dict[str, ClassSettings]
    retries: Retries
    seed: int
    figures: Figures
    nodes: int = 1
    counts: Counter[str] = field(default_factory=Counter)
    _open: dict[str, Work] = field(default_factory=dict)
    _answered: set[str] = field(default_factory=set)

    def begin(self, number: int, planned: PlannedRequest) -> Try:
        """The first try of a line of the schedule."""
        self.figures.asked(planned, self.classes[planned.request_class].priority_weight)
        self.counts["work"] += 1
        return self._try(Work(number, planned), planned.at_us)

    def _try(self, work: Work, at_us: int) -> Try:
        name = f"{self.seed}/{work.number}/{work.tries}".encode()
        # Front ends go round the nodes, and on through their list after a refusal.
        node = (work.number + work.tries) % self.nodes
        one = Try(blake3(name).hexdigest(8), work, at_us, work.tries > 0, node)
        work.tries += 1
        work.open, work.due_us = one.id, at_us + self.classes[work.planned.request_class].deadline_us
        self._open[one.id] = work
        return one

    def sent(self, one: Try, now_us: int) -> None:
        self.counts["sent"] += 1
        self.figures.sent_late(now_us - one.at_us)

    def answered(
        self, id: str, verdict: ResponseStatus, now_us: int, after_us: int = 0, poor: bool = False
    ) -> Try | None:
        """A final answer came; gives the next try where there is one."""
        work = self._open.pop(id, None)
        if work is None:
            self.counts["twice" if id in self._answered else "unknown"] += 1
            return None
        self._answered.add(id)
        self.counts["answered"] += 1
        self.counts[verdict.value] += 1
        if now_us > work.due_us + SLACK_US:
            self.counts["late_answers"] += 1
        kind = self.classes[work.planned.request_class]
        work.open = None
        if verdict is ResponseStatus.DONE:
            self.figures.done(work.planned, kind, now_us - work.planned.at_us, poor)
            return None
        if verdict is not ResponseStatus.REJECTED and kind.effect is not Effect.IDEMPOTENT:
            return None
        at = self._next(work, now_us, after_us)
        if at is None or at - work.planned.at_us >= kind.latency_objective_us:
            return None  # an answer would come too late to be worth anything
        self.counts["retries"] += 1
        return self._try(work, at)

    def _next(self, work: Work, now_us: int, after_us: int) -> int | None:
        match self.retries:
            case Retries.NONE:
                return None
            case Retries.POLITE:
                if work.tries >= MOST_POLITE:
                    return None
                spread = int.from_bytes(
                    blake3(f"{self.seed}/{work.number}/{work.tries}w".encode()).digest(2), "big"
                )
                wait = max(BACKOFF_US, after_us)
                return now_us + wait + wait * spread // (1 << 17)  # up to half as long again: not in step
            case Retries.HASTY:
                return now_us + HASTY_US

    @property
    def open(self) -> int:
        return len(self._open)

    def lost(self, now_us: int) -> int:
        """Tries whose due time is past with no answer."""
        return sum(now_us > work.due_us + SLACK_US for work in self._open.values())

    def last_due_us(self) -> int:
        return max((work.due_us for work in self._open.values()), default=0)


def calls_of(kind: ClassSettings, number: int) -> int:
    """How many calls a piece of work makes: BRIEF's figures, once for history, 0 to 2 for a setpoint."""
    if not kind.makes_calls:
        return 0
    return CALLS[number % len(CALLS)] if kind.effect is not Effect.IDEMPOTENT else 1
