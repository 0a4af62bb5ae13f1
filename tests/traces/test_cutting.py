"""Tests of the sections, thinning, time compression and burstiness of a trace."""

from __future__ import annotations

import itertools
import math
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from marlstep.traces.cutting import (
    Counts,
    Section,
    busiest_sections,
    compress_time,
    cut_sections,
    dispersion_index,
    repeat,
    thin_senders,
)
from marlstep.traces.mapping import KeyedHash, PlannedRequest
from tests.frontends.test_parsers import FIXED


@FIXED
@given(st.floats(0.05, 0.95), st.integers(0, 2**32))
def test_thinning_keeps_complete_senders_at_the_given_share(share: float, seed: int) -> None:
    keyed_hash = KeyedHash(seed)
    rows = [PlannedRequest(at, "a", "t", 1, keyed_hash.of(f"sender-{at % 400}")) for at in range(2000)]
    kept = list(thin_senders(iter(rows), share))
    counts = Counter(row.sender for row in kept)
    assert set(counts.values()) <= {5}
    # Five standard deviations of a binomial count; about one seed in two million exceeds them.
    assert abs(len(counts) - 400 * share) <= 5 * math.sqrt(400 * share * (1 - share)) + 1


@FIXED
@given(st.lists(st.integers(0, 200_000_000), min_size=1, max_size=60), st.integers(1, 30), st.integers(1, 4))
def test_the_busiest_sections_do_not_overlap_and_no_other_is_busier(
    times: list[int], seconds: int, max_count: int
) -> None:
    counts = Counts()
    for at in times:
        counts.add(at)
    found = busiest_sections(counts, seconds * 1_000_000, max_count)
    assert all(section.end_us <= other.start_us for section, other in itertools.pairwise(found))

    def count_within(start: int) -> int:
        return sum(start <= at // 1_000_000 < start + seconds for at in times)

    most = max(count_within(start) for start in range(max(1, len(counts.arrivals) - seconds + 1)))
    assert max(count_within(section.start_us // 1_000_000) for section in found) == most


def test_sections_are_joined_without_gaps_and_compression_keeps_the_relative_times() -> None:
    rows = [PlannedRequest(at * 1_000_000, "a", "t", 1, at) for at in range(100)]
    sections = [Section(10_000_000, 5_000_000), Section(50_000_000, 3_000_000)]
    found = list(cut_sections(iter(rows), sections))
    assert [row.sender for row in found] == [10, 11, 12, 13, 14, 50, 51, 52]
    assert [row.at_us // 1_000_000 for row in found] == list(range(8))
    assert [row.at_us for row in compress_time(iter(found), 4.0)] == [at * 250_000 for at in range(8)]
    again = list(repeat(lambda: iter(found), 8_000_000, 20_000_000))
    assert [row.at_us // 1_000_000 for row in again] == list(range(20))


def test_the_index_of_dispersion_is_high_for_bursts_and_0_for_an_even_stream() -> None:
    assert dispersion_index([5] * 50) == 0.0
    assert dispersion_index([0, 0, 0, 20] * 10) > 10
    assert dispersion_index([]) == dispersion_index([0, 0]) == dispersion_index([3]) == 0.0
