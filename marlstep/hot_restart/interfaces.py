"""What the state machines of a hot restart use: the other process, their own process, and the node that it runs.

The module is imported for types alone, so that a process at work does not load it.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from typing import Protocol

from marlstep.hot_restart.messages import KeyReleased, KeyStatus, Message


class Peer(Protocol):
    """The connection to another process of the node."""

    def send_message(self, message: Message, /) -> None:
        """Send a message now; it is on its way when this returns, unless the peer does not read."""

    def require_prompt_reads(self) -> None:
        """Close the connection from now on where the peer does not read what is sent at once."""


class Host(Protocol):
    """This process, as its hot restart sees it."""

    def wants_traffic(self) -> bool:
        """Return False while an operator has quiesced the node."""

    def set_wants_traffic(self, wanted: bool, /) -> None:
        """Take over a quiesce or a resume from another process of the node."""

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Return shares of the node's capacity, 0 to 1: what is in use here, and what all in flight may come to use."""

    def limit_capacity(self, capacity_share: float, /) -> None:
        """Bound this process to a share, 0 to 1, of the node's capacity."""

    def measurements(self) -> dict[str, object]:
        """Return what the admission controller has learned, as JSON."""

    def adopt_measurements(self, measurements: dict[str, object], /) -> None:
        """Start from what the predecessor's admission controller has learned."""

    def accept_connections(self) -> None:
        """Accept connections from now on."""

    def mark_ready(self) -> None:
        """Answer health checks from now on as a process that can serve."""

    def successor_lost(self) -> None:
        """Handle the end of a successor that has not said that it drains."""

    def successor_draining(self) -> None:
        """Handle a successor that drains and has no successor of its own."""

    def key_statuses(self) -> Iterator[KeyStatus]:
        """Iterate over all idempotency keys that are known at the time of the call."""

    def find_key(self, request_class: str, idempotency_key: str, /) -> KeyStatus | None:
        """Return what is known of a key; None where a request with it may run."""

    def adopt_key(self, status: KeyStatus, /) -> None:
        """Record what another process knows of a key."""

    def release_key(self, released: KeyReleased, /) -> None:
        """Forget the other process's attempt: it never ran."""

    def mark_outcomes_unknown(self, until: datetime, /) -> None:
        """Count the other process's attempts that have not ended as ones that may have run.

        Their keys stay known until their own end, or until the given time where they have none.
        """


class NodeCallbacks(Protocol):
    """What a hot restart has the node do, beyond its core."""

    def accept_connections(self) -> None:
        """Accept connections from now on, in the place of the predecessor if there is one."""

    def successor_lost(self) -> None:
        """Start the graceful shutdown if SIGTERM has come: it was a hot restart as long as a successor served."""

    def successor_draining(self) -> None:
        """Report to the name service that the node drains, if SIGTERM has come here too."""

    def limit_capacity(self, capacity_share: float, /) -> None:
        """Bound this process to a share, 0 to 1, of the node's memory, requests and connections."""

    def connection_share(self) -> float:
        """Return the share, 0 to 1, of the node's connections that is in use here."""

    def serving_state_changed(self) -> None:
        """Report to the name service that another process was quiesced or resumed, and the node with it."""
