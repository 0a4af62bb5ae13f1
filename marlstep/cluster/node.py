"""The fleet as a part of a node: drives the voter, the participant and the runners on sockets, disk and one clock."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING, Any, ClassVar

from marlstep.cluster import wire
from marlstep.cluster.config_documents import ConfigDocuments, ConfigDriver
from marlstep.cluster.health_checks import POOL_LEASE_PREFIX, HealthCheckCoordinator
from marlstep.cluster.store import OpenedStore, ReplicaStore, StoreError, StoreRefusedError
from marlstep.cluster.task_frontend import TaskFrontend
from marlstep.cluster.transport import ClusterTransport
from marlstep.components.base import Component, StartPhase
from marlstep.config import Config
from marlstep.config.fleet import ClusterConfig, TaskConfig
from marlstep.consensus.raft import RaftTiming, Ready
from marlstep.consensus.replica import (
    CommandRequest,
    CommandResponse,
    JoinRequest,
    Replica,
    ReplicaSettings,
    node_of,
)
from marlstep.core.engine import Core
from marlstep.leases.client import GroupClient
from marlstep.leases.holder import LeaseEvent
from marlstep.leases.messages import Heartbeat, HeartbeatResponse, RelayAnnouncement, ServerRecovered
from marlstep.membership.partition_state import CAPABILITIES, Capabilities, PartitionState
from marlstep.membership.quotas import QuotaTable
from marlstep.membership.roster import Roster
from marlstep.net.eventloop import LoopWaker
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.replicated_config.store import ConfigStore
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.outcomes import Outcome
from marlstep.scheduled_tasks.run_log import TASK_LEASE_PREFIX, RunLog
from marlstep.scheduled_tasks.runner import TaskRunner
from marlstep.timer_queue import Deadline, TimerQueue
from marlstep.units import MILLISECOND, SECOND, SteadyClock
from marlstep.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from marlstep.cluster.membership import ClusterMembership

log = logging.getLogger(__name__)

ADDRESS_AGAIN = 30 * MILLISECOND  # while another process of this node has it
STORE_AGAIN = 1 * SECOND  # after a fault of the disk
HAND_AGAIN = 200 * MILLISECOND
STORE_CLOSES = 1 * SECOND
JOIN_EVERY = 300 * MILLISECOND
RELAY_EVERY = 300 * MILLISECOND  # a younger process says again where it is
LEAVES_WITHIN = 1_500 * MILLISECOND  # for open runs to end, and leases to be taken back
KEPT_LINES = 200  # of the history that operators are shown
FULL = CAPABILITIES[PartitionState.HEALTHY]  # of a node that is not told to look at the others


class ClusterNode(Component):
    """One process's part. Of a node's processes only the one that has its address takes part."""

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
    ) -> None:
        self.config = config
        self.process_id = secrets.token_hex(6)
        self.steady = TimerQueue(LoopWaker(asyncio.get_running_loop(), SteadyClock().now))
        self.wall = timeline.now
        chance = random.Random(f"{seed}/{self.process_id}")
        self.chance = chance
        self.client = GroupClient(config.node, self.process_id, config.voters, config.leases, chance)
        self.replica: Replica | None = None
        self.group = ""
        self._kept_group = ""  # as the store has it
        self.transport = ClusterTransport(
            config.nodes, wire.stream_framing(config.key), self.steady, self._deliver
        )
        self.runners = {one.plan.name: TaskRunner(one.plan) for one in config.tasks}
        self.tasks = {one.plan.name: one for one in config.tasks}
        self.task_frontend: TaskFrontend | None = None
        if upstream is not None:
            self.task_frontend = TaskFrontend(
                core, timeline, upstream, self.steady, pool_of, self.client.holder.name, class_variable
            )
        self.health_checks: HealthCheckCoordinator | None = None
        if config.shared_health_checks and upstream is not None:
            self.health_checks = HealthCheckCoordinator(self, upstream, config.leases.term * 2)
        self.history: deque[dict[str, object]] = deque(maxlen=KEPT_LINES)
        self.counts: Counter[str] = Counter()
        self._drifts = False
        self.answers: OrderedDict[int, dict[str, Any]] = OrderedDict()  # to what operators asked for
        self.config_driver: ConfigDriver | None = None
        if config.replicated_config is not None and documents is not None:
            self.config_driver = ConfigDriver(self, config.replicated_config, documents)
        self.on_step: Callable[[str], None] = lambda step: None  # the rig's hook; nothing in the product
        self._store: ReplicaStore | None = None
        self._executor: ThreadPoolExecutor | None = None
        self._storing = False
        self._opening: asyncio.Task[None] | None = None
        self._datagrams: asyncio.Task[None] | None = None  # as long as they are being opened
        self._open = False
        self._closed = False
        self._aside: int | None = None  # port, while an elder process of this node has the address
        self._relay_at = self.steady.now()
        self._younger = ("", 0)  # process of this node that comes after this one, and its port
        self._leaving_until: datetime | None = None
        self._asked: dict[int, tuple[str, RunnerAction]] = {}
        self._orders: dict[int, str] = {}  # of operators, about members
        self._join_at: datetime | None = None
        self._drive_due = False
        self._hand_at = self.steady.now()  # when the lead may be offered again
        self._alarm: Deadline | None = None
        self.membership: ClusterMembership | None = None
        if config.membership is not None:
            from marlstep.cluster.membership import ClusterMembership  # only where it is asked for

            self.membership = ClusterMembership(self, config.membership)
        self._want()

    # Coming.

    async def open(self, config: Config, shared: bool) -> None:
        """Takes the node's address among the fleet; where another process still has it, once that is gone."""
        self._opening = asyncio.get_running_loop().create_task(self._opened())

    async def _opened(self) -> None:
        waited = False
        while True:
            try:
                await self.transport.listen(self.config.listen)
                break
            except OSError as fault:
                if not waited:
                    log.info("fleet: %s:%d is not to be had yet: %s", *self.config.listen, fault)
                waited = True
                if self.config_driver is not None and self._aside is None:
                    await self._come_aside()
                await asyncio.sleep(ADDRESS_AGAIN.total_seconds())
        log.info(
            "fleet %s: %s takes part as process %s on %s:%d",
            self.config.name,
            self.config.node,
            self.process_id,
            *self.config.listen,
        )
        self._open, self._aside = True, None
        self._want()
        if self.membership is not None:
            self._datagrams = asyncio.get_running_loop().create_task(self._open_datagrams(self.membership))
        if self.config.votes and self.config.store is not None:
            self._executor = ThreadPoolExecutor(1, "fleet-store")
            await self._open_store()
        self.drive_soon()

    async def _open_datagrams(self, members: ClusterMembership) -> None:
        """The lines have the address; an elder process may have it for datagrams a moment longer."""
        told = False
        while not self._closed:
            try:
                await members.open()
            except OSError as fault:
                if not told:
                    log.warning("fleet: no datagrams at %s:%d yet: %s", *self.config.listen, fault)
                told = True
                await asyncio.sleep(ADDRESS_AGAIN.total_seconds())
            else:
                return

    async def _come_aside(self) -> None:
        """Follow the documents already, through the elder process of this node, which has the address.

        Without rules to work under this process would not be healthy, and the platform waits for that before it lets
        the elder go. It is a process like any other to the group; only its lines go by way of the elder.
        """
        host = self.config.listen[0]
        try:
            self._aside = await self.transport.listen_on_free_port(host)
        except OSError as fault:
            log.warning("fleet: no port to follow the documents at: %s", fault)
            return
        self.transport.set_address(self.config.node, self.config.listen)
        self._open = True
        self._want()
        self.drive_soon()

    async def _open_store(self) -> None:
        assert self.config.store is not None and self._executor is not None
        loop = asyncio.get_running_loop()
        while not self._closed:
            store = ReplicaStore(self.config.store)
            identity = f"{self.config.node}#{secrets.token_hex(6)}"
            try:
                told = await loop.run_in_executor(self._executor, store.open, self.config.node, identity)
            except (StoreError, StoreRefusedError) as fault:
                log.error("fleet: this node can't vote: %s", fault)
                self.counts["store faults"] += 1
                await asyncio.sleep(STORE_AGAIN.total_seconds())
                continue
            self._store = store
            self._begin_to_vote(told)
            return

    def _begin_to_vote(self, told: OpenedStore) -> None:
        now = self.steady.now()
        timing = RaftTiming(self.config.heartbeat_interval, self.config.election_timeout)
        keeping = None if self.config.membership is None else self.config.membership.roster
        shares = self.config.replicated_config is not None and self.config.replicated_config.quotas_shared
        settings = ReplicaSettings(timing, self.config.leases, self.config.voters, keeping, shares)
        voter = Replica(told.identity, told.state, settings, state_machines, self.chance, now)
        self.replica, self._storing = voter, False
        self.group, self._kept_group = told.group or self.group, told.group
        self._keep_group()
        log.info(
            "fleet: votes as %s, group %s, term %d, %d entries",
            told.identity,
            told.group or "none yet",
            told.state.term,
            voter.raft.log.last_index,
        )

    def reconfigure(self, config: Config) -> None:
        """`[fleet]` takes a new start, and `renewed` of the configuration says so; pools may have changed."""
        self._want()

    def _want(self) -> None:
        if self._leaving_until is not None:
            return
        names = []
        if self._aside is None:  # tasks and probes are still the elder's
            names += [TASK_LEASE_PREFIX + name for name in self.runners]
            if self.health_checks is not None:
                names += [POOL_LEASE_PREFIX + name for name in self.health_checks.pools()]
        if not self.capabilities.wants_leases:
            names = [name for name in names if name in self.client.holder.held]
        if self.config_driver is not None:
            names.append(self.config_driver.lease)
        for change in self.client.holder.set_wanted(names):
            self._changed(change)

    @property
    def capabilities(self) -> Capabilities:
        """What this node's parts do, as it stands among the others."""
        return FULL if self.membership is None else self.membership.capabilities

    def situation_changed(self) -> None:
        self._want()
        self.drive_soon()

    # Messages.

    def _deliver(self, body: bytes) -> None:
        """One frame of another node."""
        one = wire.read_envelope(body)  # CorruptError closes the line
        self.counts["received"] += 1
        if one.fleet != self.config.name:
            self.transport.record_drop("another fleet", f"{one.fleet[:64]!r}, from {one.sender[:64]!r}")
            return
        self._receive(one)

    def _receive(self, one: wire.Envelope) -> None:
        now, message, voter = self.steady.now(), one.message, self.replica
        if not self._same_group(one) or self._passed_on(one):
            return
        if isinstance(message, HeartbeatResponse | CommandResponse):
            if one.to == self.client.holder.name:
                for change in self.client.handle_response(now, one.sender, message):
                    self._changed(change)
                self._see_drift()
                if self.config_driver is not None:
                    self.config_driver.handle_heartbeat_response(now)
        elif isinstance(message, DocumentChunk):
            if self.config_driver is not None and one.to == self.client.holder.name:
                self.config_driver.handle_chunk(now, message)
        elif isinstance(message, wire.ExchangeMessage):
            if self.membership is not None:
                self.membership.handle_exchange(message)
        elif isinstance(message, ServerRecovered):
            if self.health_checks is not None:
                self.health_checks.handle_recovered(message)
        elif voter is not None and (one.to in (voter.identity, self.config.node)):
            if (
                isinstance(message, Heartbeat | CommandRequest | JoinRequest | FetchChunk)
                or one.to == voter.identity
            ):
                voter.step(now, one.sender, message)
            else:
                self.counts["not for this voter"] += 1
        else:
            self.counts["not for this process"] += 1
        self.drive_soon()

    def _passed_on(self, one: wire.Envelope) -> bool:
        """What is between a younger process of this node and the others goes through here."""
        younger, _ = self._younger
        if isinstance(one.message, RelayAnnouncement):
            found = (one.message.holder, one.message.port)
            if node_of(found[0]) == self.config.node and found[0] == one.sender and self._younger != found:
                log.info("fleet: process %s of this node comes after this one", found[0])
                self.transport.remove_address(younger)
                self._younger = found
                self.transport.set_address(found[0], (self.config.listen[0], found[1]))
            return True
        if not younger or self._aside is not None:
            return False
        if one.to == younger:
            self.transport.send(younger, wire.write_envelope(one))
            return True
        if one.sender == younger and node_of(one.to) != self.config.node:
            self.transport.send(node_of(one.to), wire.write_envelope(one))
            return True
        return False

    def _see_drift(self) -> None:
        if self.client.holder.clock_drifts != self._drifts:
            self._drifts = self.client.holder.clock_drifts
            if self._drifts:
                self.counts["drifts"] += 1
                log.error("fleet: the group says that this node's clock errs beyond the stated drift")

    def _same_group(self, one: wire.Envelope) -> bool:
        """Groups of one fleet are told apart: a second one that was made by mistake must not be listened to."""
        if not one.group or one.group == self.group:
            return True
        epoch, ours = epoch_of(one.group), epoch_of(self.group)
        if self.group and epoch == ours:
            self.transport.record_drop(
                "another group", f"{one.group} from {one.sender[:64]!r}; this is {self.group}"
            )
        if self.group and epoch <= ours:
            return False
        before, self.group = self.group, one.group
        if before:
            log.error("fleet: group %s takes the place of %s", one.group, before)
            if self.replica is not None and self.replica.raft.configuration.voters:
                self._start_anew("its group was given up for another")
                return False
        self._keep_group()
        return True

    def _keep_group(self) -> None:
        """The store has the group's name before it has anything of the group's log.

        Without it a voter that starts again could not tell its own group from one that takes its place.
        """
        if self._store is not None and self.replica is not None and self.group != self._kept_group:
            self._kept_group = self.group
            self._run_on_store(partial(self._store.set_group, self.group))

    def _send(self, sender: str, to: str, message: Any) -> None:
        envelope = wire.Envelope(self.config.name, self.group, sender, to, message)
        node = node_of(to)
        if self._aside is not None:
            self.transport.send(self.config.node, wire.write_envelope(envelope))  # the elder passes it on
        elif node == self.config.node:
            self.steady.soon(lambda: None if self._closed else self._receive(envelope))
        else:
            self.transport.send(node, wire.write_envelope(envelope))

    def ask_leader(self, message: FetchChunk) -> None:
        """To the voter that is taken for the leader."""
        self._send(self.client.holder.name, self.client.target, message)

    def send_exchange(self, line: str, message: wire.ExchangeMessage) -> None:
        """To the node of that name, or at the address of that line."""
        name = self.client.holder.name
        self.transport.send(
            line, wire.write_envelope(wire.Envelope(self.config.name, self.group, name, line, message))
        )

    def tell_all(self, message: ServerRecovered) -> None:
        """Every other node, once; what is lost is not sent again."""
        for node in self.config.nodes:
            if node != self.config.node:
                self._send(self.client.holder.name, node, message)

    # One turn.

    def drive_soon(self) -> None:
        if not self._drive_due and not self._closed:
            self._drive_due = True
            self.steady.soon(self._drive)

    def _drive(self) -> None:
        self._drive_due = False
        if self._closed or not self._open:
            return
        now = self.steady.now()
        if self.replica is not None:
            self._drive_voter(self.replica, now)
        if self._aside is not None and now >= self._relay_at:
            self._relay_at = now + RELAY_EVERY
            self._send(
                self.client.holder.name,
                self.config.node,
                RelayAnnouncement(self.client.holder.name, self._aside),
            )
        sends, changes = self.client.tick(now)
        for change in changes:
            self._changed(change)
        for target, message in sends:
            self._send(self.client.holder.name, target, message)
        self._work(now)
        self._set_alarm(now)

    def _set_alarm(self, now: datetime) -> None:
        due = self.client.next_due(now)
        if self._aside is not None:
            due = min(due, self._relay_at)
        if self.replica is not None:
            due = min(due, self.replica.next_due())
            if self._join_at is not None:
                due = min(due, self._join_at)
        wall = self.wall()
        for runner in self.runners.values():
            at = runner.next_due(now, wall)
            due = due if at is None else min(due, at)
        if self._alarm is not None and self._alarm.callback is not None:
            if self._alarm.when <= due and self._alarm.when > now:
                return  # it comes early enough
            self.steady.cancel(self._alarm)
        self._alarm = self.steady.at(max(due, now + MILLISECOND), self.drive_soon)

    def _drive_voter(self, voter: Replica, now: datetime) -> None:
        if voter.next_due() <= now:
            voter.tick(now)
        for to, message in voter.take_immediate_messages(now):
            sender = (
                self.config.node
                if isinstance(message, CommandResponse | HeartbeatResponse)
                else voter.identity
            )
            self._send(sender, to, message)
        self._save(voter)
        while voter.events:
            change = voter.events.popleft()
            log.info("fleet: %s (%s)", change.what, change.reason)
            self.note(change.what, change.reason)
        if voter.raft.log_regressed:
            self._start_anew("the leader knows that more was durable here than the store has")
            return
        if (
            voter.identity in voter.raft.configuration.members
            and voter.identity in voter.raft.configuration.voters
        ):
            self._join_at = None
        elif self._join_at is None or now >= self._join_at:
            self._join_at = now + JOIN_EVERY
            for node in self.config.voters:
                if node != self.config.node:
                    self._send(voter.identity, node, JoinRequest(self.config.node, voter.identity))

    # The store.

    def _save(self, voter: Replica) -> None:
        """One piece of work for the store at a time; what comes meanwhile goes into the next."""
        while not self._storing and (ready := voter.take_ready()) is not None:
            if not ready.needs_sync:
                self._saved(voter, ready)
                continue
            assert self._store is not None
            self._storing = True
            self.on_step("storing")
            self._run_on_store(partial(self._store.save, ready), partial(self._saved, voter, ready))

    def _run_on_store(self, work: Callable[[], None], then: Callable[[], None] | None = None) -> None:
        assert self._executor is not None
        voter = self.replica
        future = asyncio.get_running_loop().run_in_executor(self._executor, work)

        def done(future: asyncio.Future[None]) -> None:
            if self.replica is not voter or self._closed or future.cancelled():
                return
            fault = future.exception()
            if fault is not None:
                self._store_failed(fault)
                return
            if then is not None:
                self._storing = False
                then()
            self.drive_soon()

        future.add_done_callback(done)

    def _saved(self, voter: Replica, ready: Ready) -> None:
        self.on_step("stored")
        voter.acknowledge_durable(self.steady.now(), ready)
        for to, message in ready.messages:
            self._send(voter.identity, to, message)

    def _store_failed(self, fault: BaseException) -> None:
        """The voter goes back to what is durable: nothing that was not, was said."""
        log.error("fleet: the store failed, this node does not vote until it is well: %s", fault)
        self.note("the store failed", str(fault))
        self.counts["store faults"] += 1
        self._reopen(aside=False)

    def _start_anew(self, why: str) -> None:
        log.error("fleet: the store is given up: %s", why)
        self.note("the store was given up", why)
        self._reopen(aside=True)

    def _reopen(self, aside: bool) -> None:
        store, self._store, self.replica, self._join_at = self._store, None, None, None

        def shut() -> None:
            if store is not None:
                store.close()
                if aside:
                    store.set_aside()

        async def again() -> None:
            assert self._executor is not None
            await asyncio.get_running_loop().run_in_executor(self._executor, shut)
            if not aside:
                await asyncio.sleep(STORE_AGAIN.total_seconds())
            await self._open_store()
            self.drive_soon()

        self._opening = asyncio.get_running_loop().create_task(again())

    # Tasks.

    def _changed(self, change: LeaseEvent) -> None:
        log.info("fleet: lease %s, token %d: %s (%s)", change.name, change.token, change.event, change.reason)
        self.note(f"lease {change.name} {change.event}", f"token {change.token}: {change.reason}")
        self.counts[f"leases {change.event}"] += 1

    def note(self, what: str, why: str) -> None:
        self.history.append({"at": self.wall().isoformat(timespec="milliseconds"), "what": what, "why": why})

    def _work(self, now: datetime) -> None:
        participant, holder = self.client, self.client.holder
        for number in list(self._asked):
            result = participant.take_result(number)
            if result is not None:
                task, do = self._asked.pop(number)
                if do.kind is ActionKind.BEGIN and "begun" in result:
                    self.on_step("begun")
                self.runners[task].handle_result(now, do, result)
        for name, runner in self.runners.items():
            lease = TASK_LEASE_PREFIX + name
            token = holder.token(lease)
            if token != runner.token:
                if token:
                    runner.lease_gained(token)
                    self.on_step("granted")
                else:
                    runner.lease_lost()
                    self._forget_asks(name)
            if not self.capabilities.begins_tasks and not runner.busy:
                continue
            wanted = runner.next_action(now, self.wall(), holder.time_left(lease, now))
            if wanted is not None:
                self._do(self.tasks[name], runner, wanted, now)
        if self.health_checks is not None:
            self.health_checks.tick(now)
        if self.config_driver is not None:
            self.config_driver.tick(now)
        if self._leaving_until is not None:
            self._leave_on(now)

    def _forget_asks(self, task: str) -> None:
        for number, (name, _) in list(self._asked.items()):
            if name == task:
                del self._asked[number]
                self.client.abandon(number)

    def _do(self, task: TaskConfig, runner: TaskRunner, do: RunnerAction, now: datetime) -> None:
        name = task.plan.name
        if not do.is_request:
            if do.kind is ActionKind.END:
                self.on_step("ending")
            number = self.client.propose(now, do.command(name))
            if number is None:
                runner.handle_result(now, do, None)
            else:
                self._asked[number] = (name, do)
            self.drive_soon()
            return
        assert self.task_frontend is not None
        if not self.capabilities.begins_tasks:  # it came to this while the run was being begun
            runner.handle_result(now, do, Outcome.NOT_RUN)
            self.drive_soon()
            return
        lease = TASK_LEASE_PREFIX + name

        def left() -> timedelta:
            holder = self.client.holder
            if holder.token(lease) != do.token or not self.capabilities.begins_tasks:
                return timedelta(
                    0
                )  # asked once more where the act leaves this node: the module may have held it
            return holder.time_left(lease, self.steady.now())

        def told(outcome: Outcome) -> None:
            log.info("fleet: task %s run %d token %d: %s: %s", name, do.run, do.token, do.kind, outcome.value)
            runner.handle_result(self.steady.now(), do, outcome)
            self.drive_soon()

        self.on_step("acting")
        self.task_frontend.execute(task, do, left, told)

    # Going.

    def drain(self) -> None:
        """Give the leases back and the lead away, once open runs have ended."""
        if self._leaving_until is not None or self._closed:
            return
        if not self._open:
            if self._opening is not None:
                self._opening.cancel()
            self._closed = True
            return
        now = self.steady.now()
        self._leaving_until = now + LEAVES_WITHIN
        for runner in self.runners.values():
            runner.draining = True
        self._leave_on(now)
        self.drive_soon()

    def _leave_on(self, now: datetime) -> None:
        """A lease goes back as soon as no run of its task is open; then the address and the store."""
        holder = self.client.holder
        keep = [
            TASK_LEASE_PREFIX + name for name, runner in self.runners.items() if runner.busy and runner.token
        ]
        # Requests that arrive in the grace after the notice are still run: the rules are acted on to the end of this
        # process's lease on them, which runs out by itself.
        rules = [] if self.config_driver is None else [self.config_driver.lease]
        before = len(holder.wanted)
        for change in holder.set_wanted([*keep, *rules]):
            self._changed(change)
        if not keep and not holder.leaving:
            self.client.release_leases(now, rules)
        if len(holder.wanted) != before:
            self.client.schedule_heartbeat(now)
            self.drive_soon()
        leads = (
            self.replica is not None
            and self.replica.raft.is_leader
            and len(self.replica.raft.configuration.voters) > 1
        )
        if not self.capabilities.hands_over and not keep:
            self._give_way()  # nobody is there to take anything
            return
        # The lead goes last: who comes to lead hears all who wait first, and what is given back would wait with them.
        settled = holder.leaving and self.client.is_idle
        if leads and settled and self.replica is not None and now >= self._hand_at:
            self._hand_at = now + HAND_AGAIN
            if to := self.replica.transfer_leadership(now):
                log.info("fleet: leadership is handed to %s, as this node leaves", to)
                self.drive_soon()
        over = self._leaving_until is not None and now >= self._leaving_until
        if over or (settled and not leads):
            self._give_way()
        else:
            self.steady.at(now + 20 * MILLISECOND, self.drive_soon)

    def _give_way(self) -> None:
        """Another process of this node may take the address and the store from now on."""
        if self._closed:
            return
        log.info("fleet: this process takes no part any more")
        if self.membership is not None and not self._younger[0]:
            self.membership.leave()
        self._closed = True
        if self._aside is not None and self._opening is not None:
            self._opening.cancel()  # it would take the address yet
        self._opening = asyncio.get_running_loop().create_task(self._closing())

    async def _closing(self) -> None:
        if self._datagrams is not None:
            self._datagrams.cancel()
        if self.membership is not None:
            self.membership.close()
        await self.transport.close()
        if self._store is not None and self._executor is not None:
            store, self._store = self._store, None
            closing = asyncio.get_running_loop().run_in_executor(self._executor, store.close)
            try:
                await asyncio.wait_for(closing, STORE_CLOSES.total_seconds())
            except TimeoutError:  # what was said is durable; the system gives the file back with the process
                log.error("fleet: the store does not close: the disk hangs")
        self.replica = None
        if self._executor is not None:
            self._executor.shutdown(wait=False)
            self._executor = None

    @property
    def busy(self) -> bool:
        """It has been told to leave, and still takes part."""
        return self._leaving_until is not None and not self._closed

    async def close(self) -> None:
        """The one place where the address, the lines, the store and its thread are given back."""
        if self._opening is not None and not self._closed:
            self._opening.cancel()
        self._closed = True
        self.steady.cancel(self._alarm)
        if self.health_checks is not None:
            self.health_checks.close()
        await self._closing()

    # What operators see.

    def read_resource(self, name: str) -> dict[str, Any] | None:
        match name.split("/"):
            case ["fleet"]:
                return self.status()
            case ["fleet", "leases"]:
                return self.leases()
            case ["fleet", "log"]:
                return self.told_log()
            case ["fleet", "members"] if self.membership is not None:
                return self.membership.status()
            case ["fleet", "situation"] if self.membership is not None:
                return self.membership.partition_status()
            case ["fleet", *rest] if self.config_driver is not None:
                return self.config_driver.call(rest)
            case ["fleet", "asked"] if self.membership is not None:
                return self.told_orders()
        return None

    def told_orders(self) -> dict[str, Any]:
        """What became of what operators asked for."""
        for number in list(self._orders):
            if (result := self.client.take_result(number)) is not None:
                self.answers[number] = {"what": self._orders.pop(number), **result}
        while len(self.answers) > KEPT_LINES:
            self.answers.popitem(last=False)
        return {str(number): answer for number, answer in self.answers.items()}

    def _order_members(self, what: str, told: dict[str, Any]) -> dict[str, Any]:
        """Raises ValueError, KeyError, TypeError."""
        match what:
            case "remove":
                command: dict[str, Any] = {"do": "remove", "node": str(told["node"]), "held_off": True}
                command["why"] = str(told.get("why", "an operator"))
            case "readmit":
                command = {"do": "readmit", "node": str(told["node"])}
            case "believe":
                command = {"do": "believe", "nodes": [str(one) for one in told["nodes"]]}
            case _:
                raise ValueError(f"there is nothing like {what[:32]}")
        number = self.client.propose(self.steady.now(), {"m": "members", **command})
        if number is None:
            raise ValueError("too much is asked for already")
        self._orders[number] = what
        self.drive_soon()
        return {"asked": number}

    def execute_order(self, name: str, told: dict[str, Any]) -> dict[str, Any] | None:
        match name.split("/"):
            case ["fleet", "rules", what] if self.config_driver is not None:
                return self.config_driver.order(what, told)
            case ["fleet", "members", what] if self.membership is not None:
                return self._order_members(what, told)
        return None

    def metrics(self) -> dict[str, float]:
        figures: dict[str, float] = {
            "fleet_leases_held": len(self.client.holder.held),
            **{
                f"fleet_line_{name.replace(' ', '_')}_total": count
                for name, count in self.transport.counts.items()
            },
            **{f"fleet_{name.replace(' ', '_')}_total": count for name, count in self.counts.items()},
        }
        if self.replica is not None:
            raft = self.replica.raft
            figures |= {
                "fleet_leads": float(raft.is_leader),
                "fleet_term": float(raft.term),
                "fleet_commit_index": float(raft.commit_index),
                **{f"fleet_voter_{name}_total": count for name, count in self.replica.counts.items()},
            }
        for name, runner in self.runners.items():
            figures[f'fleet_task_acts_total{{task="{name}"}}'] = runner.counts["acts"]
        return figures

    def status(self) -> dict[str, Any]:
        now = self.steady.now()
        voter = self.replica
        cut_off = self.client.time_since_response(now)
        return {
            "fleet": self.config.name,
            "node": self.config.node,
            "boot": self.process_id,
            "group": self.group,
            "asks": self.client.target,
            "drifts": self._drifts,
            "heard_ms": None if cut_off is None else cut_off // MILLISECOND,
            "asked_ms": [round(took / MILLISECOND, 2) for took in self.client.command_latencies],
            "voter": None if voter is None else voter.status(),
            "lines": dict(self.transport.counts),
            "counts": dict(self.counts),
        }

    def leases(self) -> dict[str, Any]:
        """What this node holds, and what the log says of all, where this node votes."""
        now = self.steady.now()
        mine = [
            {"name": name, "token": one.token, "left_ms": max(0, (one.expires_at - now) // MILLISECOND)}
            for name, one in self.client.holder.held.items()
        ]
        table = None
        if self.replica is not None:
            table = [
                {
                    "name": name,
                    "holder": one.holder,
                    "token": one.token,
                    "last": one.previous_node,
                    "grants": one.grant_count,
                }
                for name, one in self.replica.leases.leases.items()
            ]
        tasks = [
            {"name": name, "state": one.state.value, "token": one.token, "counts": one.counts}
            for name, one in self.runners.items()
        ]
        return {"node": self.config.node, "holds": mine, "agreed": table, "tasks": tasks}

    def told_log(self) -> dict[str, Any]:
        """The last commands of the log, where this node votes, and what this node saw change."""
        applied = (
            []
            if self.replica is None
            else [
                {"index": index, "command": dict(command), "result": result}
                for index, command, result in self.replica.applied
            ]
        )
        return {"node": self.config.node, "applied": applied, "changes": list(self.history)}


def state_machines(table: Any) -> dict[str, Any]:
    """The machines beside the leases."""
    return {
        "tasks": RunLog(table),
        "rules": ConfigStore(table),
        "members": Roster(),
        "shares": QuotaTable(table),
    }


def epoch_of(group: str) -> int:
    """0 where there is none."""
    first = group.partition(".")[0]
    return int(first) if first.isdigit() else 0
