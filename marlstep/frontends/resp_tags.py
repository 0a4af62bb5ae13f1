"""Tracks the tags that were used on one connection. Pure."""

from __future__ import annotations

MAX_TAGS_AHEAD = 1024  # tags remembered beyond a gap; a peer that uses more out of order breaks the protocol


class TagTracker:
    """Remembers used tags in bounded memory: the end of the contiguous range from 1, and the tags beyond a gap."""

    def __init__(self) -> None:
        """Initialize the tracker with no tag used."""
        self._all_used_to = 0
        self._used_beyond: set[int] = set()

    def take(self, tag: int) -> bool:
        """Mark a tag as used; False if it was used before, or if too many are out of order."""
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
        """Whether the tag was marked as used."""
        return tag <= self._all_used_to or tag in self._used_beyond
