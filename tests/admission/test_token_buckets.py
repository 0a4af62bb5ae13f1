"""Tests of token buckets."""

from __future__ import annotations

from marlstep.admission.timing import SECOND_US
from marlstep.admission.token_buckets import TokenBuckets


def test_a_bucket_starts_full_and_fills_at_its_rate() -> None:
    buckets = TokenBuckets()
    assert [buckets.take("riad", 2.0, 2.0, now=0) for _ in range(3)] == [True, True, False]
    assert not buckets.take("riad", 2.0, 2.0, now=SECOND_US // 4)
    assert buckets.take("riad", 2.0, 2.0, now=SECOND_US // 2)


def test_a_bucket_does_not_fill_beyond_its_burst() -> None:
    buckets = TokenBuckets()
    assert buckets.take("riad", 1.0, 1.0, now=0)
    assert [buckets.take("riad", 1.0, 1.0, now=9 * SECOND_US) for _ in range(2)] == [True, False]


def test_a_bucket_without_a_rate_gives_no_token() -> None:
    assert not TokenBuckets().take("riad", 0.0, 1.0, now=0)


def test_a_dropped_bucket_starts_full_again() -> None:
    buckets = TokenBuckets()
    buckets.take("riad", 1.0, 1.0, now=0)
    buckets.keep_only(())
    assert buckets.take("riad", 1.0, 1.0, now=0)
