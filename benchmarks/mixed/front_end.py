"""The load of an upgrade: front ends' connections to the node's passed socket, and a record of the responses.

A piece of work has a number and, where its class has an effect, an idempotency key that its attempts share.
Each attempt is one request with an id of its own. Frames are written and read here by the wire's own rules,
not by the program's code.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field

FRONT_END_COUNT = 8
ATTEMPTS_PER_BATCH = 3  # on one connection
BATCHES_PER_CONNECTION = 4  # of a connection, before its front end closes it
RESPONSE_TIMEOUT_S = 12.0  # longer than any deadline of the classes
LATE_RESPONSE_WAIT_S = 0.01  # a connection is still read for so long after its last response
PAUSE_S = 0.02
DUPLICATE_SHARE = 0.1  # of the work with a key: sent a second time before the first is answered
REPEAT_SHARE = 0.4  # of the work with a key: sent once more after its response
REPEAT_DELAY_RANGE_S = (0.0, 0.6)
MAX_LOSS_DELAY_S = 1.0  # after a process was killed its connections have ended
MAX_REJECTED_SHARE = 0.02  # of requests that a busy machine may reject while no process was killed
MAX_REPEATS_PER_CONNECTION = 4  # on one connection: after eight rejected requests the node closes it


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class of the configuration, and the work that the load sends in it."""

    name: str
    weight: int  # in the load
    work_us: int
    calls: int
    has_effect: bool
    shares_result: bool = False  # a repeat gets the result of the first attempt; else an error


CLASSES = (
    RequestClass("temp-history", 4, 8_000, 1, has_effect=False),
    RequestClass("schedule-save", 2, 5_000, 0, has_effect=False),
    RequestClass("setpoint-cmd", 3, 10_000, 0, has_effect=True),
    RequestClass("meter-reading", 3, 10_000, 0, has_effect=True, shares_result=True),
)
CLASS_BY_NAME = {request_class.name: request_class for request_class in CLASSES}


@dataclass(slots=True)
class WorkItem:
    """A piece of work and all attempts at it."""

    number: int
    request_class: RequestClass
    work_us: int
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def idempotency_key(self) -> str:
        """Shared by all attempts; empty where the class has no effect."""
        return f"work-{self.number}" if self.request_class.has_effect else ""

    @property
    def body(self) -> bytes:
        """The request's body, as the emulated kernel reads it."""
        return b"n=%d work=%d calls=%d" % (self.number, self.work_us, self.request_class.calls)


@dataclass(slots=True, frozen=True)
class Response:
    """A response of the node to one attempt."""

    status: str  # done, later or error
    body: bytes


@dataclass(slots=True)
class Attempt:
    """One request for a piece of work."""

    work: WorkItem
    id: str
    sent_at: float
    responses: list[Response] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    lost_at: float | None = None  # when its connection ended without a response to it
    cancelled: bool = False  # by its front end: no response is owed

    @property
    def status(self) -> str:
        """The status of the first response; empty where there is none."""
        return self.responses[0].status if self.responses else ""


def encode_frame(*words: bytes) -> bytes:
    """Encode one frame of the platform's protocol."""
    header = b"*%d\r\n" % len(words)
    return header + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_frame(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one frame. Raises asyncio.IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Record:
    """All work that was sent, and responses that belong to no request."""

    def __init__(self) -> None:
        """Begin an empty record."""
        self.work_items: list[WorkItem] = []
        self.unexpected_responses: list[str] = []
        self.refused_connections = 0
        self._attempt_count = 0

    @property
    def attempts(self) -> list[Attempt]:
        """All attempts, by work."""
        return [attempt for work in self.work_items for attempt in work.attempts]

    @property
    def response_count(self) -> int:
        """How many attempts have a response."""
        return sum(bool(attempt.responses) for attempt in self.attempts)

    def add_work_item(self, request_class: RequestClass, work_us: int = 0) -> WorkItem:
        """Add a piece of work; `work_us` replaces the duration that its class has."""
        work = WorkItem(len(self.work_items) + 1, request_class, work_us or request_class.work_us)
        self.work_items.append(work)
        return work

    def add_attempt(self, work: WorkItem) -> Attempt:
        """Add an attempt, sent now."""
        self._attempt_count += 1
        attempt = Attempt(work, f"{self._attempt_count:016x}", time.monotonic())
        work.attempts.append(attempt)
        return attempt


class Connection:
    """One connection of a front end."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Begin to read responses; `open` connects."""
        self._record, self._reader, self._writer = record, reader, writer
        self.closing = False  # the node asked that nothing new be sent here
        self.ended = False
        self.repeats = 0  # that were sent here
        self._attempts_by_tag: dict[int, Attempt] = {}
        self._tag = 0
        self._reading = asyncio.get_running_loop().create_task(self._read())

    @staticmethod
    async def open(record: Record, port: int) -> Connection:
        """Connect to the node on loopback. Raises OSError."""
        return Connection(record, *await asyncio.open_connection("127.0.0.1", port))

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent here."""
        return not (self.closing or self.ended)

    def send(self, work: WorkItem) -> Attempt:
        """Send an attempt at this work."""
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
        """Withdraw a request: the front end does not wait for it any more."""
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
        """Read late responses for a moment, then close."""
        await asyncio.sleep(LATE_RESPONSE_WAIT_S)
        self._writer.close()
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)


async def wait_response(attempt: Attempt) -> None:
    """Wait until an attempt is answered or lost; one that is neither in time stays without a response."""
    try:
        await asyncio.wait_for(attempt.answered.wait(), RESPONSE_TIMEOUT_S)
    except TimeoutError:
        return


class Load:
    """Front ends that send all classes and repeat some of the work with a key, until they are stopped."""

    def __init__(self, port: int, seed: int) -> None:
        """Prepare the front ends; `seed` is that of their random choices."""
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
        """Send nothing new, wait for what is in flight, and raise what went wrong in a front end."""
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
        """Repeat work with a key where its response was lost, and at random where it came."""
        work = attempt.work
        if not work.idempotency_key or len(work.attempts) > 2:
            return
        if not attempt.responses or self._random.random() < REPEAT_SHARE:
            due = time.monotonic() + self._random.uniform(*REPEAT_DELAY_RANGE_S)
            self._repeats.append((due, work))


@dataclass(slots=True, frozen=True)
class Verdict:
    """What the record of a load proves."""

    failures: list[str]
    counts: dict[str, int]


def check_record(record: Record, runs: Counter[tuple[str, int]], killed_at: float | None) -> Verdict:
    """Judge a record.

    `runs` is how often each piece of work was started, by class and number, over all processes. `killed_at` is
    when a process with connections was killed, on the monotonic clock; None where none was.
    """
    failures = [f"an answer to no request: {response}" for response in record.unexpected_responses]
    for work in record.work_items:
        failures += _check_work_item(work, runs[work.request_class.name, work.number], killed_at)
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


def _check_work_item(work: WorkItem, runs: int, killed_at: float | None) -> list[str]:
    label = f"{work.request_class.name} {work.number}"
    failures = [failure for attempt in work.attempts for failure in _check_attempt(label, attempt, killed_at)]
    if work.request_class.has_effect and runs > 1:
        failures.append(f"{label} ran {runs} times")
    if not runs and any(attempt.status == "done" for attempt in work.attempts):
        failures.append(f"{label} was answered done and never ran")
    return failures


def _check_attempt(label: str, attempt: Attempt, killed_at: float | None) -> list[str]:
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
    if response.status == "error" and not _may_fail(attempt.work, killed_at):
        return [f"{label} failed"]
    return [] if response.status in ("later", "error") else [f"{label} was answered {response.status!r}"]


def _outcome_without_response(attempt: Attempt) -> str:
    return "cancelled" if attempt.cancelled else "lost"


def _was_lost_with_killed_process(attempt: Attempt, killed_at: float | None) -> bool:
    if killed_at is None or attempt.lost_at is None:
        return False
    return 0 <= attempt.lost_at - killed_at <= MAX_LOSS_DELAY_S


def _may_fail(work: WorkItem, killed_at: float | None) -> bool:
    """Whether it is a repeat of work that may have run, and whose result is not shared or not known."""
    repeated = len(work.attempts) > 1 and work.request_class.has_effect
    unknown = killed_at is not None or any(attempt.cancelled for attempt in work.attempts)
    return repeated and (unknown or not work.request_class.shares_result)
