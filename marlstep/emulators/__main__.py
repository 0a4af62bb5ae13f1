"""`python -m marlstep.emulators`: the stand-ins as a process of their own, for a replay.

Prints one JSON line with the addresses, serves until standard input ends, and prints one with what was run. Each
line of standard input holds the number of a node and the id of a request there that has its answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

import uvloop

from marlstep.emulators.servers import StandIns, account

PORTS = 3  # of one node: kernel, database, uwsgi server


async def serve(nodes: int, cores: float, speed: float, call_us: int, kind: str, port: int) -> None:
    sites = [StandIns(cores, speed, call_us) for _ in range(nodes)]
    for number, site in enumerate(sites):
        await site.open(port + PORTS * number if port else 0)
    print(json.dumps([site.addresses for site in sites]), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        node, _, id = line.decode().strip().partition(" ")
        sites[int(node)].kernel.over(id)
    for site in sites:
        site.close()
    print(json.dumps(account(sites, kind)), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--nodes", type=int, default=1)
    parser.add_argument("--cores", type=float, default=6.0)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--call-us", type=int, default=30_000)
    parser.add_argument("--once", default="setpoint-cmd", help="the class that must never run twice")
    parser.add_argument("--first-port", type=int, default=0, help="three a node; 0: the system chooses")
    options = parser.parse_args()
    uvloop.run(
        serve(options.nodes, options.cores, options.speed, options.call_us, options.once, options.first_port)
    )


if __name__ == "__main__":
    main()
