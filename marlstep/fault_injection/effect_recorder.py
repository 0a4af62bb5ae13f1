"""The server of the tasks: a witness with one clock, which records every act as it comes and ends.

It turns down a token that is lower than the highest it has seen, and nothing else: two acts of two holders that go on
at once are both accepted here, and show in the record.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import time
from collections.abc import Mapping
from dataclasses import asdict

from marlstep.fault_injection.effects import Effect, FencingServer
from marlstep.frontends.uwsgi_wire import PacketReader, write_response
from marlstep.net.ring import Ring

WORK_S = (0.005, 0.12)


def clock_us() -> int:
    return time.monotonic_ns() // 1000


class EffectRecorder:
    def __init__(self, seed: int) -> None:
        self.effects: list[Effect] = []
        self.hang_tasks: set[str] = set()  # whose acts never end
        self.port = 0
        self._receiver = FencingServer()
        self._chance = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Task[None]] = set()

    async def open(self, port: int) -> None:
        self._server = await asyncio.start_server(self._taken, "127.0.0.1", port)
        self.port = port

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            packets, ring = PacketReader(1 << 16), Ring(1 << 16)
            while (packet := packets.next(ring)) is None:
                data = await reader.read(4096)
                if not data:
                    return
                ring.put(data)
            writer.write(await self._serve(packet.variables))
            await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._open.discard(task)

    async def _serve(self, told: Mapping[str, str]) -> bytes:
        task, token = told["HTTP_X_TASK"], int(told["HTTP_X_TASK_TOKEN"])
        run, fence = int(told["HTTP_X_TASK_RUN"]), told["HTTP_X_TASK_FENCE"] == "1"
        node = told["HTTP_X_TASK_HOLDER"]
        began = clock_us()
        taken = self._receiver.accepts(task, token)
        number = len(self.effects)
        work = 0.0 if fence or not taken else self._chance.uniform(*WORK_S)
        # Written down before it is worked on: of an act whose connection breaks the end is known as well.
        self.effects.append(Effect(task, node, token, run, began, began + int(work * 1e6), taken, fence))
        if not taken:
            return b"HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\nlate\n"
        if task in self.hang_tasks and not fence:
            await asyncio.sleep(3600)
        if work:
            await asyncio.sleep(work)
            self.effects[number] = Effect(task, node, token, run, began, clock_us(), taken, fence)
        return write_response(200, {}, "done")

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._open):
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)


async def serve(port: int) -> None:
    """Until it is ended, with a line of JSON for each act."""
    effect_recorder = EffectRecorder(1)
    await effect_recorder.open(port)
    print(json.dumps({"listens": port}), flush=True)
    told = 0
    while True:
        await asyncio.sleep(0.1)
        for effect in effect_recorder.effects[told:]:
            print(json.dumps(asdict(effect)), flush=True)
        told = len(effect_recorder.effects)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--port", type=int, default=3040)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args().port))


if __name__ == "__main__":
    main()
