"""What a simulated node has of its own: a clock that runs fast or slow, and a disk that keeps what was synced."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.consensus.log import PersistentState
from marlstep.consensus.raft import Ready
from marlstep.units import EPOCH, span, span_us

START = EPOCH + timedelta(days=20_000)


@dataclass(slots=True)
class SimulatedClock:
    """A clock whose time is a linear function of simulated time.

    Attributes:
        rate: How many seconds it shows in a second.
        offset_us: What it shows at simulated time 0, in microseconds after `START`.
    """

    rate: float
    offset_us: int

    def local(self, true_us: int) -> datetime:
        """Return what the clock shows at a simulated time."""
        return START + span(self.offset_us + round(true_us * self.rate))

    def true_at(self, local: datetime) -> int:
        """Return the first simulated time, in microseconds, at which the clock shows at least `local`."""
        return int(-(-(span_us(local - START) - self.offset_us) // self.rate)) + 1


@dataclass(slots=True)
class SimulatedDisk:
    """The synced state of one voter, which survives a crash.

    Attributes:
        identity: The voter that it belongs to, as the group knows it.
        saved: Its term, vote, snapshot and log.
        copied: It was restored from a copy, so the voter may have forgotten what it promised.
    """

    identity: str
    saved: PersistentState
    copied: bool = False

    def copy(self) -> SimulatedDisk:
        """Return a copy that later writes don't change."""
        saved = self.saved
        state = PersistentState(saved.term, saved.voted_for, saved.snapshot, list(saved.entries))
        return SimulatedDisk(self.identity, state, self.copied)

    def write(self, ready: Ready) -> None:
        """Apply a batch of writes as a store does: the vote, a snapshot, and entries in place of conflicting ones."""
        saved = self.saved
        saved.term, saved.voted_for = ready.term, ready.voted_for
        if ready.snapshot is not None:
            saved.snapshot = ready.snapshot
            if ready.replaces_log:
                saved.entries = []
            saved.entries = [entry for entry in saved.entries if entry.index > ready.snapshot.index]
        if ready.entries:
            first = ready.entries[0].index
            saved.entries = [entry for entry in saved.entries if entry.index < first]
            saved.entries += [entry for entry in ready.entries if entry.index > saved.snapshot.index]
