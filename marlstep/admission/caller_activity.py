"""When callers were last seen, and how often."""

from __future__ import annotations

from marlstep.admission.timing import SECOND_US

RETENTION_FACTOR = 5  # of an advertised value's lifetime plus a second; later a caller is forgotten


class CallerActivity:
    """Callers by number, with the time of their last request in microseconds and the count of all."""

    def __init__(self) -> None:
        """Start without a caller."""
        self.last_seen: dict[int, tuple[int, int]] = {}

    def record(self, caller: int, now: int) -> None:
        """Count a request of a caller."""
        _, requests = self.last_seen.get(caller, (0, 0))
        self.last_seen[caller] = (now, requests + 1)

    def forget(self, caller: int) -> None:
        """Drop a caller whose request turned out not to exist."""
        self.last_seen.pop(caller, None)

    def forget_inactive(self, now: int, load_signal_lifetime_us: int) -> None:
        """Drop the callers that have not been seen for several lifetimes of an advertised value."""
        since = now - RETENTION_FACTOR * (load_signal_lifetime_us + SECOND_US)
        self.last_seen = {
            caller: (seen_at, requests)
            for caller, (seen_at, requests) in self.last_seen.items()
            if seen_at > since
        }

    def count(self, since: int) -> tuple[int, int]:
        """Return how many callers were seen after this time, and how many of these more than once."""
        request_counts = [requests for seen_at, requests in self.last_seen.values() if seen_at > since]
        return len(request_counts), sum(requests > 1 for requests in request_counts)
