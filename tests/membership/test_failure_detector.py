"""The failure detector without I/O: probes, suspicions, refutations, generations and state exchanges."""

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
from tests.membership.support import NOW, detector, record, with_members


def test_indirect_probes_precede_suspicion_and_confirmations_shorten_its_timeout() -> None:
    observer = with_members(detector(), "b", "c", "d", "e")
    now = NOW
    [ping] = [send for send in tick_until_sending(observer, now) if isinstance(send.message, Ping)]
    assert isinstance(ping.message, Ping)
    name = ping.message.node
    now = observer.next_due()
    requests = observer.tick(now)
    assert [type(send.message) for send in requests] == [PingRequest] * 3 and name not in [
        request.address for request in requests
    ]
    probe = ping.message.number
    for send in requests:  # the asked members received the request, but got no ack either
        observer.receive(now, record(send.address), Nack(probe))
    while observer.members[name].record.state is MemberState.ALIVE:
        now = observer.next_due()
        observer.tick(now)
    assert (
        observer.members[name].record.state is MemberState.SUSPECT
        and observer.local_health == 0
        and name in observer.alive()
    )
    for other in ("b", "c", "d", "e"):
        if other != name:  # another node's suspicion is a confirmation, which shortens the timeout
            before = observer.members[name].suspicion_ends_at
            suspect = replace(record(name, MemberState.SUSPECT), reported_by=other)
            observer.receive(now, record(other), Ack(0, (suspect,)))
            after = observer.members[name].suspicion_ends_at
            assert before is not None and after is not None and after <= before
    deadline = observer.members[name].suspicion_ends_at
    assert deadline is not None and deadline <= now + 2 * SECOND
    while observer.members[name].record.state is MemberState.SUSPECT:
        now = observer.next_due()
        observer.tick(now)
    assert (
        observer.members[name].record.state is MemberState.FAILED
        and name not in observer.alive()
        and now == deadline
    )


def tick_until_sending(observer: FailureDetector, now: datetime) -> list[OutboundMessage]:
    """Tick until there are messages to send, and return them."""
    for _ in range(50):
        now = max(now, observer.next_due())
        if sends := observer.tick(now):
            return sends
    raise AssertionError("nothing to send in 50 ticks")


def test_a_suspected_or_failed_node_refutes_with_a_higher_incarnation() -> None:
    observer = with_members(detector(), "b")
    for number, state in enumerate((MemberState.SUSPECT, MemberState.FAILED)):
        [ack] = observer.receive(NOW, record("b"), Ping(1, "a", (record("a", state, incarnation=number),)))
        assert observer.local.incarnation == number + 1 and observer.local_health == number + 1
        assert isinstance(ack.message, Ack)
    other = with_members(detector("b"), "a")
    other.receive(NOW, record("c"), Ack(0, (record("a", MemberState.FAILED),)))
    assert "a" not in other.alive()
    # The node is sent the record that declares it failed, since only the node itself can refute it.
    [correction] = other.receive(NOW, record("a"), Ack(3))
    assert isinstance(correction.message, Ping) and correction.message.records[0].state is MemberState.FAILED
    other.receive(NOW, observer.local, Ack(0))
    assert "a" in other.alive()


def test_records_of_an_earlier_process_are_ignored_and_a_restart_with_a_clock_set_back_is_not() -> None:
    observer = with_members(detector(), "b")
    observer.receive(NOW, record("b", process_id="b2", generation=9), Ack(0))
    observer.receive(
        NOW, record("c"), Ack(0, (record("b", incarnation=7),))
    )  # a delayed record of the first process
    assert observer.members["b"].record.process_id == "b2"
    # A process restarted with a clock set back receives the record of the earlier process, and raises its generation.
    restarted = detector("b")
    restarted.local = replace(restarted.local, process_id="b3", generation=1)
    [reply] = observer.receive(NOW, restarted.local, Ack(0))
    restarted.receive(NOW, observer.local, reply.message)
    assert restarted.local.generation == 10
    observer.receive(NOW, restarted.local, Ack(0))
    assert observer.members["b"].record.process_id == "b3"


def test_a_name_conflict_is_distinguished_from_a_restart() -> None:
    observer = detector()
    for number in range(6):
        observer.receive(
            NOW,
            record("b"),
            Ack(0, (record("a", process_id="other", generation=observer.local.generation + number),)),
        )
    assert observer.name_conflict and observer.events[-1].event == "another process has this name"


def test_a_late_wakeup_degrades_local_health_and_extends_suspicions() -> None:
    for enabled in (True, False):
        observer = with_members(detector(local_health_enabled=enabled), "b", "c", "d")
        observer.receive(
            NOW, record("c"), Ack(0, (replace(record("b", MemberState.SUSPECT), reported_by="c"),))
        )
        late = observer.next_due() + 9 * SECOND
        observer.tick(late)
        assert observer.local_health == int(enabled) and observer.counts["late"] == 1
        observer.next_due()
        observer.tick(late + SECOND)
        failed = observer.members["b"].record.state is MemberState.FAILED
        assert failed is not enabled  # a refutation may wait in the socket's buffer


def test_failed_names_are_reclaimed_and_the_number_of_members_is_bounded() -> None:
    observer = detector(reclaim_after=SECOND, exchange_interval=SECOND)
    for number in range(2_500):
        observer.receive(NOW, record("x"), Ack(0, (record(f"n{number}"),)))
    assert len(observer.members) == 2_000 and observer.counts["crowded"] > 400
    for number in range(2_000):
        observer.receive(NOW, record("x"), Ack(0, (record(f"n{number}", MemberState.FAILED),)))
    observer.receive(NOW, record("x"), Ack(0, (record("never-heard", MemberState.FAILED),)))
    assert "never-heard" not in observer.members
    now = NOW
    for _ in range(40):
        now = max(now + SECOND, observer.next_due())
        observer.tick(now)
    assert len(observer.members) < 5


def test_a_state_exchange_is_paged_and_its_response_requests_no_state() -> None:
    observer = detector()
    for number in range(450):
        observer.receive(NOW, record("x"), Ack(0, (record(f"n{number}"),)))
    pages = observer.receive(NOW, record("b"), StateExchange(True, (record("b"),)))
    assert len(pages) == 5 and all(page.over_stream for page in pages)
    other = detector("z")
    for page in pages:
        assert isinstance(page.message, StateExchange) and not page.message.answer
        other.receive(NOW, observer.local, page.message)
    assert other.alive() >= observer.alive()


member_states = st.sampled_from(list(MemberState))


random_records = st.builds(
    record,
    st.sampled_from("bcd"),
    member_states,
    st.sampled_from(["b1", "b2"]),
    st.integers(0, 3),
    st.integers(0, 3),
)


@given(st.lists(random_records, max_size=25), st.randoms())
def test_records_converge_in_any_order_and_precedence_only_rises(
    records: list[MemberRecord], shuffler: Any
) -> None:
    """Only the precedence of records matters, not the order in which they arrive."""
    first, second = detector(), detector()
    shuffled = list(records)
    shuffler.shuffle(shuffled)
    for observer, arrivals in ((first, records), (second, shuffled)):
        for node in "bcd":
            observer.receive(NOW, record(node, generation=0, process_id=""), Ack(0))
        for arrival in arrivals:
            before = observer.members[arrival.node].record.precedence
            observer.receive(NOW, record("e"), Ack(0, (arrival,)))
            assert observer.members[arrival.node].record.precedence >= before
    assert {name: member.record.precedence for name, member in first.members.items()} == {
        name: member.record.precedence for name, member in second.members.items()
    }
