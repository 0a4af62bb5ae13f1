"""A front end numbers its requests over all its connections, so that each of them sees tags with gaps."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Iterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second import play
from review.second.database import Database
from review.second.front_end import FrontEnd, Link
from review.second.kernel import Cores, KernelPort
from review.second.node import Node, configuration, folder
from review.second.record import Record

PLAY_S = 50.0
BURST = 12  # requests that a front end writes together, on one of its two connections in turn
EVERY_S = 0.1
LONG_S, SHORT_S = 0.2, 0.005  # work of the first request of a burst, and of the others
CLASS = "schedule-save"  # makes no calls
DEADLINES_S = {CLASS: 5.4}
SHARE = 0.003  # of the requests: from there on the rule is broken


async def send_bursts(front_end: FrontEnd, address: str, tags: Iterator[int] | None) -> None:
    """Send requests on two connections in turn; one that the node closes is replaced."""
    links: list[Link | None] = [None, None]
    for number in range(int(PLAY_S / EVERY_S)):
        link = links[number % 2]
        if link is None or not link.usable:
            link = await front_end.link(address, lambda: tags or itertools.count(1))
            links[number % 2] = link
        link.send([front_end.work(CLASS, [SHORT_S if index else LONG_S]) for index in range(BURST)])
        await asyncio.sleep(EVERY_S)
    await asyncio.sleep(DEADLINES_S[CLASS] + 0.5)


async def run(record: Record, trouble: bool) -> list[str]:
    """Play the case; with trouble the tags of one counter go to both connections."""
    cores = Cores(record)
    kernel, database = KernelPort(cores, "kernel"), Database(record, cores, lambda: 0.03)
    await kernel.open()
    await database.open()
    serving = asyncio.create_task(cores.serve())
    with folder() as files:
        node = Node(configuration("n1", kernel.address, database.address), files)
        try:
            node.start()
            kernel.boot()
            await node.answers_health()
            front_end = FrontEnd(record, cores)
            await send_bursts(front_end, node.listen, itertools.count(1) if trouble else None)
            record.write(f"node: {node.log_tail()}")
            crashed = node.exit_code is not None
        finally:
            node.end()
            serving.cancel()
    lost = front_end.lost(DEADLINES_S)
    record.write(f"sent {len(front_end.sent)}, lost {len(lost)}")
    print(f"sent {len(front_end.sent)}, lost {len(lost)}")
    broken = ["the node ended"] if crashed else []
    if len(lost) >= SHARE * len(front_end.sent):
        broken += [f"lost: {sent.work.id} tag {sent.tag} was read and never answered" for sent in lost]
    return broken


if __name__ == "__main__":
    play.main(__file__, run)
