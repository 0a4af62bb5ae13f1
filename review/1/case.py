"""A bad client names the id of another caller's request with another body, over uwsgi, in a keyed class."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from pathlib import Path

from review.common.harness import (
    TROUBLE,
    Node,
    Record,
    deployed_config,
    free_port,
    run_case,
    with_keyed_class,
)
from review.common.platform import Database, Kernel
from review.common.uwsgi import Answer, Server, ask

ROUNDS = 20
WINDOW_US = 23_547_000
OPERATOR = """
[uwsgi]
listen = "127.0.0.1:{port}"
upstream = "127.0.0.1:{upstream}"
max_connections = 64
[uwsgi.vars]
class = "HTTP_X_CLASS"
id = "HTTP_X_REQUEST_ID"
"""


def deposit(_variables: Mapping[str, str], body: bytes) -> bytes:
    """Store a scan, and return its receipt."""
    return b"receipt for " + body


async def case(record: Record, folder: Path) -> bool:
    """Let a museum deposit scans while another client uses the ids of its open requests."""
    kernel, database = Kernel(record, 1), Database(record, 0.01)
    server = Server(record, deposit, 0.15)
    await kernel.open()
    await database.open()
    await server.open()
    port = free_port()
    config = deployed_config(free_port(), kernel.port, database.port)
    with_keyed_class(config, WINDOW_US)
    config["settings"]["familyInfo"]["halt"] = "none"
    node = Node(record, folder, config, OPERATOR.format(port=port, upstream=server.port))
    try:
        node.start()
        await node.ready(port)
        rounds = [await play_round(record, port, number) for number in range(ROUNDS)]
        node.check_alive()
    finally:
        node.end()
    return judge(record, rounds)


Played = tuple[bytes, Answer, Answer | None]


async def play_round(record: Record, port: int, number: int) -> Played:
    """Send one deposit; in an odd round the bad client is there before it, in an even round behind it."""
    key = f"{0x5C0F6E1A00000000 + number:016x}"
    variables = {"HTTP_X_CLASS": "depot", "HTTP_X_REQUEST_ID": key}
    body = json.dumps({"museum": "galerie-cap", "scan": number}).encode()
    bad_body = json.dumps({"client": "unknown", "noise": number}).encode()
    good = ask(record, "gateway", port, variables, body)
    if not TROUBLE:
        return body, await good, None
    bad = ask(record, "bad-client", port, variables, bad_body)
    first, second = (bad, good) if number % 2 else (good, bad)
    first_task = asyncio.create_task(first)
    await asyncio.sleep(0.05)
    second_task = asyncio.create_task(second)
    answers = await asyncio.gather(first_task, second_task)
    good_answer, bad_answer = reversed(answers) if number % 2 else answers
    return body, good_answer, bad_answer


def judge(record: Record, rounds: list[Played]) -> bool:
    """Apply the rule: a served answer carries what a run made for that request, and none goes to such a client."""
    foreign_to_gateway = foreign_to_bad = served = 0
    for body, good, bad in rounds:
        served += good.status == 200 and good.body == b"receipt for " + body
        foreign_to_gateway += good.status == 200 and good.body != b"receipt for " + body
        foreign_to_bad += bad is not None and bad.status == 200 and bad.body == b"receipt for " + body
    record.say(f"rounds={len(rounds)} gateway served with its own receipt={served}")
    record.say(f"gateway served with a receipt of other work: {foreign_to_gateway}")
    record.say(f"bad client served with the receipt of the gateway's request: {foreign_to_bad}")
    return not foreign_to_gateway and not foreign_to_bad


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
