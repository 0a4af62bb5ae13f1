"""The task server of a drill: records the start and end of every effect of a scheduled task, on one clock.

It rejects only requests whose fencing token is below the highest one seen for the task. Overlapping effects of two
holders are both accepted, so that they show in the record.
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
    """Return the time of the monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


class EffectRecorder:
    """A uwsgi server that serves the requests of scheduled tasks and records them.

    Attributes:
        effects: The recorded effects, in the order of their arrival.
        hang_tasks: The names of tasks whose requests never get a response.
        port: The port that it listens on; 0 before `open`.
    """

    def __init__(self, seed: int) -> None:
        """Initialize a closed recorder; `seed` determines the random work times."""
        self.effects: list[Effect] = []
        self.hang_tasks: set[str] = set()
        self.port = 0
        self._fencing_server = FencingServer()
        self._random = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._open_requests: set[asyncio.Task[None]] = set()

    async def open(self, port: int) -> None:
        """Listen on the loopback port.

        Raises:
            OSError: The port can't be bound.
        """
        self._server = await asyncio.start_server(self._handle_connection, "127.0.0.1", port)
        self.port = port

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open_requests.add(task)
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
            self._open_requests.discard(task)

    async def _serve(self, variables: Mapping[str, str]) -> bytes:
        task, token = variables["HTTP_X_TASK"], int(variables["HTTP_X_TASK_TOKEN"])
        run, fence = int(variables["HTTP_X_TASK_RUN"]), variables["HTTP_X_TASK_FENCE"] == "1"
        node = variables["HTTP_X_TASK_HOLDER"]
        arrived_us = clock_us()
        accepted = self._fencing_server.accepts(task, token)
        index = len(self.effects)
        work_s = 0.0 if fence or not accepted else self._random.uniform(*WORK_S)
        # Recorded before the work starts, so that the end is known even if the connection breaks meanwhile.
        self.effects.append(
            Effect(task, node, token, run, arrived_us, arrived_us + int(work_s * 1e6), accepted, fence)
        )
        if not accepted:
            return b"HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\nlate\n"
        if task in self.hang_tasks and not fence:
            await asyncio.sleep(3600)
        if work_s:
            await asyncio.sleep(work_s)
            self.effects[index] = Effect(task, node, token, run, arrived_us, clock_us(), accepted, fence)
        return write_response(200, {}, "done")

    async def close(self) -> None:
        """Stop listening and cancel all open requests."""
        if self._server is not None:
            self._server.close()
        for task in list(self._open_requests):
            task.cancel()
        await asyncio.gather(*self._open_requests, return_exceptions=True)


async def serve(port: int) -> None:
    """Run a recorder on the port until cancelled, and print each effect as a line of JSON."""
    effect_recorder = EffectRecorder(1)
    await effect_recorder.open(port)
    print(json.dumps({"listens": port}), flush=True)
    printed_count = 0
    while True:
        await asyncio.sleep(0.1)
        for effect in effect_recorder.effects[printed_count:]:
            print(json.dumps(asdict(effect)), flush=True)
        printed_count = len(effect_recorder.effects)


def main() -> None:
    """Run the task server as a program of its own."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--port", type=int, default=3040)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args().port))


if __name__ == "__main__":
    main()
