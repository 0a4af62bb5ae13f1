"""Routes messages: outgoing ones to their node or process, incoming ones to the part that handles them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import datetime
from typing import Any, TypeVar

from marlstep.cluster import wire
from marlstep.cluster.context import NodeContext
from marlstep.cluster.group_identity import GroupChange, GroupIdentity
from marlstep.cluster.interfaces import TurnRequester
from marlstep.cluster.relay import SuccessorRelay
from marlstep.cluster.transport import ClusterTransport
from marlstep.consensus.replica import node_of
from marlstep.consensus.replica_messages import Message
from marlstep.leases.messages import ServerRecovered
from marlstep.net.eventloop import Address
from marlstep.replicated_config.messages import FetchChunk

log = logging.getLogger(__name__)

M = TypeVar("M")
# Arguments: the time of the steady clock, the envelope, and its message.
Handler = Callable[[datetime, wire.Envelope, M], None]
GroupChangeHandler = Callable[[GroupChange], bool]  # returns whether the message is still to be handled


class MessageRouter:
    """Sends and receives envelopes, over the transport or within the process."""

    def __init__(
        self, context: NodeContext, turns: TurnRequester, group: GroupIdentity, relay: SuccessorRelay
    ) -> None:
        """Create the transport; handlers are added by `handle` before it listens."""
        self._context, self._turns, self._group, self._relay = context, turns, group, relay
        config = context.config
        self.transport = ClusterTransport(
            config.nodes, wire.stream_framing(config.key), context.steady, self.handle_frame
        )
        self._handlers: dict[type, Handler[Any]] = {}
        self._default_handler: Handler[Any] | None = None
        self._group_change_handler: GroupChangeHandler | None = None

    # Registration of handlers.

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the handler of one message type."""
        self._handlers[message_type] = handler

    def handle_others(self, handler: Handler[Message], group_change: GroupChangeHandler) -> None:
        """Register the handlers of all other messages and of changes of the group."""
        self._default_handler, self._group_change_handler = handler, group_change

    # Inbound messages.

    def handle_frame(self, body: bytes) -> None:
        """Handle the body of one frame from another node.

        Raises:
            CorruptError: the body is malformed; the caller closes the connection.
        """
        envelope = wire.read_envelope(body)
        self._context.counts["received"] += 1
        if envelope.fleet != self._context.config.name:
            detail = f"fleet={envelope.fleet[:64]!r} sender={envelope.sender[:64]!r}"
            self.record_drop("another fleet", detail)
            return
        self._receive(envelope)

    def _receive(self, envelope: wire.Envelope) -> None:
        now = self._context.steady.now()
        if not self._accepts_group(envelope) or self._relay.relay(envelope, self.transport):
            return
        handler = self._handlers.get(type(envelope.message), self._default_handler)
        if handler is not None:
            handler(now, envelope, envelope.message)
        self._turns.schedule()

    def _accepts_group(self, envelope: wire.Envelope) -> bool:
        previous = self._group.name
        change = self._group.observe(envelope.group)
        if change is GroupChange.UNCHANGED:
            return True
        if change is GroupChange.OUTDATED:
            return False
        if change is GroupChange.CONFLICT:
            detail = f"group={envelope.group} sender={envelope.sender[:64]!r} own_group={previous}"
            self.record_drop("another group", detail)
            return False
        if change is GroupChange.REPLACED:
            log.error("fleet: group replaced new=%s old=%s", envelope.group, previous)
        return self._group_change_handler is None or self._group_change_handler(change)

    # Outbound messages.

    def send(self, sender: str, recipient: str, message: Message) -> None:
        """Send a message once. One to this node is handled in the next iteration of the event loop."""
        envelope = self._envelope(sender, recipient, message)
        node, own_node = node_of(recipient), self._context.config.node
        process = self._context.process
        if process.relay_port is not None:
            self.transport.send(own_node, wire.write_envelope(envelope))  # the predecessor forwards it
        elif node == own_node:
            self._context.steady.soon(lambda: None if process.is_closed else self._receive(envelope))
        else:
            self.transport.send(node, wire.write_envelope(envelope))

    def request_leader(self, message: FetchChunk) -> None:
        """Send a request to the voter that is presumed to be the leader."""
        self.send(self._context.process_name, self._context.client.target, message)

    def send_exchange(self, peer: str, message: wire.ExchangeMessage) -> None:
        """Send a state exchange to a node, or to a peer registered by `set_address`."""
        envelope = self._envelope(self._context.process_name, peer, message)
        self.transport.send(peer, wire.write_envelope(envelope))

    def broadcast(self, message: ServerRecovered) -> None:
        """Send a message to each other node once, without retry."""
        for node in self._context.config.nodes:
            if node != self._context.config.node:
                self.send(self._context.process_name, node, message)

    def _envelope(
        self, sender: str, recipient: str, message: Message | wire.ExchangeMessage
    ) -> wire.Envelope:
        return wire.Envelope(self._context.config.name, self._group.name, sender, recipient, message)

    # Parts of the transport's interface, for users that need no more of it.

    def set_address(self, peer: str, address: Address) -> None:
        """Set the address of a peer."""
        self.transport.set_address(peer, address)

    def record_drop(self, reason: str, detail: str) -> None:
        """Count a dropped message, and log it at a bounded rate."""
        self.transport.record_drop(reason, detail)
