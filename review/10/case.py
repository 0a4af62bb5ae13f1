"""The link to the kernel breaks from time to time while runs wait for several calls, one after the other."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second import play
from review.second.database import Database
from review.second.front_end import FrontEnd
from review.second.kernel import Cores, KernelPort
from review.second.node import Node, configuration, folder
from review.second.record import Record

PLAY_S = 75.0
BREAK_EVERY_S = 0.5
RATE_PER_S = 20.0
CALL_S = 0.02
CLASS = "setpoint-cmd"
PARTS_S = [0.012] * 8  # seven calls between them
SHARE = 0.003  # of the requests: from there on the rule is broken


async def break_links(record: Record, kernel: KernelPort) -> None:
    """Reset the link now and then. What the node has written before is read."""
    while True:
        await asyncio.sleep(BREAK_EVERY_S)
        record.write("the link to the kernel breaks")
        kernel.break_link()


async def run(record: Record, trouble: bool) -> list[str]:
    """Play the case."""
    cores = Cores(record)
    kernel, database = KernelPort(cores, "kernel"), Database(record, cores, lambda: CALL_S)
    await kernel.open()
    await database.open()
    tasks = [asyncio.create_task(cores.serve())]
    chance = random.Random(52)
    with folder() as files:
        node = Node(configuration("n1", kernel.address, database.address), files)
        try:
            node.start()
            kernel.boot()
            await node.answers_health()
            if trouble:
                tasks.append(asyncio.create_task(break_links(record, kernel)))
            front_end = FrontEnd(record, cores)
            links = [await front_end.link(node.listen) for _ in range(2)]
            end_s = time.time() + PLAY_S
            while time.time() < end_s:
                links = [each if each.usable else await front_end.link(node.listen) for each in links]
                chance.choice(links).send([front_end.work(CLASS, PARTS_S)])
                await asyncio.sleep(chance.expovariate(RATE_PER_S))
            await asyncio.sleep(1.0)
            record.write(f"node: {node.log_tail()}")
        finally:
            node.end()
            for task in tasks:
                task.cancel()
    text = f"sent {len(front_end.sent)}, wrong replies to calls {len(cores.faults)}"
    record.write(text)
    print(text)
    if len(cores.faults) < SHARE * len(front_end.sent):
        return []
    return [f"lost, a reply to another call: {fault}" for fault in cores.faults]


if __name__ == "__main__":
    play.main(__file__, run)
