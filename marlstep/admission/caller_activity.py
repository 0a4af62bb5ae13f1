"""When callers were last heard, and how often: counts only."""

from __future__ import annotations

from marlstep.admission.timing import SECOND

CALLER_MEMORY_FACTOR = 5  # times as long as a caller heeds what it was told


class CallerActivity:
    """Callers by number, with the time of their last request and the count of all."""

    def __init__(self) -> None:
        """Start without a caller."""
        self.last_seen: dict[int, tuple[int, int]] = {}

    def record(self, caller: int, now: int) -> None:
        """Count a request of a caller."""
        self.last_seen[caller] = (now, self.last_seen.get(caller, (0, 0))[1] + 1)

    def forget(self, caller: int) -> None:
        """Drop a caller whose request proved to be none."""
        self.last_seen.pop(caller, None)

    def forget_inactive(self, now: int, heeded_us: int) -> None:
        """Drop the callers not heard for long; they heed what they are told for `heeded_us`."""
        since = now - CALLER_MEMORY_FACTOR * (heeded_us + SECOND)
        self.last_seen = {caller: heard for caller, heard in self.last_seen.items() if heard[0] > since}

    def count(self, since: int) -> tuple[int, int]:
        """Count the callers heard after this time, and those among them that came more than once."""
        times = [times for heard_at, times in self.last_seen.values() if heard_at > since]
        return len(times), sum(each > 1 for each in times)
