"""One real node: wiring and signals."""

from __future__ import annotations

import asyncio
import importlib
import logging
import os
import signal
import sys
from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from marlstep.components import REGISTRY
from marlstep.components.base import Component, StartPhase
from marlstep.config import Config, ConfigError, changes, load, renewed
from marlstep.core.engine import MOST_REQUESTS, Core, Ports
from marlstep.core.model import Front
from marlstep.fronts.base import Listener
from marlstep.fronts.resp import RespFront
from marlstep.net.eventloop import LoopWaker
from marlstep.platform.db import Database
from marlstep.platform.kernel import Kernel
from marlstep.platform.naming import Naming
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, SECOND, span

if TYPE_CHECKING:
    from marlstep.components.hot_restart import HotRestartComponent
    from marlstep.config.governed import Governed

log = logging.getLogger("marlstep")

HEALTH_ENDPOINT_CONNECTIONS = 48
RESERVED_SOCKETS = 64  # descriptors that are no front end's connection
BASE_MEMORY = 20 << 20  # bytes that the program takes before the first request
CONNECTION_MEMORY = 16 << 10  # bytes: its rings, its objects and what its transport holds
REQUEST_MEMORY = 5 << 10  # bytes, with its body
STATUS_INTERVAL = 10 * SECOND
MAX_RESTART_DEADLINE = 3 * SECOND  # of the longest deadline, for a process that has a successor
RESTART_DEADLINE_MARGIN = 700 * MILLISECOND
DRAIN_POLL_INTERVAL = 20 * MILLISECOND  # between looks at whether the drain is done
EXIT_MARGIN = 100 * MILLISECOND  # before the process is stopped, it ends by itself


async def serve(config: Config, read_again: Callable[[], Config]) -> None:
    timeline = TimerQueue(LoopWaker(asyncio.get_running_loop()))
    node = Node(config, timeline, read_again)
    if stall := os.environ.get("MARLSTEP_STALL_MS", ""):
        from marlstep.event_loop_watchdog import EventLoopWatchdog  # not loaded unless it is turned on

        EventLoopWatchdog(timeline, max(1, int(stall)) * MILLISECOND).look()
    await node.open()
    await node.ended.wait()
    await node.close()
    if node.fault is not None:
        raise node.fault


class Node:
    """All parts of one node, and the order in which they come and go."""

    def __init__(
        self, config: Config, timeline: TimerQueue, read_again: Callable[[], Config] | None = None
    ) -> None:
        self.config, self.timeline = config, timeline
        self._reload_config = read_again or (lambda: self.config)
        self.ended = asyncio.Event()
        self.governed: Governed | None = None  # documents in force, where a fleet agrees on any
        self.kernel = Kernel(config.kernel, config.gauges, timeline, lambda: self.core)
        self.database = Database(config.db, timeline, lambda: self.core)
        most, room = self.connection_budget(1)
        self.core = Core(config.settings, config.seed, timeline, Ports(self.kernel, self.database), most)
        self.naming = Naming(config.name, config.naming, timeline)
        self.components: dict[str, Component] = {}
        for module, wanted in REGISTRY:
            if wanted(config):
                part: Component = importlib.import_module(module).make(self, room)
                self.components[part.name] = part
                room -= part.descriptors
        self.resp = RespFront(self.core, timeline, self.kernel, room, span(config.settings.idle_us))
        fronts = [part.front for part in self.components.values() if part.front is not None]
        self.fronts: list[Front] = [self.resp, *fronts]
        for front in self.fronts:
            self.core.add_front(front)
        self.core.on_grace_over = self._poll_drain
        self._counted: Counter[str] = Counter()
        self._listens: asyncio.Task[None] | None = None
        self.fault: OSError | None = None  # for which this process can't serve

    def connection_budget(self, processes: int) -> tuple[int, int]:
        """Requests and connections that the node has room for, with so many processes of this program.

        Half of what the memory has room for is for requests, and half for connections.
        """
        config = self.config
        half = max(2 << 20, config.memory - processes * BASE_MEMORY) // 2
        others = RESERVED_SOCKETS + (HEALTH_ENDPOINT_CONNECTIONS if config.mgmt else 0)
        # A small limit of descriptors leaves the others no less than what the clients need.
        connections = max(min(config.sockets - processes * others, half // CONNECTION_MEMORY), 16)
        return min(MOST_REQUESTS, half // REQUEST_MEMORY), connections

    async def open(self) -> None:
        loop = asyncio.get_running_loop()

        def notice(*_: object) -> None:
            # Called at once, also while the loop is busy with something long: the grace counts from here.
            if not loop.is_closed():
                loop.call_soon_threadsafe(self.drain, self.timeline.now())

        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, notice)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._open(StartPhase.BEFORE_SERVING)
        self.core.start()
        config = self.config
        log.info("limits: %.2f cores, %d MB, %d sockets", config.cores, config.memory >> 20, config.sockets)
        await self._open(StartPhase.WITH_CLIENTS)
        if self.core.told_to_leave and self._handover is not None and self._handover.is_standby:
            self.ended.set()
        if self._handover is None or not self._handover.has_predecessor_serving:
            await self._listen()
        self.kernel.open()
        self.naming.open()
        self.timeline.at(self.timeline.now() + STATUS_INTERVAL, self._status)

    async def _open(self, when: StartPhase) -> None:
        shared = self.config.passed is not None  # nobody passes these: two processes have them side by side
        for part in self.components.values():
            if part.start_phase is when:
                await part.open(self.config, shared)

    async def _listen(self) -> None:
        config = self.config
        await self.resp.listen(config.listen, config.passed)
        log.info("%s listens on %s:%d", config.name, *config.listen)
        await self._open(StartPhase.WITH_FRONTENDS)

    # Other processes of this node: only where a listening socket is passed.

    @property
    def _handover(self) -> HotRestartComponent | None:
        return self.components.get("handover")  # type: ignore[return-value]

    def restart_drain_timeout(self) -> timedelta:
        """From SIGTERM to the end where a successor serves."""
        longest = max(span(kind.deadline_us) for kind in self.config.settings.classes)
        return min(longest, MAX_RESTART_DEADLINE) + RESTART_DEADLINE_MARGIN

    def take_over(self) -> None:
        if self._listens is None and not self.resp.listening:
            self._listen_soon()

    def _listen_soon(self) -> None:
        def listened(task: asyncio.Task[None]) -> None:
            fault = task.exception() if not task.cancelled() else None
            if isinstance(fault, OSError):
                self.fault = fault
                self.ended.set()

        self._listens = asyncio.get_running_loop().create_task(self._listen())
        self._listens.add_done_callback(listened)

    def successor_lost(self) -> None:
        """SIGTERM had come, and was no notice as long as there was a successor: now it is."""
        if self.core.stops_at is not None and not self.core.told_to_leave:
            log.warning("the successor is gone: the notice to leave counts from now")
            for front in self.fronts:
                if isinstance(front, Listener):
                    front.accept_again()
            self.naming.leave()
            if not self.resp.listening:
                self._listen_soon()
            self.core.drain(self.core.stops_at)

    def successor_draining(self) -> None:
        """It was told to leave as well, and says no more to the name service. Nobody is to come here either."""
        if self.core.stops_at is not None:
            self.naming.leave()

    def limit_memory_share(self, share: float) -> None:
        """This process's part of the node's room."""
        most, connections = self.connection_budget(1 if share >= 1 else 2)
        self.core.take_share(share, max(1, int(share * most)))
        self.resp.room = max(1, int(share * connections))

    def _status(self) -> None:
        """One line on what passed since the last, to set against what the peers saw."""
        core = self.core
        passed = core.counts - self._counted
        self._counted = core.counts.copy()
        log.info(
            "%s; in hand %d, free value %s, connections %d",
            ", ".join(f"{what} {count}" for what, count in sorted(passed.items())) or "nothing read",
            core.in_hand,
            "-" if core.say is None else f"{core.say:.1f}",
            self._connections,
        )
        self.timeline.at(self.timeline.now() + STATUS_INTERVAL, self._status)

    @property
    def _connections(self) -> int:
        return sum(len(front.connections) for front in self.fronts if isinstance(front, Listener))

    def serving_state_changed(self) -> None:
        """The node was quiesced, or resumed, here."""
        wanted = self.core.duty.wanted
        self.naming.tell(wanted)
        if self._handover is not None:
            self._handover.serving_state_changed(wanted)

    def drain(self, noticed: datetime | None = None) -> None:
        """The notice to leave. With a successor that serves, this process only finishes what it has."""
        now = noticed or self.timeline.now()
        for part in self.components.values():
            part.drain()
        handover = self._handover
        if handover is not None and handover.is_standby:
            self.ended.set()  # the process before it goes on, and with it its reports
        elif handover is not None and handover.hand_over_to_successor(now):
            self.core.hand_over(now + self.restart_drain_timeout())
        else:
            self.core.drain(now + self.config.stop, now)
            # An elder that serves reports on; one that has handed over says the last word when it hears of this.
            self.naming.leave(last_word=handover is None or not handover.has_predecessor)

    def reload(self) -> None:
        """Read the configuration again. What is wrong with it is logged by its key, and the old one stays."""
        try:
            told = self._reload_config()
            if self.governed is not None:
                for line in self.governed.differing(told):
                    log.warning("%s", line)
                told = self.governed.put_on(told)
            self.apply_config(told)
        except ConfigError as fault:
            log.error("configuration not taken, the old one stays: %s", fault)
            return
        log.info("configuration read again")

    def apply_config(self, told: Config) -> None:
        """Another configuration from now on, whole or not at all. Raises ConfigError."""
        old = self.config
        self.config, left_out = renewed(old, told)
        for key in left_out:
            log.warning("%s has changed: that takes a new start", key)
        self.kernel.move(self.config.kernel)
        self.database.move(self.config.db)
        self.naming.move(self.config.naming)
        for part in self.components.values():
            part.reconfigure(self.config)
        if self.config.settings != old.settings:
            for line in changes(old.settings, self.config.settings):
                log.info("settings: %s", line)
            self.kernel.rename(self.config.gauges)
            self.core.renew(self.config.settings)

    def _poll_drain(self) -> None:
        """After the grace: end once all is answered and the peers have closed, or when time is up."""
        open_still = self._connections or any(part.busy for part in self.components.values())
        now = self.timeline.now()
        out_of_time = self.core.stops_at is not None and now >= self.core.stops_at - EXIT_MARGIN
        if out_of_time or not (open_still or self.core.unanswered or self.core.in_grace):
            self.ended.set()
        else:
            self.timeline.at(now + DRAIN_POLL_INTERVAL, self._poll_drain)

    async def close(self) -> None:
        log.info(
            "ends with %d unanswered, %d in hand: %s",
            self.core.unanswered,
            self.core.in_hand,
            dict(self.core.counts),
        )
        for part in self.components.values():
            part.stop()
        self.kernel.close()
        self.database.close()
        for part in self.components.values():
            await part.close()


def run(operator: str | None = None) -> int:
    """Serve until the notice to leave; 2: configuration wrong, 1: an address not to be had."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node can read its configuration again
    read = partial(load, operator=operator)
    try:
        config = read()
    except ConfigError as fault:
        print(f"marlstep: {fault}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, read))
    except OSError as fault:
        log.error("can't serve: %s", fault)
        return 1
    except ModuleNotFoundError as fault:
        if str(fault.name).startswith("marlstep"):
            raise
        print(
            f"marlstep: {operator} turns on what needs {fault.name}: install requirements-ops.txt",
            file=sys.stderr,
        )
        return 2
    return 0
