"""The load on a node during an upgrade: front ends that connect to the passed socket, and a record of all responses.

A work item has a number and, if its class has an effect, an idempotency key that all its attempts share. Each
attempt is one request with its own id. Frames are encoded and parsed here as the protocol specifies, not by the
program's own code.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field

FRONT_END_COUNT = 8
ATTEMPTS_PER_BATCH = 3  # on one connection
BATCHES_PER_CONNECTION = 4  # sent before the front end closes the connection
RESPONSE_TIMEOUT_S = 12.0  # longer than the deadlines of all classes
LATE_RESPONSE_WAIT_S = 0.01  # for which a connection is still read after its last response
PAUSE_S = 0.02
DUPLICATE_SHARE = 0.1  # of the work items with a key: repeated before the first response
REPEAT_SHARE = 0.4  # of the work items with a key: repeated after the response
REPEAT_DELAY_RANGE_S = (0.0, 0.6)
MAX_LOSS_DELAY_S = 1.0  # within which connections of a killed process are lost
MAX_REJECTED_SHARE = 0.02  # of the requests, if no process was killed; a busy machine may reject some
MAX_REPEATS_PER_CONNECTION = 4  # the node closes a connection after eight rejected requests


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class of the configuration, and the work that the load sends in it.

    Attributes:
        name: The name of the class.
        weight: Its relative frequency in the load.
        work_us: The processor time of a request, in microseconds.
        calls: The number of downstream calls of a request.
        has_effect: Whether a request has an effect that must take place at most once.
        shares_result: Whether a repeat gets the result of the first attempt instead of an error.
    """

    name: str
    weight: int
    work_us: int
    calls: int
    has_effect: bool
    shares_result: bool = False


CLASSES = (
    RequestClass("temp-history", 4, 8_000, 1, has_effect=False),
    RequestClass("schedule-save", 2, 5_000, 0, has_effect=False),
    RequestClass("setpoint-cmd", 3, 10_000, 0, has_effect=True),
    RequestClass("meter-reading", 3, 10_000, 0, has_effect=True, shares_result=True),
)
CLASS_BY_NAME = {request_class.name: request_class for request_class in CLASSES}


@dataclass(slots=True)
class WorkItem:
    """One unit of work and all attempts at it."""

    number: int
    request_class: RequestClass
    work_us: int
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def idempotency_key(self) -> str:
        """The key that all attempts share; empty if the class has no effect."""
        return f"work-{self.number}" if self.request_class.has_effect else ""

    @property
    def body(self) -> bytes:
        """The request body in the format of the emulated kernel."""
        return b"n=%d work=%d calls=%d" % (self.number, self.work_us, self.request_class.calls)


@dataclass(slots=True, frozen=True)
class Response:
    """A response of the node to one attempt.

    Attributes:
        status: `done`, `later` or `error`.
        body: The body of the response.
    """

    status: str
    body: bytes


@dataclass(slots=True)
class Attempt:
    """One request for a work item.

    Attributes:
        work: The work item.
        id: The id of the request.
        sent_at: When it was sent, in monotonic seconds.
        responses: All responses to it.
        answered: Set when there is a response, or when the connection is lost.
        lost_at: When its connection was lost before a response, in monotonic seconds.
        cancelled: Whether its front end cancelled it, so that it needs no response.
    """

    work: WorkItem
    id: str
    sent_at: float
    responses: list[Response] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    lost_at: float | None = None
    cancelled: bool = False

    @property
    def status(self) -> str:
        """The status of the first response; empty if there is none."""
        return self.responses[0].status if self.responses else ""


def encode_frame(*words: bytes) -> bytes:
    """Encode one frame of the platform's protocol."""
    header = b"*%d\r\n" % len(words)
    return header + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_frame(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one frame.

    Raises:
        asyncio.IncompleteReadError: The stream ended.
    """
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Record:
    """All work items that were sent, and the responses that match no request."""

    def __init__(self) -> None:
        """Initialize an empty record."""
        self.work_items: list[WorkItem] = []
        self.unexpected_responses: list[str] = []
        self.refused_connections = 0
        self._attempt_count = 0

    @property
    def attempts(self) -> list[Attempt]:
        """All attempts, grouped by work item."""
        return [attempt for work in self.work_items for attempt in work.attempts]

    @property
    def response_count(self) -> int:
        """The number of attempts with a response."""
        return sum(bool(attempt.responses) for attempt in self.attempts)

    def add_work_item(self, request_class: RequestClass, work_us: int = 0) -> WorkItem:
        """Add a work item; `work_us`, if not 0, replaces the processor time of its class."""
        work = WorkItem(len(self.work_items) + 1, request_class, work_us or request_class.work_us)
        self.work_items.append(work)
        return work

    def add_attempt(self, work: WorkItem) -> Attempt:
        """Add an attempt that is sent now."""
        self._attempt_count += 1
        attempt = Attempt(work, f"{self._attempt_count:016x}", time.monotonic())
        work.attempts.append(attempt)
        return attempt


class Connection:
    """One connection of a front end to the node."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start to read responses from an open connection; use `open` to connect."""
        self._record, self._reader, self._writer = record, reader, writer
        self.closing = False  # the node asked for no new requests on this connection
        self.ended = False
        self.repeats = 0  # sent on this connection
        self._attempts_by_tag: dict[int, Attempt] = {}
        self._tag = 0
        self._reading = asyncio.get_running_loop().create_task(self._read())

    @staticmethod
    async def open(record: Record, port: int) -> Connection:
        """Connect to the node on loopback.

        Raises:
            OSError: The connection failed.
        """
        return Connection(record, *await asyncio.open_connection("127.0.0.1", port))

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent on this connection."""
        return not (self.closing or self.ended)

    def send(self, work: WorkItem) -> Attempt:
        """Send an attempt at a work item."""
        self.repeats += bool(work.attempts)
        attempt = self._record.add_attempt(work)
        self._tag += 1
        self._attempts_by_tag[self._tag] = attempt
        fields = f"id={attempt.id},at={time.time_ns() // 1_000_000},kb=1"
        if work.idempotency_key:
            fields += f",once={work.idempotency_key}"
        frame = encode_frame(
            b"EXEC", b"%d" % self._tag, work.request_class.name.encode(), fields.encode(), work.body
        )
        self._writer.write(frame)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel a request on behalf of its front end."""
        attempt.cancelled = True
        tag = next(tag for tag, sent in self._attempts_by_tag.items() if sent is attempt)
        self._writer.write(encode_frame(b"FORGET", b"%d" % tag))

    async def _read(self) -> None:
        try:
            while True:
                self._handle_frame(await read_frame(self._reader))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended = True
            for attempt in self._attempts_by_tag.values():
                if not attempt.responses:
                    attempt.lost_at = time.monotonic()
                attempt.answered.set()

    def _handle_frame(self, words: list[bytes]) -> None:
        if words[:2] == [b"0", b"closing"]:
            self.closing = True
            return
        attempt = self._attempts_by_tag.get(int(words[0]))
        if attempt is None:
            self._record.unexpected_responses.append(repr(words[:2]))
            return
        attempt.responses.append(Response(words[1].decode(), words[-1]))
        attempt.answered.set()

    async def close(self) -> None:
        """Read late responses for a short time, then close the connection."""
        await asyncio.sleep(LATE_RESPONSE_WAIT_S)
        self._writer.close()
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)


async def wait_response(attempt: Attempt) -> None:
    """Wait until an attempt is answered or its connection is lost, or until the timeout."""
    try:
        await asyncio.wait_for(attempt.answered.wait(), RESPONSE_TIMEOUT_S)
    except TimeoutError:
        return


class Load:
    """Front ends that send requests of all classes, and repeat some work items with a key, until they are stopped."""

    def __init__(self, port: int, seed: int) -> None:
        """Prepare the front ends.

        Args:
            port: The port of the passed socket on loopback.
            seed: The seed of the front ends' random choices.
        """
        self.port = port
        self.record = Record()
        self._random = random.Random(seed)
        self._repeats: deque[tuple[float, WorkItem]] = deque()
        self._stop = False
        self._front_end_tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all front ends."""
        loop = asyncio.get_running_loop()
        self._front_end_tasks = [loop.create_task(self._run_front_end()) for _ in range(FRONT_END_COUNT)]

    async def stop(self) -> None:
        """Send no new requests, wait for those in flight, and raise the error of a front end if one failed."""
        self._stop = True
        await asyncio.gather(*self._front_end_tasks)

    async def abort(self) -> None:
        """Cancel all front ends."""
        for task in self._front_end_tasks:
            task.cancel()
        await asyncio.gather(*self._front_end_tasks, return_exceptions=True)

    async def _run_front_end(self) -> None:
        while not self._stop:
            try:
                connection = await Connection.open(self.record, self.port)
            except OSError:
                self.record.refused_connections += 1
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                await self._send_batches(connection)
            finally:
                await connection.close()

    async def _send_batches(self, connection: Connection) -> None:
        for _ in range(BATCHES_PER_CONNECTION):
            if self._stop or not connection.usable:
                return
            attempts = [connection.send(self._next_work(connection)) for _ in range(ATTEMPTS_PER_BATCH)]
            for attempt in attempts:
                await wait_response(attempt)
                self._schedule_repeat(attempt)
            await asyncio.sleep(PAUSE_S)

    def _next_work(self, connection: Connection) -> WorkItem:
        due = self._repeats and self._repeats[0][0] <= time.monotonic()
        if due and connection.repeats < MAX_REPEATS_PER_CONNECTION:
            return self._repeats.popleft()[1]
        weights = [request_class.weight for request_class in CLASSES]
        work = self.record.add_work_item(self._random.choices(CLASSES, weights)[0])
        if work.idempotency_key and self._random.random() < DUPLICATE_SHARE:
            self._repeats.append((time.monotonic(), work))
        return work

    def _schedule_repeat(self, attempt: Attempt) -> None:
        """Repeat a work item with a key if its response was lost, or at random if it was answered."""
        work = attempt.work
        if not work.idempotency_key or len(work.attempts) > 2:
            return
        if not attempt.responses or self._random.random() < REPEAT_SHARE:
            due = time.monotonic() + self._random.uniform(*REPEAT_DELAY_RANGE_S)
            self._repeats.append((due, work))


@dataclass(slots=True, frozen=True)
class Verdict:
    """The failures that were found in the record of a load, and its counts for the report."""

    failures: list[str]
    counts: dict[str, int]


def check_record(
    record: Record,
    runs: Counter[tuple[str, int]],
    killed_at: float | None,
    keys_lost_at: float | None = None,
) -> Verdict:
    """Check the record of a load.

    Args:
        record: The record.
        runs: How often each work item was started over all processes, by class and number.
        killed_at: When a process with connections was killed, in monotonic seconds; None if none was.
        keys_lost_at: When the process that decides on keys was killed, in monotonic seconds; None if it was not.
    """
    failures = [f"a response to no request: {response}" for response in record.unexpected_responses]
    for work in record.work_items:
        run_count = runs[work.request_class.name, work.number]
        failures += _check_work_item(work, run_count, killed_at, keys_lost_at)
    outcomes = Counter(attempt.status or _outcome_without_response(attempt) for attempt in record.attempts)
    rejected = outcomes["later"]
    if killed_at is None and rejected > max(1, MAX_REJECTED_SHARE * outcomes.total()):
        failures.append(f"{rejected} of {outcomes.total()} requests were rejected")
    counts = {
        "requests": outcomes.total(),
        **{f"answered_{status}": outcomes[status] for status in ("done", "later", "error")},
        "lost_with_killed_process": outcomes["lost"],
        "taken_back": outcomes["cancelled"],
        "work_with_effect": sum(work.request_class.has_effect for work in record.work_items),
        "repeated_work": sum(len(work.attempts) > 1 for work in record.work_items),
        "connections_refused": record.refused_connections,
    }
    return Verdict(failures, counts)


def _check_work_item(
    work: WorkItem, runs: int, killed_at: float | None, keys_lost_at: float | None
) -> list[str]:
    label = f"{work.request_class.name} {work.number}"
    failures = [
        failure
        for attempt in work.attempts
        for failure in _check_attempt(label, attempt, killed_at, keys_lost_at)
    ]
    if work.request_class.has_effect and runs > 1:
        failures.append(f"{label} ran {runs} times")
    if not runs and any(attempt.status == "done" for attempt in work.attempts):
        failures.append(f"{label} was answered done but never ran")
    return failures


def _check_attempt(
    label: str, attempt: Attempt, killed_at: float | None, keys_lost_at: float | None
) -> list[str]:
    if len(attempt.responses) > 1:
        statuses = [response.status for response in attempt.responses]
        return [f"{label} was answered {len(statuses)} times: {statuses}"]
    if not attempt.responses:
        excused = attempt.cancelled or _was_lost_with_killed_process(attempt, killed_at)
        return [] if excused else [f"{label} was not answered"]
    response = attempt.responses[0]
    if response.status == "done":
        matches = response.body.split()[-1:] == [b"%d" % attempt.work.number]
        return [] if matches else [f"{label} got the result of other work: {response.body[:40]!r}"]
    may_fail = _may_fail(attempt.work, killed_at) or _may_have_run_in_killed_process(attempt, keys_lost_at)
    if response.status == "error" and not may_fail:
        return [f"{label} was answered with an unexpected error"]
    return (
        []
        if response.status in ("later", "error")
        else [f"{label} was answered with an unknown status: {response.status!r}"]
    )


def _outcome_without_response(attempt: Attempt) -> str:
    return "cancelled" if attempt.cancelled else "lost"


def _was_lost_with_killed_process(attempt: Attempt, killed_at: float | None) -> bool:
    if killed_at is None or attempt.lost_at is None:
        return False
    return 0 <= attempt.lost_at - killed_at <= MAX_LOSS_DELAY_S


def _may_have_run_in_killed_process(attempt: Attempt, keys_lost_at: float | None) -> bool:
    """Whether no process can decide if the work ran before: the one that decides was killed (see incident 5)."""
    if keys_lost_at is None or not attempt.work.request_class.has_effect:
        return False
    return attempt.sent_at > keys_lost_at - MAX_LOSS_DELAY_S


def _may_fail(work: WorkItem, killed_at: float | None) -> bool:
    """Whether the work item was repeated after it may have run, and its result is not shared or not known."""
    repeated = len(work.attempts) > 1 and work.request_class.has_effect
    unknown = killed_at is not None or any(attempt.cancelled for attempt in work.attempts)
    return repeated and (unknown or not work.request_class.shares_result)
