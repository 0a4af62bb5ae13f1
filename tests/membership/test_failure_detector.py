"""The failure detector alone: probes, suspicions, refutations, generations and exchanges."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from marlstep.membership.failure_detector import FailureDetector
from marlstep.membership.messages import Ack, Nack, OutboundMessage, Ping, PingRequest, StateExchange
from marlstep.membership.records import MemberRecord, MemberState
from marlstep.units import SECOND
from tests.membership.support import NOW, detector, known, record


def test_a_probe_goes_through_others_before_a_node_is_suspected_and_then_failed() -> None:
    one = known(detector(), "b", "c", "d", "e")
    now = NOW
    [ping] = [send for send in ticks(one, now) if isinstance(send.message, Ping)]
    assert isinstance(ping.message, Ping)
    name = ping.message.node
    now = one.next_due()
    asked = one.tick(now)
    assert [type(send.message) for send in asked] == [PingRequest] * 3 and name not in [
        one.address for one in asked
    ]
    probe = ping.message.number
    for send in asked:  # they hear this node, and had no answer either
        one.receive(now, record(send.address), Nack(probe))
    while one.members[name].record.state is MemberState.ALIVE:
        now = one.next_due()
        one.tick(now)
    assert (
        one.members[name].record.state is MemberState.SUSPECT
        and one.local_health == 0
        and name in one.alive()
    )
    for other in ("b", "c", "d", "e"):
        if other != name:  # the others suspect it too: that shortens the time to refute
            before = one.members[name].suspicion_ends_at
            suspect = replace(record(name, MemberState.SUSPECT), reported_by=other)
            one.receive(now, record(other), Ack(0, (suspect,)))
            after = one.members[name].suspicion_ends_at
            assert before is not None and after is not None and after <= before
    over = one.members[name].suspicion_ends_at
    assert over is not None and over <= now + 2 * SECOND
    while one.members[name].record.state is MemberState.SUSPECT:
        now = one.next_due()
        one.tick(now)
    assert one.members[name].record.state is MemberState.FAILED and name not in one.alive() and now == over


def ticks(one: FailureDetector, now: datetime) -> list[OutboundMessage]:
    """Until it says something."""
    for _ in range(50):
        now = max(now, one.next_due())
        if sends := one.tick(now):
            return sends
    raise AssertionError("it says nothing")


def test_who_hears_that_it_is_suspected_refutes_that_and_comes_back_from_failed_too() -> None:
    one = known(detector(), "b")
    for number, state in enumerate((MemberState.SUSPECT, MemberState.FAILED)):
        [ack] = one.receive(NOW, record("b"), Ping(1, "a", (record("a", state, number=number),)))
        assert one.local.incarnation == number + 1 and one.local_health == number + 1
        assert isinstance(ack.message, Ack)
    other = known(detector("b"), "a")
    other.receive(NOW, record("c"), Ack(0, (record("a", MemberState.FAILED),)))
    assert "a" not in other.alive()
    # The node that is taken for failed is told so, as only itself can put that right.
    [said] = other.receive(NOW, record("a"), Ack(3))
    assert isinstance(said.message, Ping) and said.message.records[0].state is MemberState.FAILED
    other.receive(NOW, one.local, Ack(0))
    assert "a" in other.alive()


def test_a_life_that_is_over_does_not_come_back_and_an_old_clock_does_no_harm() -> None:
    one = known(detector(), "b")
    one.receive(NOW, record("b", boot="b2", born=9), Ack(0))
    one.receive(NOW, record("c"), Ack(0, (record("b", number=7),)))  # a late word of its first life
    assert one.members["b"].record.process_id == "b2"
    # Started again with a clock that is behind: it hears of its own earlier life, and goes beyond.
    young = detector("b")
    young.local = replace(young.local, process_id="b3", generation=1)
    [told] = one.receive(NOW, young.local, Ack(0))
    young.receive(NOW, one.local, told.message)
    assert young.local.generation == 10
    one.receive(NOW, young.local, Ack(0))
    assert one.members["b"].record.process_id == "b3"


def test_two_with_one_name_are_told_apart_from_a_restart() -> None:
    one = detector()
    for number in range(6):
        one.receive(
            NOW, record("b"), Ack(0, (record("a", boot="other", born=one.local.generation + number),))
        )
    assert one.name_conflict and one.events[-1].event == "another process has this name"


def test_a_node_that_wakes_late_doubts_itself_first() -> None:
    for doubts in (True, False):
        one = known(detector(local_health_enabled=doubts), "b", "c", "d")
        one.receive(NOW, record("c"), Ack(0, (replace(record("b", MemberState.SUSPECT), reported_by="c"),)))
        late = one.next_due() + 9 * SECOND
        one.tick(late)
        assert one.local_health == int(doubts) and one.counts["late"] == 1
        one.next_due()
        one.tick(late + SECOND)
        failed = one.members["b"].record.state is MemberState.FAILED
        assert failed is not doubts  # a refutation may wait in its socket


def test_names_that_are_gone_are_forgotten_and_memory_stays_bounded() -> None:
    one = detector(reclaim_after=SECOND, exchange_interval=SECOND)
    for number in range(2_500):
        one.receive(NOW, record("x"), Ack(0, (record(f"n{number}"),)))
    assert len(one.members) == 2_000 and one.counts["crowded"] > 400
    for number in range(2_000):
        one.receive(NOW, record("x"), Ack(0, (record(f"n{number}", MemberState.FAILED),)))
    one.receive(NOW, record("x"), Ack(0, (record("never-heard", MemberState.FAILED),)))
    assert "never-heard" not in one.members
    now = NOW
    for _ in range(40):
        now = max(now + SECOND, one.next_due())
        one.tick(now)
    assert len(one.members) < 5


def test_an_exchange_comes_in_parts_and_only_the_last_asks_for_an_answer() -> None:
    one = detector()
    for number in range(450):
        one.receive(NOW, record("x"), Ack(0, (record(f"n{number}"),)))
    pages = one.receive(NOW, record("b"), StateExchange(True, (record("b"),)))
    assert len(pages) == 5 and all(page.over_stream for page in pages)
    other = detector("z")
    for page in pages:
        assert isinstance(page.message, StateExchange) and not page.message.answer
        other.receive(NOW, one.local, page.message)
    assert other.alive() >= one.alive()


states = st.sampled_from(list(MemberState))


words = st.builds(
    record,
    st.sampled_from("bcd"),
    states,
    st.sampled_from(["b1", "b2"]),
    st.integers(0, 3),
    st.integers(0, 3),
)


@given(st.lists(words, max_size=25), st.randoms())
def test_whatever_comes_in_whatever_order_all_end_with_the_same(
    said: list[MemberRecord], chance: Any
) -> None:
    """Records count by their order alone; and what is known of a name only goes up."""
    first, second = detector(), detector()
    shuffled = list(said)
    chance.shuffle(shuffled)
    for one, rows in ((first, said), (second, shuffled)):
        for node in "bcd":
            one.receive(NOW, record(node, born=0, boot=""), Ack(0))
        for row in rows:
            before = one.members[row.node].record.precedence
            one.receive(NOW, record("e"), Ack(0, (row,)))
            assert one.members[row.node].record.precedence >= before
    assert {k: v.record.precedence for k, v in first.members.items()} == {
        k: v.record.precedence for k, v in second.members.items()
    }
