"""Members: what a node hears of the others, what all agree on, and what each does while they disagree."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import socket
from dataclasses import replace
from datetime import datetime, timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.cli.drill import members_one
from marlstep.cli.main import call
from marlstep.cluster import wire
from marlstep.cluster.context import ProcessState
from marlstep.cluster.lifecycle import Lifecycle
from marlstep.config import ConfigError, check
from marlstep.drill.acts import Act
from marlstep.drill.broken import MEMBERS_BREAKAGES, Breakage
from marlstep.drill.links import Ports
from marlstep.drill.members import Line, forbidden_acts, wrongly_removed
from marlstep.drill.plan import Fault, Plan, Shape, draw
from marlstep.drill.rig import Rig, Settings
from marlstep.drill.rules import ListServers
from marlstep.drill.virtual_members import KINDS, run_members
from marlstep.fronts.uwsgi_wire import write_packet
from marlstep.leases.manager import LeaseManager
from marlstep.leases.messages import Heartbeat
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.membership.failure_detector import DetectorSettings, FailureDetector, OutboundMessage
from marlstep.membership.messages import Ack, Nack, Ping, PingRequest, StateExchange
from marlstep.membership.partition_state import (
    CAPABILITIES,
    CONNECTED_STATES,
    PartitionObservation,
    PartitionState,
    PartitionTracker,
    classify,
)
from marlstep.membership.quota_balancer import BALANCE_INTERVAL, QuotaBalancer, target_shares
from marlstep.membership.quota_commands import ConfirmShrink, GrowShare, SetTenants
from marlstep.membership.quota_lease import DemandEstimator, QuotaLease
from marlstep.membership.quota_table import FULL_QUOTA, QuotaTable, quota_limit_violation
from marlstep.membership.records import MemberRecord, MemberState, read_records, write_records
from marlstep.membership.roster import Roster
from marlstep.membership.roster_controller import FailureReport, RosterController, RosterSettings
from marlstep.net.framing import CorruptError
from marlstep.units import EPOCH, MILLISECOND, SECOND
from tests.support.node import SETTINGS, raw_config

ROOT = Path(__file__).parent.parent.parent
CONFIG = ROOT / "deploy" / "node.json"
NOW = EPOCH + timedelta(days=9)
NODES = ("n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12")


def record(
    node: str, state: MemberState = MemberState.ALIVE, boot: str = "b1", born: int = 5, number: int = 0
) -> MemberRecord:
    return MemberRecord(node, boot, born, number, state, node, "z1")


def detector(node: str = "a", **settings: Any) -> FailureDetector:
    return FailureDetector(record(node), DetectorSettings(**settings), random.Random(1), NOW)


def known(one: FailureDetector, *nodes: str) -> FailureDetector:
    for node in nodes:
        one.receive(NOW, record(node), Ack(0))
    return one


# The detector.


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


@pytest.mark.parametrize("seed", range(30, 36))
def test_all_hear_of_all_in_the_end_on_the_virtual_network(seed: int) -> None:
    plan = draw(seed, Shape(nodes=12, length_ms=30_000, kinds=KINDS, every_ms=2_000))
    world, why = run_members(plan, loss=0.05)
    assert not why and world.measured.datagrams > 500


def cuts(*groups: tuple[str, ...], at: int = 5_000, span: int = 8_000) -> tuple[Fault, ...]:
    """Nobody of one group hears anybody of another."""
    return tuple(
        Fault(at, span, "cut", one, other)
        for number, here in enumerate(groups)
        for there in groups[number + 1 :]
        for one in here
        for other in there
    )


HARD = {
    "stopped for 1 s, 5 s, 30 s": (
        Fault(4_000, 1_000, "stop", "n1"),
        Fault(4_000, 5_000, "stop", "n5"),
        Fault(4_000, 30_000, "stop", "n9"),
    ),
    "three sides": cuts(NODES[:4], NODES[4:8], NODES[8:]),
    "a bridge that alone sees both sides": cuts(NODES[:6], NODES[7:]),
    "heard by nobody": (Fault(5_000, 9_000, "mute", "n5"),),
    "hears nobody": (Fault(5_000, 9_000, "deaf", "n5"),),
    "one way to each": tuple(Fault(5_000, 9_000, "one way", "n5", other) for other in NODES if other != "n5")[
        :6
    ],
    "60% replaced within 7 s": tuple(
        Fault(5_000 + number * 1_000, 1_500, "kill", name) for number, name in enumerate(NODES[:7])
    ),
    "a zone lost, and back cold": tuple(Fault(5_000, 6_000, "kill", name) for name in NODES[::3]),
}


@pytest.mark.parametrize("name", HARD)
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_hard_case_ends_with_all_hearing_of_all(name: str, loss: float) -> None:
    last = max(one.at_ms + one.for_ms for one in HARD[name])
    length = last + (12_000 if not loss else 30_000)
    world, why = run_members(Plan(5, NODES, NODES[:3], length, (1.0,) * 12, HARD[name]), loss=loss)
    if not loss:
        assert not why and not (name == "one way to each" and world.measured.false_failures)
    else:  # with a third of all datagrams lost somebody is suspected at any moment, and seldom taken for failed
        minutes = length / 60_000
        assert world.measured.false_failures / len(NODES) / minutes < 12


def test_a_slow_node_is_not_taken_for_dead_and_does_not_make_others_look_dead() -> None:
    plan = Plan(7, NODES, NODES[:3], 60_000, (1.0,) * 12, ())
    world, why = run_members(
        plan, loss=0.01, slow=0.25
    )  # a loop that is late by up to a second, again and again
    assert not why and not world.measured.false_failures
    assert sum(node.detector.counts["late"] for node in world.nodes.values()) > 10


@pytest.mark.parametrize(("name", "seed"), [("incarnation-not-raised", 3), ("old-boot-taken", 0)])
def test_a_deliberate_breakage_of_the_members_is_found(name: str, seed: int) -> None:
    plan = draw(seed, Shape(nodes=12, length_ms=40_000, kinds=KINDS, every_ms=2_500))
    assert run_members(plan, MEMBERS_BREAKAGES[name])[1] and not run_members(plan, Breakage())[1]


def test_without_faults_nobody_is_suspected_and_the_load_does_not_grow_with_the_fleet() -> None:
    rates = []
    for nodes in (10, 60):
        names = tuple(f"n{number}" for number in range(nodes))
        world, why = run_members(Plan(1, names, names[:3], 20_000, (1.0,) * nodes, ()), loss=0.0)
        assert not why and not world.measured.false_suspicions
        rates.append(world.measured.datagrams / nodes)
    assert rates[1] < 1.2 * rates[0]


# Datagrams.


def wired(node: str, number: int = 0) -> MemberRecord:
    return replace(record(node, number=number), address="10.1.2.3:7001")


def test_datagrams_come_back_as_they_were_and_fit_into_one_packet() -> None:
    rows = tuple(wired(f"node-{number}", number) for number in range(60))
    for message in (Ping(1, "b", rows), Ack(2, rows), PingRequest(3, "b", "127.0.0.1:1", rows), Nack(4)):
        body = wire.write_datagram("f", wired("a"), message)
        frame = wire.datagram_framing(b"k" * 32).write(body)
        assert len(frame) <= wire.MAX_DATAGRAM_BYTES
        fleet, sender, read = wire.read_datagram(body)
        assert (fleet, sender) == ("f", wired("a")) and type(read) is type(message)
        assert read.records == message.records[: len(read.records)] and (
            len(read.records) > 5 or not message.records
        )
    exchanged = wire.ExchangeMessage((wired("a"),), True, rows)
    told = wire.read_envelope(wire.write_envelope(wire.Envelope("f", "", "a/1", "b", exchanged)))
    assert told.message == exchanged
    assert read_records(json.loads(json.dumps(write_records(rows)))) == rows


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'["f",[],["Ping",{}]]',
        b'["f",["a","b",-1,0,"alive","1.1.1.1:1","",""],["Ack",{"number":1}]]',
        b'["f",["a","b",1,0,"there","1.1.1.1:1","",""],["Ack",{"number":1}]]',
        b'[1,["a","b",1,0,"alive","1.1.1.1:1","",""],["Ack",{"number":1}]]',
        b'["f",["a","b",1,0,"alive","1.1.1.1:1","",""],["Told",{"number":1}]]',
        *(
            f'["f",["a","b",1,0,"alive","{address}","",""],["Ack",{{"number":1}}]]'.encode()
            for address in ("", "abc", "localhost:1", "1.1.1.1", "1.1.1.1:x", "1.1.1.1:0", "1.1.1.1:99999")
        ),
        b'["f",["a","b",1,0,"alive","1.1.1.1:1","",""],["PingFor",{"number":1,"node":"c","address":"c:1"}]]',
    ],
)
def test_a_datagram_without_sense_is_corrupt(body: bytes) -> None:
    with pytest.raises(CorruptError):
        wire.read_datagram(body)


def test_datagrams_are_opened_once_the_elder_has_given_the_address_up() -> None:
    class Taken:
        tries = 0

        async def open(self) -> None:
            self.tries += 1
            if self.tries < 3:
                raise OSError(98, "Address already in use")

    members: Any = Taken()
    lifecycle = object.__new__(Lifecycle)
    config = SimpleNamespace(listen=("127.0.0.1", 1))
    lifecycle._context = SimpleNamespace(process=ProcessState(), config=config)  # type: ignore[assignment]
    asyncio.run(lifecycle._open_datagrams(members))
    assert members.tries == 3


# Who belongs.


class Group:
    """A leader that looks every 100 ms at what the nodes say."""

    def __init__(self, *nodes: str, **settings: Any) -> None:
        self.agreed = Roster()
        self.keeping = RosterController(RosterSettings(**settings))
        self.now = NOW
        self.keeping.become_leader(self.now)
        for node in nodes:
            self.agreed.apply({"do": "admit", "node": node})
        self.done: list[str] = []

    def go(self, seconds: float, heard: str, failed: str = "", holds: str = "") -> list[str]:
        """These are heard, and each hears those as failed. What was done."""
        self.done = []
        for _ in range(int(seconds * 10)):
            self.now += 100 * MILLISECOND
            words = {f"{one}/1": FailureReport(one, self.now, frozenset(failed)) for one in heard}
            for change in self.keeping.reconcile(self.now, self.agreed, words, frozenset(holds), 2 * SECOND):
                command = change.to_json()
                self.agreed.apply(command)
                self.done.append(f"{command['do']} {command['node']}")
        return self.done


def test_a_node_is_taken_out_when_enough_hear_it_as_failed_and_its_leases_are_over() -> None:
    group = Group(*"abcde")
    assert not group.go(1.5, "abcd", "e")  # who has just come to lead has not heard all
    assert not group.go(3, "abcd", "e", holds="e")
    assert group.go(1, "abcd", "e") == ["remove e"] and group.agreed.members() == frozenset("abcd")
    assert not group.go(1, "abcde") and group.go(5, "abcde") == ["admit e"]  # after its probation
    assert not group.go(5, "abcd", "")  # silent alone is not failed


def test_only_who_belongs_has_leases_of_tasks_and_the_others_end_by_time() -> None:
    table = LeaseTable()
    keeper = LeaseManager(table, LeaseSettings())
    keeper.become_leader(NOW)

    def go(now: datetime, node: str) -> tuple[Any, ...]:
        for command in [
            *keeper.handle_heartbeat(now, Heartbeat(node, "1", 1, ("task/t", f"rules/{node}/1")), 0),
            *keeper.tick(now),
        ]:
            keeper.on_applied(now, command, table.apply(command), 0)
        return dict(keeper.take_responses(now, 9, "l", 1))[f"{node}/1"].leases

    keeper.set_eligible_nodes(frozenset("b"))
    later = NOW + 4 * SECOND
    assert [name for name, _ in go(later, "a")] == ["rules/a/1"]  # documents are acted on by whoever is there
    assert len(go(later, "b")) == 2
    keeper.set_eligible_nodes(frozenset("a"))
    assert [name for name, _ in go(later + SECOND, "b")] == ["rules/b/1"] and table.holder("task/t") == "b/1"
    go(later + 2 * SECOND, "a")
    assert table.holder("task/t") == "b/1"  # it may still act on what it was told before
    over = later + 4 * SECOND
    go(over, "a")
    assert table.holder("task/t") in ("", "a/1")
    go(over, "a")
    assert table.holder("task/t") == "a/1"


def test_one_that_flaps_waits_longer_each_time() -> None:
    group = Group(*"abcde")
    group.go(2, "abcde")
    waits = []
    for _ in range(4):
        assert group.go(3, "abcd", "e") == ["remove e"]
        waits.append(0)
        while not group.go(1, "abcde"):
            waits[-1] += 1
    assert waits == sorted(waits) and waits[-1] >= 3 * max(1, waits[0])


def test_many_that_seem_to_fail_at_once_are_not_believed_until_operators_say_so() -> None:
    group = Group(*"abcdefghij")
    group.go(3, "abcdefghij")
    assert not group.go(30, "abcdef", "ghij") and group.keeping.withheld_removals == list("ghij")
    group.agreed.apply({"do": "believe", "nodes": ["g", "h"]})
    assert group.go(1, "abcdef", "ghij") == ["remove g", "remove h"]
    assert not group.agreed.confirmed_failures and group.agreed.members() >= frozenset("ij")


def test_one_node_alone_sees_nothing_that_is_enough_and_operators_have_the_last_word() -> None:
    group = Group(*"abcd")
    group.go(3, "abcd")
    # Only the leader's own node hears d as failed.
    words = {f"{one}/1": FailureReport(one, group.now, frozenset("d" if one == "a" else "")) for one in "abc"}
    assert not group.keeping.reconcile(group.now, group.agreed, words, frozenset(), 2 * SECOND)
    assert "removed" in group.agreed.apply({"do": "remove", "node": "d", "why": "x", "held_off": True})
    assert not group.go(20, "abcd") and "refused" in group.agreed.apply({"do": "admit", "node": "d"})
    group.agreed.apply({"do": "readmit", "node": "d"})
    assert group.go(10, "abcd") == ["admit d"]
    again = Roster()
    again.restore(json.loads(json.dumps(group.agreed.snapshot())))
    assert again.snapshot() == group.agreed.snapshot()
    assert "refused" in again.apply({"do": "remove", "node": "z", "why": ""})


# Parts of allowances.


def service(*nodes: str) -> tuple[LeaseTable, QuotaTable]:
    table = LeaseTable()
    for node in nodes:
        table.apply({"do": "grant", "name": f"rules/{node}", "holder": node, "most": 0})
    shares = QuotaTable(table)
    shares.apply({"do": "tenants", "names": ["t"]})
    return table, shares


orders = st.tuples(
    st.sampled_from(["grow", "shrink", "gave", "gone"]), st.sampled_from(["a/1", "b/1", "c/1", "d/1"]),
    st.integers(0, FULL_QUOTA + 1),
)  # fmt: skip


@given(st.lists(orders, max_size=40))
def test_parts_never_sum_to_more_than_the_whole_whatever_is_asked(rows: list[tuple[str, str, int]]) -> None:
    table, shares = service("a/1", "b/1", "c/1")
    using = {one: QuotaLease() for one in ("a/1", "b/1", "c/1", "d/1")}
    for what, holder, to in rows:
        if what == "gone" and f"rules/{holder}" in table.leases:
            table.apply(
                {"do": "expire", "name": f"rules/{holder}", "token": table.leases[f"rules/{holder}"].token}
            )
        elif what != "gone":
            shares.apply({"do": what, "tenant": "t", "holder": holder, "to": to})
        for one in using:
            using[one].update(shares.shares_of(one))
        assert sum(part.granted for part in shares.tenants["t"].values()) <= FULL_QUOTA
        live = [one for one in using if f"rules/{one}" in table.leases]
        assert sum(using[one].shares.get("t", 0) for one in live) <= FULL_QUOTA
    again = QuotaTable(table)
    again.restore(json.loads(json.dumps(shares.snapshot())))
    assert again.snapshot() == shares.snapshot()


@given(st.lists(st.floats(0, 300), min_size=1, max_size=12))
def test_who_asks_for_less_than_there_is_gets_it_and_the_rest_is_shared(demands: list[float]) -> None:
    live = [f"n{number}" for number in range(len(demands))]
    found = target_shares(live, dict(zip(live, demands, strict=True)), 100.0)
    assert sum(found.values()) <= FULL_QUOTA and sum(found.values()) >= FULL_QUOTA - len(live) ** 2 - len(
        live
    )
    fair = 0.9 * FULL_QUOTA / len(live)
    for one, demand in zip(live, demands, strict=True):
        assert found[one] / FULL_QUOTA * 100 >= min(demand, fair / FULL_QUOTA * 100) * 0.99


@pytest.mark.parametrize("nodes", [2, 5, 40])
def test_parts_move_to_where_the_demand_is_and_back_within_a_few_looks(nodes: int) -> None:
    names = [f"n{number}/1" for number in range(nodes)]
    _, shares = service(*names)
    balance, now = QuotaBalancer(), NOW
    using = {one: QuotaLease() for one in names}
    for hungry in (names[0], names[-1]):
        looks = messages = 0
        while using[hungry].share_of("t") < 0.95:
            now += BALANCE_INTERVAL
            looks += 1
            assert looks < 12 + nodes
            for command in balance.rebalance(now, shares, {"t": 100.0}, {hungry: {"t": 100.0}}):
                shares.apply(command.to_json())
                messages += 1
            for one in names:
                for tenant, to in using[one].update(shares.shares_of(one)):
                    shares.apply(ConfirmShrink(tenant, one, to).to_json())
        assert messages <= 4 * nodes + 8
    assert not balance.rebalance(now + BALANCE_INTERVAL / 2, shares, {"t": 100.0}, {})  # not so soon again
    assert balance.rebalance(now + BALANCE_INTERVAL, shares, {"u": 1.0}, {}) == [SetTenants(("u",))]


def test_more_tenants_than_an_answer_can_tell_of_are_turned_down() -> None:
    row = {"share": 0.001, "allowance_per_s": 2.0}
    assert not quota_limit_violation({f"t{number}": row for number in range(200)})
    assert not quota_limit_violation({f"t{number}": {"share": 0.001} for number in range(500)})
    assert "201 are named" in quota_limit_violation({f"t{number}": row for number in range(201)})
    assert "64 characters" in quota_limit_violation({"t" * 65: row})


def test_demand_follows_what_comes_and_forgets_who_is_gone() -> None:
    demand, now, count = DemandEstimator(), NOW, 0
    for _ in range(20):
        now += 500 * MILLISECOND
        count += 20
        told = dict(demand.estimate(now, {"t": count}))
    assert 38_000 < told["t"] <= 40_000
    assert demand.estimate(now, {"t": count}) == tuple(told.items())  # no time passed
    for _ in range(20):
        now += 500 * MILLISECOND
        told = dict(demand.estimate(now, {"t": count}))
    assert told["t"] < 1_000 and not demand.estimate(now, {})


def test_a_dead_process_s_part_comes_back_only_with_its_lease() -> None:
    table, shares = service("a/1", "b/1")
    shares.apply({"do": "grow", "tenant": "t", "holder": "a/1", "to": FULL_QUOTA})
    assert "refused" in shares.apply({"do": "grow", "tenant": "t", "holder": "b/1", "to": 10})
    shares.apply({"do": "shrink", "tenant": "t", "holder": "a/1", "to": 10})
    assert "refused" in shares.apply(
        {"do": "grow", "tenant": "t", "holder": "b/1", "to": 10}
    )  # it did not say so
    table.apply({"do": "expire", "name": "rules/a/1", "token": table.leases["rules/a/1"].token})
    # The leader sees that at once, though nothing about parts was in the log since then.
    [grow] = QuotaBalancer().rebalance(NOW, shares, {"t": 100.0}, {"b/1": {"t": 100.0}})
    assert isinstance(grow, GrowShare) and grow.holder == "b/1" and grow.share >= 0.95 * FULL_QUOTA
    assert "part" in shares.apply(grow.to_json())


def test_processes_share_an_allowance_by_demand(tmp_path: Path) -> None:
    """Requests of one tenant at one node alone, which then dies: what all may use is never over the whole."""
    rules: dict[str, dict[str, Any]] = {"tenants": {"kind": "tenants"}}
    free, servers = Ports(), ListServers()
    seen: list[dict[str, int]] = []

    async def drill() -> tuple[float, float]:
        await servers.open(free)
        pool = (f"127.0.0.1:{servers.ports[0]}",)
        told = json.loads(CONFIG.read_text())
        settings = Settings(told, tasks={}, pool=pool, rules=rules, tenants={"riad": 40.0})
        async with Rig(Plan(63, NODES[:5], NODES[:3], 0, (1.0,) * 5, ()), settings, tmp_path) as rig:

            async def ask(name: str) -> None:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", rig.nodes[name].uwsgi)
                    told = {"HTTP_X_CLASS": "temp-history", "HTTP_X_TENANT": "riad", "CONTENT_LENGTH": "0"}
                    told |= {"HTTP_X_NODE": name, "HTTP_X_SENT": "0"}
                    writer.write(write_packet(told))
                    await reader.read(1_000)
                    writer.close()

            async def until(name: str, part: float) -> float:
                for _ in range(400):
                    rows = {}
                    for one, node in rig.nodes.items():
                        with contextlib.suppress(OSError, ValueError):
                            told = await node.call("/v1/fleet/rules")
                            rows[one] = told["parts"].get("riad", 0) if told["lease_ms"] else 0
                    seen.append(rows)
                    if rows.get(name, 0) >= part * FULL_QUOTA:
                        break
                    await asyncio.gather(*(ask(name) for _ in range(3)), asyncio.sleep(0.05))
                return seen[-1].get(name, 0) / FULL_QUOTA

            first = await until("n4", 0.9)
            rig.nodes["n4"].signal(signal.SIGKILL)
            return first, await until("n5", 0.9)

    first, second = asyncio.run(drill())
    servers.close()
    free.close()
    assert first >= 0.9 and second >= 0.9
    # Polled one after another, so a part that moves may be seen twice: the virtual network looks at one moment.
    assert sum(sum(rows.values()) > 1.02 * FULL_QUOTA for rows in seen) <= len(seen) / 4


# Situations.

WELL = PartitionObservation(
    True, frozenset("abc"), frozenset("abcd"), frozenset(), frozenset("abcd"), True, True
)
SIGHTS = {
    PartitionState.HEALTHY: WELL,
    PartitionState.SUSPICION: replace(WELL, suspected=frozenset("d")),
    PartitionState.MAJORITY: replace(WELL, alive=frozenset("abc")),
    PartitionState.MINORITY: replace(WELL, quorum_responds=False, alive=frozenset("ad")),
    PartitionState.QUORUM_LOST: replace(WELL, quorum_responds=False),
    PartitionState.UNHEARD: replace(WELL, quorum_responds=False, is_acknowledged=False),
    PartitionState.ISOLATED: replace(WELL, quorum_responds=False, receives=False, is_acknowledged=False),
}


@pytest.mark.parametrize("situation", SIGHTS)
def test_each_situation_is_told_by_what_is_seen_and_left_by_way_of_coming_back(
    situation: PartitionState,
) -> None:
    assert classify(SIGHTS[situation]) is situation
    standing, now = PartitionTracker(NOW), NOW
    seen = []

    def go(sight: PartitionObservation, seconds: float) -> None:
        nonlocal now
        for _ in range(int(seconds * 20)):
            now += 50 * MILLISECOND
            if standing.observe(now, sight):
                seen.append(standing.state)

    go(WELL, 3)
    assert standing.state is PartitionState.HEALTHY and seen == [PartitionState.HEALTHY]
    go(SIGHTS[situation], 1)
    assert standing.state is situation
    go(WELL, 5)
    bad = situation not in CONNECTED_STATES
    assert standing.state is PartitionState.HEALTHY and (PartitionState.RECOVERING in seen) is bad
    go(SIGHTS[situation], 0.2)  # too short to count
    assert standing.state is PartitionState.HEALTHY


@given(st.lists(st.tuples(st.sampled_from(sorted(SIGHTS, key=str)), st.integers(1, 60)), max_size=30))
def test_no_task_is_begun_where_the_group_does_not_answer_and_turns_are_not_too_many(
    rows: list[tuple[PartitionState, int]],
) -> None:
    standing, now, turns, cut_off = PartitionTracker(NOW), NOW, 0, 0
    for situation, steps in rows:
        for _ in range(steps):
            now += 100 * MILLISECOND
            turns += standing.observe(now, SIGHTS[situation])
            cut_off = 0 if SIGHTS[situation].quorum_responds else cut_off + 1
            if cut_off > 4:
                assert not standing.capabilities.starts_tasks and not standing.capabilities.requests_leases
            assert standing.capabilities is CAPABILITIES[standing.state]
    assert turns <= 1 + sum(steps for _, steps in rows) / 3 + len(rows)


def test_a_bad_situation_that_lasts_is_overdue() -> None:
    standing, now = PartitionTracker(NOW), NOW
    for _ in range(400):
        now += 100 * MILLISECOND
        standing.observe(now, SIGHTS[PartitionState.QUORUM_LOST])
    assert standing.overdue and standing.state is PartitionState.QUORUM_LOST


# The checkers of the drill.


def test_the_checkers_find_a_wrong_removal_and_an_act_that_is_forbidden() -> None:
    lines = {
        Line(10, "n1", "remove n2"),
        Line(10, "n1", "remove n3"),
        Line(5, "n4", f"situation is {PartitionState.ISOLATED.value}"),
    }
    assert wrongly_removed(lines, {"n2": [(5, 20)], "n3": [(11, 20)]}) == ["n3 at 10 by n1"]
    late = Act("t", "n4/x", 1, 1, 2_000_000, 2_100_000, True)
    assert len(forbidden_acts(lines, [late])) == 1
    assert not forbidden_acts(lines, [replace(late, began_us=400_000), replace(late, node="n5/x")])


# Processes.

PLANS = {
    "killed, stopped, cut off, drained": Plan(
        60, NODES, NODES[:3], 16_000, (1.0,) * 12,
        (
            Fault(4_000, 3_000, "kill", "n5"), Fault(4_500, 4_000, "stop", "n9"), Fault(5_000, 5_000, "isolate", "n2"),
            Fault(6_000, 3_000, "mute", "n12"), Fault(7_000, 1_000, "drain", "n7"),
            Fault(9_000, 3_000, "split", "n3", "n4"),
        ),
    ),
    "all restart, and the leader is upgraded": Plan(
        61, NODES, NODES[:3], 14_000, (1.0,) * 12,
        (Fault(4_000, 0, "restart all", "n1"), Fault(9_000, 0, "upgrade", "@leader")),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", PLANS)
def test_processes_find_each_other_again(name: str) -> None:
    told = members_one((PLANS[name], str(CONFIG), "", ""))
    told.pop("plan", None)
    assert told["verdict"] == "held", told
    assert told["acts"] > 10 and told["situations"] > 12 and not told["wrongly_removed"]


def test_the_drill_finds_acts_that_a_situation_forbids() -> None:
    """All nodes keep acting on a lease that they had, whatever their situation: the first holder is cut off."""
    plan = Plan(64, NODES[:5], NODES[:3], 11_000, (1.0,) * 5, (Fault(3_000, 7_000, "isolate", "@holder"),))
    told = members_one((plan, str(CONFIG), "", "acts-in-any-situation"))
    assert told["verdict"] == "broken" and told["forbidden_acts"], told["situations"]


def test_operators_see_who_is_there_and_have_the_last_word(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = Settings(json.loads(CONFIG.read_text()), members=True)

    async def drill() -> None:
        async with Rig(Plan(62, NODES[:5], NODES[:3], 0, (1.0,) * 5, ()), settings, tmp_path) as rig:
            operator = str(rig.nodes["n1"].folder / "operator.toml")

            async def words(*told: str) -> int:
                return await asyncio.to_thread(call, ["fleet", *told, "--operator", operator])

            async def belong(wanted: set[str]) -> None:
                for _ in range(200):
                    told = await rig.nodes["n1"].call("/v1/fleet/members")
                    if {one["node"] for one in told["members"] if one["agreed"]} == wanted:
                        return
                    await asyncio.sleep(0.1)
                raise AssertionError(told)

            await belong(set(NODES[:5]))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for junk in (
                    b"",
                    b"x",
                    b"MSD1" + b"\0" * 40,
                    b"MSD1" + (9).to_bytes(4, "big") * 9,
                    b"\xff" * 1_400,
                ):
                    stranger.sendto(junk, ("127.0.0.1", rig.nodes["n1"].fleet))
            assert await words("remove", "n5", "--why", "its disk is replaced") == 0
            await belong(set(NODES[:4]))
            assert await words("readmit", "n5") == 0
            await belong(set(NODES[:5]))
            assert await words("believe", "n4") == 0 and await words("remove", "nobody") == 2
            for command in (["members"], ["members", "--json"], ["situation"], ["situation", "--json"]):
                assert await words(*command) == 0
            status = await rig.nodes["n1"].call("/v1/fleet")
            assert status["lines"]["corrupt datagrams"] >= 4

    asyncio.run(drill())
    out = capsys.readouterr().out
    assert "all well" in out and "belongs" in out and "alive" in out


# Configuration.


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"answer_ms": 400}, "answer_ms must be at most a third"),
        ({"seeds": ["n9"]}, "seeds: n9 is not in"),
        ({"guard": 2}, "guard must be a number"),
        ({"more": 1}, "more is not known"),
        ({"zone": "z" * 65}, "zone has 64 characters"),
    ],
)
def test_wrong_members_are_named_by_their_key(changes: dict[str, Any], message: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text("k" * 32)
    told = {"name": "f", "voters": ["n1"], "nodes": {"n1": "127.0.0.1:1"}, "key_file": str(tmp_path / "key")}
    told |= {"store": str(tmp_path), "members": {"zone": "north"}}
    fleet = check(raw_config(settings=SETTINGS), {"fleet": told}).fleet
    assert fleet is not None and fleet.membership is not None and fleet.membership.seeds == ("n1",)
    with pytest.raises(ConfigError, match=message):
        check(raw_config(settings=SETTINGS), {"fleet": {**told, "members": changes}})


def test_the_drill_of_members_exits_as_the_others_do() -> None:
    words = ["drill", "members", "--nodes", "9", "--for", "20s", "--jobs", "1", "--json"]
    assert call([*words, "--virtual", "--loss", "0.2", "--slow", "0.2", "--seeds", "2"]) == 0
    assert call([*words, "--virtual", "--calm", "--trusting"]) == 0
    bad = ["drill", "members", "--nodes", "12", "--for", "40s", "--virtual", "--seed", "0"]
    assert call([*bad, "--broken", "old-boot-taken"]) == 1 and call(bad) == 0
    assert call([*words, "--virtual", "--broken", "acts-in-any-situation"]) == 2
    assert call(["drill", "leases", "--broken", "vote-not-synced"]) == 2  # it is of the virtual network
