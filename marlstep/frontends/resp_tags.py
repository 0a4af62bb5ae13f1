"""The tags that one connection has used. Pure."""

from __future__ import annotations

MAX_TAGS_AHEAD = 1024  # tags out of order on one connection; a peer that skips more breaks the protocol


class TagTracker:
    """Remembers used tags in bounded memory: all up to one, and a few beyond it."""

    def __init__(self) -> None:
        """Start with no tag used."""
        self._all_used_to = 0
        self._used_beyond: set[int] = set()

    def take(self, tag: int) -> bool:
        """Mark a tag as used; False where it was used before, or where too many are out of order."""
        if tag == self._all_used_to + 1 and not self._used_beyond:  # in order, as clients usually number them
            self._all_used_to = tag
            return True
        if self.is_used(tag) or len(self._used_beyond) >= MAX_TAGS_AHEAD:
            return False
        self._used_beyond.add(tag)
        while self._all_used_to + 1 in self._used_beyond:
            self._all_used_to += 1
            self._used_beyond.remove(self._all_used_to)
        return True

    def is_used(self, tag: int) -> bool:
        """Whether `take` has accepted this tag."""
        return tag <= self._all_used_to or tag in self._used_beyond
