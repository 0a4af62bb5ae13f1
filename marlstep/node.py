"""Composition root of one node: creates and connects its parts, and starts and stops them in order."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from functools import partial

import uvloop

from marlstep.components.base import Component, StartPhase
from marlstep.components.registry import REGISTRY
from marlstep.config import Config, ConfigError, load
from marlstep.core.engine import Core, Ports
from marlstep.drain import EXIT_MARGIN, DrainController
from marlstep.frontend_group import FrontendGroup
from marlstep.frontends.resp import RespFrontend
from marlstep.net.eventloop import LoopWaker
from marlstep.platform.database import DatabaseClient
from marlstep.platform.kernel import KernelClient
from marlstep.platform.name_service import NameServiceClient
from marlstep.reload import ConfigReloader, log_setting_changes
from marlstep.resource_budget import MIN_CONNECTIONS, key_memory_budget, resource_budget
from marlstep.status_log import StatusLog, format_counters
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, span

log = logging.getLogger("marlstep")

# For operators' requests at the exit. Shorter than EXIT_MARGIN, so that the process is not killed meanwhile.
OPERATOR_REQUESTS_TIMEOUT = EXIT_MARGIN / 2
EXIT_OK = 0
EXIT_ADDRESS_UNAVAILABLE = 1
EXIT_CONFIG_INVALID = 2


class Node:
    """All parts of one node."""

    def __init__(
        self, config: Config, timeline: TimerQueue, read_config: Callable[[], Config] | None = None
    ) -> None:
        """Create the parts of the node without opening anything.

        Args:
            config: the configuration to start with.
            timeline: the node's timers.
            read_config: reads the configuration for a reload; a reload keeps the configuration if None.
        """
        self.timeline = timeline
        self.config_reloader = ConfigReloader(
            config, read_config or (lambda: self.config), self._check_config, self._reconfigure
        )
        self.ended = asyncio.Event()
        self.kernel = KernelClient(config.kernel, config.gauge_names, timeline, lambda: self.core)
        self.database = DatabaseClient(config.database, timeline, lambda: self.core)
        budget = resource_budget(config, processes=1)
        ports = Ports(self.kernel, self.database)
        self.core = Core(config.settings, config.seed, timeline, ports, budget.requests)
        self.core.limit_key_memory(key_memory_budget(config, processes=1))
        self.naming = NameServiceClient(config.name, config.name_service, timeline)
        self.components: dict[str, Component] = {}
        max_connections = self._make_components(config, budget.connections)
        idle_timeout = span(config.settings.idle_timeout_us)
        self.resp = RespFrontend(self.core, timeline, self.kernel, max_connections, idle_timeout)
        self.frontends = self._make_frontends()
        self.drain_controller = DrainController(
            lambda: self.config,
            self.core,
            timeline,
            self.naming,
            self.frontends,
            self.components,
            self.ended.set,
        )
        self._status_log = StatusLog(self.core, timeline, self.frontends.connection_count)

    def _make_components(self, config: Config, max_connections: int) -> int:
        """Create the enabled components. Returns the number of connections left for the node's own frontend."""
        for registration in REGISTRY:
            if registration.is_enabled(config):
                component = registration.make(self, max_connections)
                self.components[component.name] = component
                max_connections -= component.descriptors
        return max_connections

    def _make_frontends(self) -> FrontendGroup:
        component_frontends = (component.frontend for component in self.components.values())
        others = [frontend for frontend in component_frontends if frontend is not None]
        frontends = FrontendGroup(
            self.resp, others, partial(self._open_components, StartPhase.WITH_FRONTENDS), self.ended.set
        )
        for frontend in frontends.all:
            self.core.add_frontend(frontend)
        return frontends

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.config_reloader.config

    async def open(self) -> None:
        """Bind the addresses and start to serve.

        Raises:
            OSError: an address is not available.
        """
        self.drain_controller.handle_signals()
        self.config_reloader.handle_signal()
        await self._open_components(StartPhase.BEFORE_SERVING)
        self.core.start()
        config = self.config
        log.info(
            "resource limits: cores=%.2f memory_mb=%d descriptors=%d",
            config.cores,
            config.memory_bytes >> 20,
            config.max_descriptors,
        )
        await self._open_components(StartPhase.WITH_CLIENTS)
        restart_state = self.drain_controller.restart_state
        if self.core.is_draining and restart_state is not None and restart_state.is_standby:
            self.ended.set()
        if restart_state is None or not restart_state.has_predecessor_serving:
            await self.frontends.listen(self.config)
        self.kernel.open()
        self.naming.open()
        self._status_log.start()

    async def _open_components(self, phase: StartPhase) -> None:
        # If the platform passes a socket, two processes of the node bind the other addresses at the same time.
        reuse_address = self.config.passed_socket is not None
        for component in self.components.values():
            if component.start_phase is phase:
                await component.open(self.config, reuse_address)

    async def close(self) -> None:
        """Close all components and clients."""
        log.info(
            "stopped: unanswered=%d in_flight=%d %s",
            self.core.unanswered,
            self.core.in_flight,
            format_counters(self.core.counts),
        )
        finishing = (
            component.finish_requests(OPERATOR_REQUESTS_TIMEOUT) for component in self.components.values()
        )
        await asyncio.gather(*finishing)
        for component in self.components.values():
            component.stop()
        self.kernel.close()
        self.database.close()
        for component in self.components.values():
            await component.close()

    def _check_config(self, config: Config) -> None:
        """Check that each component can apply a new configuration now. Raises ConfigError if one can't."""
        for component in self.components.values():
            component.check_config(config)

    def _reconfigure(self, replaced: Config) -> None:
        """Apply the new configuration to each part of the node.

        Args:
            replaced: the configuration that was in force before.
        """
        config = self.config
        self.kernel.change_address(config.kernel)
        self.database.change_address(config.database)
        self.naming.change_address(config.name_service)
        for component in self.components.values():
            component.reconfigure(config)
        if config.settings != replaced.settings:
            log_setting_changes(replaced, config)
            self.kernel.set_gauge_names(config.gauge_names)
            self.core.apply_settings(config.settings)

    # Interface for components: see the protocols in marlstep/components/host.py.

    def drain(self) -> None:
        """Begin the graceful shutdown, as at SIGTERM."""
        self.drain_controller.drain()

    def accept_connections(self) -> None:
        """Start to accept connections, in place of the predecessor if there is one."""
        self.frontends.accept_connections(self.config)

    def serving_state_changed(self) -> None:
        """Report to the name service and the node's other processes that an operator quiesced or resumed this one."""
        self.report_serving_state()
        restart_state = self.drain_controller.restart_state
        if restart_state is not None:
            restart_state.serving_state_changed(not self.core.serving_state.is_quiesced)

    def report_serving_state(self) -> None:
        """Report to the name service whether this node wants requests."""
        self.naming.report_state(self.core.serving_state.wants_traffic)

    def limit_capacity(self, capacity_share: float) -> None:
        """Limit this process to a share of the node's memory, requests and connections.

        Without a share it still gets `MIN_CONNECTIONS`, so that a process that accepts connections can answer on them.

        Args:
            capacity_share: from 0 to 1; the rest belongs to the node's other process.
        """
        processes = 1 if capacity_share >= 1 else 2
        budget = resource_budget(self.config, processes)
        self.core.limit_key_memory(key_memory_budget(self.config, processes))
        for component in self.components.values():
            component.limit_memory(self.config, processes)
        self.core.set_capacity_share(capacity_share, max(1, int(capacity_share * budget.requests)))
        self.resp.connections.capacity = max(MIN_CONNECTIONS, int(capacity_share * budget.connections))

    def connection_share(self) -> float:
        """Return the connections open in this process, as a share of the budget that two processes have together."""
        return len(self.resp.connections) / resource_budget(self.config, processes=2).connections


async def serve(config: Config, read_config: Callable[[], Config]) -> None:
    """Run one node until it has drained.

    Args:
        config: the configuration to start with.
        read_config: reads the configuration for a reload.

    Raises:
        OSError: an address is not available.
    """
    timeline = TimerQueue(LoopWaker(asyncio.get_running_loop()))
    node = Node(config, timeline, read_config)
    if stall_ms := os.environ.get("MARLSTEP_STALL_MS", ""):
        from marlstep.event_loop_watchdog import EventLoopWatchdog  # imported only if enabled

        EventLoopWatchdog(timeline, max(1, int(stall_ms)) * MILLISECOND).start()
    await node.open()
    await node.ended.wait()
    await node.close()
    if node.frontends.failure is not None:
        raise node.frontends.failure


def run(operator: str | None = None) -> int:
    """Serve until the node has drained.

    Args:
        operator: path of the operator's configuration file, for settings that the platform does not provide.

    Returns:
        The exit code: 0, 1 if an address is not available, 2 if the configuration is invalid.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node can reload its configuration
    read_config = partial(load, operator=operator)
    try:
        config = read_config()
    except ConfigError as error:
        print(f"marlstep: {error}", file=sys.stderr)
        return EXIT_CONFIG_INVALID
    try:
        uvloop.run(serve(config, read_config))
    except OSError as error:
        return _report_serve_error(error)
    except ModuleNotFoundError as error:
        if str(error.name).startswith("marlstep"):
            raise
        print(
            f"marlstep: {operator} enables a component that needs {error.name}: install requirements-ops.txt",
            file=sys.stderr,
        )
        return EXIT_CONFIG_INVALID
    return EXIT_OK


def _report_serve_error(error: OSError) -> int:
    # Logged without a traceback: the message names the address that the operator has to correct.
    log.error("cannot serve: %s", error)
    return EXIT_ADDRESS_UNAVAILABLE
