"""State of the senders of a replay: attempts, retries and responses. No I/O; times are passed in.

A piece of work is one request of the schedule, with all its attempts. It is done when one attempt is done, and its
response is in time if it arrives within the latency objective of the class, counted from the planned time of the first
attempt. No attempt is started after that objective.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from blake3 import blake3

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.interfaces import ResponseStatus
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.replay.figures import ServiceMetrics
from marlstep.traces.replay.retry_rules import is_in_time, may_retry, next_attempt_us
from marlstep.traces.retries import Retries

# How late after its deadline a response may arrive: 60 ms are allowed, and 50 ms are added for the sockets.
RESPONSE_MARGIN_US = 110_000
CALLS_IF_NOT_IDEMPOTENT = (1, 0, 2, 1)  # calls by the number of the work; 1 on average
ATTEMPT_ID_BYTES = 8


@dataclass(slots=True)
class Work:
    """One request of the schedule, over all its attempts.

    Attributes:
        number: Index in the schedule, from 0.
        planned: Request of the schedule.
        attempts: Number of attempts created so far.
        open_attempt: Id of the attempt without a response; None if there is none.
        due_us: Deadline of the response to the last attempt, in microseconds since the start.
    """

    number: int
    planned: PlannedRequest
    attempts: int = 0
    open_attempt: str | None = None
    due_us: int = 0


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt at a piece of work, sent as one request.

    Attributes:
        id: Id of the request on the wire.
        work: The work that the attempt belongs to.
        at_us: Planned send time, in microseconds since the start.
        is_retry: Whether it is not the first attempt.
        node: Number of the node that it is sent to.
    """

    id: str
    work: Work
    at_us: int
    is_retry: bool
    node: int


@dataclass(slots=True)
class Campaign:
    """The senders of one replay: creates attempts and retries, and records the responses.

    Attributes:
        classes: Request classes of the nodes, by name.
        retries: When senders retry a request.
        seed: Seed of the ids of attempts and of the jitter of retries.
        metrics: Service metrics of the responses.
        nodes: Number of nodes.
        counts: Number of attempts, responses and pieces of work, by event or status.
    """

    classes: Mapping[str, ClassSettings]
    retries: Retries
    seed: int
    metrics: ServiceMetrics
    nodes: int = 1
    counts: Counter[str] = field(default_factory=Counter)
    _open_work: dict[str, Work] = field(default_factory=dict)
    _answered_ids: set[str] = field(default_factory=set)

    def start_work(self, number: int, planned: PlannedRequest) -> Attempt:
        """Create a piece of work; return its first attempt.

        Args:
            number: Index of the request in the schedule, from 0.
            planned: Request of the schedule.
        """
        self.metrics.add_offered(planned, self.classes[planned.request_class].priority_weight)
        self.counts["work"] += 1
        return self._new_attempt(Work(number, planned), planned.at_us)

    def _new_attempt(self, work: Work, at_us: int) -> Attempt:
        name = f"{self.seed}/{work.number}/{work.attempts}"
        attempt = Attempt(
            id=blake3(name.encode()).hexdigest(ATTEMPT_ID_BYTES),
            work=work,
            at_us=at_us,
            is_retry=work.attempts > 0,
            node=(work.number + work.attempts) % self.nodes,  # round robin; a retry goes to the next node
        )
        work.attempts += 1
        work.open_attempt = attempt.id
        work.due_us = at_us + self.classes[work.planned.request_class].deadline_us
        self._open_work[attempt.id] = work
        return attempt

    def record_sent(self, attempt: Attempt, now_us: int) -> None:
        """Record that an attempt was sent at `now_us`, in microseconds since the start."""
        self.counts["sent"] += 1
        self.metrics.add_lateness(now_us - attempt.at_us)

    def record_response(
        self,
        attempt_id: str,
        status: ResponseStatus,
        now_us: int,
        retry_after_us: int = 0,
        is_partial: bool = False,
    ) -> Attempt | None:
        """Record a final response; return the next attempt, or None if there is none.

        Args:
            attempt_id: Id of the attempt.
            status: Status of the response.
            now_us: Time of the response, in microseconds since the start.
            retry_after_us: Retry-After of a rejection, in microseconds; 0 if there is none.
            is_partial: Whether a call was skipped.
        """
        work = self._open_work.pop(attempt_id, None)
        if work is None:
            self.counts["twice" if attempt_id in self._answered_ids else "unknown"] += 1
            return None
        self._count_response(attempt_id, status, is_late=now_us > work.due_us + RESPONSE_MARGIN_US)
        request_class = self.classes[work.planned.request_class]
        work.open_attempt = None
        if status is ResponseStatus.DONE:
            self.metrics.add_done(work.planned, request_class, now_us - work.planned.at_us, is_partial)
        if not may_retry(status, request_class):
            return None
        return self._retry(work, request_class, now_us, retry_after_us)

    def _count_response(self, attempt_id: str, status: ResponseStatus, is_late: bool) -> None:
        self._answered_ids.add(attempt_id)
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
        return self._new_attempt(work, at_us)

    @property
    def open(self) -> int:
        """Number of attempts without a response."""
        return len(self._open_work)

    def overdue(self, now_us: int) -> int:
        """Return the number of open attempts whose deadline and response margin have passed at `now_us`."""
        return sum(now_us > work.due_us + RESPONSE_MARGIN_US for work in self._open_work.values())

    def last_due_us(self) -> int:
        """Return the latest deadline of the open attempts, in microseconds since the start; 0 if none is open."""
        return max((work.due_us for work in self._open_work.values()), default=0)


def call_count(request_class: ClassSettings, number: int) -> int:
    """Return the number of calls of a piece of work.

    Args:
        request_class: Class of the work; 1 call if it is idempotent, 0 to 2 otherwise, 0 if it makes no calls.
        number: Index of the work in the schedule.
    """
    if not request_class.makes_calls:
        return 0
    if request_class.effect is Effect.IDEMPOTENT:
        return 1
    return CALLS_IF_NOT_IDEMPOTENT[number % len(CALLS_IF_NOT_IDEMPOTENT)]
