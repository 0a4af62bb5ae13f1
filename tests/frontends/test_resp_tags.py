"""Which tags of a connection are accepted as unused."""

from __future__ import annotations

import random
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.frontends.resp_tags import MAX_TAG_RANGES, TagTracker
from tests.support.streams import FIXED

HIGHEST_TAG = 10**20 - 1
BYTES_PER_TRACKER = 8 * 1024  # a part of the 16 KiB that a connection may take


def random_tags() -> list[int]:
    random_source = random.Random(5)
    return list({random_source.randint(1, HIGHEST_TAG) for _ in range(5_000)})


@FIXED
@given(st.permutations(range(1, 30)))
def test_each_tag_is_accepted_once_in_any_order(order: list[int]) -> None:
    tracker = TagTracker()
    assert all(tracker.mark_used(tag) for tag in order)
    assert not any(tracker.mark_used(tag) for tag in order)
    assert all(tracker.may_be_used(tag) for tag in order) and not tracker.may_be_used(30)


@pytest.mark.parametrize(
    "tags",
    [
        range(2, 20_000),
        range(1, 20_000, 2),
        range(20_000, 0, -1),
        range(20_000, 0, -2),
        [tag for burst in range(1, 20_000, 24) for tag in range(burst, burst + 12)],
        random_tags(),
    ],
    ids=["after a gap", "odd", "descending", "descending with gaps", "every other dozen", "random"],
)
def test_no_new_tag_passes_for_a_repeated_one(tags: range | list[int]) -> None:
    # Guards against a connection that ends, and drops the requests behind, after a number of tags beyond a gap.
    tracker = TagTracker()
    assert all(tracker.mark_used(tag) for tag in tags)
    assert all(tracker.may_be_used(tag) for tag in tags)


def test_the_highest_ranges_of_tags_are_remembered_up_to_a_limit() -> None:
    tracker = TagTracker()
    last = 2 * (MAX_TAG_RANGES + 10)
    assert all(tracker.mark_used(tag) for tag in range(2, last + 1, 2))
    remembered = range(last - 2 * (MAX_TAG_RANGES - 1), last + 1, 2)
    assert len(remembered) == MAX_TAG_RANGES and not any(tracker.mark_used(tag) for tag in remembered)
    assert tracker.mark_used(2) and not tracker.may_be_used(last + 1)


def test_a_tracker_takes_bounded_memory_for_tags_without_order() -> None:
    # Guards against a client that uses ever new tags with gaps on each of its connections.
    tags = random_tags()
    tracemalloc.start()
    try:
        tracker = TagTracker()
        before, _ = tracemalloc.get_traced_memory()
        for tag in tags:
            tracker.mark_used(tag)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before < BYTES_PER_TRACKER
