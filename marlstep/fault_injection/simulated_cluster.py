"""A cluster on a simulated network: voters, lease holders, task runners and stores, without sockets and processes.

Each node has its own clock, which runs fast or slow. Messages are delayed, lost, duplicated and reordered; a store
loses its unsynced writes when its node dies. Invariants are checked from outside, across all nodes at the same time.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from typing import Any

from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.raft import RaftTiming
from marlstep.consensus.replica import Replica, ReplicaSettings, node_of
from marlstep.consensus.replica_messages import Message
from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.lease_invariants import (
    LeaseInvariants,
    NoProgressError,
    TwoHoldersError,
    check_effects,
)
from marlstep.fault_injection.mutations import Mutation
from marlstep.fault_injection.plan import HEAL_MS, Plan
from marlstep.fault_injection.simulated_machine import SimulatedDisk
from marlstep.fault_injection.simulated_node import SimulatedNode
from marlstep.fault_injection.simulated_task_server import SimulatedTaskServer
from marlstep.fault_injection.simulation import Simulation
from marlstep.leases.messages import Heartbeat
from marlstep.leases.settings import LeaseSettings
from marlstep.scheduled_tasks.actions import RunnerAction
from marlstep.scheduled_tasks.run_log import TASK_LEASE_PREFIX, RunLog
from marlstep.scheduled_tasks.runner import TaskPlan
from marlstep.scheduled_tasks.schedule import Schedule
from marlstep.units import MILLISECOND

TASKS = ("sweep", "report", "rotate")
NON_REPEATABLE_TASKS = frozenset(("report",))
TASK_INTERVAL = 700 * MILLISECOND
TASK_TIMEOUT = 300 * MILLISECOND
LEASE_TERM = 1_500 * MILLISECOND  # half of the default: leases change hands more often in the same time
STORE_COPY_INTERVAL_US = 1_500_000
DRAIN_US = 300_000  # from the start of a drain to the end of the process, in addition to the fault's duration
DRAINED_RESTART_US = 100_000  # the downtime of a drained node
RECONNECT_US = 20_000  # for which messages are lost when a connection is reset
STORE_LOSS_INTERVAL_US = 4_000_000  # the least time between two faults in which a voter loses its store
MAX_EVENTS = 400_000  # in one run; more are a storm of messages, which is itself a violation
LOCAL_TRANSIT_US = 10  # the delay of a message within a node
MIN_TRANSIT_US = 200  # the shortest delay of a message between nodes; the longest is `Mutation.delay_us`
MAX_SLOW_LINK_US = 700_000  # the longest additional delay of a message on a slow link
DUPLICATED_SHARE = 0.5  # the share of messages that a duplicating link duplicates
HEALED_LOSS = 0.005  # the share of messages that are lost once all faults are over
DRIFT_TOLERANCE = 1.001  # the factor by which a clock's error may exceed the allowed drift after rounding
MAX_QUIET_END_MS = 2_500  # the longest time without an effect of any task before the end of a plan


class SimulatedCluster(Simulation):
    """All nodes, the network between them, the task server, and the invariants.

    Attributes:
        settings: The settings of leases.
        loss: The share of messages that are lost until the faults are over.
        faults: How many faults were injected.
        tasks: The tasks that the nodes run, by name.
        nodes: All nodes, by name.
        effects: The effects that the task server recorded.
        invariants: The invariants of elections, the log and grants.
    """

    def __init__(self, plan: Plan, mutation: Mutation | None = None) -> None:
        """Create the nodes of a plan, which start when the plan is run."""
        super().__init__(plan, mutation, plan.seed * 7919 + 17)
        self.loss = self.mutation.loss
        self.settings = self.mutation.settings(LeaseSettings(LEASE_TERM, plan.drift))
        self.faults = 0
        self.tasks = {
            task: TaskPlan(
                task, Schedule(TASK_INTERVAL), "schedule-save", task not in NON_REPEATABLE_TASKS, TASK_TIMEOUT
            )
            for task in TASKS
        }
        self.invariants = LeaseInvariants()
        self._task_server = SimulatedTaskServer(self, TASK_TIMEOUT)
        self.effects = self._task_server.effects
        self._heal_us = max(plan.length_ms - HEAL_MS, plan.length_ms // 2) * 1_000
        self._voter_count = 0
        self._next_store_loss_us = 0
        clocks = list(zip(plan.nodes, plan.rates, strict=True))
        # Leases tolerate clocks within the drift only, so two holders are no violation if one's clock exceeds it.
        self._beyond_drift = {name for name, rate in clocks if abs(rate - 1) > plan.drift * DRIFT_TOLERANCE}
        self.nodes = {name: SimulatedNode(self, name, rate) for name, rate in clocks}

    @property
    def grants(self) -> int:
        """The number of leases that were granted."""
        return self.invariants.grant_count

    def run(self) -> None:
        """Run the plan to its end.

        Raises:
            InvariantViolationError: An invariant is violated, or no task ran at the end.
        """
        group = Configuration(tuple(f"{name}#first" for name in self.plan.voters))
        for node in self.nodes.values():
            if node.name in self.plan.voters:
                snapshot = Snapshot(configuration=group)
                node.disk = SimulatedDisk(f"{node.name}#first", PersistentState(snapshot=snapshot))
            node.start()
        self.schedule_faults()
        self.after(STORE_COPY_INTERVAL_US, self._copy_stores)
        self.run_events(MAX_EVENTS)
        self._check_end()

    # Extension points for clusters with further state machines.

    def machines(self, table: Any) -> dict[str, Any]:  # noqa: ANN401 (table and machines of any kind, as Replica)
        """Return the state machines of a voter, by name, on top of its table of leases."""
        return {"tasks": RunLog(table)}

    def voter_settings(self) -> ReplicaSettings:
        """Return the settings of every voter."""
        return ReplicaSettings(RaftTiming(), self.settings, self.plan.voters)

    def extra_leases(self, node: SimulatedNode) -> list[str]:
        """Return the leases that a node wants in addition to those of the tasks."""
        del node
        return []

    def node_started(self, node: SimulatedNode) -> None:
        """Handle the start of a new generation of the node."""

    def response_received(self, node: SimulatedNode) -> None:
        """Handle that the node processed a response of the group."""

    def message_received(self, node: SimulatedNode, message: Message) -> None:
        """Handle a message to the node's process other than a response of the group."""

    def node_driven(self, node: SimulatedNode) -> None:
        """Handle that the node's cores were driven, after an event or a timer."""

    # Services for nodes: identities and the network.

    def new_voter_suffix(self) -> str:
        """Return a suffix for a voter's identity that no store had before."""
        self._voter_count += 1
        return f"s{self._voter_count}"

    def send_effect(self, node: SimulatedNode, task: str, action: RunnerAction) -> None:
        """Send a task's request to the task server."""
        self._task_server.request(node, task, action)

    def send(self, node: SimulatedNode, sender: str, to: str, message: Message) -> None:
        """Send a message from a node over the network; it is delayed, and may be lost or duplicated."""
        if isinstance(message, Heartbeat):
            self.invariants.lease_requested(sender, message.wanted_leases)
        target = self.nodes[node_of(to)]
        if target is node:
            node.at(LOCAL_TRANSIT_US, lambda: node.receive(sender, to, message))
            return
        link = self.link(node.name, target.name)
        is_duplicated = self.true_us < link.repeat_until and self.chance.random() < DUPLICATED_SHARE
        for _ in range(2 if is_duplicated else 1):
            transit_us = self.chance.randrange(MIN_TRANSIT_US, self.mutation.delay_us)
            if self.true_us < link.slow_until:
                transit_us += self.chance.randrange(0, MAX_SLOW_LINK_US)
            loss = self.loss if self.true_us < self._heal_us else HEALED_LOSS
            if self.chance.random() < loss or self.true_us < link.cut_until:
                self.counts["lost"] += 1
                continue
            self.counts["messages"] += 1
            self.after(transit_us, lambda: self._arrive(node.name, target, sender, to, message))

    def _arrive(self, origin: str, target: SimulatedNode, sender: str, to: str, message: Message) -> None:
        """Deliver a message unless its link was cut while it was in flight."""
        if self.true_us >= self.link(origin, target.name).cut_until:
            target.at(0, lambda: target.receive(sender, to, message))

    # Fault injection.

    def prepare_fault(self, fault: Fault) -> None:
        """Count the fault."""
        del fault
        self.faults += 1

    def resolve_role(self, name: str) -> str:
        """Return the node of the first task's last effect for `@holder`, the leader of the highest term for `@leader`.

        If there is none, a role is resolved to the first node or the first voter.
        """
        if name == "@holder":
            accepted = [effect for effect in self.effects if effect.task == TASKS[0] and effect.accepted]
            return accepted[-1].node if accepted else self.plan.nodes[0]
        if name == "@leader":
            leaders = {voter.raft.term: node for node, voter in self._voters() if voter.raft.is_leader}
            return leaders[max(leaders)] if leaders else self.plan.voters[0]
        return name

    def node_names(self) -> Collection[str]:
        """Return the names of all nodes, running or not."""
        return self.nodes.keys()

    def kill(self, node: str, duration_us: int) -> None:
        """Kill the node's process, and start it again with its store after the duration."""
        killed = self.nodes[node]
        if killed.up:
            killed.kill()
        self.after(duration_us, killed.restart)

    def wipe_store(self, node: str, duration_us: int) -> None:
        """Kill a voter and delete its store, unless the group could lose its majority."""
        if self._may_lose_store(self.nodes[node]):
            self.nodes[node].disk = None
            self.kill(node, duration_us)

    def restore_old_store(self, node: str, duration_us: int) -> None:
        """Kill a voter and replace its store by an old copy, unless the group could lose its majority."""
        voter = self.nodes[node]
        if voter.store_copies and self._may_lose_store(voter):
            voter.disk = voter.store_copies[0].copy()
            voter.disk.copied = True
            self.kill(node, duration_us)

    def _may_lose_store(self, node: SimulatedNode) -> bool:
        """Return whether the group is certain to survive the loss of this voter's store.

        A second voter may lose its store only after the first was replaced: otherwise a majority of those that stored
        an entry could be gone. So an established leader must know a full group whose stores all exist.
        """
        leaders = [voter for _, voter in self._voters() if voter.raft.is_established_leader]
        is_too_early = self.true_us < self._next_store_loss_us
        if not leaders or node.disk is None or is_too_early:
            self.counts["spared"] += 1
            return False
        group = max(leaders, key=lambda voter: voter.raft.term).raft.configuration
        identities = {other.disk.identity for other in self.nodes.values() if other.disk is not None}
        if not set(group.voters) <= identities or len(group.voters) < len(self.plan.voters):
            self.counts["spared"] += 1
            return False
        self._next_store_loss_us = self.true_us + STORE_LOSS_INTERVAL_US
        return True

    def _voters(self) -> list[tuple[str, Replica]]:
        """Return the running voters, by node."""
        nodes = self.nodes.values()
        return [(node.name, node.voter) for node in nodes if node.up and node.voter is not None]

    def _copy_stores(self) -> None:
        """Copy all stores for faults that restore an old copy; the last two copies of each are kept."""
        for node in self.nodes.values():
            if node.disk is not None:
                node.store_copies = [*node.store_copies[-1:], node.disk.copy()]
        self.after(STORE_COPY_INTERVAL_US, self._copy_stores)

    def pause(self, node: str, duration_us: int) -> None:
        """Suspend the node's process, and continue it after the duration."""
        paused = self.nodes[node]
        if paused.up:
            paused.stopped_until = self.true_us + duration_us
            self.after(duration_us, paused.resume)

    def drain(self, node: str, duration_us: int) -> None:
        """Shut the node down gracefully, and start it again."""
        draining = self.nodes[node]
        if draining.up:
            draining.at(0, draining.leave)
            self.after(duration_us + DRAIN_US, lambda: self.kill(node, DRAINED_RESTART_US))

    def slow_disk(self, node: str, duration_us: int) -> None:
        """Delay each write of the node to its store."""
        self.nodes[node].slow_disk_until = self.true_us + duration_us

    def kill_at_step(self, node: str, step: str) -> None:
        """Kill the node's process when it next reaches the step, and start it again."""
        self.nodes[node].hook = step

    def trickle_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Delay messages: in the simulation a message arrives as a whole, so that it can only be late."""
        self.delay_messages(origin, target, duration_us)

    def duplicate_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Deliver some messages from one node to the other twice."""
        self.link(origin, target).repeat_until = self.true_us + duration_us

    def reset_connection(self, origin: str, target: str) -> None:
        """Drop messages for the time of a reconnect, since the simulation has no connections."""
        self.drop_messages(origin, target, RECONNECT_US)

    # Invariants.

    def check_holders(self) -> None:
        """Check that no two nodes hold the same lease now, each by its own clock.

        Raises:
            TwoHoldersError: Two nodes hold a lease.
        """
        for task in TASKS:
            lease = TASK_LEASE_PREFIX + task
            holders = [
                node.name
                for node in self.nodes.values()
                if node.up
                and node.name not in self._beyond_drift
                and node.participant.holder.time_left(lease, node.now)
            ]
            if len(holders) > 1:
                raise TwoHoldersError(lease, self.true_us, holders)

    def _check_end(self) -> None:
        """Check all effects of the run, and that tasks still ran at its end."""
        self.counts["runs"] = sum(effect.accepted and not effect.fence for effect in self.effects)
        self.counts["refused late"] = sum(not effect.accepted for effect in self.effects)
        check_effects(self.effects, NON_REPEATABLE_TASKS)
        last_us = max((effect.ended_us for effect in self.effects if effect.accepted), default=0)
        if last_us < (self.plan.length_ms - MAX_QUIET_END_MS) * 1_000:
            raise NoProgressError(last_us)


def violation_of(cluster: SimulatedCluster) -> str:
    """Run a cluster's plan to its end; return what was violated, or an empty text."""
    try:
        cluster.run()
    except InvariantViolationError as violation:
        return str(violation)
    except AssertionError as failure:
        return f"an assertion of the product: {failure}"
    return ""


def run(plan: Plan, mutation: Mutation | None = None) -> tuple[SimulatedCluster, str]:
    """Run a plan on a new cluster; return the cluster, and what was violated or an empty text."""
    cluster = SimulatedCluster(plan, mutation)
    return cluster, violation_of(cluster)


def shrink(plan: Plan, mutation: Mutation | None = None, tries: int = 200) -> Plan:
    """Return the plan with as few of its faults as possible that still violate an invariant.

    Removes ever smaller groups of faults, and keeps each removal with which the plan still violates an invariant.

    Args:
        plan: A plan that violates an invariant.
        mutation: The deliberate defect that the nodes run with, or none.
        tries: The largest number of plans to run.
    """
    faults = plan.faults
    group_size = max(1, len(faults) // 2)
    while group_size and tries > 0:
        position = 0
        while position < len(faults) and tries > 0:
            fewer = faults[:position] + faults[position + group_size :]
            tries -= 1
            if run(replace(plan, faults=fewer), mutation)[1]:
                faults = fewer
            else:
                position += group_size
        group_size //= 2
    return replace(plan, faults=faults)
