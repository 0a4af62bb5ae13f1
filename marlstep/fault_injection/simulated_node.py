"""One node of a simulated cluster: the product's voter, lease holder and task runners, with a simulated store.

The node performs the I/O that the cores ask for: it sends messages over the simulated network, syncs to a simulated
disk and drives timers by its own clock. A process that dies is restarted as the next generation of the same node;
events that were scheduled for an earlier generation no longer run.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import datetime
from typing import Any, Protocol

from marlstep.consensus.log import PersistentState
from marlstep.consensus.messages import RequestVoteResponse
from marlstep.consensus.raft import Ready
from marlstep.consensus.replica import Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, JoinRequest, Message
from marlstep.fault_injection.lease_invariants import LeaseInvariants
from marlstep.fault_injection.mutations import Mutation
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.simulated_machine import START, SimulatedClock, SimulatedDisk
from marlstep.leases.client import GroupClient
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.leases.settings import LeaseSettings
from marlstep.replicated_config.messages import FetchChunk
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import TASK_LEASE_PREFIX
from marlstep.scheduled_tasks.runner import TaskPlan, TaskRunner
from marlstep.units import span

SYNC_US = (300, 4_000)  # bounds of the duration of a sync
SLOW_SYNC_US = (100_000, 900_000)  # bounds of what a slow disk adds to it
STEP_CRASH_DOWN_US = (50_000, 2_000_000)  # bounds of the downtime of a process that died at a step
JOIN_INTERVAL_US = 500_000  # between two requests of a voter to join the group
MIN_TIMER_US = 200  # the shortest timer, so that simulated time advances even if a core is always due
CHECKED_COMMANDS = 8  # how many of the latest applied commands are checked after every event


class NodeEnvironment(Protocol):
    """What a simulated node needs of the cluster around it."""

    plan: Plan
    mutation: Mutation
    chance: random.Random
    true_us: int
    counts: Counter[str]
    settings: LeaseSettings
    tasks: dict[str, TaskPlan]
    invariants: LeaseInvariants

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedule an action after `delay_us` microseconds of simulated time."""

    def new_voter_suffix(self) -> str:
        """Return a suffix for a voter's identity that no store had before."""

    def machines(self, table: Any) -> dict[str, Any]:  # noqa: ANN401 (table and machines of any kind, as Replica)
        """Return the state machines of a voter, by name, on top of its table of leases."""

    def voter_settings(self) -> ReplicaSettings:
        """Return the settings of every voter."""

    def extra_leases(self, node: SimulatedNode) -> list[str]:
        """Return the leases that a node wants in addition to those of the tasks."""

    def send(self, node: SimulatedNode, sender: str, to: str, message: Message) -> None:
        """Send a message from a node over the network."""

    def send_effect(self, node: SimulatedNode, task: str, action: RunnerAction) -> None:
        """Send a task's request to the task server."""

    def check_holders(self) -> None:
        """Check that no two nodes hold the same lease now."""

    def node_started(self, node: SimulatedNode) -> None:
        """Handle the start of a new generation of the node."""

    def response_received(self, node: SimulatedNode) -> None:
        """Handle that the node processed a response of the group."""

    def message_received(self, node: SimulatedNode, message: Message) -> None:
        """Handle a message to the node's process other than a response of the group."""

    def node_driven(self, node: SimulatedNode) -> None:
        """Handle that the node's cores were driven, after an event or a timer."""


class SimulatedNode:
    """A node over all its generations.

    Attributes:
        generation: The number of processes that were started for this node.
        up: Whether its process exists, running or stopped.
        disk: The store of its voter, if it has one.
        store_copies: Earlier states of the store, oldest first.
        voter: The replica of the group, while its process runs.
        participant: The client of the group, which holds the leases.
        runners: The runners of the tasks, by task.
        stopped_until: When a stopped process continues, in microseconds of simulated time.
        slow_disk_until: Until when syncs take longer, in microseconds of simulated time.
        hook: The step at which the process dies; empty for none.
        leaving: Whether it is shutting down gracefully.
    """

    def __init__(self, cluster: NodeEnvironment, name: str, rate: float) -> None:
        """Create a node that is not started; its clock advances by `rate` seconds in a second."""
        self.cluster, self.name = cluster, name
        self.clock = SimulatedClock(rate, cluster.chance.randrange(1_000_000_000))
        self.generation = 0
        self.up = False
        self.disk: SimulatedDisk | None = None
        self.store_copies: list[SimulatedDisk] = []
        self.voter: Replica | None = None
        self.participant: GroupClient
        self.runners: dict[str, TaskRunner] = {}
        self.stopped_until = 0
        self.slow_disk_until = 0
        self.hook = ""
        self.leaving = False
        self._deferred: list[Callable[[], None]] = []  # actions to run when a stopped process continues
        self._syncing = False
        self._timer_at: int | None = None
        self._pending_commands: dict[int, tuple[str, RunnerAction]] = {}
        self._checked_index = 0
        self._next_join_us = 0

    @property
    def now(self) -> datetime:
        """The time of the node's own clock."""
        return self.clock.local(self.cluster.true_us)

    @property
    def wall(self) -> datetime:
        """The wall-clock time, which is the same on all nodes."""
        return START + span(self.cluster.true_us)

    # Process lifecycle.

    def start(self) -> None:
        """Start the node's next generation."""
        cluster = self.cluster
        self.generation += 1
        self.up, self.leaving, self._syncing, self._timer_at, self.hook = True, False, False, None, ""
        self._pending_commands, self._deferred, self.stopped_until = {}, [], 0
        self.participant = GroupClient(
            self.name,
            f"b{self.generation}",
            cluster.plan.voters,
            cluster.settings,
            random.Random(cluster.chance.random()),
        )
        cluster.mutation.apply_to(self.participant.holder)
        task_leases = [TASK_LEASE_PREFIX + task for task in cluster.tasks]
        self.participant.holder.set_wanted([*task_leases, *cluster.extra_leases(self)])
        self.runners = {name: TaskRunner(task) for name, task in cluster.tasks.items()}
        self.voter = self._start_voter() if self.name in cluster.plan.voters else None
        for runner in self.runners.values():
            cluster.mutation.apply_to(runner)
        cluster.node_started(self)
        self.drive()

    def _start_voter(self) -> Replica:
        """Start the voter from its disk, or with an empty store under a new identity."""
        cluster = self.cluster
        disk = self.disk
        if disk is None or (disk.copied and not cluster.mutation.trusts_restored_stores):
            disk = SimulatedDisk(f"{self.name}#{cluster.new_voter_suffix()}", PersistentState())
        disk.copied = False
        self.disk = disk
        settings = cluster.voter_settings()
        chance = random.Random(cluster.chance.random())
        voter = Replica(disk.identity, disk.copy().saved, settings, cluster.machines, chance, self.now)
        voter.raft.replication.max_entries_per_message = cluster.mutation.max_entries_per_message
        self._checked_index = voter.raft.last_applied
        cluster.mutation.apply_to_replica(voter)
        return voter

    def kill(self) -> None:
        """End the process; its unsynced writes are lost."""
        self.up = False
        self.voter = None
        self.cluster.counts["kills"] += 1

    def restart(self) -> None:
        """Start the node unless it is up."""
        if not self.up:
            self.start()

    def resume(self) -> None:
        """Continue a stopped process: run the actions that were deferred meanwhile."""
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            action()

    def leave(self) -> None:
        """Begin a graceful shutdown: return the leases and transfer leadership."""
        self.leaving = True
        self.participant.release_leases(self.now)
        if self.voter is not None:
            self.voter.transfer_leadership()

    def reached(self, step: str) -> bool:
        """End the process if a fault kills it at this step; return whether the process is down."""
        if self.hook == step and self.up:
            self.hook = ""
            self.kill()
            self.cluster.after(self.cluster.chance.randrange(*STEP_CRASH_DOWN_US), self.restart)
            self.cluster.counts["hooks"] += 1
        return not self.up

    # Events and timers.

    def at(self, delay_us: int, action: Callable[[], None]) -> None:
        """Run an action after `delay_us` in this generation; a stopped process runs it when it continues."""
        generation = self.generation

        def run_in_generation() -> None:
            if not self.up or self.generation != generation:
                return
            if self.cluster.true_us < self.stopped_until:
                self._deferred.append(run_in_generation)
            else:
                action()
                self.drive()

        self.cluster.after(delay_us, run_in_generation)

    def receive(self, sender: str, to: str, message: Message) -> None:
        """Handle a message to the node, its process or its voter; one to an earlier process or voter is dropped."""
        is_for_process = to == self.participant.holder.name
        if is_for_process and isinstance(message, HeartbeatResponse | CommandResponse):
            for change in self.participant.handle_response(self.now, sender, message):
                self.cluster.counts[change.event] += 1
            self.cluster.check_holders()
            self.cluster.response_received(self)
        elif is_for_process:
            self.cluster.message_received(self, message)
        elif self.voter is not None:
            is_request = isinstance(message, Heartbeat | CommandRequest | JoinRequest | FetchChunk)
            if to == self.voter.identity or (to == self.name and is_request):
                self.voter.step(self.now, sender, message)

    def drive(self) -> None:
        """Drive all cores after an event or a timer, and set the next timer."""
        if not self.up or self.cluster.true_us < self.stopped_until:
            return
        now = self.now
        if self.voter is not None:
            self._drive_voter(self.voter, now)
            if not self.up:
                return
        sends, changes = self.participant.tick(now)
        for change in changes:
            self.cluster.counts[change.event] += 1
        for target, message in sends:
            self.cluster.send(self, self.participant.holder.name, target, message)
        self._drive_tasks(now)
        if self.up:
            self.cluster.node_driven(self)
            self._set_timer(now)

    def _set_timer(self, now: datetime) -> None:
        """Drive the node again when the first of its cores is due."""
        cluster = self.cluster
        due = self.participant.next_due(now)
        if self.voter is not None:
            due = min(due, self.voter.next_due())
        for runner in self.runners.values():
            runner_due = runner.next_due(now, self.wall)
            due = due if runner_due is None else min(due, runner_due)
        timer_at = max(self.clock.true_at(due), cluster.true_us + MIN_TIMER_US)
        if self._timer_at is not None and cluster.true_us < self._timer_at <= timer_at:
            return  # an earlier timer is set
        self._timer_at = timer_at
        generation = self.generation

        def fire() -> None:
            if self.up and self.generation == generation and self._timer_at == timer_at:
                self._timer_at = None
                if cluster.true_us < self.stopped_until:
                    self._deferred.append(self.drive)
                else:
                    self.drive()

        cluster.after(timer_at - cluster.true_us, fire)

    # Voter.

    def _drive_voter(self, voter: Replica, now: datetime) -> None:
        """Drive the voter: send its messages, sync its state, check invariants, and join the group if necessary."""
        if voter.next_due() <= now:
            voter.tick(now)
        self._send_all(voter, voter.take_immediate_messages(now))
        if not self.up:
            return
        self._sync(voter)
        if not self.up:
            return
        self._check(voter)
        is_member = voter.identity in voter.raft.configuration.voters
        if not is_member and self.cluster.true_us >= self._next_join_us:
            self._next_join_us = self.cluster.true_us + JOIN_INTERVAL_US
            for other in self.cluster.plan.voters:
                if other != self.name:
                    self.cluster.send(self, voter.identity, other, JoinRequest(self.name, voter.identity))

    def _send_all(self, voter: Replica, messages: Sequence[tuple[str, Message]]) -> None:
        """Send messages of the voter; those to itself are handled right after this event."""
        for to, message in messages:
            if to == voter.identity:
                self.at(0, lambda message=message: self._step_self(message))  # type: ignore[misc]
            else:
                is_response = isinstance(message, CommandResponse | HeartbeatResponse)
                self.cluster.send(self, self.name if is_response else voter.identity, to, message)

    def _step_self(self, message: Message) -> None:
        if self.voter is not None:
            self.voter.step(self.now, self.voter.identity, message)

    def _sync(self, voter: Replica) -> None:
        """Write the voter's pending state to the disk; the messages that depend on it are sent once it is synced."""
        if self._syncing:
            return
        ready = voter.take_ready()
        if ready is None:
            return
        cluster = self.cluster
        grants_vote = any(
            isinstance(message, RequestVoteResponse) and message.granted for _, message in ready.messages
        )
        if grants_vote and self.reached("voted"):
            return
        if cluster.mutation.sends_before_sync:
            self._send_all(voter, ready.messages)
        if not ready.needs_sync:
            self._synced(voter, ready)
            self._sync(voter)
            return
        self._syncing = True
        sync_us = cluster.chance.randrange(*SYNC_US)
        if cluster.true_us < self.slow_disk_until:
            sync_us += cluster.chance.randrange(*SLOW_SYNC_US)

        def finish() -> None:
            assert self.disk is not None
            self._syncing = False
            self.disk.write(ready)
            if not self.reached("stored"):
                self._synced(voter, ready)

        self.at(sync_us, finish)

    def _synced(self, voter: Replica, ready: Ready) -> None:
        voter.acknowledge_durable(self.now, ready)
        if not self.cluster.mutation.sends_before_sync:
            self._send_all(voter, ready.messages)

    def _check(self, voter: Replica) -> None:
        """Report the voter's leadership, committed entries and applied commands to the invariants."""
        raft, cluster = voter.raft, self.cluster
        if raft.is_leader:
            cluster.invariants.leader_elected(raft.term, voter.identity)
        first = max(self._checked_index + 1, raft.log.first_index)
        for index in range(first, raft.last_applied + 1):
            cluster.invariants.entry_committed(self.name, raft.log[index], cluster.true_us)
        self._checked_index = raft.last_applied
        for index, command, result in list(voter.applied)[-CHECKED_COMMANDS:]:
            cluster.invariants.command_applied(index, command, result)

    # Scheduled tasks.

    def _drive_tasks(self, now: datetime) -> None:
        """Pass results of the group to the runners, and perform their next actions."""
        self._handle_command_results(now)
        if not self.up:
            return
        holder = self.participant.holder
        for task, runner in self.runners.items():
            lease = TASK_LEASE_PREFIX + task
            token = holder.token(lease)
            if token != runner.token:
                if token:
                    runner.lease_gained(token)
                else:
                    runner.lease_lost()
            if self.leaving and token and not runner.busy:
                continue
            action = runner.next_action(now, self.wall, holder.time_left(lease, now))
            if action is not None:
                self._carry_out(task, action, now)
                if not self.up:
                    return

    def _handle_command_results(self, now: datetime) -> None:
        for number in list(self._pending_commands):
            result = self.participant.take_result(number)
            if result is None:
                continue
            task, action = self._pending_commands.pop(number)
            if action.kind is ActionKind.BEGIN and "begun" in result and self.reached("begun"):
                return
            self.runners[task].handle_result(now, action, result)

    def _carry_out(self, task: str, action: RunnerAction, now: datetime) -> None:
        """Send a request to the task server, or propose a command to the group."""
        if action.is_request:
            if action.kind is ActionKind.EXECUTE and self.reached("acted"):
                return
            self.cluster.send_effect(self, task, action)
            return
        if action.kind is ActionKind.END and self.reached("ended"):
            return
        number = self.participant.propose(now, action.command(task))
        if number is None:
            self.runners[task].handle_result(now, action, None)
        else:
            self._pending_commands[number] = (task, action)

    def effect_ended(self, task: str, action: RunnerAction, outcome: Outcome) -> None:
        """Pass the outcome of a request to the task server to the task's runner."""
        self.runners[task].handle_result(self.now, action, outcome)
