"""The leader's view of one member's log, like etcd's tracker: `nextIndex` and `matchIndex` of the Raft paper."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime


@dataclass(slots=True)
class PeerProgress:
    """The replication progress of one member.

    While `probing`, the leader does not know up to which entry the member's log matches its own, and sends one empty
    AppendEntries at a time until one is accepted. Afterwards it pipelines entries without waiting for each response.
    """

    next_index: int  # the next entry to send
    match_index: int = 0  # the last entry that the member has acknowledged as durable
    match_round: int = 0  # the heartbeat round in which the member acknowledged `match_index`
    acknowledged_round: int = 0  # the highest heartbeat round that the member has responded to
    last_contact: datetime | None = None
    probing: bool = True
    probe_in_flight: bool = False
    snapshot_offset: int | None = None  # snapshot characters received; None if no transfer is active

    def record_contact(self, now: datetime, heartbeat_round: int) -> None:
        """Record a response to a heartbeat round; responses may arrive out of order."""
        self.last_contact = now
        self.acknowledged_round = max(self.acknowledged_round, heartbeat_round)

    def record_match(self, index: int, heartbeat_round: int) -> bool:
        """Record that AppendEntries was accepted up to `index`; return whether `match_index` advanced."""
        self.probing = self.probe_in_flight = False
        advanced = index > self.match_index
        if advanced:
            self.match_index, self.match_round = index, heartbeat_round
        self.next_index = max(self.next_index, self.match_index + 1)
        return advanced

    def record_rejection(self, hint: int) -> None:
        """Probe again from an earlier entry: at most `hint + 1`, but not before the entry after `match_index`."""
        self.probing, self.probe_in_flight, self.snapshot_offset = True, False, None
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, hint + 1))

    def record_installed_snapshot(self, index: int, heartbeat_round: int) -> None:
        """Record that the member has installed the snapshot at `index`."""
        self.match_index = max(self.match_index, index)
        self.match_round = heartbeat_round
        self.next_index = self.match_index + 1
        self.snapshot_offset = None
        self.probing, self.probe_in_flight = True, False
