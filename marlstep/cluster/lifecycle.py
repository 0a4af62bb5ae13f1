"""Start, hand-over and shutdown of a node's part in the cluster.

Of a node's processes only the one that has the node's address takes part. A successor takes the address once its
predecessor has drained: open runs have ended, leases are given back, and leadership went to another voter.
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

ADDRESS_RETRY_DELAY = 30 * MILLISECOND  # while another process of this node has the address
TRANSFER_INTERVAL = 200 * MILLISECOND  # between two offers of leadership
DRAIN_TIMEOUT = 1_500 * MILLISECOND  # for open runs to end, and for leases to be taken back
DRAIN_CHECK_INTERVAL = 20 * MILLISECOND


class Lifecycle:
    """Takes the node's address and gives it back."""

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
        """`follows_documents`: a successor needs the cluster's documents before it has the address."""
        self._context, self._turns, self._router, self._relay = context, turns, router, relay
        self._replica_driver, self._leases, self._tasks = replica_driver, leases, tasks
        self._membership, self._follows_documents = membership, follows_documents
        self._opening: asyncio.Task[None] | None = None
        self._opening_datagrams: asyncio.Task[None] | None = None
        self._closing: asyncio.Task[None] | None = None
        self._next_transfer_at = context.steady.now()

    # Start.

    def open(self) -> None:
        """Begin to take part, once the node's address is free."""
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
        """Open the datagram endpoint; a predecessor may have it a moment longer than the stream address."""
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
        """Follow the documents already, by way of the process that has the address.

        Without documents to act on this process would not be healthy, and the platform waits for that before it
        stops the predecessor. To the group this is a process like any other; only its messages are relayed.
        """
        config = self._context.config
        try:
            port = await self._router.transport.listen_on_free_port(config.listen[0])
        except OSError as error:
            log.warning("fleet: no free port to follow documents at error=%s", error)
            return
        self._router.set_address(config.node, config.listen)
        self._context.process.relay_port = port
        self._context.process.is_open = True
        self._leases.update_wanted()
        self._turns.schedule()

    # Draining.

    @property
    def is_draining(self) -> bool:
        """Whether this process was told to leave, and still takes part."""
        process = self._context.process
        return process.drain_deadline is not None and not process.is_closed

    def drain(self) -> None:
        """Give back the leases and leadership, once open runs have ended."""
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
        """Go on draining, where this process drains."""
        deadline = self._context.process.drain_deadline
        if deadline is not None:
            self._continue_draining(now, deadline)

    def _continue_draining(self, now: datetime, deadline: datetime) -> None:
        busy_leases = self._tasks.busy_leases()
        self._leases.release(now, busy_leases)
        leads_others = self._replica_driver.leads_others
        if not self._context.capabilities.transfers_leases and not busy_leases:
            self._leave()  # nobody can be reached who could take anything
            return
        # Leadership goes last: a new leader first hears all nodes, and leases given back would wait for that.
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
        """Let another process of this node take the address and the store from now on."""
        process = self._context.process
        if process.is_closed:
            return
        log.info("fleet: left cluster=%s process=%s", self._context.config.name, self._context.process_id)
        if self._membership is not None and not self._relay.has_successor:
            self._membership.leave()
        process.is_closed = True
        if process.relay_port is not None:
            self._cancel_opening()  # it would still take the address
        self._closing = asyncio.get_running_loop().create_task(self._release_resources())

    # Shutdown.

    async def close(self) -> None:
        """Release the address, the connections, the store and its thread."""
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
