"""The senders of a replay: what is sent when, and what became of it; pure, with the clock passed in.

A piece of work is one request of the schedule. Its retries count with its first attempt: the work is done when one
attempt is, and its response is in time if it comes within the class's latency objective of the planned instant of the
first attempt. No attempt begins once the client has stopped waiting.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from blake3 import blake3

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.figures import Figures
from marlstep.traces.replay.retry_rules import is_in_time, may_retry, next_attempt_us
from marlstep.traces.retries import Retries

RESPONSE_MARGIN_US = (
    110_000  # past its deadline a response may still be on its way: 60 ms allowed, and 50 on sockets
)
CALLS_OF_SETPOINTS = (1, 0, 2, 1)  # by the number of the work: once on average
ATTEMPT_ID_BYTES = 8


@dataclass(slots=True)
class Work:
    """One request of the schedule, over all its attempts.

    Attributes:
        number: its place in the schedule.
        planned: the request.
        attempts: how many were begun.
        open_attempt: the id of the attempt that is without a response.
        due_us: when that attempt must have its response, in microseconds since the start.
    """

    number: int
    planned: PlannedRequest
    attempts: int = 0
    open_attempt: str | None = None
    due_us: int = 0


@dataclass(slots=True, frozen=True)
class Attempt:
    """One request to be sent.

    Attributes:
        id: its name on the wire.
        work: what it is an attempt of.
        at_us: when it is sent, in microseconds since the start.
        is_retry: another attempt came before it.
        node: the number of the node that it goes to.
    """

    id: str
    work: Work
    at_us: int
    is_retry: bool
    node: int


@dataclass(slots=True)
class Campaign:
    """The attempts of one replay, open and ended.

    Attributes:
        classes: the request classes of the nodes, by name.
        retries: how senders behave after a rejection or a failure.
        seed: names the attempts.
        figures: what the responses earned.
        nodes: how many nodes there are.
        counts: attempts and responses, by what became of them.
    """

    classes: Mapping[str, ClassSettings]
    retries: Retries
    seed: int
    figures: Figures
    nodes: int = 1
    counts: Counter[str] = field(default_factory=Counter)
    _open: dict[str, Work] = field(default_factory=dict)
    _answered: set[str] = field(default_factory=set)

    def begin(self, number: int, planned: PlannedRequest) -> Attempt:
        """Return the first attempt of a request of the schedule."""
        self.figures.add_offered(planned, self.classes[planned.request_class].priority_weight)
        self.counts["work"] += 1
        return self._attempt(Work(number, planned), planned.at_us)

    def _attempt(self, work: Work, at_us: int) -> Attempt:
        name = f"{self.seed}/{work.number}/{work.attempts}"
        attempt = Attempt(
            id=blake3(name.encode()).hexdigest(ATTEMPT_ID_BYTES),
            work=work,
            at_us=at_us,
            is_retry=work.attempts > 0,
            node=(work.number + work.attempts) % self.nodes,  # round robin, and on after a rejection
        )
        work.attempts += 1
        work.open_attempt = attempt.id
        work.due_us = at_us + self.classes[work.planned.request_class].deadline_us
        self._open[attempt.id] = work
        return attempt

    def record_sent(self, attempt: Attempt, now_us: int) -> None:
        """Record that an attempt was sent, and how late."""
        self.counts["sent"] += 1
        self.figures.add_lateness(now_us - attempt.at_us)

    def record_response(
        self,
        attempt_id: str,
        status: ResponseStatus,
        now_us: int,
        retry_after_us: int = 0,
        is_partial: bool = False,
    ) -> Attempt | None:
        """Record a final response; return the next attempt where there is one.

        Args:
            attempt_id: the attempt that it ends.
            status: what became of the attempt.
            now_us: when the response came, in microseconds since the start.
            retry_after_us: the Retry-After of a rejection, in microseconds.
            is_partial: a call was left out.
        """
        work = self._open.pop(attempt_id, None)
        if work is None:
            self.counts["twice" if attempt_id in self._answered else "unknown"] += 1
            return None
        self._count_response(attempt_id, status, is_late=now_us > work.due_us + RESPONSE_MARGIN_US)
        request_class = self.classes[work.planned.request_class]
        work.open_attempt = None
        if status is ResponseStatus.DONE:
            self.figures.add_done(work.planned, request_class, now_us - work.planned.at_us, is_partial)
        if not may_retry(status, request_class):
            return None
        return self._retry(work, request_class, now_us, retry_after_us)

    def _count_response(self, attempt_id: str, status: ResponseStatus, is_late: bool) -> None:
        self._answered.add(attempt_id)
        self.counts["answered"] += 1
        self.counts[status.value] += 1
        if is_late:
            self.counts["late_answers"] += 1

    def _retry(
        self, work: Work, request_class: ClassSettings, now_us: int, retry_after_us: int
    ) -> Attempt | None:
        jitter_key = f"{self.seed}/{work.number}/{work.attempts}w"
        at_us = next_attempt_us(self.retries, work.attempts, now_us, retry_after_us, jitter_key)
        if at_us is None or not is_in_time(at_us, work.planned.at_us, request_class.latency_objective_us):
            return None
        self.counts["retries"] += 1
        return self._attempt(work, at_us)

    @property
    def open(self) -> int:
        """Attempts without a response."""
        return len(self._open)

    def overdue(self, now_us: int) -> int:
        """Return how many attempts should have had their response by now."""
        return sum(now_us > work.due_us + RESPONSE_MARGIN_US for work in self._open.values())

    def last_due_us(self) -> int:
        """Return when the last open attempt must have its response; 0 where none is open."""
        return max((work.due_us for work in self._open.values()), default=0)


def calls_of(request_class: ClassSettings, number: int) -> int:
    """Return how many calls a piece of work makes: one for an idempotent class, 0 to 2 for another."""
    if not request_class.makes_calls:
        return 0
    if request_class.effect is Effect.IDEMPOTENT:
        return 1
    return CALLS_OF_SETPOINTS[number % len(CALLS_OF_SETPOINTS)]
