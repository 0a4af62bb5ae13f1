"""Token buckets by name. Callers provide the rates and decide what an empty bucket means."""

from __future__ import annotations

from collections.abc import Collection

from marlstep.admission.timing import SECOND_US


class TokenBuckets:
    """Token buckets, created full on first use. A bucket with a rate of 0 never provides a token."""

    def __init__(self) -> None:
        """Initialize with no buckets."""
        self._tokens: dict[str, tuple[float, int]] = {}  # by name: number of tokens, time of the last update

    def take(self, name: str, rate_per_s: float, burst: float, now: int) -> bool:
        """Refill a bucket for the elapsed time, and take a token if one is available.

        Args:
            name: Name of the bucket.
            rate_per_s: Tokens added per second.
            burst: Maximum number of tokens in the bucket.
            now: The current time, in microseconds.

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
        """Drop all buckets except those with the given names."""
        self._tokens = {name: bucket for name, bucket in self._tokens.items() if name in names}
