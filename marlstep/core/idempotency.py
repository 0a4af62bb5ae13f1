"""Idempotency keys known to this node: repeats of keyed work, and effects that must not happen twice.

Entries are *dropped*: when the work never ran, when a request that keeps no key ends, or once they are past their
time. Three rules hold for every entry.

- Whether a key is known is asked for the moment at which a request arrived, not for that at which it is read. An
  entry is therefore kept beyond its window for as long as a request may lie unread and still be run.
- One key names one body. Where the wire promises that all attempts of a piece of work carry the same body, frontends
  give its digest, and a request whose digest differs is no attempt of that work.
- While two processes form one node, an entry may stand for a request of the other process (`is_remote`). What is
  known here of an own request counts for more than what the other process says.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from marlstep.units import ZERO

DIGEST_BYTES = 16
DIGEST_MARK = "~"  # between a request's id and the digest in a label


class IdempotencyKey(NamedTuple):
    """What names a piece of work: attempts with the same key are attempts of the same work."""

    request_class: str
    name: str  # given by the client


def body_digest(body: bytes) -> str:
    """Return the digest by which bodies of the same work are compared, in hexadecimal digits."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def encode_label(request_id: str, digest: str) -> str:
    """Return the label under which the node's other processes know a request.

    It takes the place of an id in their messages, so that versions which know no digests still match it.
    """
    return f"{request_id}{DIGEST_MARK}{digest}" if digest else request_id


def decode_label(label: str) -> tuple[str, str]:
    """Split a label into the request's id and its body digest; the digest is empty where it has none."""
    request_id, mark, digest = label.rpartition(DIGEST_MARK)
    return (request_id, digest) if mark and len(digest) == 2 * DIGEST_BYTES else (label, "")


@dataclass(slots=True)
class KeyRecord:
    """What is known of one piece of work.

    Attributes:
        request_id: the request that stands for the work.
        expires_at: a request that arrives then or later is new work; None as long as that request is in flight.
        result: what repeats share; None where there is nothing to share.
        finished: whether that request has ended.
        is_remote: whether it is a request of another process of the node.
        digest: of the body; empty where it is not known.
        droppable_at: when the entry may be dropped. It is later than `expires_at`, as requests that arrived before
            that may still be unread.
    """

    request_id: str
    expires_at: datetime | None = None
    result: bytes | None = None
    finished: bool = False
    is_remote: bool = False
    digest: str = ""
    droppable_at: datetime | None = None

    def matches_body(self, digest: str) -> bool:
        """Check whether a request with this body digest may be an attempt of the same work."""
        return not (self.digest and digest) or self.digest == digest

    def covers(self, arrived_at: datetime) -> bool:
        """Decide whether a request that arrived then repeats this work: the expiry rule.

        It does until the window ends, however late it is read. An entry without an end covers every arrival.
        """
        return self.expires_at is None or arrived_at < self.expires_at

    def set_expiry(self, expires_at: datetime, max_unread_time: timedelta) -> datetime:
        """Set the end of the window, and return when the entry may be dropped.

        Args:
            expires_at: the end of the window.
            max_unread_time: for how long a request that arrived before the end may lie unread and still be run.
        """
        self.expires_at, self.droppable_at = expires_at, expires_at + max_unread_time
        return self.droppable_at


KeyChangeCallback = Callable[
    [IdempotencyKey, KeyRecord, bool], None
]  # the last: whether the entry was dropped


def _ignore_change(_key: IdempotencyKey, _record: KeyRecord, _dropped: bool) -> None:
    """Stand in for an observer where no other process shares the node."""


class KeyTable:
    """One entry for each piece of work. Entries past their time are dropped as others are added.

    Attributes:
        on_changed: called with each change of an entry that stands for an own request.
    """

    def __init__(self) -> None:
        """Make an empty table, whose changes nobody observes."""
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._expiries: list[tuple[datetime, IdempotencyKey]] = []  # heap: when entries may be dropped
        self.on_changed: KeyChangeCallback = _ignore_change

    def __len__(self) -> int:
        """Count the entries, those past their time included."""
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[IdempotencyKey, KeyRecord]]:
        """Iterate over the entries as they are now; some may be dropped meanwhile."""
        return iter([*self._records.items()])

    def find(self, key: IdempotencyKey, arrived_at: datetime) -> KeyRecord | None:
        """Return the work that a request with this key, which arrived then, repeats; None for new work."""
        record = self._records.get(key)
        return record if record is not None and record.covers(arrived_at) else None

    def record(self, key: IdempotencyKey, request_id: str, arrived_at: datetime, digest: str = "") -> None:
        """Enter a request that is in flight, unless it repeats known work.

        The entry lasts as long as the request, so that two attempts that arrive together know of each other.
        """
        if self.find(key, arrived_at) is None:
            self._records[key] = KeyRecord(request_id, digest=digest)
            self.on_changed(key, self._records[key], False)

    def retain(
        self,
        key: IdempotencyKey,
        request_id: str,
        expires_at: datetime,
        now: datetime,
        max_unread_time: timedelta,
        digest: str = "",
    ) -> None:
        """Keep an own request's key until the end of a window, also after the request has ended.

        Args:
            key: the work.
            request_id: the request that stands for it from now on.
            expires_at: the end of the window.
            now: entries that may be dropped by now are dropped.
            max_unread_time: for how long a request that arrived before the end may lie unread and still be run.
            digest: of the body; empty where it is not known.
        """
        record = self._records.setdefault(key, KeyRecord(request_id))
        record.request_id, record.is_remote, record.finished, record.digest = request_id, False, False, digest
        self._set_expiry(key, record, expires_at, now, max_unread_time)
        self.on_changed(key, record, False)

    def extend(
        self, request_class: str, added_window: timedelta, now: datetime, max_unread_time: timedelta
    ) -> None:
        """Lengthen the windows of a class, for work that ran under the shorter one as well.

        A client that reads the new settings counts on the longer window for all its requests. Entries without an
        end are left as they are: their window begins later, under the new settings.
        """
        for key, record in self:
            if key[0] == request_class and record.expires_at is not None:
                self._set_expiry(key, record, record.expires_at + added_window, now, max_unread_time)
                if not record.is_remote:
                    self.on_changed(key, record, False)

    def finish(self, key: IdempotencyKey, request_id: str, result: bytes | None) -> None:
        """Note that an own request has ended, with a result that repeats may share or with None."""
        record = self._records.get(key)
        if record is not None and record.request_id == request_id and not record.is_remote:
            record.result, record.finished = result, True
            self.on_changed(key, record, False)

    def drop(self, key: IdempotencyKey, request_id: str, *, even_if_retained: bool) -> None:
        """Drop the entry of an own request, so that the key names new work.

        Args:
            key: the work.
            request_id: nothing is dropped where another request stands for the work by now.
            even_if_retained: drop it inside its window as well; right only for work that never ran.
        """
        record = self._records.get(key)
        if record is None or record.request_id != request_id or record.is_remote:
            return
        if even_if_retained or record.expires_at is None:
            del self._records[key]
            self.on_changed(key, record, True)

    # Entries of the node's other processes.

    def adopt(
        self, key: IdempotencyKey, remote: KeyRecord, now: datetime, max_unread_time: timedelta
    ) -> None:
        """Enter what another process says of a piece of work.

        An entry for an own request stays as it is while its window lasts; past that `find` has new work in its place,
        and so has this. One that another process gave earlier is replaced.
        """
        record = self._records.get(key)
        is_local_in_force = record is not None and not record.is_remote and record.covers(now)
        if is_local_in_force:
            return
        remote.is_remote = True
        self._records[key] = remote
        if remote.expires_at is not None:
            self._set_expiry(key, remote, remote.expires_at, now, max_unread_time)

    def drop_remote(self, key: IdempotencyKey, request_id: str) -> bool:
        """Drop the entry of another process's request that never ran. Returns False where there is none."""
        record = self._records.get(key)
        if record is None or not record.is_remote or record.request_id != request_id:
            return False
        del self._records[key]
        return True

    def mark_remote_outcomes_unknown(self, expires_at: datetime, now: datetime) -> list[IdempotencyKey]:
        """End the entries of other processes' requests whose outcome nobody will report any more.

        They may have run, so they stay known: until their own end, or until `expires_at` where they have none.
        Returns the keys of those that had not ended.
        """
        unfinished = [
            key for key, record in self._records.items() if record.is_remote and not record.finished
        ]
        for key in unfinished:
            record = self._records[key]
            record.finished = True
            if record.expires_at is None:
                self._set_expiry(key, record, expires_at, now, ZERO)
        return unfinished

    def _set_expiry(
        self,
        key: IdempotencyKey,
        record: KeyRecord,
        expires_at: datetime,
        now: datetime,
        max_unread_time: timedelta,
    ) -> None:
        """Set the end of an entry, and drop those that may be dropped by now."""
        heapq.heappush(self._expiries, (record.set_expiry(expires_at, max_unread_time), key))
        while self._expiries and self._expiries[0][0] <= now:
            droppable_at, due_key = heapq.heappop(self._expiries)
            due_record = self._records.get(due_key)
            # An entry that was given a later end has a later row in the heap.
            if (
                due_record is not None
                and due_record.droppable_at is not None
                and due_record.droppable_at <= droppable_at
            ):
                del self._records[due_key]
