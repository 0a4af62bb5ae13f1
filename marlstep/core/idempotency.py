"""Which work is known here already: repeats of keyed work, and effects that must not come twice.

Whether a name is known is asked for the moment at which a try arrived, and a name is remembered for longer than its
window, by as much as a try may lie unread and still be run: one that came within the window is known however late it
is read.

Where the wire says that all tries of one piece of work carry the same body, a name that comes with another is no try
of that work: fronts give a digest of what has to be the same.

While two processes form one node, an entry may stand for a try that is the other's (`abroad`). Each change of an own
entry is told through `changed`.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

IdempotencyKey = tuple[str, str]  # class, and the name of the work
DIGEST_BYTES = 16


def body_digest(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def encode_label(id: str, digest: str) -> str:
    """A try as other processes of the node are told of it. They take it for an id, also those that know no digests."""
    return f"{id}~{digest}" if digest else id


def decode_label(text: str) -> tuple[str, str]:
    id, mark, digest = text.rpartition("~")
    return (id, digest) if mark and len(digest) == 2 * DIGEST_BYTES else (text, "")


@dataclass(slots=True)
class KeyRecord:
    request_id: str  # the try that stands for the work
    expires_at: datetime | None = None  # None: as long as that try is in hand
    result: bytes | None = None
    finished: bool = False  # that try has ended
    is_remote: bool = False  # it is another process's
    digest: str = ""  # of what its tries have in common; "": not known
    forget_at: datetime | None = None  # later than `until`: what came before that may still be read

    def matches_body(self, digest: str) -> bool:
        """A try with this digest may be one of the same work."""
        return not (self.digest and digest) or self.digest == digest


class KeyTable:
    """One entry for each piece of work. Entries past their time are dropped as others come."""

    def __init__(self) -> None:
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._expiries: list[tuple[datetime, IdempotencyKey]] = []  # when entries may be past their time
        self.on_changed: Callable[[IdempotencyKey, KeyRecord, bool], None] = lambda key, known, gone: None

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[IdempotencyKey, KeyRecord]]:
        """All entries as they are now; some may be gone by the time they come."""
        return iter([*self._records.items()])

    def find(self, key: IdempotencyKey, arrived: datetime) -> KeyRecord | None:
        """What a try that arrived then repeats."""
        known = self._records.get(key)
        return (
            None if known is None or (known.expires_at is not None and known.expires_at <= arrived) else known
        )

    def record(self, key: IdempotencyKey, id: str, arrived: datetime, digest: str = "") -> None:
        """A try is in hand, though not yet kept: two that come together must know of each other."""
        if self.find(key, arrived) is None:
            self._records[key] = KeyRecord(id, digest=digest)
            self.on_changed(key, self._records[key], False)

    def retain(
        self,
        key: IdempotencyKey,
        id: str,
        until: datetime,
        now: datetime,
        unread: timedelta,
        digest: str = "",
    ) -> None:
        """`unread`: for so long a try that arrived before the end may not be read yet."""
        known = self._records.setdefault(key, KeyRecord(id))
        known.request_id, known.is_remote, known.finished, known.digest = id, False, False, digest
        self._expires(key, known, until, now, unread)
        self.on_changed(key, known, False)

    def extend(self, kind: str, by: timedelta, now: datetime, unread: timedelta) -> None:
        """The window of a class is longer from now on, for what was run before as well."""
        kept = [(key, known) for key, known in self if key[0] == kind and known.expires_at is not None]
        for key, known in kept:
            assert known.expires_at is not None
            self._expires(key, known, known.expires_at + by, now, unread)
            if not known.is_remote:
                self.on_changed(key, known, False)

    def finish(self, key: IdempotencyKey, id: str, result: bytes | None) -> None:
        """The try has ended, with a result that repeats may share or without."""
        known = self._records.get(key)
        if known is not None and known.request_id == id and not known.is_remote:
            known.result, known.finished = result, True
            self.on_changed(key, known, False)

    def drop(self, key: IdempotencyKey, id: str, kept_too: bool) -> None:
        known = self._records.get(key)
        if (
            known is not None
            and known.request_id == id
            and not known.is_remote
            and (kept_too or known.expires_at is None)
        ):
            del self._records[key]
            self.on_changed(key, known, True)

    # Of other processes.

    def adopt(self, key: IdempotencyKey, told: KeyRecord, now: datetime, unread: timedelta) -> None:
        """Another process says this of the work. What is known here of an own try counts for more."""
        known = self._records.get(key)
        if known is not None and not known.is_remote:
            return
        told.is_remote = True
        self._records[key] = told
        if told.expires_at is not None:
            self._expires(key, told, told.expires_at, now, unread)

    def forget(self, key: IdempotencyKey, id: str) -> bool:
        """The other's try never ran."""
        known = self._records.get(key)
        if known is None or not known.is_remote or known.request_id != id:
            return False
        del self._records[key]
        return True

    def mark_remote_outcomes_unknown(self, until: datetime, now: datetime) -> list[IdempotencyKey]:
        """Nobody will say any more how the others' tries ended: they may have run. Those not over by now."""
        open_still = [key for key, known in self._records.items() if known.is_remote and not known.finished]
        for key in open_still:
            known = self._records[key]
            known.finished = True
            if known.expires_at is None:
                self._expires(key, known, until, now, timedelta(0))
        return open_still

    def _expires(
        self, key: IdempotencyKey, known: KeyRecord, until: datetime, now: datetime, unread: timedelta
    ) -> None:
        known.expires_at, known.forget_at = until, until + unread
        heapq.heappush(self._expiries, (known.forget_at, key))
        while self._expiries and self._expiries[0][0] <= now:
            end, key = heapq.heappop(self._expiries)
            over = self._records.get(key)
            # An entry kept anew has a later end behind it.
            if over is not None and over.forget_at is not None and over.forget_at <= end:
                del self._records[key]
