"""What the state machines of a hot restart use: the other process, and the process that they belong to."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
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

    def limit_capacity(self, share: float, /) -> None:
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
        """Handle the end of a successor that was not told to leave."""

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
        """Count the other process's attempts that have not ended as ones that may have run, until that time."""


@dataclass(slots=True, frozen=True)
class LostProcessTimeouts:
    """How long the work of a lost process still matters."""

    termination: timedelta  # after which that process and its runs must have ended
    retry_window: timedelta  # in which a client may send again what that process ran

    def extended_by(self, other: LostProcessTimeouts) -> LostProcessTimeouts:
        """Return the longer of each: what ran under longer settings is not covered by shorter ones."""
        return LostProcessTimeouts(
            max(self.termination, other.termination), max(self.retry_window, other.retry_window)
        )
