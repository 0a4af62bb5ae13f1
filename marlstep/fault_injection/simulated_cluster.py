"""The cores on a virtual network: voters, holders, tasks and stores as the product has them, no sockets, no clock.

True time is a number of microseconds; each node has a clock of its own that goes fast or slow. Messages are delayed,
lost, doubled and overtake each other; a store loses what was not synced when its node dies. What must hold is checked
from outside, with the sight of all nodes at one true moment.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from datetime import datetime
from typing import Any

from marlstep.consensus.log import Configuration, LogEntry, PersistentState, Snapshot
from marlstep.consensus.messages import RequestVoteResponse
from marlstep.consensus.raft import RaftTiming, Ready
from marlstep.consensus.replica import Replica, ReplicaSettings, node_of
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, JoinRequest
from marlstep.fault_injection.effects import (
    Effect,
    FencingServer,
    overlapping_effects,
    repeated_runs,
    shared_tokens,
    stale_tokens_accepted,
)
from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.mutations import Mutation
from marlstep.fault_injection.plan import HEAL_MS, Plan
from marlstep.fault_injection.simulated_machine import START, SimulatedClock, SimulatedDisk
from marlstep.fault_injection.simulation import Simulation
from marlstep.leases.client import GroupClient
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.leases.settings import LeaseSettings
from marlstep.replicated_config.messages import FetchChunk
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import TASK_LEASE_PREFIX, RunLog
from marlstep.scheduled_tasks.runner import TaskPlan as TaskPlan
from marlstep.scheduled_tasks.runner import TaskRunner
from marlstep.scheduled_tasks.schedule import Schedule
from marlstep.units import MILLISECOND, span, span_us

TASKS = ("sweep", "report", "rotate")
UNSAFE = frozenset(("report",))  # a run of it must not be repeated
EVERY = 700 * MILLISECOND
LONGEST = 300 * MILLISECOND
TERM = 1_500 * MILLISECOND  # half of the default: more changes of holder in the same time
MOST_WORK_US = 150_000  # of a server, for one act
OLD_STORE_EVERY_US = 1_500_000
DRAIN_US = 300_000  # from the notice to leave to the end of the process, beside the duration of the fault
DRAINED_RESTART_US = 100_000  # that a drained node stays down
RECONNECT_US = 20_000  # that messages are lost when a connection is reset
MOST_EVENTS = 400_000  # of one world: more is a storm, and a fault of its own


class SimulatedNode:
    """One process, over its lives."""

    def __init__(self, cluster: SimulatedCluster, name: str, rate: float) -> None:
        self.cluster, self.name = cluster, name
        self.clock = SimulatedClock(rate, cluster.chance.randrange(1_000_000_000))
        self.generation = 0
        self.up = False
        self.disk: SimulatedDisk | None = None
        self.olds: list[SimulatedDisk] = []
        self.voter: Replica | None = None
        self.participant: GroupClient
        self.runners: dict[str, TaskRunner] = {}
        self.stopped_until = 0
        self.slow_disk_until = 0
        self.hook = ""
        self.leaving = False
        self._deferred: list[Callable[[], None]] = []  # what waits for a stopped process
        self._storing = False
        self._ticks_at: int | None = None
        self._asked: dict[int, tuple[str, RunnerAction]] = {}
        self._checked = 0
        self._join_at = 0

    @property
    def now(self) -> datetime:
        return self.clock.local(self.cluster.true_us)

    @property
    def wall(self) -> datetime:
        return START + span(self.cluster.true_us)

    # Its lives.

    def start(self) -> None:
        cluster = self.cluster
        self.generation += 1
        self.up, self.leaving, self._storing, self._ticks_at, self.hook = True, False, False, None, ""
        self._asked, self._deferred, self.stopped_until = {}, [], 0
        boot = f"b{self.generation}"
        self.participant = GroupClient(
            self.name, boot, cluster.plan.voters, cluster.settings, random.Random(cluster.chance.random())
        )
        cluster.mutation.apply_to(self.participant.holder)
        self.participant.holder.set_wanted(
            [*(TASK_LEASE_PREFIX + task for task in TASKS), *cluster.wants(self)]
        )
        self.runners = {task: TaskRunner(cluster.tasks[task]) for task in TASKS}
        self.voter = None
        if self.name in cluster.plan.voters:
            if self.disk is None or (self.disk.copied and not cluster.mutation.trusts_restored_stores):
                self.disk = SimulatedDisk(f"{self.name}#{cluster.fresh()}", PersistentState())
            self.disk.copied = False
            self.voter = self._voter(self.disk)
            self._checked = self.voter.raft.last_applied
            cluster.mutation.apply_to_replica(self.voter)
        for runner in self.runners.values():
            cluster.mutation.apply_to(runner)
        cluster.started(self)
        self.drive()

    def _voter(self, disk: SimulatedDisk) -> Replica:
        cluster = self.cluster
        settings = cluster.voter_settings()
        saved = disk.copy().saved
        chance = random.Random(cluster.chance.random())
        voter = Replica(disk.identity, saved, settings, cluster.machines, chance, self.now)
        voter.raft.replication.max_entries_per_message = cluster.mutation.max_entries_per_message
        return voter

    def kill(self) -> None:
        self.up = False
        self.voter = None
        self.cluster.counts["kills"] += 1

    def at(self, after_us: int, action: Callable[[], None]) -> None:
        """In this life, after so much true time; what comes while it is stopped waits until it goes on."""
        generation = self.generation

        def run_in_generation() -> None:
            if not self.up or self.generation != generation:
                return
            if self.cluster.true_us < self.stopped_until:
                self._deferred.append(run_in_generation)
            else:
                action()
                self.drive()

        self.cluster.after(after_us, run_in_generation)

    def resume(self) -> None:
        kept, self._deferred = self._deferred, []
        for deferred in kept:
            deferred()

    def reached(self, hook: str) -> bool:
        """The process dies at a step where it was told to."""
        if self.hook == hook and self.up:
            self.hook = ""
            self.kill()
            self.cluster.after(self.cluster.chance.randrange(50_000, 2_000_000), self.restart)
            self.cluster.counts["hooks"] += 1
        return not self.up

    def restart(self) -> None:
        if not self.up:
            self.start()

    # Messages.

    def receive(self, sender: str, to: str, message: Any) -> None:
        voter = self.voter
        if to == self.participant.holder.name and isinstance(message, HeartbeatResponse | CommandResponse):
            changes = self.participant.handle_response(self.now, sender, message)
            for change in changes:
                self.cluster.changed(change.event)
            self.cluster.check_holders()
            self.cluster.heard(self)
        elif to == self.participant.holder.name:
            self.cluster.got(self, message)
        elif voter is not None and (
            to == voter.identity
            or (
                to == self.name and isinstance(message, Heartbeat | CommandRequest | JoinRequest | FetchChunk)
            )
        ):
            voter.step(self.now, sender, message)

    def drive(self) -> None:
        """After anything that happened: time, what is to be sent and stored, and what the tasks do."""
        if not self.up or self.cluster.true_us < self.stopped_until:
            return
        now, voter = self.now, self.voter
        if voter is not None:
            if voter.next_due() <= now:
                voter.tick(now)
            self._send_all(voter.take_immediate_messages(now))
            if not self.up:
                return
            self._store(voter)
            if not self.up:
                return
            self._check(voter)
            if (
                voter.identity not in voter.raft.configuration.voters
                and self.cluster.true_us >= self._join_at
            ):
                self._join_at = self.cluster.true_us + 500_000
                for one in self.cluster.plan.voters:
                    if one != self.name:
                        self.cluster.send(self, voter.identity, one, JoinRequest(self.name, voter.identity))
        sends, changes = self.participant.tick(now)
        for change in changes:
            self.cluster.changed(change.event)
        for target, message in sends:
            self.cluster.send(self, self.participant.holder.name, target, message)
        self._work(now)
        if self.up:
            self.cluster.drove(self)
            self._set_tick(now)

    def _send_all(self, messages: list[tuple[str, Any]]) -> None:
        voter = self.voter
        assert voter is not None
        for to, message in messages:
            if to == voter.identity:
                self.at(0, lambda message=message: self._to_self(message))  # type: ignore[misc]
            else:
                sender = (
                    self.name if isinstance(message, CommandResponse | HeartbeatResponse) else voter.identity
                )
                self.cluster.send(self, sender, to, message)

    def _to_self(self, message: Any) -> None:
        if self.voter is not None:
            self.voter.step(self.now, self.voter.identity, message)

    def _store(self, voter: Replica) -> None:
        if self._storing:
            return
        ready = voter.take_ready()
        if ready is None:
            return
        cluster = self.cluster
        if any(
            isinstance(message, RequestVoteResponse) and message.granted for _, message in ready.messages
        ) and self.reached("voted"):
            return
        if cluster.mutation.sends_before_sync:
            self._send_all(ready.messages)
        if not ready.needs_sync:
            self._stored(voter, ready)
            self._store(voter)
            return
        self._storing = True
        wait = cluster.chance.randrange(300, 4_000)
        if cluster.true_us < self.slow_disk_until:
            wait += cluster.chance.randrange(100_000, 900_000)

        def done() -> None:
            assert self.disk is not None
            self._storing = False
            self.disk.write(ready)
            if not self.reached("stored"):
                self._stored(voter, ready)

        self.at(wait, done)

    def _stored(self, voter: Replica, ready: Ready) -> None:
        voter.acknowledge_durable(self.now, ready)
        if not self.cluster.mutation.sends_before_sync:
            self._send_all(ready.messages)

    def _set_tick(self, now: datetime) -> None:
        due = self.participant.next_due(now)
        if self.voter is not None:
            due = min(due, self.voter.next_due())
        for runner in self.runners.values():
            at = runner.next_due(now, self.wall)
            due = due if at is None else min(due, at)
        cluster = self.cluster
        true = max(self.clock.true_at(due), cluster.true_us + 200)
        if self._ticks_at is not None and cluster.true_us < self._ticks_at <= true:
            return  # one that comes early enough is set
        self._ticks_at = true
        generation = self.generation

        def tick() -> None:
            if self.up and self.generation == generation and self._ticks_at == true:
                self._ticks_at = None
                if cluster.true_us < self.stopped_until:
                    self._deferred.append(self.drive)
                else:
                    self.drive()

        cluster.after(true - cluster.true_us, tick)

    # Tasks.

    def _work(self, now: datetime) -> None:
        participant = self.participant
        for number in list(self._asked):
            result = participant.take_result(number)
            if result is not None:
                if number not in self._asked:
                    continue
                task, do = self._asked.pop(number)
                if do.kind is ActionKind.BEGIN and "begun" in result and self.reached("begun"):
                    return
                self.runners[task].handle_result(now, do, result)
        for task, runner in self.runners.items():
            name = TASK_LEASE_PREFIX + task
            token = participant.holder.token(name)
            if token != runner.token:
                if token:
                    runner.lease_gained(token)
                else:
                    runner.lease_lost()
            if self.leaving and token and not runner.busy:
                continue
            wanted = runner.next_action(now, self.wall, participant.holder.time_left(name, now))
            if wanted is not None:
                self._do(task, wanted, now)
                if not self.up:
                    return

    def _do(self, task: str, do: RunnerAction, now: datetime) -> None:
        if do.is_request:
            if do.kind is ActionKind.EXECUTE and self.reached("acted"):
                return
            self.cluster.send_effect(self, task, do)
            return
        if do.kind is ActionKind.END and self.reached("ended"):
            return
        number = self.participant.propose(now, do.command(task))
        if number is None:
            self.runners[task].handle_result(now, do, None)
        else:
            self._asked[number] = (task, do)

    def answered(self, task: str, do: RunnerAction, outcome: Outcome) -> None:
        self.runners[task].handle_result(self.now, do, outcome)

    def leave(self) -> None:
        """The notice to leave: leases are given back, leadership is handed over."""
        self.leaving = True
        self.participant.release_leases(self.now)
        if self.voter is not None:
            self.voter.transfer_leadership()

    # What is checked of it.

    def _check(self, voter: Replica) -> None:
        raft, cluster = voter.raft, self.cluster
        if raft.is_leader:
            cluster.leads(voter)
        first = max(self._checked + 1, raft.log.first_index)
        for index in range(first, raft.last_applied + 1):
            cluster.committed(self, raft.log[index])
        self._checked = raft.last_applied
        for index, command, result in list(voter.applied)[-8:]:
            cluster.applied(self, index, command, result)


class SimulatedCluster(Simulation):
    """All nodes, the network between them, the server of the tasks, and the eye that sees all."""

    def __init__(self, plan: Plan, mutation: Mutation | None = None) -> None:
        super().__init__(plan, mutation, plan.seed * 7919 + 17)
        self.loss = self.mutation.loss
        self._heal_us = max(plan.length_ms - HEAL_MS, plan.length_ms // 2) * 1_000
        self.settings = self.mutation.settings(LeaseSettings(TERM, plan.drift))
        self.effects: list[Effect] = []
        self.faults = 0
        self.grants = 0
        self.tasks = {
            task: TaskPlan(task, Schedule(EVERY), "schedule-save", task not in UNSAFE, LONGEST)
            for task in TASKS
        }
        self._fresh = 0
        self._committed: dict[int, LogEntry] = {}
        self._leaders: dict[int, str] = {}
        self._tokens: dict[int, int] = {}  # of grants, by index
        self._wanted: set[tuple[str, str]] = set()  # by whom, what: ever
        self._receiver = FencingServer()
        self._beyond = {
            node
            for node, rate in zip(plan.nodes, plan.rates, strict=True)
            if abs(rate - 1) > plan.drift * 1.001
        }
        self.nodes = {
            name: SimulatedNode(self, name, rate) for name, rate in zip(plan.nodes, plan.rates, strict=True)
        }

    def fresh(self) -> str:
        self._fresh += 1
        return f"s{self._fresh}"

    # What a world with more in it gives.

    def machines(self, table: Any) -> dict[str, Any]:
        return {"tasks": RunLog(table)}

    def voter_settings(self) -> ReplicaSettings:
        return ReplicaSettings(RaftTiming(), self.settings, self.plan.voters)

    def wants(self, node: SimulatedNode) -> list[str]:
        """Leases beside those of the tasks."""
        return []

    def started(self, node: SimulatedNode) -> None:
        """A life of a node begins."""

    def heard(self, node: SimulatedNode) -> None:
        """It took an answer in."""

    def got(self, node: SimulatedNode, message: Any) -> None:
        """A message came for its process that is no answer."""

    def drove(self, node: SimulatedNode) -> None:
        """Something happened there, or time passed."""

    # Time.

    def run(self) -> None:
        """To the end of the plan. Raises Broken."""
        group = Configuration(tuple(f"{name}#first" for name in self.plan.voters))
        for node in self.nodes.values():
            if node.name in self.plan.voters:
                snapshot = Snapshot(configuration=group)
                node.disk = SimulatedDisk(f"{node.name}#first", PersistentState(snapshot=snapshot))
            node.start()
        self.schedule_faults()
        self.after(OLD_STORE_EVERY_US, self._back_up)
        self.run_events(MOST_EVENTS)
        self._judge()

    # The network.

    def send(self, node: SimulatedNode, sender: str, to: str, message: Any) -> None:
        if isinstance(message, Heartbeat):
            self._wanted |= {(sender, name) for name in message.wanted_leases}
        target = self.nodes[node_of(to)]
        if target is node:
            node.at(10, lambda: node.receive(sender, to, message))
            return
        link = self.link(node.name, target.name)
        copies = 1 + (self.true_us < link.repeat_until and self.chance.random() < 0.5)
        for _ in range(copies):
            delay = self.chance.randrange(200, self.mutation.delay_us)
            if self.true_us < link.slow_until:
                delay += self.chance.randrange(0, 700_000)
            loss = self.loss if self.true_us < self._heal_us else 0.005
            if self.chance.random() < loss or self.true_us < link.cut_until:
                self.counts["lost"] += 1
                continue
            self.counts["messages"] += 1
            self.after(delay, lambda: self._arrive(node.name, target, sender, to, message))

    def _arrive(self, origin: str, target: SimulatedNode, sender: str, to: str, message: Any) -> None:
        if self.true_us < self.link(origin, target.name).cut_until:
            return
        target.at(0, lambda: target.receive(sender, to, message))

    # Faults.

    def prepare_fault(self, fault: Fault) -> None:
        self.faults += 1

    def node_names(self) -> Collection[str]:
        return self.nodes.keys()

    def kill(self, node: str, duration_us: int) -> None:
        self._kill(self.nodes[node], duration_us)

    def wipe_store(self, node: str, duration_us: int) -> None:
        voter = self.nodes[node]
        if self._spare(voter):
            voter.disk = None
            self._kill(voter, duration_us)

    def restore_old_store(self, node: str, duration_us: int) -> None:
        voter = self.nodes[node]
        if voter.olds and self._spare(voter):
            voter.disk = voter.olds[0].copy()
            voter.disk.copied = True
            self._kill(voter, duration_us)

    def pause(self, node: str, duration_us: int) -> None:
        paused = self.nodes[node]
        if paused.up:
            paused.stopped_until = self.true_us + duration_us
            self.after(duration_us, paused.resume)

    def drain(self, node: str, duration_us: int) -> None:
        draining = self.nodes[node]
        if draining.up:
            draining.at(0, draining.leave)
            self.after(duration_us + DRAIN_US, lambda: self._kill(draining, DRAINED_RESTART_US))

    def slow_disk(self, node: str, duration_us: int) -> None:
        self.nodes[node].slow_disk_until = self.true_us + duration_us

    def kill_at_step(self, node: str, step: str) -> None:
        self.nodes[node].hook = step

    def trickle_messages(self, origin: str, target: str, duration_us: int) -> None:
        self.delay_messages(origin, target, duration_us)  # a message arrives whole: it can only be late

    def duplicate_messages(self, origin: str, target: str, duration_us: int) -> None:
        self.link(origin, target).repeat_until = self.true_us + duration_us

    def reset_connection(self, origin: str, target: str) -> None:
        self.drop_messages(origin, target, RECONNECT_US)  # there are no connections: messages get lost

    def resolve_role(self, name: str) -> str:
        """Which node a plan means by a role."""
        if name == "@holder":
            mine = [effect for effect in self.effects if effect.task == TASKS[0] and effect.accepted]
            return mine[-1].node if mine else self.plan.nodes[0]
        if name == "@leader":
            leads = [one for one in self.nodes.values() if one.up and one.voter and one.voter.raft.is_leader]
            terms = {one.voter.raft.term: one.name for one in leads if one.voter}
            return terms[max(terms)] if terms else self.plan.voters[0]
        return name

    def _spare(self, node: SimulatedNode) -> bool:
        """A second voter may lose its store only once the first is replaced: else the majority itself is gone."""
        leaders = [
            one.voter
            for one in self.nodes.values()
            if one.up and one.voter and one.voter.raft.is_established_leader
        ]
        if not leaders or node.disk is None or self.true_us < self._amnesia_until:
            self.counts["spared"] += 1
            return False
        group = max(leaders, key=lambda voter: voter.raft.term).raft.configuration
        known = {one.disk.identity for one in self.nodes.values() if one.disk is not None}
        if not set(group.voters) <= known or len(group.voters) < len(self.plan.voters):
            self.counts["spared"] += 1
            return False
        self._amnesia_until = self.true_us + 4_000_000
        return True

    _amnesia_until = 0

    def _kill(self, node: SimulatedNode, for_us: int) -> None:
        if node.up:
            node.kill()
        self.after(for_us, node.restart)

    def _back_up(self) -> None:
        for node in self.nodes.values():
            if node.disk is not None:
                node.olds = [*node.olds[-1:], node.disk.copy()]
        self.after(OLD_STORE_EVERY_US, self._back_up)

    # The server of the tasks: a witness.

    def send_effect(self, node: SimulatedNode, task: str, do: RunnerAction) -> None:
        delay = self.chance.randrange(200, 5_000)
        if self.chance.random() < 0.02:
            delay += self.chance.randrange(600_000)
        elif self.chance.random() < self.mutation.stuck:
            delay += self.chance.randrange(4_000_000)  # stuck in a line on the way, for longer than a term
        work = 0 if do.kind is ActionKind.FENCE else self.chance.randrange(5_000, MOST_WORK_US)
        generation = node.generation
        open_still = [True]

        def answer(outcome: Outcome) -> None:
            if open_still and node.generation == generation:
                open_still.clear()
                node.answered(task, do, outcome)

        def arrive() -> None:
            taken = self._receiver.accepts(task, do.token)
            began = self.true_us
            fence = do.kind is ActionKind.FENCE
            self.effects.append(Effect(task, node.name, do.token, do.run, began, began + work, taken, fence))
            outcome = Outcome.DONE if taken else Outcome.FENCED_OFF
            if self.chance.random() >= 0.02:  # else the answer is lost
                node.at(work + self.chance.randrange(200, 5_000), lambda: answer(outcome))

        self.after(delay, arrive)
        node.at(span_us(LONGEST), lambda: answer(Outcome.UNKNOWN))

    # The eye.

    def changed(self, what: str) -> None:
        self.counts[what] += 1

    def check_holders(self) -> None:
        """No two hold one lease at this moment, each by its own clock."""
        for task in TASKS:
            name = TASK_LEASE_PREFIX + task
            holders = [
                node.name
                for node in self.nodes.values()
                if node.up
                and node.name not in self._beyond
                and node.participant.holder.time_left(name, node.now)
            ]
            if len(holders) > 1:
                raise InvariantViolationError(f"two hold {name} at {self.true_us} us: {', '.join(holders)}")

    def committed(self, node: SimulatedNode, entry: LogEntry) -> None:
        known = self._committed.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantViolationError(
                f"committed entry {entry.index} differs at {self.true_us} us on {node.name}: "
                f"{known} there, {entry} here"
            )

    def applied(self, node: SimulatedNode, index: int, command: Any, result: Any) -> None:
        if index in self._tokens or "granted" not in result:
            return
        token = int(result["token"])
        if any(token <= other for at, other in self._tokens.items() if at < index):
            raise InvariantViolationError(f"token {token} at entry {index} is not above all before it")
        self._tokens[index] = token
        self.grants += 1
        holder = str(result["granted"])
        if (holder, command["name"]) not in self._wanted:
            raise InvariantViolationError(f"granted what was not asked: {command}")

    def leads(self, voter: Replica) -> None:
        known = self._leaders.setdefault(voter.raft.term, voter.identity)
        if known != voter.identity:
            raise InvariantViolationError(f"two lead in term {voter.raft.term}: {known} and {voter.identity}")

    def _judge(self) -> None:
        self.counts["runs"] = sum(effect.accepted and not effect.fence for effect in self.effects)
        self.counts["refused late"] = sum(not effect.accepted for effect in self.effects)
        for one, other in overlapping_effects(self.effects):
            raise InvariantViolationError(f"acts overlap: {one} and {other}")
        for one, other in stale_tokens_accepted(self.effects):
            raise InvariantViolationError(f"accepted with a falling token: {other} after {one}")
        for one, other in shared_tokens(self.effects):
            raise InvariantViolationError(f"one token, two nodes: {one} and {other}")
        for one, other in repeated_runs(self.effects, UNSAFE):
            raise InvariantViolationError(f"run twice: {one} and {other}")
        last = max((effect.ended_us for effect in self.effects if effect.accepted), default=0)
        if last < (self.plan.length_ms - 2_500) * 1_000:
            raise InvariantViolationError(f"nobody acts any more after {last} us, though all faults are over")


def broken_by(cluster: SimulatedCluster) -> str:
    """Run it to its end; what broke, or an empty text."""
    try:
        cluster.run()
    except InvariantViolationError as fault:
        return str(fault)
    except AssertionError as fault:
        return f"an assertion of the product: {fault}"
    return ""


def run(plan: Plan, mutation: Mutation | None = None) -> tuple[SimulatedCluster, str]:
    """One world; gives it and what broke, or an empty text."""
    cluster = SimulatedCluster(plan, mutation)
    return cluster, broken_by(cluster)


def shrink(plan: Plan, mutation: Mutation | None = None, tries: int = 200) -> Plan:
    """The plan with as few of its faults as still break something."""
    faults = list(plan.faults)
    size = max(1, len(faults) // 2)
    while size and tries > 0:
        at = 0
        while at < len(faults) and tries > 0:
            fewer = faults[:at] + faults[at + size :]
            tries -= 1
            trial = Plan(
                plan.seed, plan.nodes, plan.voters, plan.length_ms, plan.rates, tuple(fewer), plan.drift
            )
            if run(trial, mutation)[1]:
                faults = fewer
            else:
                at += size
        size //= 2
    return Plan(plan.seed, plan.nodes, plan.voters, plan.length_ms, plan.rates, tuple(faults), plan.drift)
