"""Connects a voter's Raft replica to the clock, the store and the transport. The store runs in its own thread."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from functools import partial

from marlstep.cluster import wire
from marlstep.cluster.context import NodeContext
from marlstep.cluster.group_identity import GroupChange, GroupIdentity
from marlstep.cluster.interfaces import MessageSender, Step, TurnRequester
from marlstep.cluster.state_machines import state_machines
from marlstep.cluster.store import OpenedStore, ReplicaStore, StoreError, StoreRefusedError
from marlstep.consensus.raft import RaftTiming, Ready
from marlstep.consensus.replica import Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, JoinRequest, Message
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.replicated_config.messages import FetchChunk
from marlstep.units import MILLISECOND, SECOND

log = logging.getLogger(__name__)

STORE_RETRY_DELAY = 1 * SECOND  # after the store could not be opened or written
STORE_CLOSE_TIMEOUT = 1 * SECOND
JOIN_INTERVAL = 300 * MILLISECOND
# Messages that may be addressed to a node instead of a replica.
NODE_MESSAGES = (Heartbeat, CommandRequest, JoinRequest, FetchChunk)


class ReplicaDriver:
    """Owns the replica, its store and the store's thread. Does nothing on a node that is not a voter."""

    def __init__(
        self, context: NodeContext, turns: TurnRequester, sender: MessageSender, group: GroupIdentity
    ) -> None:
        """Initialize the driver with no replica; `open` creates it on a voter."""
        self._context, self._turns, self._sender, self._group = context, turns, sender, group
        self.replica: Replica | None = None
        self._store: ReplicaStore | None = None
        self._executor: ThreadPoolExecutor | None = None
        self._stored_group = ""
        self._is_saving = False
        self._next_join_at: datetime | None = None
        self._reopening: asyncio.Task[None] | None = None

    # Opening of the store and the replica.

    async def open(self) -> None:
        """Open the store and start the replica if this node is a voter; retry while the store can't be opened."""
        config = self._context.config
        if config.votes and config.store is not None:
            self._executor = ThreadPoolExecutor(1, "fleet-store")
            await self._open_store()

    async def _open_store(self) -> None:
        config = self._context.config
        assert config.store is not None
        assert self._executor is not None
        loop = asyncio.get_running_loop()
        while not self._context.process.is_closed:
            store = ReplicaStore(config.store)
            identity = f"{config.node}#{secrets.token_hex(6)}"
            failure: Exception
            try:
                opened = await loop.run_in_executor(self._executor, store.open, config.node, identity)
            except (StoreError, StoreRefusedError) as error:
                failure = error
            else:
                self._store = store
                self.start_replica(opened)
                return
            log.error(
                "fleet: store not opened, node can't vote retry_in=%s error=%s", STORE_RETRY_DELAY, failure
            )
            self._context.counts["store faults"] += 1
            await asyncio.sleep(STORE_RETRY_DELAY.total_seconds())

    def start_replica(self, opened: OpenedStore) -> None:
        """Start the replica from the content of its store."""
        self.replica = self._make_replica(opened)
        self._is_saving = False
        self._group.name = opened.group or self._group.name
        self._stored_group = opened.group
        self._save_group()
        log.info(
            "fleet: replica started identity=%s group=%s term=%d entries=%d",
            opened.identity,
            opened.group or "none",
            opened.state.term,
            self.replica.raft.log.last_index,
        )

    def _make_replica(self, opened: OpenedStore) -> Replica:
        config = self._context.config
        settings = ReplicaSettings(
            RaftTiming(config.heartbeat_interval, config.election_timeout),
            config.leases,
            config.voters,
            None if config.membership is None else config.membership.roster,
            config.replicated_config is not None and config.replicated_config.quotas_shared,
        )
        now = self._context.steady.now()
        return Replica(opened.identity, opened.state, settings, state_machines, self._context.random, now)

    # Handling of messages.

    def handle_message(self, now: datetime, envelope: wire.Envelope, message: Message) -> None:
        """Pass a message to the replica if it is addressed to it, or to its node and any voter may handle it."""
        replica = self.replica
        if replica is None or envelope.to not in (replica.identity, self._context.config.node):
            self._context.counts["not for this process"] += 1
        elif envelope.to != replica.identity and not isinstance(message, NODE_MESSAGES):
            self._context.counts["not for this voter"] += 1
        else:
            replica.step(now, envelope.sender, message)

    def handle_group_change(self, change: GroupChange) -> bool:
        """Save the new group's name; return False if the replica belongs to the old group and is discarded."""
        replica = self.replica
        if change is GroupChange.REPLACED and replica is not None and replica.raft.configuration.voters:
            self._discard_store("its group was given up for another")
            return False
        self._save_group()
        return True

    def _save_group(self) -> None:
        """Save the group's name before any entry of the group's log.

        Without the name a restarted replica could not distinguish its own group from one that replaces it.
        """
        if self._store is None or self.replica is None or self._group.name == self._stored_group:
            return
        self._stored_group = self._group.name
        self._run_in_store_thread(partial(self._store.set_group, self._group.name))

    # The turn of the node.

    def tick(self, now: datetime) -> None:
        """Run due work, send messages, save state, and ask to join if this replica is not a voter of the group."""
        replica = self.replica
        if replica is None:
            return
        if replica.next_due() <= now:
            replica.tick(now)
        self._send_immediate_messages(replica, now)
        self._save(replica)
        self._record_events(replica)
        if replica.raft.log_regressed:
            self._discard_store("the leader knows that more was durable here than the store has")
        else:
            self._request_join(replica, now)

    def next_due(self) -> datetime | None:
        """Return when the replica next needs a turn, or None if there is no replica."""
        if self.replica is None:
            return None
        due = self.replica.next_due()
        return due if self._next_join_at is None else min(due, self._next_join_at)

    def _send_immediate_messages(self, replica: Replica, now: datetime) -> None:
        for recipient, message in replica.take_immediate_messages(now):
            from_node = isinstance(message, CommandResponse | HeartbeatResponse)
            sender = self._context.config.node if from_node else replica.identity
            self._sender.send(sender, recipient, message)

    def _record_events(self, replica: Replica) -> None:
        while replica.events:
            event = replica.events.popleft()
            log.info("fleet: replica event=%r reason=%r", event.summary, event.reason)
            self._context.record_event(event.summary, event.reason)

    def _request_join(self, replica: Replica, now: datetime) -> None:
        configuration = replica.raft.configuration
        if replica.identity in configuration.members and replica.identity in configuration.voters:
            self._next_join_at = None
            return
        if self._next_join_at is not None and now < self._next_join_at:
            return
        self._next_join_at = now + JOIN_INTERVAL
        config = self._context.config
        for node in config.voters:
            if node != config.node:
                self._sender.send(replica.identity, node, JoinRequest(config.node, replica.identity))

    # Leadership transfer.

    @property
    def leads_others(self) -> bool:
        """Whether this replica leads a group that has other voters."""
        if self.replica is None:
            return False
        raft = self.replica.raft
        return raft.is_leader and len(raft.configuration.voters) > 1

    def transfer_leadership(self) -> None:
        """Transfer leadership to the voter with the longest matching log."""
        if self.replica is not None and (successor := self.replica.transfer_leadership()):
            log.info("fleet: leadership offered to=%s reason=draining", successor)
            self._turns.schedule()

    # Work in the store's thread.

    def _save(self, replica: Replica) -> None:
        """Save one batch at a time; changes that occur meanwhile are part of the next batch."""
        while not self._is_saving and (ready := replica.take_ready()) is not None:
            if not ready.needs_sync:
                self._saved(replica, ready)
                continue
            assert self._store is not None
            self._is_saving = True
            self._context.observer.reached(Step.STORE_SAVING)
            self._run_in_store_thread(partial(self._store.save, ready), partial(self._saved, replica, ready))

    def _saved(self, replica: Replica, ready: Ready) -> None:
        self._context.observer.reached(Step.STORE_SAVED)
        replica.acknowledge_durable(self._context.steady.now(), ready)
        for recipient, message in ready.messages:
            self._sender.send(replica.identity, recipient, message)

    def _run_in_store_thread(
        self, work: Callable[[], None], on_success: Callable[[], None] | None = None
    ) -> None:
        assert self._executor is not None
        future = asyncio.get_running_loop().run_in_executor(self._executor, work)
        future.add_done_callback(partial(self._store_work_done, self.replica, on_success))

    def _store_work_done(
        self,
        replica: Replica | None,
        on_success: Callable[[], None] | None,
        future: asyncio.Future[None],
    ) -> None:
        if self.replica is not replica or self._context.process.is_closed or future.cancelled():
            return
        error = future.exception()
        if error is not None:
            self._store_failed(error)
            return
        if on_success is not None:
            self._is_saving = False
            on_success()
        self._turns.schedule()

    def _store_failed(self, error: BaseException) -> None:
        """Restart from the durable state. This is safe because messages are sent only after their state is durable."""
        log.error("fleet: store failed, node does not vote until it recovers error=%s", error)
        self._context.record_event("the store failed", str(error))
        self._context.counts["store faults"] += 1
        self._reopen(set_aside=False)

    def _discard_store(self, reason: str) -> None:
        log.error("fleet: store set aside reason=%r", reason)
        self._context.record_event("the store was given up", reason)
        self._reopen(set_aside=True)

    def _reopen(self, set_aside: bool) -> None:
        store, self._store, self.replica, self._next_join_at = self._store, None, None, None
        self._reopening = asyncio.get_running_loop().create_task(self._reopen_store(store, set_aside))

    async def _reopen_store(self, store: ReplicaStore | None, set_aside: bool) -> None:
        assert self._executor is not None
        await asyncio.get_running_loop().run_in_executor(self._executor, close_store, store, set_aside)
        if not set_aside:
            await asyncio.sleep(STORE_RETRY_DELAY.total_seconds())
        await self._open_store()
        self._turns.schedule()

    # Closing of the store.

    def cancel_reopening(self) -> None:
        """Cancel the reopening of the store when the node closes."""
        if self._reopening is not None:
            self._reopening.cancel()

    async def close(self) -> None:
        """Close the store within a bounded time, and shut down its thread."""
        if self._store is not None and self._executor is not None:
            store, self._store = self._store, None
            if not await self._close_in_time(store, self._executor):
                # State that messages depend on is durable; the operating system closes the file when the process exits.
                log.error("fleet: store not closed, the disk hangs timeout=%s", STORE_CLOSE_TIMEOUT)
        self.replica = None
        if self._executor is not None:
            self._executor.shutdown(wait=False)
            self._executor = None

    async def _close_in_time(self, store: ReplicaStore, executor: ThreadPoolExecutor) -> bool:
        closing = asyncio.get_running_loop().run_in_executor(executor, store.close)
        try:
            await asyncio.wait_for(closing, STORE_CLOSE_TIMEOUT.total_seconds())
        except TimeoutError:
            return False
        return True


def close_store(store: ReplicaStore | None, set_aside: bool) -> None:
    """Close a store, and rename its file if it must not be used again. Runs in the store's thread."""
    if store is None:
        return
    store.close()
    if set_aside:
        store.set_aside()
