"""Relays messages of a successor process through its predecessor until the node's address is handed over.

A successor follows documents before it can bind the node's address. It listens on a port of its own, announces the port
to the predecessor, and sends its messages through it. The predecessor forwards messages to and from the successor.
"""

from __future__ import annotations

import logging
from datetime import datetime

from marlstep.cluster import wire
from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import MessageSender
from marlstep.cluster.transport import ClusterTransport
from marlstep.consensus.replica import node_of
from marlstep.leases.messages import RelayAnnouncement
from marlstep.units import MILLISECOND

log = logging.getLogger(__name__)

ANNOUNCEMENT_INTERVAL = 300 * MILLISECOND


class SuccessorRelay:
    """The predecessor's side of the relay."""

    def __init__(self, context: NodeContext) -> None:
        """Initialize the relay with no known successor."""
        self._context = context
        self._successor, self._port = "", 0

    @property
    def has_successor(self) -> bool:
        """Whether a successor process of this node has announced itself."""
        return bool(self._successor)

    def relay(self, envelope: wire.Envelope, transport: ClusterTransport) -> bool:
        """Handle an announcement or forward a message of the successor; return whether the message was either."""
        if isinstance(envelope.message, RelayAnnouncement):
            self._handle_announcement(envelope.sender, envelope.message, transport)
            return True
        if not self._successor or self._context.process.relay_port is not None:
            return False
        if envelope.to == self._successor:
            transport.send(self._successor, wire.write_envelope(envelope))
            return True
        node = node_of(envelope.to)
        if envelope.sender == self._successor and node != self._context.config.node:
            transport.send(node, wire.write_envelope(envelope))
            return True
        return False

    def _handle_announcement(
        self, sender: str, announcement: RelayAnnouncement, transport: ClusterTransport
    ) -> None:
        successor, port = announcement.holder, announcement.port
        is_own = node_of(successor) == self._context.config.node and successor == sender
        if not is_own or (successor, port) == (self._successor, self._port):
            return
        log.info("fleet: relaying for successor process=%s port=%d", successor, port)
        transport.remove_address(self._successor)
        self._successor, self._port = successor, port
        transport.set_address(successor, (self._context.config.listen[0], port))


class RelayAnnouncer:
    """The successor's side of the relay: announces its port repeatedly until it has bound the node's address."""

    def __init__(self, context: NodeContext, sender: MessageSender) -> None:
        """Initialize the announcer with an announcement due immediately."""
        self._context, self._sender = context, sender
        self._next_at = context.steady.now()

    def tick(self, now: datetime) -> None:
        """Send an announcement if one is due."""
        port = self._context.process.relay_port
        if port is None or now < self._next_at:
            return
        self._next_at = now + ANNOUNCEMENT_INTERVAL
        name = self._context.process_name
        self._sender.send(name, self._context.config.node, RelayAnnouncement(name, port))

    def next_due(self) -> datetime | None:
        """Return when the next announcement is due, or None if none is needed."""
        return None if self._context.process.relay_port is None else self._next_at
