"""Exchange of idempotency keys between two processes of a node: snapshots, claims and unknown outcomes.

Among overlapping processes of a node a request with a key runs at most once, because one process has authority over
each key. While a predecessor is connected, its table is authoritative, and the successor claims a key from it before
it enqueues a request. Each process sends every change of a key before the affected run begins. After a predecessor is
lost, requests with keys that are unknown here fail for as long as clients may retry requests that it ran.
Retries of known requests get the recorded result, or fail.

Keys do not outlive the last process of a node, because they are not stored elsewhere. After a crash of the sole
process the next one starts with an empty table and rejects nothing, so a request that ran before the crash may run
again.

The functions here have no side effects.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterator
from datetime import datetime, timedelta

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.hot_restart.messages import KeyStatus, Message, SnapshotComplete

MAX_KEYS_PER_TICK = 64  # snapshot keys sent in one event loop iteration


class KeyAuthority(enum.Enum):
    """The process that decides whether a request with an idempotency key may run here."""

    THIS_PROCESS = "this process"
    PREDECESSOR = "predecessor"
    NOBODY = "nobody"  # a process that can't be asked may have run the request: it fails


class PredecessorEnd(enum.Enum):
    """How the predecessor ended; the values appear in logs."""

    HANDOVER_COMPLETE = "handover_complete"  # it sent its complete state
    CONNECTION_LOST = "connection_lost"  # it was killed, or its messages were corrupt
    UNREACHABLE = "unreachable"  # its socket exists, but nothing answered


def key_authority(
    *, predecessor_connected: bool, unknown_until: datetime | None, now: datetime
) -> KeyAuthority:
    """Return which process decides whether a request with an idempotency key may run.

    Rule: the predecessor while one is connected, otherwise this process. Exception: after a predecessor was lost or did
    not answer, nobody decides until `unknown_until`, because that process may have run the request without reporting
    it, and the client may retry it until then.

    Args:
        predecessor_connected: whether an older process of this node is connected and has not ended.
        unknown_until: end of the period in which clients may retry requests that a lost process ran; None if no
            process was lost.
        now: the time of the decision.
    """
    may_have_run_elsewhere = unknown_until is not None and now < unknown_until
    if may_have_run_elsewhere:
        return KeyAuthority.NOBODY
    return KeyAuthority.PREDECESSOR if predecessor_connected else KeyAuthority.THIS_PROCESS


def result_of_open_claims(end: PredecessorEnd) -> ClaimResult:
    """Return the result of claims that the predecessor did not respond to before its end.

    Rule: after a complete hot restart they are granted, because this process then knows all keys of the predecessor.
    Exception: after any other end it is unknown whether the request ran there, so it does not run here.
    """
    return ClaimResult.GRANTED if end is PredecessorEnd.HANDOVER_COMPLETE else ClaimResult.UNSURE


def outcomes_unknown_until(end: PredecessorEnd, now: datetime, retry_window: timedelta) -> datetime | None:
    """Return until when requests with unknown keys are rejected after the predecessor's end; None if none are.

    Rule: for as long as clients may retry requests that the lost process ran. Exception: after a complete hot restart
    no outcome is unknown.
    """
    return None if end is PredecessorEnd.HANDOVER_COMPLETE else now + retry_window


def is_claim_granted(known_status: KeyStatus | None, predecessor_result: ClaimResult) -> bool:
    """Return whether the successor may run the request whose key it claims.

    Rule: the key is unknown here, and the predecessor of this process, if there is one, has granted the claim.

    Args:
        known_status: the status of the key at this process; None if the key is unknown.
        predecessor_result: the predecessor's decision; GRANTED if there is no predecessor.
    """
    return known_status is None and predecessor_result is ClaimResult.GRANTED


class OpenClaims:
    """Claims sent to the predecessor that await a response."""

    def __init__(self) -> None:
        """Initialize the table with no open claims."""
        self._callbacks: dict[int, ClaimCallback] = {}
        self._last_number = 0

    def add(self, on_decided: ClaimCallback) -> int:
        """Register a claim and return the number to send it with.

        Args:
            on_decided: called once with the result of the claim.
        """
        self._last_number += 1
        self._callbacks[self._last_number] = on_decided
        return self._last_number

    def decide(self, number: int, granted: bool) -> None:
        """Report a response to the claim with the given number; ignore it if no such claim is open."""
        on_decided = self._callbacks.pop(number, None)
        if on_decided is not None:
            on_decided(ClaimResult.GRANTED if granted else ClaimResult.KNOWN)

    def decide_all(self, result: ClaimResult) -> None:
        """Report the same result to all open claims, which will get no response."""
        callbacks, self._callbacks = self._callbacks, {}
        for on_decided in callbacks.values():
            on_decided(result)


class KeySnapshot:
    """The keys that were known when the successor connected, to be sent to it in batches.

    Later changes of keys are sent at once, in parallel with the snapshot.
    """

    def __init__(self, statuses: Iterator[KeyStatus]) -> None:
        """Initialize the snapshot.

        Args:
            statuses: all keys known now.
        """
        self._statuses = statuses
        self.complete = False

    def next_batch(self) -> Iterator[Message]:
        """Yield the messages of one tick, bounded to keep event loop iterations short; SnapshotComplete is the last."""
        if self.complete:
            return
        sent = 0
        for status in itertools.islice(self._statuses, MAX_KEYS_PER_TICK):
            sent += 1
            yield status
        if sent < MAX_KEYS_PER_TICK:
            self.complete = True
            yield SnapshotComplete()
