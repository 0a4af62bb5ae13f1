"""Start, hand-over and shutdown of a cluster node.

Only the process that has bound the node's address takes part in the cluster. A successor binds the address once its
predecessor has drained: open runs have ended, leases are released, and leadership is transferred to another voter.
"""

from __future__ import annotations

import asyncio
import logging
from datetime import datetime

from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import MembershipEndpoint
from marlstep.cluster.lease_driver import LeaseDriver
from marlstep.cluster.relay import SuccessorRelay
from marlstep.cluster.replica_driver import ReplicaDriver
from marlstep.cluster.router import MessageRouter
from marlstep.cluster.task_driver import TaskDriver
from marlstep.cluster.turns import TurnScheduler
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)

ADDRESS_RETRY_DELAY = 30 * MILLISECOND  # while another process of this node has bound the address
TRANSFER_INTERVAL = 200 * MILLISECOND  # between two attempts to transfer leadership
DRAIN_TIMEOUT = 1_500 * MILLISECOND  # for open runs to end and for leases to be released
DRAIN_CHECK_INTERVAL = 20 * MILLISECOND


class Lifecycle:
    """Opens, drains and closes the parts of the node in order."""

    def __init__(
        self,
        context: NodeContext,
        turns: TurnScheduler,
        router: MessageRouter,
        relay: SuccessorRelay,
        replica_driver: ReplicaDriver,
        leases: LeaseDriver,
        tasks: TaskDriver,
        membership: MembershipEndpoint | None,
        follows_documents: bool,
    ) -> None:
        """Initialize the lifecycle with the parts of one node.

        `follows_documents`: whether a successor needs the cluster's documents before it can bind the address.
        """
        self._context, self._turns, self._router, self._relay = context, turns, router, relay
        self._replica_driver, self._leases, self._tasks = replica_driver, leases, tasks
        self._membership, self._follows_documents = membership, follows_documents
        self._opening: asyncio.Task[None] | None = None
        self._opening_datagrams: asyncio.Task[None] | None = None
        self._closing: asyncio.Task[None] | None = None
        self._next_transfer_at = context.steady.now()

    # Opening of the node.

    def open(self) -> None:
        """Start to join the cluster, which completes once the node's address is free."""
        self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        await self._listen()
        config, process = self._context.config, self._context.process
        log.info(
            "fleet: joined cluster=%s node=%s process=%s address=%s:%d",
            config.name,
            config.node,
            self._context.process_id,
            *config.listen,
        )
        process.is_open, process.relay_port = True, None
        self._leases.update_wanted()
        if self._membership is not None:
            opening = self._open_datagrams(self._membership)
            self._opening_datagrams = asyncio.get_running_loop().create_task(opening)
        await self._replica_driver.open()
        self._turns.schedule()

    async def _listen(self) -> None:
        address, is_first_attempt = self._context.config.listen, True
        while True:
            try:
                await self._router.transport.listen(address)
            except OSError as error:
                if is_first_attempt:
                    log.info("fleet: address in use, retrying address=%s:%d error=%s", *address, error)
            else:
                return
            is_first_attempt = False
            if self._follows_documents and self._context.process.relay_port is None:
                await self._open_through_predecessor()
            await asyncio.sleep(ADDRESS_RETRY_DELAY.total_seconds())

    async def _open_datagrams(self, membership: MembershipEndpoint) -> None:
        """Open the datagram endpoint; a predecessor may release it slightly later than the stream address."""
        address, is_first_attempt = self._context.config.listen, True
        while not self._context.process.is_closed:
            try:
                await membership.open()
            except OSError as error:
                if is_first_attempt:
                    log.warning(
                        "fleet: datagram address in use, retrying address=%s:%d error=%s", *address, error
                    )
            else:
                return
            is_first_attempt = False
            await asyncio.sleep(ADDRESS_RETRY_DELAY.total_seconds())

    async def _open_through_predecessor(self) -> None:
        """Follow the documents before the address is free, with the predecessor as relay.

        Without documents this process would not be healthy, and the platform stops the predecessor only after this
        process is healthy. For the group this is a process like any other, except that its messages are relayed.
        """
        config = self._context.config
        try:
            port = await self._router.transport.listen_on_free_port(config.listen[0])
        except OSError as error:
            log.warning("fleet: no free port to receive documents through the predecessor error=%s", error)
            return
        self._router.set_address(config.node, config.listen)
        self._context.process.relay_port = port
        self._context.process.is_open = True
        self._leases.update_wanted()
        self._turns.schedule()

    # Draining of the node.

    @property
    def is_draining(self) -> bool:
        """Whether this process is draining and still takes part in the cluster."""
        process = self._context.process
        return process.drain_deadline is not None and not process.is_closed

    def drain(self) -> None:
        """Release the leases and transfer leadership once open runs have ended."""
        process = self._context.process
        if process.drain_deadline is not None or process.is_closed:
            return
        if not process.is_open:
            self._cancel_opening()
            process.is_closed = True
            return
        now = self._context.steady.now()
        process.drain_deadline = now + DRAIN_TIMEOUT
        self._tasks.drain()
        self._continue_draining(now, process.drain_deadline)
        self._turns.schedule()

    def tick(self, now: datetime) -> None:
        """Continue draining if this process drains."""
        deadline = self._context.process.drain_deadline
        if deadline is not None:
            self._continue_draining(now, deadline)

    def _continue_draining(self, now: datetime, deadline: datetime) -> None:
        busy_leases = self._tasks.busy_leases()
        self._leases.release(now, busy_leases)
        leads_others = self._replica_driver.leads_others
        if not self._context.capabilities.transfers_leases and not busy_leases:
            self._leave()  # no other node can be reached to take over
            return
        # Leadership is transferred last: a new leader grants no leases until all nodes had time to send a heartbeat,
        # and the released leases would stay free for that time.
        client = self._context.client
        is_settled = client.holder.leaving and client.is_idle
        if leads_others and is_settled and now >= self._next_transfer_at:
            self._next_transfer_at = now + TRANSFER_INTERVAL
            self._replica_driver.transfer_leadership()
        if now >= deadline or (is_settled and not leads_others):
            self._leave()
        else:
            self._context.steady.at(now + DRAIN_CHECK_INTERVAL, self._turns.schedule)

    def _leave(self) -> None:
        """Leave the cluster and release the address and the store for another process of this node."""
        process = self._context.process
        if process.is_closed:
            return
        log.info("fleet: left cluster=%s process=%s", self._context.config.name, self._context.process_id)
        if self._membership is not None and not self._relay.has_successor:
            self._membership.leave()
        process.is_closed = True
        if process.relay_port is not None:
            self._cancel_opening()  # else it would still bind the address
        self._closing = asyncio.get_running_loop().create_task(self._release_resources())

    # Shutdown of the process.

    async def close(self) -> None:
        """Close the address, the connections, the store and its thread."""
        process = self._context.process
        if not process.is_closed:
            self._cancel_opening()
            self._replica_driver.cancel_reopening()
        process.is_closed = True
        self._turns.close()
        await self._release_resources()

    def _cancel_opening(self) -> None:
        if self._opening is not None:
            self._opening.cancel()

    async def _release_resources(self) -> None:
        if self._opening_datagrams is not None:
            self._opening_datagrams.cancel()
        if self._membership is not None:
            self._membership.close()
        await self._router.transport.close()
        await self._replica_driver.close()
