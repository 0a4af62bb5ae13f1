"""`python -m marlstep.emulators`: run the emulators in a separate process, for replays and tests.

Prints a JSON line with the addresses of each node's emulators, serves until the end of standard input, and prints a
JSON line with the counts of runs and calls. Each line of standard input reports a delivered response: the index of a
node, counted from 0, a space, and the id of the request on that node.
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
    """Serve one site for each node until the end of standard input.

    Args:
        node_count: number of nodes.
        cores: number of cores of each emulated machine.
        speed: microseconds of work that one core does in a microsecond.
        call_us: latency of the emulated databases in microseconds.
        at_most_once_class: request class whose work must not be started twice.
        first_port: port of the first emulator; each node takes the next `PORTS_PER_SITE` ports. 0 lets the system
            choose free ports.
    """
    sites = [EmulatedSite(cores, speed, call_us) for _ in range(node_count)]
    for number, site in enumerate(sites):
        await site.open(first_port + PORTS_PER_SITE * number if first_port else 0)
    print(json.dumps([site.addresses for site in sites]), flush=True)
    await read_delivered_responses(sites)
    for site in sites:
        site.close()
    print(json.dumps(report_sites(sites, at_most_once_class)), flush=True)


async def read_delivered_responses(sites: list[EmulatedSite]) -> None:
    """Report each delivered response to its node's emulated kernel, until the end of standard input."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        node, _, run_id = line.decode().strip().partition(" ")
        sites[int(node)].kernel.response_delivered(run_id)


def main() -> None:
    """Parse the command-line options and serve."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--nodes", type=int, default=1)
    parser.add_argument("--cores", type=float, default=6.0)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--call-us", type=int, default=30_000)
    parser.add_argument("--once", default="setpoint-cmd", help="the request class that must run at most once")
    parser.add_argument(
        "--first-port", type=int, default=0, help="first port, three ports per node; 0: the system chooses"
    )
    options = parser.parse_args()
    uvloop.run(
        serve(options.nodes, options.cores, options.speed, options.call_us, options.once, options.first_port)
    )


if __name__ == "__main__":
    main()
