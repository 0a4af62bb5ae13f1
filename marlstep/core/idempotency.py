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

Key = tuple[str, str]  # class, and the name of the work
DIGEST_BYTES = 16


def digest_of(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def label(id: str, digest: str) -> str:
    """A try as other processes of the node are told of it. They take it for an id, also those that know no digests."""
    return f"{id}~{digest}" if digest else id


def read_label(text: str) -> tuple[str, str]:
    id, mark, digest = text.rpartition("~")
    return (id, digest) if mark and len(digest) == 2 * DIGEST_BYTES else (text, "")


@dataclass(slots=True)
class Known:
    id: str  # the try that stands for the work
    until: datetime | None = None  # None: as long as that try is in hand
    result: bytes | None = None
    over: bool = False  # that try has ended
    abroad: bool = False  # it is another process's
    digest: str = ""  # of what its tries have in common; "": not known
    dropped_at: datetime | None = None  # later than `until`: what came before that may still be read

    def is_of(self, digest: str) -> bool:
        """A try with this digest may be one of the same work."""
        return not (self.digest and digest) or self.digest == digest


class KeyTable:
    """One entry for each piece of work. Entries past their time are dropped as others come."""

    def __init__(self) -> None:
        self._known: dict[Key, Known] = {}
        self._ends: list[tuple[datetime, Key]] = []  # when entries may be past their time
        self.changed: Callable[[Key, Known, bool], None] = lambda key, known, gone: None

    def __len__(self) -> int:
        return len(self._known)

    def __iter__(self) -> Iterator[tuple[Key, Known]]:
        """All entries as they are now; some may be gone by the time they come."""
        return iter([*self._known.items()])

    def find(self, key: Key, arrived: datetime) -> Known | None:
        """What a try that arrived then repeats."""
        known = self._known.get(key)
        return None if known is None or (known.until is not None and known.until <= arrived) else known

    def note(self, key: Key, id: str, arrived: datetime, digest: str = "") -> None:
        """A try is in hand, though not yet kept: two that come together must know of each other."""
        if self.find(key, arrived) is None:
            self._known[key] = Known(id, digest=digest)
            self.changed(key, self._known[key], False)

    def keep(
        self, key: Key, id: str, until: datetime, now: datetime, unread: timedelta, digest: str = ""
    ) -> None:
        """`unread`: for so long a try that arrived before the end may not be read yet."""
        known = self._known.setdefault(key, Known(id))
        known.id, known.abroad, known.over, known.digest = id, False, False, digest
        self._expires(key, known, until, now, unread)
        self.changed(key, known, False)

    def extend(self, kind: str, by: timedelta, now: datetime, unread: timedelta) -> None:
        """The window of a class is longer from now on, for what was run before as well."""
        kept = [(key, known) for key, known in self if key[0] == kind and known.until is not None]
        for key, known in kept:
            assert known.until is not None
            self._expires(key, known, known.until + by, now, unread)
            if not known.abroad:
                self.changed(key, known, False)

    def finish(self, key: Key, id: str, result: bytes | None) -> None:
        """The try has ended, with a result that repeats may share or without."""
        known = self._known.get(key)
        if known is not None and known.id == id and not known.abroad:
            known.result, known.over = result, True
            self.changed(key, known, False)

    def drop(self, key: Key, id: str, kept_too: bool) -> None:
        known = self._known.get(key)
        if known is not None and known.id == id and not known.abroad and (kept_too or known.until is None):
            del self._known[key]
            self.changed(key, known, True)

    # Of other processes.

    def adopt(self, key: Key, told: Known, now: datetime, unread: timedelta) -> None:
        """Another process says this of the work. What is known here of an own try counts for more."""
        known = self._known.get(key)
        if known is not None and not known.abroad:
            return
        told.abroad = True
        self._known[key] = told
        if told.until is not None:
            self._expires(key, told, told.until, now, unread)

    def forget(self, key: Key, id: str) -> bool:
        """The other's try never ran."""
        known = self._known.get(key)
        if known is None or not known.abroad or known.id != id:
            return False
        del self._known[key]
        return True

    def orphan(self, until: datetime, now: datetime) -> list[Key]:
        """Nobody will say any more how the others' tries ended: they may have run. Those not over by now."""
        open_still = [key for key, known in self._known.items() if known.abroad and not known.over]
        for key in open_still:
            known = self._known[key]
            known.over = True
            if known.until is None:
                self._expires(key, known, until, now, timedelta(0))
        return open_still

    def _expires(self, key: Key, known: Known, until: datetime, now: datetime, unread: timedelta) -> None:
        known.until, known.dropped_at = until, until + unread
        heapq.heappush(self._ends, (known.dropped_at, key))
        while self._ends and self._ends[0][0] <= now:
            end, key = heapq.heappop(self._ends)
            over = self._known.get(key)
            # An entry kept anew has a later end behind it.
            if over is not None and over.dropped_at is not None and over.dropped_at <= end:
                del self._known[key]
