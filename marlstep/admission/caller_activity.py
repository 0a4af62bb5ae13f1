"""Time of the last request and number of requests of each caller."""

from __future__ import annotations

from marlstep.admission.timing import SECOND_US

# Inactive callers are dropped after this multiple of an advertised value's lifetime plus a second.
RETENTION_FACTOR = 5
MAX_CALLERS = 4096  # that are remembered; clients choose their numbers themselves


class CallerActivity:
    """Time of the last request, in microseconds, and number of requests by caller number.

    Of more than `MAX_CALLERS` callers those are remembered whose requests are the latest.
    """

    def __init__(self) -> None:
        """Initialize with no callers."""
        self.last_seen: dict[int, tuple[int, int]] = {}  # in the order of the last requests

    def record(self, caller: int, now: int) -> None:
        """Record a request of a caller at `now`, in microseconds."""
        _, requests = self.last_seen.pop(caller, (0, 0))
        self.last_seen[caller] = (now, requests + 1)
        if len(self.last_seen) > MAX_CALLERS:
            del self.last_seen[next(iter(self.last_seen))]

    def forget(self, caller: int) -> None:
        """Drop a caller whose request never ran."""
        self.last_seen.pop(caller, None)

    def forget_inactive(self, now: int, load_signal_lifetime_us: int) -> None:
        """Drop callers inactive for `RETENTION_FACTOR` times an advertised value's lifetime plus a second."""
        since = now - RETENTION_FACTOR * (load_signal_lifetime_us + SECOND_US)
        self.last_seen = {
            caller: (seen_at, requests)
            for caller, (seen_at, requests) in self.last_seen.items()
            if seen_at > since
        }

    def count(self, since: int) -> tuple[int, int]:
        """Return how many callers were active after `since`, and how many of these sent several requests."""
        request_counts = [requests for seen_at, requests in self.last_seen.values() if seen_at > since]
        return len(request_counts), sum(requests > 1 for requests in request_counts)
