"""The cluster node, composed of transport, Raft replica, leases, tasks, documents and membership."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from typing import Any, ClassVar

from marlstep.cluster import wire
from marlstep.cluster.admin import AdminCommands
from marlstep.cluster.config_documents import ConfigDriver
from marlstep.cluster.config_orders import ConfigOrders
from marlstep.cluster.config_status import ConfigStatusReporter
from marlstep.cluster.context import NodeContext
from marlstep.cluster.group_identity import GroupIdentity
from marlstep.cluster.health_checks import HealthCheckCoordinator
from marlstep.cluster.interfaces import ConfigDocuments, IgnoreSteps, StepObserver
from marlstep.cluster.lease_driver import LeaseDriver
from marlstep.cluster.lifecycle import Lifecycle
from marlstep.cluster.membership import ClusterMembership
from marlstep.cluster.order_tracker import OrderResults
from marlstep.cluster.relay import RelayAnnouncer, SuccessorRelay
from marlstep.cluster.replica_driver import ReplicaDriver
from marlstep.cluster.router import MessageRouter
from marlstep.cluster.status_report import StatusReporter
from marlstep.cluster.task_driver import TaskDriver
from marlstep.cluster.task_frontend import TaskFrontend
from marlstep.cluster.turns import TurnScheduler
from marlstep.components.base import Component, StartPhase
from marlstep.config import Config
from marlstep.config.cluster import ClusterConfig
from marlstep.consensus.replica_messages import CommandResponse
from marlstep.core.engine import Core
from marlstep.leases.messages import HeartbeatResponse, ServerRecovered
from marlstep.replicated_config.messages import DocumentChunk
from marlstep.timer_queue import TimerQueue
from marlstep.units import SteadyClock
from marlstep.upstreams.upstream import Upstream


class ClusterNode(Component):
    """One process of a node in the cluster. Only the process that has bound the node's address takes part."""

    name: ClassVar[str] = "fleet"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_CLIENTS

    def __init__(
        self,
        config: ClusterConfig,
        core: Core,
        timeline: TimerQueue,
        upstream: Upstream | None,
        pool_of: Callable[[str], str],
        class_variable: str,
        seed: int,
        documents: ConfigDocuments | None = None,
        observer: StepObserver | None = None,
        clock: SteadyClock | None = None,
    ) -> None:
        """Create all parts; nothing is sent before `open`.

        Args:
            config: The cluster section of the configuration.
            core: Runs the requests of scheduled tasks.
            timeline: The core's timers, on the wall clock.
            upstream: The pools of servers; None on a node without uwsgi.
            pool_of: Returns the pool of a request class.
            class_variable: The uwsgi variable that holds the request class.
            seed: Seeds the random generator.
            documents: Applies replicated documents to the node; None if it follows none.
            observer: Notified of each step, for fault injection tests.
            clock: The monotonic clock that leases are measured with.

        """
        self.context = NodeContext(
            config, timeline.now, clock or SteadyClock(), observer or IgnoreSteps(), seed
        )
        self.turns = TurnScheduler(self.context, self._run_turn)
        group, relay = GroupIdentity(), SuccessorRelay(self.context)
        self.router = MessageRouter(self.context, self.turns, group, relay)
        self.replica_driver = ReplicaDriver(self.context, self.turns, self.router, group)
        frontend = None
        if upstream is not None:
            frontend = self._make_frontend(core, timeline, upstream, pool_of, class_variable)
        self.task_driver = TaskDriver(self.context, self.turns, frontend)
        self.health_checks = self._make_health_checks(upstream)
        results = OrderResults(self.context.client.holder)
        self.config_driver = self._make_config_driver(documents, results)
        config_lease = None if self.config_driver is None else self.config_driver.lease
        self.leases = LeaseDriver(self.context, self.turns, self.router, self._work_leases, config_lease)
        self._relay_announcer = RelayAnnouncer(self.context, self.router)
        self.membership = self._make_membership()
        self.lifecycle = Lifecycle(
            self.context,
            self.turns,
            self.router,
            relay,
            self.replica_driver,
            self.leases,
            self.task_driver,
            self.membership,
            follows_documents=self.config_driver is not None,
        )
        self._status = StatusReporter(
            self.context, group, self.router, self.replica_driver, self.leases, self.task_driver
        )
        self.admin = self._make_admin(results)
        self._add_handlers()
        self.leases.update_wanted()

    def _make_health_checks(self, upstream: Upstream | None) -> HealthCheckCoordinator | None:
        config = self.context.config
        if not config.shared_health_checks or upstream is None:
            return None
        fallback_after = config.leases.term * 2
        return HealthCheckCoordinator(self.context, self.router, upstream, fallback_after)

    def _make_membership(self) -> ClusterMembership | None:
        settings = self.context.config.membership
        if settings is None:
            return None
        return ClusterMembership(self.context, self.router, self.replica_driver, self.leases, settings)

    def _make_frontend(
        self,
        core: Core,
        timeline: TimerQueue,
        upstream: Upstream,
        pool_of: Callable[[str], str],
        class_variable: str,
    ) -> TaskFrontend:
        context = self.context
        return TaskFrontend(
            core,
            timeline,
            upstream,
            context.steady,
            pool_of,
            context.process_name,
            class_variable,
            context.observer,
        )

    def _make_config_driver(
        self, documents: ConfigDocuments | None, results: OrderResults
    ) -> ConfigDriver | None:
        config = self.context.config.replicated_config
        if config is None or documents is None:
            return None
        return ConfigDriver(self.context, self.turns, self.router, config, documents, results)

    def _make_admin(self, results: OrderResults) -> AdminCommands:
        orders = status = None
        if self.config_driver is not None:
            orders = ConfigOrders(self.context, self.turns, self.config_driver)
            status = ConfigStatusReporter(self.context, self.replica_driver, self.config_driver)
        return AdminCommands(self.context, self.turns, self._status, self.membership, orders, status, results)

    def _work_leases(self) -> list[str]:
        """Return the lease names of tasks and of pools whose servers are checked on behalf of all nodes."""
        pools = [] if self.health_checks is None else self.health_checks.lease_names()
        return [*self.task_driver.lease_names(), *pools]

    # Routing of messages.

    def _add_handlers(self) -> None:
        router = self.router
        router.handle(HeartbeatResponse, self._handle_response)
        router.handle(CommandResponse, self._handle_response)
        router.handle(DocumentChunk, self._handle_chunk)
        router.handle(wire.ExchangeMessage, self._handle_exchange)
        router.handle(ServerRecovered, self._handle_recovered)
        router.handle_others(self.replica_driver.handle_message, self.replica_driver.handle_group_change)

    def _handle_response(
        self, now: datetime, envelope: wire.Envelope, message: HeartbeatResponse | CommandResponse
    ) -> None:
        is_own = self.leases.handle_response(now, envelope, message)
        if is_own and self.config_driver is not None:
            self.config_driver.handle_heartbeat_response(now)

    def _handle_chunk(self, now: datetime, envelope: wire.Envelope, message: DocumentChunk) -> None:
        if self.config_driver is not None and envelope.to == self.context.process_name:
            self.config_driver.handle_chunk(now, message)

    def _handle_exchange(
        self, _now: datetime, _envelope: wire.Envelope, message: wire.ExchangeMessage
    ) -> None:
        if self.membership is not None:
            self.membership.handle_exchange(message)

    def _handle_recovered(self, _now: datetime, _envelope: wire.Envelope, message: ServerRecovered) -> None:
        if self.health_checks is not None:
            self.health_checks.handle_recovered(message)

    # The turn of the node.

    def _run_turn(self, now: datetime) -> None:
        self.replica_driver.tick(now)
        self._relay_announcer.tick(now)
        self.leases.tick(now)
        self.task_driver.tick(now)
        if self.health_checks is not None:
            self.health_checks.tick(now)
        if self.config_driver is not None:
            self.config_driver.tick(now)
        self.lifecycle.tick(now)
        others = (
            self._relay_announcer.next_due(),
            self.replica_driver.next_due(),
            self.task_driver.next_due(now),
        )
        due = [self.leases.next_due(now), *(when for when in others if when is not None)]
        self.turns.wake_at(min(due), now)

    # The interface of `Component`.

    async def open(self, config: Config, reuse_address: bool) -> None:
        """Start to join the cluster, which completes once no other process has bound the node's address."""
        del config, reuse_address  # the settings of the cluster were passed to the constructor
        self.lifecycle.open()

    def reconfigure(self, config: Config) -> None:
        """Apply changed pools. A change of `[fleet]` needs a restart, which the configuration reports."""
        del config  # the pools are read from `Upstream`
        self.leases.update_wanted()

    def drain(self) -> None:
        """Release the leases and transfer leadership once open runs have ended."""
        self.lifecycle.drain()

    @property
    def busy(self) -> bool:
        """Whether this process is draining and still takes part in the cluster."""
        return self.lifecycle.is_draining

    async def close(self) -> None:
        """Close the address, the connections, the store and its thread."""
        if self.health_checks is not None:
            self.health_checks.close()
        await self.lifecycle.close()

    # Status and orders for operators.

    def status(self) -> dict[str, Any]:
        """Return the cluster status of this process as JSON."""
        return self._status.cluster().to_json()

    def metrics(self) -> dict[str, float]:
        """Return the metrics of all parts by name."""
        return self._status.metrics()

    def read_resource(self, path: str) -> dict[str, Any] | None:
        """Return the resource as JSON, or None if the cluster has no resource at this path."""
        return self.admin.read_resource(path)

    def execute_order(self, path: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        """Carry out an operator's order and return its response, or None if the cluster has no order at this path.

        Raises:
            ValueError: the order is unknown or an argument is invalid.
            KeyError: an argument is missing.
            TypeError: an argument has a wrong type.
        """
        return self.admin.execute_order(path, arguments)
