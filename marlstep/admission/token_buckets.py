"""Token buckets by name. Their rates, and what follows from an empty one, are decided elsewhere."""

from __future__ import annotations

from collections.abc import Collection

from marlstep.admission.timing import SECOND_US


class TokenBuckets:
    """Buckets that start full; one with a rate of 0 gives no token."""

    def __init__(self) -> None:
        """Start without a bucket."""
        self._tokens: dict[str, tuple[float, int]] = {}  # how many, and when they were counted

    def take(self, name: str, rate_per_s: float, burst: float, now: int) -> bool:
        """Fill a bucket for the time that has passed, and take a token if there is one.

        Args:
            name: of the bucket.
            rate_per_s: tokens a second by which it fills.
            burst: tokens at which it is full.
            now: the time, in microseconds.

        Returns:
            Whether a token was taken.
        """
        tokens, counted_at = self._tokens.get(name, (burst, now))
        tokens = min(burst, tokens + rate_per_s * (now - counted_at) / SECOND_US)
        is_taken = rate_per_s > 0 and tokens >= 1
        if is_taken:
            tokens -= 1
        self._tokens[name] = (tokens, now)
        return is_taken

    def keep_only(self, names: Collection[str]) -> None:
        """Drop all other buckets."""
        self._tokens = {name: bucket for name, bucket in self._tokens.items() if name in names}
