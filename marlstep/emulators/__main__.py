"""`python -m marlstep.emulators`: the emulators as a process of their own, for replays and trials.

Prints one JSON line with the addresses, serves until standard input ends, and prints one with what was run. Each line
of standard input holds the number of a node and the id of a request there whose response has been delivered.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

import uvloop

from marlstep.emulators.site import PORTS_PER_SITE, EmulatedSite, report_sites


async def serve(
    node_count: int, cores: float, speed: float, call_us: int, at_most_once_class: str, first_port: int
) -> None:
    """Serve one site for each node until standard input ends; `first_port` 0 lets the system choose the ports."""
    sites = [EmulatedSite(cores, speed, call_us) for _ in range(node_count)]
    for number, site in enumerate(sites):
        await site.open(first_port + PORTS_PER_SITE * number if first_port else 0)
    print(json.dumps([site.addresses for site in sites]), flush=True)
    await read_delivered_responses(sites)
    for site in sites:
        site.close()
    print(json.dumps(report_sites(sites, at_most_once_class)), flush=True)


async def read_delivered_responses(sites: list[EmulatedSite]) -> None:
    """Tell the emulated kernels which responses were delivered, until standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        node, _, run_id = line.decode().strip().partition(" ")
        sites[int(node)].kernel.response_delivered(run_id)


def main() -> None:
    """Read the options of the command, and serve."""
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
