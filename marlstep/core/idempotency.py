"""Idempotency keys known to this node, which identify repeats of work whose effect must not happen twice.

Entries are dropped when the work never ran, when a request whose key is not retained ends, or some time after their
window has ended (`KeyRecord.droppable_at`).
Four rules hold for every entry:

- A key is looked up as of the time at which a request arrived, not the time at which it is read. An entry is therefore
  kept beyond its window for as long as a request may wait unread and still be run.
- The window of an entry is decided where the entry is looked up: from when the work ran, by the longest window of its
  class that has been in force since (`IdempotencyWindows`). No change of settings can shorten what was promised.
- A key names one piece of work. Frontends pass a digest of what the request does, and a request with a different digest
  is not an attempt of that work: it is neither run under the key nor given the work's result.
- While two processes form one node, an entry may stand for a request of the sibling process (`is_remote`). The entry
  of a local request takes precedence over a report from the sibling.
"""

from __future__ import annotations

import heapq
import sys
from collections.abc import Callable, Iterable, Iterator
from datetime import datetime, timedelta

from marlstep.admission.settings import ClassSettings
from marlstep.core.idempotency_windows import IdempotencyWindows
from marlstep.core.key_memory import KeptResults
from marlstep.core.key_record import KeyRecord, remote_window_start
from marlstep.core.work_identity import IdempotencyKey
from marlstep.units import ZERO

# The last argument says whether the entry was dropped.
KeyChangeCallback = Callable[[IdempotencyKey, KeyRecord, bool], None]

# Returns the bytes that results may take beside a number of entries.
RoomForResults = Callable[[int], int]


def _unlimited_room(_entries: int) -> int:
    """Return the room for results of a table without a memory limit."""
    return sys.maxsize


def _ignore_change(_key: IdempotencyKey, _record: KeyRecord, _dropped: bool) -> None:
    """Ignore the change: the default callback while no sibling process shares the node."""


class KeyTable:
    """Idempotency keys and their records, one for each piece of work.

    Entries that may be dropped are removed whenever the expiry of an entry is set, and by `drop_expired`.

    Attributes:
        on_changed: called after each change of an entry that stands for a request of this process.
        results: the results that the entries keep.
    """

    def __init__(
        self, windows: IdempotencyWindows | None = None, room_for_results: RoomForResults = _unlimited_room
    ) -> None:
        """Initialize an empty table whose changes are not observed.

        Args:
            windows: the windows of the settings.
            room_for_results: returns how many bytes of results may be kept beside a number of entries.
        """
        self._windows = windows or IdempotencyWindows()
        self._room_for_results = room_for_results
        self.results = KeptResults()
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
        if record is not None and self._covers(key, record, arrived_at):
            return record
        return self._find_without_scope(key, arrived_at) if key.scope else None

    def _find_without_scope(self, key: IdempotencyKey, arrived_at: datetime) -> KeyRecord | None:
        """Return the record of a sibling's work with this name, if that process does not report scopes."""
        record = self._records.get(key._replace(scope=""))
        if record is None or not record.is_of_version_without_digests:
            return None
        return record if self._covers(key, record, arrived_at) else None

    def _covers(self, key: IdempotencyKey, record: KeyRecord, arrived_at: datetime) -> bool:
        if record.window_starts_at is None:
            return record.covers(arrived_at)
        return record.covers(arrived_at, self._longest_window(key, record, record.window_starts_at))

    def _longest_window(
        self, key: IdempotencyKey, record: KeyRecord, window_starts_at: datetime
    ) -> timedelta:
        """Return the longest window that has been in force since the work arrived, at the earliest possible time."""
        arrived_at = window_starts_at - record.max_unread_time
        return self._windows.longest_since(key.request_class, arrived_at)

    def find_in_any_scope(
        self, request_class: str, name: str, arrived_at: datetime
    ) -> tuple[IdempotencyKey, KeyRecord] | None:
        """Return a piece of work with this name, whatever its scope, or None.

        For claims of sibling processes that do not report scopes. It looks at every entry.
        """
        for key, record in self._records.items():
            same_name = key.name == name and key.request_class == request_class
            if same_name and self._covers(key, record, arrived_at):
                return key, record
        return None

    def record(self, key: IdempotencyKey, request_id: str, arrived_at: datetime, digest: str = "") -> None:
        """Record the key of a request that is now in flight, unless the request repeats known work.

        Unless it is retained, the entry lasts as long as the request. It lets the second of two simultaneous attempts
        be recognised as a repeat.
        """
        if self.find(key, arrived_at) is None:
            self._put(key, KeyRecord(request_id, digest=digest))
            self.on_changed(key, self._records[key], False)

    def retain(
        self,
        key: IdempotencyKey,
        request_id: str,
        expires_at: datetime,
        now: datetime,
        max_unread_time: timedelta,
        digest: str = "",
        window_starts_at: datetime | None = None,
    ) -> None:
        """Keep the key of a request of this process until the end of a window, even after the request has ended.

        Args:
            key: the key of the work.
            request_id: the id of the request, which becomes the original request of the work.
            expires_at: the end of the window.
            now: the current time; entries whose time to drop has come are removed.
            max_unread_time: how long a request that arrived before the end may wait unread and still be run.
            digest: the digest of the work; empty if unknown.
            window_starts_at: from when a longer window counts too; None if none may.
        """
        record = self._records.setdefault(key, KeyRecord(request_id))
        record.window_starts_at = window_starts_at
        record.request_id, record.is_remote, record.finished, record.digest = request_id, False, False, digest
        self._set_expiry(key, record, expires_at, now, max_unread_time)
        self.on_changed(key, record, False)

    def apply_windows(self, classes: Iterable[ClassSettings], now: datetime) -> None:
        """Put the windows of new settings in force.

        Sibling processes may have other settings, so they are told of each entry of this process that a longer window
        covers now.
        """
        self._windows.change(classes, now)
        if self.on_changed is _ignore_change:
            return
        for key, record in self:
            if record.is_remote or record.window_starts_at is None or record.expires_at is None:
                continue
            start = record.window_starts_at
            covered_until = start + self._longest_window(key, record, start)
            if covered_until > record.expires_at:
                self._set_expiry(key, record, covered_until, now, record.max_unread_time)
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
            self.results.discard(record)
            record.result, record.finished = result, True
            self.results.add(record)
            self.on_changed(key, record, False)
            self.fit_results()

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
            self._remove(key)
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
        is_local_in_force = record is not None and not record.is_remote and self._covers(key, record, now)
        if is_local_in_force:
            return
        remote.is_remote = True
        remote.window_starts_at = remote_window_start(record, remote, now)
        self._put(key, remote)
        if remote.expires_at is not None:
            self._set_expiry(key, remote, remote.expires_at, now, max_unread_time)

    def drop_remote(self, key: IdempotencyKey, request_id: str) -> bool:
        """Drop the entry of a sibling's request that never ran. Returns False if there is no such entry."""
        record = self._records.get(key)
        if record is None or not record.is_remote or record.request_id != request_id:
            return False
        self._remove(key)
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
                record.window_starts_at = now
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
        self.drop_expired(now)

    @property
    def next_drop_at(self) -> datetime | None:
        """When the next entry may be dropped; None if no entry has an expiry."""
        return self._expiries[0][0] if self._expiries else None

    def drop_expired(self, now: datetime) -> None:
        """Remove all entries whose time to drop has come."""
        while self._expiries and self._expiries[0][0] <= now:
            droppable_at, due_key = heapq.heappop(self._expiries)
            self._drop_if_due(due_key, droppable_at, now)

    def fit_results(self) -> None:
        """Drop the oldest results until the rest fits into the memory for results."""
        self.results.fit_into(self._room_for_results(len(self._records)))

    def _put(self, key: IdempotencyKey, record: KeyRecord) -> None:
        """Add an entry in place of any other with its key."""
        self._remove(key)
        self._records[key] = record
        self.results.add(record)
        self.fit_results()

    def _remove(self, key: IdempotencyKey) -> None:
        record = self._records.pop(key, None)
        if record is not None:
            self.results.discard(record)

    def _drop_if_due(self, key: IdempotencyKey, droppable_at: datetime, now: datetime) -> None:
        """Drop the entry of a heap item, unless its expiry was extended or a longer window may still cover it."""
        record = self._records.get(key)
        if record is None or record.droppable_at is None or record.droppable_at > droppable_at:
            return
        kept_until = record.droppable_after(self._windows.longest(key.request_class))
        if kept_until is not None and kept_until > now:
            heapq.heappush(self._expiries, (kept_until, key))
        else:
            self._remove(key)
