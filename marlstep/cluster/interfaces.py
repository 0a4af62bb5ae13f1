"""Narrow protocols between the parts of a cluster node, so that no part depends on the whole node."""

from __future__ import annotations

import enum
from typing import Protocol

from marlstep.cluster.wire import ExchangeMessage
from marlstep.consensus.replica import Replica
from marlstep.consensus.replica_messages import Message
from marlstep.leases.messages import RequestCounts, ServerRecovered
from marlstep.net.eventloop import Address
from marlstep.replicated_config.messages import FetchChunk


class Step(enum.Enum):
    """A point in the node's work at which a fault injection test may stop or kill the process."""

    STORE_SAVING = "storing"  # a write is about to be passed to the store
    STORE_SAVED = "stored"
    LEASE_GAINED = "granted"
    RUN_BEGUN = "begun"  # the log contains the start of a task's run
    ACTION_STARTING = "acting"
    RUN_ENDING = "ending"
    REQUEST_STARTING = "leaving"  # a task's request is about to be sent to its server
    CHUNK_UPLOADING = "uploading"
    VERSION_PROPOSING = "put"
    VERSION_ACKNOWLEDGED = "said"
    VERSION_ACTIVATED = "following"


class StepObserver(Protocol):
    """Is notified of each step when the node reaches it."""

    def reached(self, step: Step) -> None:
        """Handle the step. The node continues when this returns."""


class IgnoreSteps:
    """The observer used outside of tests, which does nothing."""

    def reached(self, step: Step) -> None:
        """Do nothing."""


class TurnRequester(Protocol):
    """Schedules a turn of the node."""

    def schedule(self) -> None:
        """Request a turn in the next iteration of the event loop."""


class MessageSender(Protocol):
    """Sends messages to replicas, processes and nodes, including those of this node."""

    def send(self, sender: str, recipient: str, message: Message) -> None:
        """Send a message once; delivery is not guaranteed."""


class LeaderRequester(Protocol):
    """Sends requests to the node that is presumed to be the leader."""

    def request_leader(self, message: FetchChunk) -> None:
        """Send a request. Its response arrives as a separate message."""


class RecoveryBroadcaster(Protocol):
    """Notifies all other nodes that a server has recovered."""

    def broadcast(self, message: ServerRecovered) -> None:
        """Send a message to each other node once, without retry."""


class ExchangeSender(Protocol):
    """The part of the stream transport that membership uses."""

    def send_exchange(self, peer: str, message: ExchangeMessage) -> None:
        """Send a state exchange to a node, or to a peer registered by `set_address`."""

    def set_address(self, peer: str, address: Address) -> None:
        """Set the address of a peer."""

    def record_drop(self, reason: str, detail: str) -> None:
        """Count a dropped message, and log it at a bounded rate."""


class ReplicaHolder(Protocol):
    """Owns the Raft replica of this node, which exists while the node is a voter and its store is open."""

    @property
    def replica(self) -> Replica | None:
        """The running replica, or None."""


class MembershipEvents(Protocol):
    """Is notified of membership changes."""

    def capabilities_changed(self) -> None:
        """Handle a change of the capabilities of this node in its partition state."""


class MembershipEndpoint(Protocol):
    """The part of membership that the lifecycle uses."""

    async def open(self) -> None:
        """Listen for datagrams and join the cluster.

        Raises:
            OSError: the address can't be bound.
        """

    def leave(self) -> None:
        """Announce that this node leaves the cluster."""

    def close(self) -> None:
        """Release the address. Repeated calls have no effect."""


class ConfigDocuments(Protocol):
    """The part of the node that replicated documents configure."""

    def local_content(self, kind: str) -> object:
        """Return the content of the node's own configuration files for this kind of document, as JSON."""

    def check(self, kind: str, content: str) -> str:
        """Return the reason why the node can't use the content, or an empty string if it can."""

    def activate(self, kind: str, version: int, content: str) -> None:
        """Put the content in force.

        Raises:
            ValueError: the content is not a valid configuration.
        """

    def restrict(self) -> None:
        """Reduce each tenant's quota to the lowest of all versions that were in force on this node."""

    def request_counts(self) -> RequestCounts:
        """Return the numbers of requests accepted at intake, and of those: rejected, and failed or late."""

    def tenant_counts(self) -> dict[str, int]:
        """Return the number of requests accepted at intake of each tenant that has a quota."""

    def set_quota_share(self, tenant: str, share: float) -> None:
        """Set the tenant's quota on this node to a share, from 0 to 1, of the quota of all nodes."""
