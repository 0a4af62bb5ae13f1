"""The load of an upgrade: connections of front ends to the node's passed socket, and a record of what came back.

A piece of work has a number and, where its class has an effect, a name that its tries share. Each try is one request
with an id of its own. Frames are written and read here by the wire's own rules, not by the program's code.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, deque
from dataclasses import dataclass, field

SENDERS = 8
TRIES_AT_ONCE = 3  # on one connection
BATCHES = 4  # of a connection, before its front end closes it
ANSWER_WITHIN_S = 12.0  # longer than any deadline of the classes
LATE_ANSWERS_S = 0.01  # a connection is still read for so long after its last answer
PAUSE_S = 0.02
TWIN_SHARE = 0.1  # of the work with a name that is sent a second time before the first is answered
REPEAT_SHARE = 0.4  # of it that is sent once more after its answer
REPEAT_AFTER_S = (0.0, 0.6)
MOST_REPEATS = 4  # on one connection: after eight requests that can't be taken the node closes it


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    weight: int  # in the load
    work_us: int
    calls: int
    has_effect: bool
    shares_result: bool = False  # a repeat gets the result of the first try; else an error


CLASSES = (
    RequestClass("temp-history", 4, 8_000, 1, has_effect=False),
    RequestClass("schedule-save", 2, 5_000, 0, has_effect=False),
    RequestClass("setpoint-cmd", 3, 10_000, 0, has_effect=True),
    RequestClass("meter-reading", 3, 10_000, 0, has_effect=True, shares_result=True),
)
CLASS_BY_NAME = {one.name: one for one in CLASSES}


@dataclass(slots=True)
class Work:
    number: int
    kind: RequestClass
    work_us: int
    tries: list[Try] = field(default_factory=list)

    @property
    def name(self) -> str:
        return f"work-{self.number}" if self.kind.has_effect else ""

    @property
    def body(self) -> bytes:
        """As the kernel's stand-in reads it."""
        return b"n=%d work=%d calls=%d" % (self.number, self.work_us, self.kind.calls)


@dataclass(slots=True, frozen=True)
class Answer:
    word: str  # done, later or error
    body: bytes


@dataclass(slots=True)
class Try:
    work: Work
    id: str
    sent_at: float
    answers: list[Answer] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    lost_at: float | None = None  # when its connection ended without an answer to it
    taken_back: bool = False  # by its front end: no answer is owed

    @property
    def word(self) -> str:
        """What came first; empty where nothing did."""
        return self.answers[0].word if self.answers else ""


def write_frame(*words: bytes) -> bytes:
    head = b"*%d\r\n" % len(words)
    return head + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_frame(reader: asyncio.StreamReader) -> list[bytes]:
    """Raises asyncio.IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Record:
    """All work that was sent, and answers that belong to nothing."""

    def __init__(self) -> None:
        self.works: list[Work] = []
        self.strange_answers: list[str] = []
        self.no_connection = 0
        self._tries = 0

    @property
    def tries(self) -> list[Try]:
        return [one for work in self.works for one in work.tries]

    @property
    def answer_count(self) -> int:
        return sum(bool(one.answers) for one in self.tries)

    def new_work(self, kind: RequestClass, work_us: int = 0) -> Work:
        work = Work(len(self.works) + 1, kind, work_us or kind.work_us)
        self.works.append(work)
        return work

    def new_try(self, work: Work) -> Try:
        self._tries += 1
        one = Try(work, f"{self._tries:016x}", time.monotonic())
        work.tries.append(one)
        return one


class Connection:
    """One connection of a front end."""

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record, self._reader, self._writer = record, reader, writer
        self.closing = False  # the node asked that nothing new be sent here
        self.ended = False
        self.repeats = 0  # that were sent here
        self._open: dict[int, Try] = {}
        self._tag = 0
        self._reading = asyncio.get_running_loop().create_task(self._read())

    @staticmethod
    async def open(record: Record, port: int) -> Connection:
        """Raises OSError."""
        return Connection(record, *await asyncio.open_connection("127.0.0.1", port))

    @property
    def usable(self) -> bool:
        return not (self.closing or self.ended)

    def send(self, work: Work) -> Try:
        self.repeats += bool(work.tries)
        one = self._record.new_try(work)
        self._tag += 1
        self._open[self._tag] = one
        fields = f"id={one.id},at={time.time_ns() // 1_000_000},kb=1"
        if work.name:
            fields += f",once={work.name}"
        frame = write_frame(b"EXEC", b"%d" % self._tag, work.kind.name.encode(), fields.encode(), work.body)
        self._writer.write(frame)
        return one

    def take_back(self, one: Try) -> None:
        """The front end waits for it no more."""
        one.taken_back = True
        tag = next(tag for tag, sent in self._open.items() if sent is one)
        self._writer.write(write_frame(b"FORGET", b"%d" % tag))

    async def _read(self) -> None:
        try:
            while True:
                self._received(await read_frame(self._reader))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended = True
            for one in self._open.values():
                if not one.answers:
                    one.lost_at = time.monotonic()
                one.answered.set()

    def _received(self, words: list[bytes]) -> None:
        if words[:2] == [b"0", b"closing"]:
            self.closing = True
            return
        one = self._open.get(int(words[0]))
        if one is None:
            self._record.strange_answers.append(repr(words[:2]))
            return
        one.answers.append(Answer(words[1].decode(), words[-1]))
        one.answered.set()

    async def close(self) -> None:
        await asyncio.sleep(LATE_ANSWERS_S)
        self._writer.close()
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)


async def wait_answer(one: Try) -> None:
    """Until it is answered or lost; one for which neither comes stays without an answer."""
    try:
        await asyncio.wait_for(one.answered.wait(), ANSWER_WITHIN_S)
    except TimeoutError:
        return


class Load:
    """Front ends that send all classes and repeat some of the work that has a name, until they are stopped."""

    def __init__(self, port: int, seed: int) -> None:
        self.port = port
        self.record = Record()
        self._chance = random.Random(seed)
        self._repeats: deque[tuple[float, Work]] = deque()
        self._stop = False
        self._senders: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._senders = [loop.create_task(self._send()) for _ in range(SENDERS)]

    async def stop(self) -> None:
        """Nothing new is sent; what is open is waited for. Raises what went wrong in a sender."""
        self._stop = True
        await asyncio.gather(*self._senders)

    async def abort(self) -> None:
        for sender in self._senders:
            sender.cancel()
        await asyncio.gather(*self._senders, return_exceptions=True)

    async def _send(self) -> None:
        while not self._stop:
            try:
                connection = await Connection.open(self.record, self.port)
            except OSError:
                self.record.no_connection += 1
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                await self._use(connection)
            finally:
                await connection.close()

    async def _use(self, connection: Connection) -> None:
        for _ in range(BATCHES):
            if self._stop or not connection.usable:
                return
            tries = [connection.send(self._next_work(connection)) for _ in range(TRIES_AT_ONCE)]
            for one in tries:
                await wait_answer(one)
                self._perhaps_repeat(one)
            await asyncio.sleep(PAUSE_S)

    def _next_work(self, connection: Connection) -> Work:
        due = self._repeats and self._repeats[0][0] <= time.monotonic()
        if due and connection.repeats < MOST_REPEATS:
            return self._repeats.popleft()[1]
        kind = self._chance.choices(CLASSES, [one.weight for one in CLASSES])[0]
        work = self.record.new_work(kind)
        if work.name and self._chance.random() < TWIN_SHARE:
            self._repeats.append((time.monotonic(), work))
        return work

    def _perhaps_repeat(self, one: Try) -> None:
        """Work with a name is sent again where its answer was lost, and now and then although it came."""
        if not one.work.name or len(one.work.tries) > 2:
            return
        if not one.answers or self._chance.random() < REPEAT_SHARE:
            due = time.monotonic() + self._chance.uniform(*REPEAT_AFTER_S)
            self._repeats.append((due, one.work))


@dataclass(slots=True, frozen=True)
class Verdict:
    """What the record of a load proves."""

    failures: list[str]
    counts: dict[str, int]


LOST_WITHIN_S = 1.0  # after a process was killed its connections have ended
MOST_LATER_SHARE = 0.02  # of requests that a busy machine may refuse at once while nobody was killed


def judge(record: Record, runs: Counter[tuple[str, int]], killed_at: float | None) -> Verdict:
    """`runs`: how often each piece of work was started, by class and number, over all processes."""
    failures = [f"an answer to no request: {one}" for one in record.strange_answers]
    for work in record.works:
        failures += _judge_work(work, runs[work.kind.name, work.number], killed_at)
    words = Counter(one.word or ("taken back" if one.taken_back else "lost") for one in record.tries)
    refused = words["later"]
    if killed_at is None and refused > max(1, MOST_LATER_SHARE * words.total()):
        failures.append(f"{refused} of {words.total()} requests were refused")
    counts = {
        "requests": words.total(),
        **{f"answered_{word}": words[word] for word in ("done", "later", "error")},
        "lost_with_killed_process": words["lost"],
        "taken_back": words["taken back"],
        "work_with_effect": sum(work.kind.has_effect for work in record.works),
        "repeated_work": sum(len(work.tries) > 1 for work in record.works),
        "connections_refused": record.no_connection,
    }
    return Verdict(failures, counts)


def _judge_work(work: Work, runs: int, killed_at: float | None) -> list[str]:
    what = f"{work.kind.name} {work.number}"
    failures = [fault for one in work.tries for fault in _judge_try(what, one, killed_at)]
    if work.kind.has_effect and runs > 1:
        failures.append(f"{what} ran {runs} times")
    if not runs and any(one.word == "done" for one in work.tries):
        failures.append(f"{what} was answered done and never ran")
    return failures


def _judge_try(what: str, one: Try, killed_at: float | None) -> list[str]:
    if len(one.answers) > 1:
        return [f"{what} was answered {len(one.answers)} times: {[answer.word for answer in one.answers]}"]
    if not one.answers:
        excused = one.taken_back or _went_with_killed_process(one, killed_at)
        return [] if excused else [f"{what} was not answered"]
    answer = one.answers[0]
    if answer.word == "done":
        right = answer.body.split()[-1:] == [b"%d" % one.work.number]
        return [] if right else [f"{what} got the result of other work: {answer.body[:40]!r}"]
    if answer.word == "error" and not _may_fail(one.work, killed_at):
        return [f"{what} failed"]
    return [] if answer.word in ("later", "error") else [f"{what} was answered {answer.word!r}"]


def _went_with_killed_process(one: Try, killed_at: float | None) -> bool:
    if killed_at is None or one.lost_at is None:
        return False
    return 0 <= one.lost_at - killed_at <= LOST_WITHIN_S


def _may_fail(work: Work, killed_at: float | None) -> bool:
    """A repeat of work that ran, or may have, and whose result is not shared, or not known any more."""
    repeated = len(work.tries) > 1 and work.kind.has_effect
    unknown = killed_at is not None or any(one.taken_back for one in work.tries)
    return repeated and (unknown or not work.kind.shares_result)
