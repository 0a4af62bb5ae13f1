"""A drain ends while a try waits for the run of an earlier try of its request: it must not be answered `later`."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path
from typing import Any

from review.common.harness import (
    TROUBLE,
    CannotRunError,
    Node,
    Record,
    deployed_config,
    free_port,
    run_case,
    with_keyed_class,
)
from review.common.platform import Database, FrontEndConnection, Kernel

REQUESTS = 4  # fewer than the machine has cores
RATE = 6  # of the day that brings six times as many requests: aims and deadlines are a sixth
WINDOW_US = 23_547_000
GRACE_US, STOP_MS = 2_000_000, 2_700
PLAN = {"work_ms": 1_200.0, "calls": 0}  # as long as it takes on a machine that is 9.1 times slower
FIRST_TRY_S, SECOND_TRY_S, OVER_S = 1.6, 1.9, 5.0  # since the notice to leave


def settings_of_the_fast_day(config: dict[str, Any]) -> None:
    """Scale aims and deadlines as on the fast day, with the drain of voute-mtl."""
    with_keyed_class(config, WINDOW_US)
    settings = config["settings"]
    for row in settings["classes"]:
        row["aimUs"] //= RATE
        row["hardLimitUs"] //= RATE
    settings["classes"][2]["lateShare"] = 0.2
    settings["rules"]["drainGraceUs"] = GRACE_US
    config["stop_ms"] = STOP_MS


async def case(record: Record, folder: Path) -> bool:
    """Write two tries of each request inside the grace after the notice, and see how they are answered."""
    kernel, database = Kernel(record, 1), Database(record, 0.01)
    await kernel.open()
    await database.open()
    port = free_port()
    config = deployed_config(port, kernel.port, database.port)
    settings_of_the_fast_day(config)
    node = Node(record, folder, config)
    first, second = (connection(record, name, kernel) for name in ("first", "second"))
    try:
        node.start()
        await node.ready(port)
        await asyncio.sleep(1.5)
        if TROUBLE:
            node.tell_to_leave()
        loop = asyncio.get_running_loop()
        notice = loop.time()
        keys = [secrets.token_hex(16) for _ in range(REQUESTS)]
        for each, at in ((first, FIRST_TRY_S), (second, SECOND_TRY_S)):
            await asyncio.sleep(notice + at - loop.time())
            await each.open(port)
            for number, key in enumerate(keys):
                _, frame = each.new_try("depot", number, PLAN, f",once={key}")
                each.write(frame)
        await asyncio.sleep(notice + STOP_MS / 1000 - loop.time())
        if TROUBLE:
            node.kill()
        await asyncio.sleep(notice + OVER_S - loop.time())
    finally:
        node.end()
    return judge(record, kernel, first, second)


def connection(record: Record, name: str, kernel: Kernel) -> FrontEndConnection:
    """Return a connection of a front end that is not open yet."""
    return FrontEndConnection(record, name, lambda answered: kernel.answered(answered.id))


def judge(record: Record, kernel: Kernel, first: FrontEndConnection, second: FrontEndConnection) -> bool:
    """Apply the rule: no try of a request is turned away once the request has been run here."""
    ran = {number for _, number, _ in kernel.starts}
    for name, each in (("first", first), ("second", second)):
        words = [f"{each_try.number}:{each_try.word or 'none'}" for each_try in each.tries.values()]
        record.say(f"{name} tries: {' '.join(words)}")
    refused = [each for each in second.tries.values() if each.word == "later" and each.number in ran]
    record.say(f"requests that ran: {len(ran)}, second tries of them answered `later`: {len(refused)}")
    if not ran:
        raise CannotRunError
    return not refused


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
