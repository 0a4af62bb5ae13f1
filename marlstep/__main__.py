"""One real node: wiring and signals."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import uvloop

from marlstep.config import Config, ConfigError, load
from marlstep.core.engine import Core, Ports
from marlstep.db import Database
from marlstep.eventloop import LoopWaker
from marlstep.fronts.resp import RespFront
from marlstep.kernel import Kernel
from marlstep.naming import Naming
from marlstep.timeline import Timeline
from marlstep.units import MILLISECOND, span

log = logging.getLogger("marlstep")

OTHER_SOCKETS = 64  # descriptors that are no front end's connection
FLUSH = 50 * MILLISECOND  # for the last answers to reach their sockets


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    timeline = Timeline(LoopWaker(loop))
    ended = asyncio.Event()

    def core_now() -> Core:
        return core

    kernel = Kernel(config.kernel, config.gauges, timeline, core_now)
    database = Database(config.db, timeline, core_now) if config.db else None
    core = Core(config.settings, config.seed, timeline, Ports(kernel, database))
    front = RespFront(core, timeline, kernel, config.sockets - OTHER_SOCKETS, span(config.settings.idle_us))
    core.add_front(front)
    naming = Naming(config.name, config.naming, timeline) if config.naming else None

    def leave() -> None:
        core.drain(timeline.now() + config.stop)
        if naming is not None:
            naming.leave()

    def end_if_empty() -> None:
        if front.leaving and not core.unanswered:
            timeline.at(timeline.now() + FLUSH, ended.set)

    core.on_empty = end_if_empty
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave)
    core.start()
    await front.listen(config.listen)
    kernel.open()
    if naming is not None:
        await naming.open()
    log.info("%s listens on %s:%d", config.name, *config.listen)
    await ended.wait()
    log.info("ends: %s", dict(core.counts))
    kernel.close()
    if database is not None:
        database.close()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load()
    except ConfigError as fault:
        print(f"marlstep: {fault}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as fault:
        log.error("can't serve: %s", fault)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
