"""Idempotency keys known to this node, which identify repeats of work whose effect must not happen twice.

Entries are dropped when the work never ran, when a request whose key is not retained ends, or some time after their
window has ended (`KeyRecord.droppable_at`).
Three rules hold for every entry:

- A key is looked up as of the time at which a request arrived, not the time at which it is read. An entry is therefore
  kept beyond its window for as long as a request may wait unread and still be run.
- A key names one piece of work. Frontends pass a digest of what the request does, and a request with a different digest
  is not an attempt of that work: it is neither run under the key nor given the work's result.
- While two processes form one node, an entry may stand for a request of the sibling process (`is_remote`). The entry
  of a local request takes precedence over a report from the sibling.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.core.work_identity import IdempotencyKey
from marlstep.units import ZERO


@dataclass(slots=True)
class KeyRecord:
    """The record of one piece of work.

    Attributes:
        request_id: the id of the original request of the work.
        expires_at: the end of the idempotency window; a request that arrives then or later is new work. None until
            the key is retained for a window.
        result: the result that repeats share; None if there is none.
        finished: whether the original request has ended.
        is_remote: whether the original request belongs to a sibling process.
        digest: the digest of the work; empty if unknown.
        droppable_at: when the entry may be dropped: later than `expires_at`, as requests that arrived before the end
            of the window may still be unread.
    """

    request_id: str
    expires_at: datetime | None = None
    result: bytes | None = None
    finished: bool = False
    is_remote: bool = False
    digest: str = ""
    droppable_at: datetime | None = None

    def is_same_work(self, digest: str) -> bool:
        """Return whether a request with this digest is an attempt of the same work.

        A request whose digest is unknown is only an attempt of work whose digest is unknown too.
        """
        return self.digest == digest

    @property
    def is_of_version_without_digests(self) -> bool:
        """Whether a sibling process reported the work without a digest, and thus without the scope of its key."""
        return self.is_remote and not self.digest

    def covers(self, arrived_at: datetime) -> bool:
        """Return whether a request that arrived at `arrived_at` is a repeat of this work.

        It is if it arrived before the end of the window, however late it is read. An entry without an expiry covers
        every arrival time.
        """
        return self.expires_at is None or arrived_at < self.expires_at

    def set_expiry(self, expires_at: datetime, max_unread_time: timedelta) -> datetime:
        """Set the end of the window, and return when the entry may be dropped.

        Args:
            expires_at: the end of the window.
            max_unread_time: how long a request that arrived before the end may wait unread and still be run.
        """
        self.expires_at, self.droppable_at = expires_at, expires_at + max_unread_time
        return self.droppable_at


# The last argument says whether the entry was dropped.
KeyChangeCallback = Callable[[IdempotencyKey, KeyRecord, bool], None]


def _ignore_change(_key: IdempotencyKey, _record: KeyRecord, _dropped: bool) -> None:
    """Ignore the change: the default callback while no sibling process shares the node."""


class KeyTable:
    """Idempotency keys and their records, one for each piece of work.

    Entries that may be dropped are removed whenever the expiry of an entry is set.

    Attributes:
        on_changed: called after each change of an entry that stands for a request of this process.
    """

    def __init__(self) -> None:
        """Initialize an empty table whose changes are not observed."""
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._expiries: list[tuple[datetime, IdempotencyKey]] = []  # heap of (time to drop the entry, key)
        self.on_changed: KeyChangeCallback = _ignore_change

    def __len__(self) -> int:
        """Return the number of entries, including expired ones."""
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[IdempotencyKey, KeyRecord]]:
        """Iterate over a copy of the entries, so that entries may be dropped during the iteration."""
        return iter([*self._records.items()])

    def find(self, key: IdempotencyKey, arrived_at: datetime) -> KeyRecord | None:
        """Return the record of the work that a request repeats, or None for new work.

        Args:
            key: the key of the request.
            arrived_at: when the request arrived.
        """
        record = self._records.get(key)
        if record is not None and record.covers(arrived_at):
            return record
        return self._find_without_scope(key, arrived_at) if key.scope else None

    def _find_without_scope(self, key: IdempotencyKey, arrived_at: datetime) -> KeyRecord | None:
        """Return the record of a sibling's work with this name, if that process does not report scopes."""
        record = self._records.get(key._replace(scope=""))
        if record is None or not record.is_of_version_without_digests:
            return None
        return record if record.covers(arrived_at) else None

    def find_in_any_scope(
        self, request_class: str, name: str, arrived_at: datetime
    ) -> tuple[IdempotencyKey, KeyRecord] | None:
        """Return a piece of work with this name, whatever its scope, or None.

        For claims of sibling processes that do not report scopes. It looks at every entry.
        """
        for key, record in self._records.items():
            if (key.name, key.request_class) == (name, request_class) and record.covers(arrived_at):
                return key, record
        return None

    def record(self, key: IdempotencyKey, request_id: str, arrived_at: datetime, digest: str = "") -> None:
        """Record the key of a request that is now in flight, unless the request repeats known work.

        Unless it is retained, the entry lasts as long as the request. It lets the second of two simultaneous attempts
        be recognised as a repeat.
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
        """Keep the key of a request of this process until the end of a window, even after the request has ended.

        Args:
            key: the key of the work.
            request_id: the id of the request, which becomes the original request of the work.
            expires_at: the end of the window.
            now: the current time; entries whose time to drop has come are removed.
            max_unread_time: how long a request that arrived before the end may wait unread and still be run.
            digest: the digest of the work; empty if unknown.
        """
        record = self._records.setdefault(key, KeyRecord(request_id))
        record.request_id, record.is_remote, record.finished, record.digest = request_id, False, False, digest
        self._set_expiry(key, record, expires_at, now, max_unread_time)
        self.on_changed(key, record, False)

    def extend(
        self, request_class: str, added_window: timedelta, now: datetime, max_unread_time: timedelta
    ) -> None:
        """Extend the windows of a class, including those of work that ran under the previous settings.

        Clients that read the new settings rely on the longer window for all their requests. Entries without an expiry
        are left unchanged: their window begins later, under the new settings.

        Args:
            request_class: the name of the class.
            added_window: how much longer the window has become.
            now: the current time; entries whose time to drop has come are removed.
            max_unread_time: how long a request that arrived before the end may wait unread and still be run.
        """
        for key, record in self:
            if key.request_class == request_class and record.expires_at is not None:
                self._set_expiry(key, record, record.expires_at + added_window, now, max_unread_time)
                if not record.is_remote:
                    self.on_changed(key, record, False)

    def finish(self, key: IdempotencyKey, request_id: str, result: bytes | None) -> None:
        """Record that a request of this process has ended.

        Args:
            key: the key of the work.
            request_id: the id of the request; nothing changes if another request is the original one by now.
            result: the result for repeats to share; None if there is none.
        """
        record = self._records.get(key)
        if record is not None and record.request_id == request_id and not record.is_remote:
            record.result, record.finished = result, True
            self.on_changed(key, record, False)

    def drop(self, key: IdempotencyKey, request_id: str, *, even_if_retained: bool) -> None:
        """Drop the entry of a request of this process, so that the next request with the key is new work.

        Args:
            key: the key of the work.
            request_id: the id of the request; nothing is dropped if another request is the original one by now.
            even_if_retained: whether to drop the entry within its window too. Only correct for work that never ran.
        """
        record = self._records.get(key)
        if record is None or record.request_id != request_id or record.is_remote:
            return
        if even_if_retained or record.expires_at is None:
            del self._records[key]
            self.on_changed(key, record, True)

    # Entries for requests of sibling processes.

    def adopt(
        self, key: IdempotencyKey, remote: KeyRecord, now: datetime, max_unread_time: timedelta
    ) -> None:
        """Record a sibling process's report on a piece of work.

        An entry of a request of this process takes precedence while its window lasts. Once that has expired, `find`
        treats the key as new work, so the report replaces the entry. An entry from an earlier report is replaced too.

        Args:
            key: the key of the work.
            remote: the reported record; it is marked as remote.
            now: the current time; entries whose time to drop has come are removed.
            max_unread_time: how long a request that arrived before the expiry may wait unread and still be run.
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
        """Drop the entry of a sibling's request that never ran. Returns False if there is no such entry."""
        record = self._records.get(key)
        if record is None or not record.is_remote or record.request_id != request_id:
            return False
        del self._records[key]
        return True

    def mark_remote_outcomes_unknown(self, expires_at: datetime, now: datetime) -> list[IdempotencyKey]:
        """Mark the unfinished requests of sibling processes as finished, as no outcome will be reported.

        They may have run, so their entries are kept until their own expiry, or until `expires_at` if they have none.

        Args:
            expires_at: the expiry of entries that have none.
            now: the current time; entries whose time to drop has come are removed.

        Returns:
            The keys of the entries that were unfinished.
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
        """Set the expiry of an entry, and remove all entries whose time to drop has come."""
        heapq.heappush(self._expiries, (record.set_expiry(expires_at, max_unread_time), key))
        while self._expiries and self._expiries[0][0] <= now:
            droppable_at, due_key = heapq.heappop(self._expiries)
            due_record = self._records.get(due_key)
            # If the expiry was extended, a later heap item drops the entry.
            if (
                due_record is not None
                and due_record.droppable_at is not None
                and due_record.droppable_at <= droppable_at
            ):
                del self._records[due_key]
