"""Token buckets by name: counts only. Their rates, and what lacks a token, are decided elsewhere."""

from __future__ import annotations

from collections.abc import Collection

from marlstep.admission.timing import SECOND


class TokenBuckets:
    """Buckets that start full; a bucket that does not fill gives no token."""

    def __init__(self) -> None:
        """Start without a bucket."""
        self._tokens: dict[str, tuple[float, int]] = {}  # how many, and when they were counted

    def take(self, name: str, rate_per_s: float, burst: float, now: int) -> bool:
        """Fill a bucket for the time that has passed, and take a token if there is one."""
        tokens, counted_at = self._tokens.get(name, (burst, now))
        tokens = min(burst, tokens + rate_per_s * (now - counted_at) / SECOND)
        is_taken = rate_per_s > 0 and tokens >= 1
        self._tokens[name] = (tokens - is_taken, now)
        return is_taken

    def keep_only(self, names: Collection[str]) -> None:
        """Drop all other buckets."""
        self._tokens = {name: left for name, left in self._tokens.items() if name in names}
