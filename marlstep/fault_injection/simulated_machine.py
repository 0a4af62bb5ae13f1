"""The clock and the disk of a simulated node: the clock runs fast or slow, and the disk keeps what was synced."""

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
        rate: How many seconds it advances in a second of simulated time.
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
        identity: The identity in the group of the voter that it belongs to.
        saved: The term, vote, snapshot and log of the voter.
        copied: Whether it was restored from an old copy, so that votes and entries of the voter may be missing.
    """

    identity: str
    saved: PersistentState
    copied: bool = False

    def copy(self) -> SimulatedDisk:
        """Return a copy that is independent of later writes."""
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
