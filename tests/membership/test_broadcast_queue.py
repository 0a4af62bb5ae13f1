"""Dissemination of membership records by piggybacking."""

from __future__ import annotations

from marlstep.membership.broadcast_queue import BroadcastQueue
from marlstep.membership.member_list import Member, MemberList
from marlstep.membership.records import MemberState
from tests.membership.support import NOW, record


def queue_with(*nodes: str, records_per_message: int = 12) -> BroadcastQueue:
    members = MemberList(record("a"))
    for node in nodes:
        members.others[node] = Member(record(node), NOW)
    queue = BroadcastQueue(members, retransmit_multiplier=2.0, records_per_message=records_per_message)
    for node in nodes:
        queue.enqueue(node)
    return queue


def test_a_record_is_retransmitted_a_bounded_number_of_times_and_again_once_enqueued() -> None:
    queue = queue_with("b")
    assert [len(queue.take()) for _ in range(3)] == [1, 1, 0]
    queue.enqueue("b")
    assert queue.take() == (record("b"),)


def test_the_least_often_sent_records_are_taken_first_within_the_limit_of_a_message() -> None:
    queue = queue_with("b", "c", "d", records_per_message=2)
    assert queue.take() == (record("b"), record("c"))
    assert queue.take()[0] == record("d")


def test_the_given_record_comes_first_and_unknown_or_discarded_nodes_are_omitted() -> None:
    queue = queue_with("b", "c")
    queue.enqueue("unknown")
    queue.discard("c")
    suspect = record("d", MemberState.SUSPECT)
    assert queue.take(suspect) == (suspect, record("b"))


def test_the_local_record_is_disseminated_as_it_is_at_the_time_of_sending() -> None:
    members = MemberList(record("a"))
    queue = BroadcastQueue(members, retransmit_multiplier=2.0, records_per_message=12)
    queue.enqueue("a")
    members.local = record("a", incarnation=7)
    assert queue.take() == (record("a", incarnation=7),)
