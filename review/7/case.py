"""A new version starts beside the old one while the database that all nodes share answers slowly."""

from __future__ import annotations

import asyncio
import copy
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second import play
from review.second.database import Database
from review.second.front_end import FrontEnd, Link
from review.second.kernel import Cores, KernelPort
from review.second.node import Node, configuration, folder, free_port
from review.second.record import Record

RATE_PER_S = 20.0
BEFORE_S, AFTER_S = 8.0, 12.0
CALLS_OUT = 10.0  # the mean of calls that the database survives, of this node
CALLS_OVER_S = 5.0
CALL_S, SLOWER = 0.3, 6.0  # of a call, and the factor while the database is slow, in both plays
CLASS = "setpoint-cmd"
PARTS_S = [0.01, 0.05]
DEADLINE_S = 4.3


def settings(base: dict[str, object]) -> dict[str, object]:
    """Return settings of a node with one class, which calls a database that all nodes share."""
    changed = copy.deepcopy(base)
    changed["classes"] = [
        {
            "name": CLASS,
            "aimUs": 3600000,
            "hardLimitUs": int(DEADLINE_S * 1e6),
            "lateShare": 0.2,
            "worth": 3.0,
            "semantics": "at_most_once",
            "repeatWindowUs": 5000000,
        }
    ]
    family = changed["familyInfo"]
    assert isinstance(family, dict)
    family |= {
        "callsByClass": [True],
        "degradedWorth": [0.0],
        "below": "shared",
        "callsOut": CALLS_OUT,
        "callsOverUs": int(CALLS_OVER_S * 1e6),
        "lingersUs": 200000,
    }
    return changed


class Load:
    """Requests at a steady rate, on connections to the address that both processes share."""

    def __init__(self, front_end: FrontEnd, address: str) -> None:
        """Create a load that sends nothing yet."""
        self._front_end, self._address = front_end, address
        self._links: list[Link] = []

    async def send(self, for_s: float) -> None:
        """Send requests for a time."""
        end_s, number = time.time() + for_s, 0
        while time.time() < end_s:
            number += 1
            self._links = [link for link in self._links if not link.ended]
            usable = [link for link in self._links if link.usable]
            if len(usable) < 4:
                usable.append(await self._front_end.link(self._address))
                self._links.append(usable[-1])
            usable[number % len(usable)].send([self._front_end.work(CLASS, PARTS_S)])
            await asyncio.sleep(1.0 / RATE_PER_S)


async def upgrade(record: Record, old: Node, new: Node, listening: socket.socket, load: Load) -> None:
    """Start the new process beside the old, and end the old one at the new one's yes."""
    new.start(listening)
    ready = asyncio.create_task(new.answers_health())
    while not ready.done():
        await load.send(0.1)
    await ready
    record.write("the new process says yes; SIGTERM to the old one")
    old.signal(signal.SIGTERM)


async def run(record: Record, trouble: bool) -> list[str]:
    """Play the case; without trouble one process serves all the time."""
    cores = Cores(record)
    slow: dict[str, float] = {}
    ports = [KernelPort(cores, "kernel of the old process"), KernelPort(cores, "kernel of the new process")]
    database = Database(record, cores, lambda: slow.get("call_s", CALL_S), CALLS_OVER_S)
    for port in ports:
        await port.open()
        port.boot()
    await database.open()
    serving = asyncio.create_task(cores.serve())
    with folder() as files, socket.create_server(("127.0.0.1", 0), backlog=512) as listening:
        config = configuration("n1", ports[0].address, database.address)
        config["listen"] = f"127.0.0.1:{listening.getsockname()[1]}"
        config["settings"] = settings(config["settings"])
        old = Node(config, files, "old")
        new = Node(config | {"kernel": ports[1].address, "mgmt": f"127.0.0.1:{free_port()}"}, files, "new")
        try:
            old.start(listening)
            await old.answers_health()
            front_end = FrontEnd(record, cores)
            load = Load(front_end, old.listen)
            await load.send(BEFORE_S)
            before = database.most_mean
            slow["call_s"] = CALL_S * SLOWER
            record.write("the database is slow from now on")
            if trouble:
                await upgrade(record, old, new, listening, load)
            await load.send(AFTER_S)
            record.write(f"old: {old.log_tail()}")
            record.write(f"new: {new.log_tail()}")
        finally:
            old.end()
            new.end()
            serving.cancel()
    text = (
        f"sent {len(front_end.sent)}, calls {database.calls}, most in the mean of {CALLS_OVER_S:g} s: "
        f"{before:.2f} before, {database.most_mean:.2f} in all, the database survives {CALLS_OUT:g}"
    )
    record.write(text)
    print(text)
    return [f"fall-over of the database: {text}"] if database.most_mean > CALLS_OUT else []


if __name__ == "__main__":
    play.main(__file__, run)
