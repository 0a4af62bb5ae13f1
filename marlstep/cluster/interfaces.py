"""What the parts of a cluster node ask of each other: narrow protocols, so that no part knows the whole node."""

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
    """A point in the node's work at which a test rig may stop or kill the process."""

    STORE_SAVING = "storing"  # a save is about to be handed to the store
    STORE_SAVED = "stored"
    LEASE_GAINED = "granted"
    RUN_BEGUN = "begun"  # the log has the intent to run a task
    ACTION_STARTING = "acting"
    RUN_ENDING = "ending"
    REQUEST_STARTING = "leaving"  # a task's request goes to its server
    CHUNK_UPLOADING = "uploading"
    VERSION_PROPOSING = "put"
    VERSION_ACKNOWLEDGED = "said"
    VERSION_ACTIVATED = "following"


class StepObserver(Protocol):
    """Is notified of each step at the moment it is reached."""

    def reached(self, step: Step) -> None:
        """Handle the step before the node goes on."""


class IgnoreSteps:
    """The observer of a node outside of tests."""

    def reached(self, step: Step) -> None:
        """Do nothing."""


class TurnRequester(Protocol):
    """Runs the node's turn once more, soon."""

    def schedule(self) -> None:
        """Ask for a turn in the next iteration of the event loop."""


class MessageSender(Protocol):
    """Sends a message to a replica, a process or a node, wherever that is."""

    def send(self, sender: str, recipient: str, message: Message) -> None:
        """Send once, without any guarantee of delivery."""


class LeaderRequester(Protocol):
    """Reaches the node that is taken for the leader."""

    def request_leader(self, message: FetchChunk) -> None:
        """Send a request whose response comes as a message of its own."""


class RecoveryBroadcaster(Protocol):
    """Notifies all other nodes that a server has recovered."""

    def broadcast(self, message: ServerRecovered) -> None:
        """Send to each other node once; a lost message is not repeated."""


class ExchangeSender(Protocol):
    """The stream transport, as far as membership uses it."""

    def send_exchange(self, peer: str, message: ExchangeMessage) -> None:
        """Send a state exchange to a node, or to a peer that was named by `set_address`."""

    def set_address(self, peer: str, address: Address) -> None:
        """Set where a peer is to be reached."""

    def record_drop(self, reason: str, detail: str) -> None:
        """Count a dropped message; log it at a bounded rate."""


class ReplicaHolder(Protocol):
    """Has the Raft replica of this node, where the node votes and its store is open."""

    @property
    def replica(self) -> Replica | None:
        """The running replica, or None."""


class MembershipEvents(Protocol):
    """Is notified by membership."""

    def capabilities_changed(self) -> None:
        """Handle a change of what this node may do in its partition state."""


class MembershipEndpoint(Protocol):
    """Membership, as far as the lifecycle opens and closes it."""

    async def open(self) -> None:
        """Listen for datagrams and join.

        Raises:
            OSError: the address can't be taken.
        """

    def leave(self) -> None:
        """Announce that this node leaves."""

    def close(self) -> None:
        """Release the address; may be called again."""


class ConfigDocuments(Protocol):
    """The node, as far as replicated documents configure it."""

    def local_content(self, kind: str) -> object:
        """Return what the node's own files say, as JSON."""

    def check(self, kind: str, content: str) -> str:
        """Return why the node can't take that content; empty where it can."""

    def activate(self, kind: str, version: int, content: str) -> None:
        """Act on that content from now on.

        Raises:
            ValueError: the content can't be taken over.
        """

    def restrict(self) -> None:
        """Fall back to the least allowance of any version that was in force here."""

    def request_counts(self) -> RequestCounts:
        """Return how many requests were read, rejected, and failed or late."""

    def tenant_counts(self) -> dict[str, int]:
        """Return how many requests were read of each tenant that has an allowance."""

    def set_quota_share(self, tenant: str, share: float) -> None:
        """Set the tenant's allowance on this node to that part of the whole, from 0 to 1."""
