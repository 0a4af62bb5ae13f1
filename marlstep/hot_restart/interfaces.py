"""Interfaces that the hot restart state machines use: the peer process, this process and the node that it runs.

The module is imported for type checking only, so a running process does not load it.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from typing import Protocol

from marlstep.hot_restart.messages import KeyReleased, KeyStatus, Message


class Peer(Protocol):
    """A connection to another process of the node."""

    def send_message(self, message: Message, /) -> None:
        """Send a message before returning; it is buffered only if the peer does not read fast enough."""

    def require_prompt_reads(self) -> None:
        """Stop buffering: from now on, close the connection if a message can't be sent at once."""


class Host(Protocol):
    """The parts of this process that its hot restart reads and controls."""

    def wants_traffic(self) -> bool:
        """Return whether the node wants traffic: False while an operator has quiesced it."""

    def set_wants_traffic(self, wanted: bool, /) -> None:
        """Apply a quiesce or resume from another process of the node."""

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return two shares, 0 to 1, of the node's capacity: in use now, and the most that all in flight may use."""

    def limit_capacity(self, capacity_share: float, /) -> None:
        """Limit this process to a share, 0 to 1, of the node's capacity."""

    def measurements(self) -> dict[str, object]:
        """Return the admission controller's measurements as a JSON object."""

    def adopt_measurements(self, measurements: dict[str, object], /) -> None:
        """Use the measurements of the predecessor's admission controller as the starting values here."""

    def accept_connections(self) -> None:
        """Start to accept connections."""

    def mark_ready(self) -> None:
        """Start to answer health checks as a process that can serve."""

    def successor_lost(self) -> None:
        """Handle the loss of a successor that had not announced that it drains."""

    def successor_serves(self) -> None:
        """Handle a successor that accepts connections."""

    def successor_draining(self) -> None:
        """Handle a successor that drains without a successor of its own."""

    def key_statuses(self) -> Iterator[KeyStatus]:
        """Iterate over all idempotency keys known at the time of the call."""

    def find_key(self, request_class: str, name: str, request_label: str, /) -> KeyStatus | None:
        """Return the status of a known key; None if a request with the key and the label may run."""

    def adopt_key(self, status: KeyStatus, /) -> None:
        """Record the status of a key at another process."""

    def release_key(self, released: KeyReleased, /) -> None:
        """Remove the key of another process's attempt, which never ran."""

    def mark_outcomes_unknown(self, until: datetime, /) -> None:
        """Treat the other process's unfinished attempts as attempts that may have run.

        Their keys are kept until their own expiry, or until the given time if they have none.
        """


class NodeCallbacks(Protocol):
    """The actions and values that a hot restart needs from the node, apart from its core."""

    def accept_connections(self) -> None:
        """Start to accept connections, in place of the predecessor if there is one."""

    def successor_lost(self) -> None:
        """Start the graceful shutdown if SIGTERM was received: without a successor it is no longer a hot restart."""

    def successor_serves(self) -> None:
        """Handle a successor that accepts connections."""

    def successor_draining(self) -> None:
        """Report to the name service that the node drains, if this process received SIGTERM too."""

    def limit_capacity(self, capacity_share: float, /) -> None:
        """Limit this process to a share, 0 to 1, of the node's memory, requests and connections."""

    def connection_share(self) -> float:
        """Return the share, 0 to 1, of the node's connections that this process uses."""

    def serving_state_changed(self) -> None:
        """Report to the name service that the node was quiesced or resumed through another process."""
