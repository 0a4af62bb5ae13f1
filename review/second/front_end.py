"""A stand-in of a front end: connections that carry requests, and what became of each request."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from review.second.kernel import Cores, Work, result_of
from review.second.record import Record

CROSSING_S = 0.05  # a request that crosses the end of a connection within that time is sent once more


@dataclass
class Sent:
    """A request as it was sent on one connection."""

    work: Work
    tag: int
    written_s: float
    fields: dict[str, str] = field(default_factory=dict)
    answer: str = ""  # the word of the answer
    answered_s: float = 0.0
    answers: int = 0
    ended_s: float = 0.0  # when its connection ended without an answer to it
    sent_again: bool = False


def frame(*words: bytes) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_frame(reader: asyncio.StreamReader) -> list[bytes]:
    """Read an array of bulk strings. Raises IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(length + 2))[:length])
    return words


class Link:
    """One connection of a front end to a node."""

    def __init__(self, front_end: FrontEnd, tags: Iterator[int]) -> None:
        """Create a connection that is not open; `tags` are the numbers that it uses, in this order."""
        self.front_end, self._tags = front_end, tags
        self.open: dict[int, Sent] = {}
        self.closing_s = 0.0  # when `0 closing` was read
        self.ended = False
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether a request may be sent here: no `0 closing` has come, and fewer than 32 are open."""
        return not self.ended and not self.closing_s and len(self.open) < 32

    async def connect(self, address: str) -> None:
        """Connect to a node."""
        host, port = address.split(":")
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self._task = asyncio.create_task(self._read(reader))

    def send(self, works: list[Work], **fields: str) -> list[Sent]:
        """Send requests in one write, with the same further fields."""
        return self.send_each(works, [fields] * len(works))

    def send_each(self, works: list[Work], further: list[dict[str, str]]) -> list[Sent]:
        """Send requests in one write, each with further fields of its own."""
        assert self._writer is not None
        now_s, data, sent_now = time.time(), b"", []
        for work, fields in zip(works, further, strict=True):
            tag = next(self._tags)
            stated = {
                "id": work.id,
                "at": str(int(now_s * 1000)),
                "from": str(self.front_end.number),
                "kb": "10.0",
                "rank": "0.5000",
                **fields,
            }
            sent = Sent(work, tag, now_s, stated)
            text = ",".join(f"{name}={value}" for name, value in stated.items()).encode()
            data += frame(b"EXEC", b"%d" % tag, work.request_class.encode(), text, work.body)
            self.open[tag] = sent
            sent_now.append(sent)
            self.front_end.sent.append(sent)
            self.front_end.record.write(
                f"sent {work.id} {work.request_class} tag {tag} on link {id(self) % 9973}"
            )
        self._writer.write(data)
        return sent_now

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                self._handle(await read_frame(reader))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._end()

    def _handle(self, words: list[bytes]) -> None:
        record = self.front_end.record
        if words[:2] == [b"0", b"closing"]:
            record.write(f"0 closing on link {id(self) % 9973}, open {len(self.open)}")
            self.closing_s = time.time()
        else:
            sent = self.open.pop(int(words[0]), None)
            if sent is None:
                self.front_end.faults.append(f"an answer to no request: {words[:2]!r}")
                return
            sent.answer, sent.answered_s = words[1].decode(), time.time()
            sent.answers += 1
            record.write(f"answer {sent.work.id} {sent.answer}")
            if sent.answer == "done" and words[3] != result_of(sent.work):
                self.front_end.faults.append(f"foreign result: {sent.work.id}")
            self.front_end.cores.answered(sent.work.id)
        if self.closing_s and not self.open:
            self.close()

    def close(self) -> None:
        """Close the connection from this side."""
        if self._writer is not None:
            self._writer.close()

    def _end(self) -> None:
        self.ended = True
        now_s = time.time()
        for sent in self.open.values():
            sent.ended_s = now_s
            self.front_end.record.write(
                f"connection ended without an answer to {sent.work.id}, written {now_s - sent.written_s:.3f} s ago"
            )
        self.close()


class FrontEnd:
    """A front end, with as many connections as it needs."""

    def __init__(self, record: Record, cores: Cores, number: int = 1) -> None:
        """Create a front end without connections."""
        self.record, self.cores, self.number = record, cores, number
        self.sent: list[Sent] = []
        self.faults: list[str] = []
        self._links: list[Link] = []  # all, so that answers are read on those too that are no longer used
        self._bodies = itertools.count(1)

    def work(self, request_class: str, parts: list[float]) -> Work:
        """Create a request, of which the kernel knows."""
        work_id = secrets.token_hex(8)
        work = Work(work_id, request_class, b"body %d" % next(self._bodies), parts)
        self.cores.works[work_id] = work
        return work

    async def link(
        self, address: str, tags: Callable[[], Iterator[int]] = lambda: itertools.count(1)
    ) -> Link:
        """Open a connection to a node."""
        link = Link(self, tags())
        self._links.append(link)
        await link.connect(address)
        return link

    def lost(self, deadlines_s: Mapping[str, float], slack_s: float = 0.11) -> list[Sent]:
        """Return the requests with no final answer in their time, and those whose connection ended without one.

        A request that crosses the end of its connection within `CROSSING_S` is not lost: it is sent once more.
        """
        return [sent for sent in self.sent if self._is_lost(sent, deadlines_s, slack_s)]

    @staticmethod
    def _is_lost(sent: Sent, deadlines_s: Mapping[str, float], slack_s: float) -> bool:
        due_s = sent.written_s + deadlines_s[sent.work.request_class] + slack_s
        if sent.answers:
            return sent.answered_s > due_s
        if sent.ended_s:
            return sent.ended_s - sent.written_s > CROSSING_S
        return time.time() > due_s
