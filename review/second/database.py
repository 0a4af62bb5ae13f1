"""A stand-in of the database (or of the tier below): it answers each call late, and counts those in its hands."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from review.second.kernel import Cores
from review.second.record import Record

SAMPLE_S = 0.05


class Database:
    """The database.

    Attributes:
        in_hand: calls that it has and has neither answered nor been told to give up.
        most_mean: the largest mean of `in_hand` over `over_s`.
    """

    def __init__(
        self, record: Record, cores: Cores, latency_s: Callable[[], float], over_s: float = 5.0
    ) -> None:
        """Create a database that is not open yet; `latency_s` returns how long the next call takes."""
        self._record, self._cores, self._latency_s, self._over_s = record, cores, latency_s, over_s
        self.address = ""
        self.in_hand = 0
        self.calls = 0
        self.most_mean = 0.0
        self._area = 0.0
        self._changed_s = time.time()
        self._samples: deque[tuple[float, float]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._keep(asyncio.create_task(self._sample()))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _change(self, by: int) -> None:
        now_s = time.time()
        self._area += self.in_hand * (now_s - self._changed_s)
        self._changed_s = now_s
        self.in_hand += by

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            self._change(0)
            now_s = self._changed_s
            self._samples.append((now_s, self._area))
            while len(self._samples) > 1 and self._samples[1][0] <= now_s - self._over_s:
                self._samples.popleft()
            since_s, area = self._samples[0]
            if now_s - since_s >= self._over_s:
                mean = (self._area - area) / (now_s - since_s)
                if mean > self.most_mean:
                    self.most_mean = mean
                    self._record.write(f"database: mean of calls in hand over {self._over_s:g} s {mean:.2f}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_calls: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                call_id = words[1]
                if (previous := open_calls.pop(call_id, None)) is not None and previous.cancel():
                    self._change(-1)
                if words[0] == "Q":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls += 1
                    self._change(1)
                    self._record.write(f"call {call_id} for {words[2]} ms, in hand {self.in_hand}")
                    open_calls[call_id] = asyncio.create_task(self._answer(writer, open_calls, call_id, body))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for task in open_calls.values():
                task.cancel()
                self._change(-1)
            writer.close()

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        open_calls: dict[str, asyncio.Task[None]],
        call_id: str,
        body: bytes,
    ) -> None:
        await asyncio.sleep(self._latency_s())
        del open_calls[call_id]
        self._change(-1)
        reply = b"rows of " + body
        work = self._cores.works.get(call_id)
        if work is not None:
            work.call_reply = reply
        writer.write(f"{call_id} ROWS {len(reply)}\r\n".encode() + reply + b"\r\n")
