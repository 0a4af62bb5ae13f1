"""The steps of a soak: what each action of a script does to the processes of the node and to what surrounds them."""

from __future__ import annotations

import asyncio
import copy
import signal
from collections.abc import Awaitable, Callable

from marlstep.errors import MarlstepError
from marlstep.fault_injection.effect_recorder import clock_us
from marlstep.fault_injection.soak.clients import Traffic
from marlstep.fault_injection.soak.platform import CALL_US, NodeProcess, SoakPlatform
from marlstep.fault_injection.soak.script import Action, Script, Step

LIST_DELAY_S = 1.0  # after SIGTERM until front ends open no more connections to a node that drains
SLOW_CALL_US, SILENT_CALL_US = 400_000, 30_000_000
DATABASE_FAULT_S = 2.0
NAMING_AWAY_S = 2.0
QUIESCE_S = 1.0
LISTING_DELAY_S = 0.05
IDLE_S = 3.0  # after which a node without clients has closed its idle connections to the database


class ProcessNotReadyError(MarlstepError):
    """A process of the node did not become ready."""

    def __init__(self, number: int) -> None:
        """Initialize the error with the number of the process in the soak."""
        super().__init__(f"process {number} did not become ready")


class Soak:
    """One soak in progress."""

    def __init__(self, script: Script, platform: SoakPlatform, traffic: Traffic) -> None:
        """Initialize a soak whose processes have not been started."""
        self._script, self._platform, self._traffic = script, platform, traffic
        self.history = platform.history
        self._ending: list[asyncio.Task[None]] = []

    async def play(self) -> None:
        """Run all steps until the length of the script has passed, then end the last process in order."""
        await self._replace_all(idle=True)
        ends_us = clock_us() + round(self._script.length_s * 1e6)
        for step in self._script.steps:
            await asyncio.sleep(step.pause_s)
            if clock_us() >= ends_us:
                break
            self._log(step.action.value)
            await self._run_step(step)
        await asyncio.gather(*self._ending)

    async def finish(self) -> None:
        """End the last process in order, once the clients have ended and idle connections are closed."""
        await asyncio.sleep(IDLE_S)
        self._record_idle_descriptors()
        await self._drain_alone(restart=False)

    def _record_idle_descriptors(self) -> None:
        self._platform.sample()
        self.history.idle_descriptors.append(self.history.samples[-1].descriptors)

    def _log(self, text: str) -> None:
        self.history.events.append((clock_us(), text))

    async def _run_step(self, step: Step) -> None:
        handlers: dict[Action, Callable[[Step], Awaitable[None]]] = {
            Action.UPGRADE: self._upgrade,
            Action.UPGRADE_TWICE: self._upgrade_twice,
            Action.KILL_NEW: self._kill_new,
            Action.KILL_NEW_IN_HANDOVER: self._kill_new_in_handover,
            Action.KILL_OLD: self._kill_old,
            Action.KILL_ALONE: self._kill_alone,
            Action.DRAIN: self._drain,
            Action.RELOAD_SERIES: self._reload_series,
            Action.RELOAD_IN_DRAIN: self._reload_in_drain,
            Action.RELOAD_IN_START: self._reload_in_start,
            Action.TERMINATE_TWICE: self._terminate_twice,
            Action.QUIESCE: self._quiesce,
            Action.HALVE_MEMORY: self._halve_memory,
            Action.NAMING_AWAY: self._naming_away,
            Action.SLOW_DATABASE: self._slow_database,
            Action.SILENT_DATABASE: self._silent_database,
        }
        await handlers[step.action](step)

    # Starts and ends of processes.

    async def _replace_all(self, *, idle: bool = False, keeps_keys: NodeProcess | None = None) -> NodeProcess:
        """Start a process where none serves, and let clients connect once it is ready.

        Args:
            idle: Whether no client has connected yet, so that the descriptors of an idle process are recorded.
            keeps_keys: An older process that still runs; keyed work is repeated if it still does in the end.
        """
        process = await self._platform.start_process()
        await self._require_ready(process)
        if keeps_keys is None or not keeps_keys.running:
            self._traffic.forget_keyed_work()
        if idle:
            self._record_idle_descriptors()
        self._platform.naming.wants_requests = True
        self._traffic.may_connect.set()
        return process

    async def _require_ready(self, process: NodeProcess) -> None:
        if not await process.ready():
            raise ProcessNotReadyError(process.record.number)

    def _terminate(self, process: NodeProcess, limit_s: float, signals: int = 1) -> None:
        """Send SIGTERM, and kill the process when the platform may; this goes on beside the next steps."""
        for _ in range(signals):
            process.signal(signal.SIGTERM)
        self._ending.append(asyncio.create_task(self._await_end(process, limit_s)))

    async def _await_end(self, process: NodeProcess, limit_s: float) -> None:
        if not await process.wait_for_exit(limit_s):
            process.record.killed_at_stop = not process.record.killed_early
            await process.kill()

    async def _kill_early(self, process: NodeProcess) -> None:
        """Kill a process before its time; the requests on its connections are excused."""
        process.record.killed_early = True
        # Nothing may be accepted, answered or connected after the ports are listed.
        may_connect = self._traffic.may_connect.is_set()
        self._stop_connecting()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(LISTING_DELAY_S)
        for port in (self._platform.port, self._platform.uwsgi_port):
            if port:
                ports = process.client_ports(port)
                self._traffic.excuse_connections(ports)
        await process.kill()
        if may_connect:
            self._traffic.may_connect.set()
        self.history.kills += 1
        self._log(f"killed process {process.record.number}")

    @property
    def _newest(self) -> NodeProcess:
        return self._platform.running[-1]

    async def _start_beside(self) -> tuple[NodeProcess, NodeProcess]:
        old = self._newest
        return old, await self._platform.start_process()

    # Steps.

    async def _upgrade(self, _step: Step, signals: int = 1) -> None:
        old, new = await self._start_beside()
        await self._require_ready(new)
        self.history.upgrades += 1
        self._log(f"upgraded from {old.record.number} to {new.record.number}")
        self._terminate(old, self._platform.upgrade_kill_s(), signals)

    async def _upgrade_twice(self, step: Step) -> None:
        await self._upgrade(step)
        await self._upgrade(step)

    async def _terminate_twice(self, step: Step) -> None:
        await self._upgrade(step, signals=2)

    async def _kill_new(self, step: Step) -> None:
        _, new = await self._start_beside()
        await asyncio.sleep(step.delay_s)
        await self._kill_early(new)
        if step.first:
            await self._upgrade(step)

    async def _kill_new_in_handover(self, step: Step) -> None:
        old, new = await self._start_beside()
        await self._require_ready(new)
        self._terminate(old, self._platform.upgrade_kill_s())
        await asyncio.sleep(step.delay_s / 10)
        self._stop_connecting()
        self._platform.naming.wants_requests = False  # until the third process serves
        await self._kill_early(new)
        await self._replace_all(keeps_keys=old)

    async def _kill_old(self, step: Step) -> None:
        old, new = await self._start_beside()
        if step.first:
            await self._require_ready(new)
        else:
            await asyncio.sleep(step.delay_s)
        await self._kill_early(old)
        if not step.first:  # the new process may not have met the old one, and then knows none of its keys
            self._traffic.forget_keyed_work()
        await self._require_ready(new)

    async def _kill_alone(self, _step: Step) -> None:
        self._stop_connecting()
        for process in self._platform.running:
            await self._kill_early(process)
        self._traffic.forget_keyed_work()
        await self._replace_all()

    async def _drain(self, _step: Step) -> None:
        await self._drain_alone(restart=True)

    async def _drain_alone(self, *, restart: bool, reload_first: bool | None = None) -> None:
        """End the only process without a successor; `reload_first` says when SIGHUP comes beside SIGTERM, if at all."""
        await asyncio.gather(*self._ending)
        process = self._newest
        self._platform.naming.wants_requests = False
        if reload_first is True:
            process.signal(signal.SIGHUP)
        stop_s = self._platform.config["stop_ms"] / 1000
        self._terminate(process, stop_s)
        if reload_first is False:
            process.signal(signal.SIGHUP)
        await asyncio.sleep(LIST_DELAY_S)
        self._stop_connecting()
        await asyncio.gather(*self._ending)
        self._traffic.forget_keyed_work()
        if restart:
            await self._replace_all()

    def _stop_connecting(self) -> None:
        self._traffic.may_connect.clear()

    async def _reload_series(self, step: Step) -> None:
        process = self._newest
        settings = self._platform.config["settings"]
        classes = settings["classes"]
        for number in range(step.signals):
            settings["classes"] = classes[1:] if number % 2 else classes
            process.write_config()
            process.signal(signal.SIGHUP)
        settings["classes"] = classes
        process.write_config()
        process.signal(signal.SIGHUP)
        await asyncio.sleep(step.delay_s)

    async def _reload_in_drain(self, step: Step) -> None:
        await self._drain_alone(restart=True, reload_first=step.first)

    async def _reload_in_start(self, step: Step) -> None:
        old, new = await self._start_beside()
        await new.handles_reload()
        await asyncio.sleep(step.delay_s)
        new.signal(signal.SIGHUP)
        await self._require_ready(new)
        self.history.upgrades += 1
        self._terminate(old, self._platform.upgrade_kill_s())

    async def _quiesce(self, _step: Step) -> None:
        process = self._newest
        self._platform.naming.wants_requests = False
        await process.call("POST", "/admin/quiesce")
        await asyncio.sleep(QUIESCE_S)
        await process.call("POST", "/admin/resume")
        await asyncio.sleep(QUIESCE_S / 5)
        self._platform.naming.wants_requests = True

    async def _halve_memory(self, step: Step) -> None:
        config = self._platform.config
        settings = config["settings"]
        config["settings"] = copy.deepcopy(settings)
        config["settings"]["familyInfo"]["ramKb"] /= 2
        for next_settings in (config["settings"], settings):
            config["settings"] = next_settings
            self._newest.write_config()
            self._newest.signal(signal.SIGHUP)
            await asyncio.sleep(step.delay_s)

    async def _naming_away(self, step: Step) -> None:
        self._platform.naming.away = True
        await self._upgrade(step)
        await asyncio.sleep(NAMING_AWAY_S)
        self._platform.naming.away = False

    async def _slow_database(self, _step: Step) -> None:
        await self._with_call_latency(SLOW_CALL_US)

    async def _silent_database(self, _step: Step) -> None:
        await self._with_call_latency(SILENT_CALL_US)

    async def _with_call_latency(self, latency_us: int) -> None:
        sites = [process.site for process in self._platform.running]
        for site in sites:
            site.database.latency_us = latency_us
        await asyncio.sleep(DATABASE_FAULT_S)
        for site in sites:
            site.database.latency_us = CALL_US
