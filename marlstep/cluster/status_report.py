"""Builds a node's status and metrics from its parts."""

from __future__ import annotations

from marlstep.cluster.context import NodeContext
from marlstep.cluster.group_identity import GroupIdentity
from marlstep.cluster.lease_driver import LeaseDriver
from marlstep.cluster.replica_driver import ReplicaDriver
from marlstep.cluster.router import MessageRouter
from marlstep.cluster.status import (
    AppliedCommand,
    ClusterStatus,
    GrantedLeaseStatus,
    HeldLeaseStatus,
    LeasesStatus,
    LogStatus,
    TaskStatus,
)
from marlstep.cluster.task_driver import TaskDriver


class StatusReporter:
    """Builds status and metrics without changing the parts of the node."""

    def __init__(
        self,
        context: NodeContext,
        group: GroupIdentity,
        router: MessageRouter,
        replica_driver: ReplicaDriver,
        leases: LeaseDriver,
        tasks: TaskDriver,
    ) -> None:
        """Initialize the reporter with the parts of one node."""
        self._context, self._group, self._router = context, group, router
        self._replica_driver, self._leases, self._tasks = replica_driver, leases, tasks

    def cluster(self) -> ClusterStatus:
        """Return the cluster status of this process."""
        context, replica = self._context, self._replica_driver.replica
        return ClusterStatus(
            context.config.name,
            context.config.node,
            context.process_id,
            self._group.name,
            context.client.target,
            self._leases.clock_drifts,
            context.client.time_since_response(context.steady.now()),
            tuple(context.client.command_latencies),
            None if replica is None else replica.status().to_json(),
            dict(self._router.transport.counts),
            dict(context.counts),
        )

    def leases(self) -> LeasesStatus:
        """Return the leases that this process holds, the leases in the log, and the status of tasks."""
        now = self._context.steady.now()
        held = [
            HeldLeaseStatus(name, lease.token, lease.expires_at - now)
            for name, lease in self._context.client.holder.held.items()
        ]
        tasks = [
            TaskStatus(name, runner.state.value, runner.token, runner.counts)
            for name, runner in self._tasks.runners.items()
        ]
        return LeasesStatus(self._context.config.node, held, self._granted(), tasks)

    def _granted(self) -> list[GrantedLeaseStatus] | None:
        replica = self._replica_driver.replica
        if replica is None:
            return None
        return [
            GrantedLeaseStatus(name, lease.holder, lease.token, lease.previous_node, lease.grant_count)
            for name, lease in replica.leases.leases.items()
        ]

    def log(self) -> LogStatus:
        """Return the latest commands and events."""
        replica = self._replica_driver.replica
        applied = [] if replica is None else replica.applied
        commands = [AppliedCommand(index, dict(command), result) for index, command, result in applied]
        return LogStatus(self._context.config.node, commands, list(self._context.history))

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name; the key of a counter is part of its metric's name."""
        values: dict[str, float] = {
            "fleet_leases_held": len(self._context.client.holder.held),
            **counters("fleet_line", self._router.transport.counts),
            **counters("fleet", self._context.counts),
        }
        replica = self._replica_driver.replica
        if replica is not None:
            values |= {
                "fleet_leads": float(replica.raft.is_leader),
                "fleet_term": float(replica.raft.term),
                "fleet_commit_index": float(replica.raft.commit_index),
                **counters("fleet_voter", replica.counts),
            }
        for name, runner in self._tasks.runners.items():
            values[f'fleet_task_acts_total{{task="{name}"}}'] = runner.counts["acts"]
        return values


def counters(prefix: str, counts: dict[str, int]) -> dict[str, float]:
    """Return counters as metrics by name."""
    return {f"{prefix}_{key.replace(' ', '_')}_total": count for key, count in counts.items()}
