"""The record of one piece of work that an idempotency key names, and the window in which requests repeat it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.units import ZERO


@dataclass(slots=True)
class KeyRecord:
    """The record of one piece of work.

    Attributes:
        request_id: the id of the original request of the work.
        expires_at: the end of the idempotency window by the settings in force when the work began; None until the key
            is retained for a window. A request that arrives then or later is new work unless a longer window covers it.
        result: the result that repeats share; None if there is none.
        finished: whether the original request has ended.
        is_remote: whether the original request belongs to a sibling process.
        digest: the digest of the work; empty if unknown.
        droppable_at: when the entry may be dropped: later than `expires_at`, as requests that arrived before the end
            of the window may still be unread.
        window_starts_at: the start of the window, from which a longer one counts too; None if only `expires_at` counts.
    """

    request_id: str
    expires_at: datetime | None = None
    result: bytes | None = None
    finished: bool = False
    is_remote: bool = False
    digest: str = ""
    droppable_at: datetime | None = None
    window_starts_at: datetime | None = None

    def is_same_work(self, digest: str) -> bool:
        """Return whether a request with this digest is an attempt of the same work.

        A request whose digest is unknown is only an attempt of work whose digest is unknown too.
        """
        return self.digest == digest

    @property
    def is_of_version_without_digests(self) -> bool:
        """Whether a sibling process reported the work without a digest, and thus without the scope of its key."""
        return self.is_remote and not self.digest

    def covers(self, arrived_at: datetime, window: timedelta = ZERO) -> bool:
        """Return whether a request that arrived at `arrived_at` is a repeat of this work.

        It is if it arrived before the end of the window, however late it is read. An entry without an expiry covers
        every arrival time.

        Args:
            arrived_at: when the request arrived.
            window: the longest window that has been in force since the work began.
        """
        if self.expires_at is None or arrived_at < self.expires_at:
            return True
        return self.window_starts_at is not None and arrived_at < self.window_starts_at + window

    @property
    def max_unread_time(self) -> timedelta:
        """How long a request that arrived before the end of the window may lie unread; zero without an expiry."""
        if self.droppable_at is None or self.expires_at is None:
            return ZERO
        return self.droppable_at - self.expires_at

    def droppable_after(self, longest_window: timedelta) -> datetime | None:
        """Return when the entry may be dropped if this window may come into force; None for one without an expiry."""
        if self.expires_at is None or self.window_starts_at is None:
            return self.droppable_at
        return max(self.expires_at, self.window_starts_at + longest_window) + self.max_unread_time

    def set_expiry(self, expires_at: datetime, max_unread_time: timedelta) -> datetime:
        """Set the end of the window, and return when the entry may be dropped.

        Args:
            expires_at: the end of the window.
            max_unread_time: how long a request that arrived before the end may wait unread and still be run.
        """
        self.expires_at, self.droppable_at = expires_at, expires_at + max_unread_time
        return self.droppable_at


def remote_window_start(known: KeyRecord | None, remote: KeyRecord, now: datetime) -> datetime:
    """Return from when windows count for work that a sibling process reports.

    The report does not say when the work began, only until when the sibling's settings cover it, and the settings of
    this process may state a longer window. The time of the first report is never before the work's arrival.

    Args:
        known: the record under the same key until now; None if there is none.
        remote: the reported record.
        now: the time of the report.
    """
    if known is None or not known.is_remote or known.request_id != remote.request_id:
        return now
    return known.window_starts_at or now
