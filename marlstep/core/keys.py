"""Which work is known here already: repeats of keyed work, and effects that must not come twice."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

Key = tuple[str, str]  # class, and the name of the work


@dataclass(slots=True)
class Known:
    id: str  # the try that stands for the work
    until: datetime | None = None  # None: as long as that try is in hand
    result: bytes | None = None


class KeyTable:
    """One entry for each piece of work. Entries past their time are dropped as others come."""

    def __init__(self) -> None:
        self._known: dict[Key, Known] = {}

    def __len__(self) -> int:
        return len(self._known)

    def find(self, key: Key, now: datetime) -> Known | None:
        known = self._known.get(key)
        if known is not None and known.until is not None and known.until <= now:
            del self._known[key]
            return None
        return known

    def note(self, key: Key, id: str) -> None:
        """A try is in hand, though not yet kept: two that come together must know of each other."""
        self._known.setdefault(key, Known(id))

    def keep(self, key: Key, id: str, until: datetime, now: datetime) -> None:
        known = self._known.setdefault(key, Known(id))
        known.id, known.until = id, until
        expired = [
            one for one, other in self._known.items() if other.until is not None and other.until <= now
        ]
        for one in expired:
            del self._known[one]

    def finish(self, key: Key, id: str, result: bytes) -> None:
        known = self._known.get(key)
        if known is not None and known.id == id:
            known.result = result

    def drop(self, key: Key, id: str, kept_too: bool) -> None:
        known = self._known.get(key)
        if known is not None and known.id == id and (kept_too or known.until is None):
            del self._known[key]
