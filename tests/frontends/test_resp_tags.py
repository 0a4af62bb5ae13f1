"""Which tags of a connection are accepted as unused."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.frontends.resp_tags import MAX_TAGS_AHEAD, TagTracker
from tests.support.streams import FIXED


@FIXED
@given(st.permutations(range(1, 30)))
def test_each_tag_is_accepted_once_in_any_order(order: list[int]) -> None:
    tracker = TagTracker()
    assert all(tracker.mark_used(tag) for tag in order)
    assert not any(tracker.mark_used(tag) for tag in order)


def test_tags_out_of_order_are_remembered_up_to_a_limit() -> None:
    tracker = TagTracker()
    assert all(tracker.mark_used(tag) for tag in range(2, MAX_TAGS_AHEAD + 2))
    assert not tracker.mark_used(MAX_TAGS_AHEAD + 2) and not tracker.is_used(MAX_TAGS_AHEAD + 2)
