"""Tracks the tags that were used on one connection. No I/O."""

from __future__ import annotations

MAX_TAGS_AHEAD = 1024  # tags remembered beyond a gap; a peer that uses more out of order breaks the protocol


class TagTracker:
    """Remembers used tags in bounded memory: the end of the contiguous range from 1, and the tags beyond a gap."""

    def __init__(self) -> None:
        """Initialize the tracker with no tag used."""
        self._contiguous_end = 0
        self._used_beyond_gap: set[int] = set()

    def mark_used(self, tag: int) -> bool:
        """Mark a tag as used; False if it was used before, or if too many are out of order."""
        if tag == self._contiguous_end + 1 and not self._used_beyond_gap:  # tags in order, the usual case
            self._contiguous_end = tag
            return True
        if self.is_used(tag) or len(self._used_beyond_gap) >= MAX_TAGS_AHEAD:
            return False
        self._used_beyond_gap.add(tag)
        while self._contiguous_end + 1 in self._used_beyond_gap:
            self._contiguous_end += 1
            self._used_beyond_gap.remove(self._contiguous_end)
        return True

    def is_used(self, tag: int) -> bool:
        """Whether the tag was marked as used."""
        return tag <= self._contiguous_end or tag in self._used_beyond_gap
