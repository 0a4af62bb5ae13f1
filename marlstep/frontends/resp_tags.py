"""Tracks the tags that were used on one connection. No I/O."""

from __future__ import annotations

from bisect import bisect_right

MAX_TAG_RANGES = 64  # ranges of consecutive tags that one connection remembers; about 80 bytes each


class TagTracker:
    """Remembers used tags in bounded memory, as ranges of consecutive tags.

    Tags may come in any order and with any gaps. Where they leave more than `MAX_TAG_RANGES` ranges, the lowest range
    is forgotten: a repeated tag may then pass for a new one, but a new tag never passes for a repeated one.
    """

    def __init__(self) -> None:
        """Initialize the tracker with no tag used."""
        self._starts: list[int] = []  # the first tag of each range, in ascending order; no two ranges touch
        self._ends: list[int] = []  # the last tag of each range
        self._forgotten_end = 0  # the highest tag of all forgotten ranges

    def mark_used(self, tag: int) -> bool:
        """Mark a tag as used; False if it is remembered as used."""
        if self._ends and tag == self._ends[-1] + 1:  # tags in order, the usual case
            self._ends[-1] = tag
            return True
        index = bisect_right(self._starts, tag)  # of the first range beyond the tag
        if index and tag <= self._ends[index - 1]:
            return False
        extends_previous = index > 0 and self._ends[index - 1] == tag - 1
        extends_next = index < len(self._starts) and self._starts[index] == tag + 1
        if extends_previous and extends_next:
            self._ends[index - 1] = self._ends.pop(index)
            del self._starts[index]
        elif extends_previous:
            self._ends[index - 1] = tag
        elif extends_next:
            self._starts[index] = tag
        else:
            self._starts.insert(index, tag)
            self._ends.insert(index, tag)
            self._forget_excess()
        return True

    def may_be_used(self, tag: int) -> bool:
        """Whether the tag was marked as used, or may have been and is forgotten."""
        index = bisect_right(self._starts, tag)
        is_remembered = index > 0 and tag <= self._ends[index - 1]
        return is_remembered or tag <= self._forgotten_end

    def _forget_excess(self) -> None:
        if len(self._starts) > MAX_TAG_RANGES:
            del self._starts[0]
            self._forgotten_end = max(self._forgotten_end, self._ends.pop(0))
