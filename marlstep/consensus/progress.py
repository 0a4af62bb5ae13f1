"""The leader's view of one member's log, as etcd's tracker keeps it: `nextIndex` and `matchIndex` of figure 2."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime


@dataclass(slots=True)
class PeerProgress:
    """How far a member's log is known to match, and what is on its way to it.

    While `probing`, the leader does not know where the member's log matches its own: it sends one empty AppendEntries
    at a time until one is accepted. Afterwards it sends entries without waiting for each response.
    """

    next_index: int  # the next entry to send
    match_index: int = 0  # the last entry that the member has acknowledged as durable
    match_round: int = 0  # the heartbeat round in which it acknowledged that entry
    acknowledged_round: int = 0  # the highest heartbeat round that it has answered
    last_contact: datetime | None = None
    probing: bool = True
    probe_in_flight: bool = False
    snapshot_offset: int | None = None  # characters of the snapshot that it has; None outside a transfer

    def record_contact(self, now: datetime, heartbeat_round: int) -> None:
        """Note a response to that heartbeat round; responses may overtake each other."""
        self.last_contact = now
        self.acknowledged_round = max(self.acknowledged_round, heartbeat_round)

    def record_match(self, index: int, heartbeat_round: int) -> bool:
        """Note that AppendEntries was accepted up to `index`; return whether `match_index` advanced."""
        self.probing = self.probe_in_flight = False
        advanced = index > self.match_index
        if advanced:
            self.match_index, self.match_round = index, heartbeat_round
        self.next_index = max(self.next_index, self.match_index + 1)
        return advanced

    def record_rejection(self, hint: int) -> None:
        """Probe from further back, at the entry behind `hint` at the latest."""
        self.probing, self.probe_in_flight, self.snapshot_offset = True, False, None
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint + 1))

    def record_installed_snapshot(self, index: int, heartbeat_round: int) -> None:
        """Note that the member's log now starts with the snapshot at `index`."""
        self.match_index = max(self.match_index, index)
        self.match_round = heartbeat_round
        self.next_index = self.match_index + 1
        self.snapshot_offset = None
        self.probing, self.probe_in_flight = True, False
