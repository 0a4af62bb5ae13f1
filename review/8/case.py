"""The kernel of a cold node comes up long after the node; the requests come once it is up."""

from __future__ import annotations

import asyncio
import copy
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

LATE_S = 20.0  # from the start of the node to that of its kernel; without trouble it is up at once
RATE_PER_S = 26.0
PLAY_S = 14.0
COLD_SHARE, WARM_AFTER_S, FALL_MULTIPLE = 0.26, 17.0, 5.0
CALL_S = 1.8
CLASS = "setpoint-cmd"
PARTS_S = [0.02, 0.28]  # work before and after the call


def settings(base: dict[str, object]) -> dict[str, object]:
    """Return settings of a node that starts cold, whose runs can't be halted, and with one class that calls below."""
    changed = copy.deepcopy(base)
    changed["classes"] = [
        {
            "name": CLASS,
            "aimUs": 2100000,
            "hardLimitUs": 7800000,
            "lateShare": 0.2,
            "worth": 3.0,
            "semantics": "at_most_once",
            "repeatWindowUs": 5000000,
        }
    ]
    family, rules = changed["familyInfo"], changed["rules"]
    assert isinstance(family, dict)
    assert isinstance(rules, dict)
    family |= {"callsByClass": [True], "degradedWorth": [0.0], "halt": "none", "cold": True}
    rules |= {
        "coldShare": COLD_SHARE,
        "warmAfterUs": int(WARM_AFTER_S * 1e6),
        "fallMultiple": FALL_MULTIPLE,
    }
    return changed


async def run(record: Record, trouble: bool) -> list[str]:
    """Play the case."""
    cores = Cores(
        record, cold_share=COLD_SHARE, warm_after_s=WARM_AFTER_S, fall_multiple=FALL_MULTIPLE, halt="none"
    )
    kernel, database = KernelPort(cores, "kernel"), Database(record, cores, lambda: CALL_S)
    await kernel.open()
    await database.open()
    serving = asyncio.create_task(cores.serve())
    with folder() as files:
        config = configuration("n1", kernel.address, database.address)
        config["settings"] = settings(config["settings"])
        node = Node(config, files)
        try:
            node.start()
            await node.answers_health((200, 503))
            record.write("node up")
            if trouble:
                await asyncio.sleep(LATE_S)
            kernel.boot()
            await node.answers_health()
            front_end = FrontEnd(record, cores)
            links = [await front_end.link(node.listen) for _ in range(4)]
            end_s, number = time.time() + PLAY_S, 0
            while time.time() < end_s:
                link = next((each for each in links[number % 4 :] + links if each.usable), None)
                if link is not None:
                    link.send([front_end.work(CLASS, PARTS_S)])
                number += 1
                await asyncio.sleep(1.0 / RATE_PER_S)
            record.write(f"node: {node.log_tail()}")
        finally:
            node.end()
            serving.cancel()
    text = (
        f"sent {len(front_end.sent)}, most on the cores: {cores.most_crowd:.2f} of what the machine survives"
    )
    record.write(text)
    print(text)
    return [f"fall-over: {text}" for text in cores.falls[:1]]


if __name__ == "__main__":
    play.main(__file__, run)
