"""Idempotency keys between two processes of a node: which are sent, claimed, granted, and of unknown outcome.

Among the processes of a node that overlap, an effect runs at most once, because each key has one process that decides
on it. While a predecessor is connected its table counts, and the successor claims a key there before it enqueues a
request. Each process sends every change of a key before the run concerned begins. After a predecessor was lost,
requests with keys that are not known here are rejected for as long as a retry of what it ran may come; repeats of known
work get its result, or fail.

Keys do not outlive the last process of a node: they are stored nowhere else. After a crash of the sole process the next
one starts with an empty table and rejects nothing, so a request that ran before the crash may run again.

All decisions here are pure.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterator
from datetime import datetime, timedelta

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.hot_restart.messages import KeyStatus, Message, SnapshotComplete

MAX_KEYS_PER_TICK = 64  # sent of a snapshot in one pass of the event loop


class KeyAuthority(enum.Enum):
    """Who decides whether a request with an idempotency key may run here."""

    THIS_PROCESS = "this process"
    PREDECESSOR = "predecessor"
    NOBODY = "nobody"  # it may have run in a process that can't be asked: the request is rejected


class PredecessorEnd(enum.Enum):
    """How the predecessor ended, as logs have it."""

    HANDOVER_COMPLETE = "handover_complete"  # it has sent all that it knew
    CONNECTION_LOST = "connection_lost"  # it was killed, or what it sent can't be read
    UNREACHABLE = "unreachable"  # its socket listens, and nothing answered there


def key_authority(
    *, predecessor_connected: bool, unknown_until: datetime | None, now: datetime
) -> KeyAuthority:
    """Decide who may let a request with an idempotency key run.

    Rule: the predecessor while one is connected, otherwise this process. Exception: after a predecessor that was lost
    or did not answer nobody decides until `unknown_until`, since that process may have run the request and
    sent no word of it, and its client may send it again until then.

    Args:
        predecessor_connected: an older process of this node is connected and has not ended.
        unknown_until: end of the time in which a retry of what a lost process ran may come; None where no
            process was lost.
        now: the time of the decision.
    """
    may_have_run_elsewhere = unknown_until is not None and now < unknown_until
    if may_have_run_elsewhere:
        return KeyAuthority.NOBODY
    return KeyAuthority.PREDECESSOR if predecessor_connected else KeyAuthority.THIS_PROCESS


def result_of_open_claims(end: PredecessorEnd) -> ClaimResult:
    """Decide the claims that a predecessor left without a response.

    Rule: after a complete hot restart they are granted, since all that the predecessor ran is known here by then.
    Exception: after any other end nobody can say whether the request ran there, and it does not run here.
    """
    return ClaimResult.GRANTED if end is PredecessorEnd.HANDOVER_COMPLETE else ClaimResult.UNSURE


def outcomes_unknown_until(end: PredecessorEnd, now: datetime, retry_window: timedelta) -> datetime | None:
    """Return until when requests with unknown keys are rejected after the predecessor's end; None where none are.

    Rule: for as long as a client may send again what the lost process ran. Exception: after a complete hot restart
    nothing is unknown.
    """
    return None if end is PredecessorEnd.HANDOVER_COMPLETE else now + retry_window


def is_claim_granted(known_status: KeyStatus | None, predecessor_result: ClaimResult) -> bool:
    """Decide whether the successor may run the request whose key it claims.

    Rule: if the key is not known here and the predecessor of this process, if there is one, has granted the claim.
    """
    return known_status is None and predecessor_result is ClaimResult.GRANTED


class OpenClaims:
    """Claims that were sent to the predecessor and have no response yet."""

    def __init__(self) -> None:
        """Begin without claims."""
        self._callbacks: dict[int, ClaimCallback] = {}
        self._last_number = 0

    def add(self, on_decided: ClaimCallback) -> int:
        """Return the number under which the claim is to be sent."""
        self._last_number += 1
        self._callbacks[self._last_number] = on_decided
        return self._last_number

    def decide(self, number: int, granted: bool) -> None:
        """Hand a response to whoever claimed; ignored for a number that is not open."""
        on_decided = self._callbacks.pop(number, None)
        if on_decided is not None:
            on_decided(ClaimResult.GRANTED if granted else ClaimResult.KNOWN)

    def decide_all(self, result: ClaimResult) -> None:
        """Decide all open claims: no response will come."""
        callbacks, self._callbacks = self._callbacks, {}
        for on_decided in callbacks.values():
            on_decided(result)


class KeySnapshot:
    """The keys that were known when the successor connected, on their way to it in batches.

    Changes since then are sent at once, beside the snapshot.
    """

    def __init__(self, statuses: Iterator[KeyStatus]) -> None:
        """Take the keys as they are now."""
        self._statuses = statuses
        self.complete = False

    def next_batch(self) -> Iterator[Message]:
        """Give the messages of one tick, so that no pass of the event loop is long; the last one ends the snapshot."""
        if self.complete:
            return
        sent = 0
        for status in itertools.islice(self._statuses, MAX_KEYS_PER_TICK):
            sent += 1
            yield status
        if sent < MAX_KEYS_PER_TICK:
            self.complete = True
            yield SnapshotComplete()
