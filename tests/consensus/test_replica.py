"""Agreement on a log: the rules that a random drill may reach only now and then, each by itself."""

from __future__ import annotations

import contextlib
import random
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.cluster.wire import CODEC, Envelope, read_envelope, write_envelope
from marlstep.consensus.configuration_change import ConfigurationChangeRejectedError
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, RaftLog, Snapshot
from marlstep.consensus.messages import (
    MAX_CHARACTERS_PER_MESSAGE,
    AppendEntries,
    AppendEntriesResponse,
    LogRegressed,
    RequestVote,
    TimeoutNow,
)
from marlstep.consensus.raft import Raft, RaftTiming, Role
from marlstep.consensus.replica import COMPACTION_THRESHOLD, Replica, ReplicaSettings
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, JoinRequest
from marlstep.consensus.state_machine import StateMachines
from marlstep.leases.settings import LeaseSettings
from marlstep.net.framing import CorruptError
from marlstep.units import EPOCH, MILLISECOND

TIMING = RaftTiming()


class Cluster:
    """Voters on a network that delivers all at once, unless told otherwise."""

    def __init__(self, count: int = 3) -> None:
        self.now = EPOCH + timedelta(days=1)
        self.group = Configuration(tuple(f"v{number}#1" for number in range(count)))
        self.disks: dict[str, PersistentState] = {}
        self.voters: dict[str, Raft] = {}
        self.applied: dict[str, list[LogEntry | Snapshot]] = {}
        self.cut: set[str] = set()
        for number, name in enumerate(self.group.voters):
            self.add(name, PersistentState(snapshot=Snapshot(configuration=self.group)), number)

    def add(self, name: str, saved: PersistentState, seed: int = 0) -> Raft:
        self.disks[name] = saved
        raft = Raft(name, saved, TIMING, random.Random(seed), self.now)
        self.voters[name], self.applied[name] = raft, []
        return raft

    def settle(self) -> None:
        moved = True
        while moved:
            moved = False
            for name, raft in self.voters.items():
                messages = raft.take_immediate_messages(self.now)
                ready = raft.take_ready()
                if ready is not None:
                    self.disks[name] = stored(self.disks[name], ready)
                    raft.acknowledge_durable(ready)
                    messages += ready.messages
                self.applied[name] += raft.take_committed()
                for to, message in messages:
                    moved = True
                    if to in self.voters and not {name, to} & self.cut:
                        self.voters[to].step(self.now, name, message)

    def pass_time(self, span: timedelta) -> None:
        end = self.now + span
        while self.now < end:
            self.now += 10 * MILLISECOND
            for name, raft in self.voters.items():
                if name not in self.cut:
                    raft.tick(self.now)
            self.settle()

    def leader(self) -> Raft:
        self.pass_time(timedelta(seconds=3))
        leads = [raft for name, raft in self.voters.items() if raft.is_leader and name not in self.cut]
        assert leads, "nobody leads"
        return max(leads, key=lambda raft: raft.term)

    def commands(self, name: str) -> list[str]:
        return [
            one.body
            for one in self.applied[name]
            if isinstance(one, LogEntry) and one.entry_type is EntryType.COMMAND
        ]


def stored(disk: PersistentState, ready: object) -> PersistentState:
    from marlstep.drill.virtual import Disk

    one = Disk("", disk)
    one.write(ready)  # type: ignore[arg-type]
    return one.saved


@pytest.mark.parametrize("count", [1, 3, 5, 7])
def test_a_group_elects_one_and_commits(count: int) -> None:
    cluster = Cluster(count)
    leader = cluster.leader()
    assert sum(raft.is_leader for raft in cluster.voters.values()) == 1
    for number in range(5):
        leader.propose(f"c{number}")
    cluster.settle()
    cluster.pass_time(timedelta(milliseconds=300))
    assert {tuple(cluster.commands(name)) for name in cluster.voters} == {("c0", "c1", "c2", "c3", "c4")}


def test_one_that_was_cut_off_comes_back_without_unseating_the_leader() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    lost = next(name for name in cluster.voters if name != leader.identity)
    cluster.cut.add(lost)
    for _ in range(40):  # its own patience runs out again and again
        cluster.now += 200 * MILLISECOND
        cluster.voters[lost].tick(cluster.now)
        leader.tick(cluster.now)
        cluster.settle()
    term = leader.term
    cluster.cut.clear()
    cluster.pass_time(timedelta(seconds=3))
    assert leader.is_leader and leader.term == term and cluster.voters[lost].term == term


def test_a_leader_without_a_majority_steps_down() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    cluster.cut |= {name for name in cluster.voters if name != leader.identity}
    cluster.pass_time(timedelta(seconds=2))
    assert leader.role is not Role.LEADER and leader.propose("lost") is None


def test_what_was_committed_stays_when_the_leader_is_lost_and_what_was_not_goes() -> None:
    cluster = Cluster()
    first = cluster.leader()
    first.propose("kept")
    cluster.settle()
    cluster.cut.add(first.identity)
    first.propose("lost")
    second = cluster.leader()
    assert second is not first
    second.propose("after")
    cluster.settle()
    cluster.cut.clear()
    cluster.pass_time(timedelta(seconds=2))
    assert {tuple(cluster.commands(name)) for name in cluster.voters} == {("kept", "after")}


def test_a_vote_is_durable_before_it_is_spoken_and_given_once_a_term() -> None:
    cluster = Cluster()
    raft = cluster.voters["v0#1"]
    raft.step(cluster.now, "v1#1", RequestVote(1, False, True, 0, 0))
    raft.step(cluster.now, "v2#1", RequestVote(1, False, True, 0, 0))
    assert raft.take_immediate_messages(cluster.now) == []  # nothing is said before it is stored
    ready = raft.take_ready()
    assert ready is not None and ready.needs_sync and (ready.term, ready.voted_for) == (1, "v1#1")
    assert [(to, message.granted) for to, message in ready.messages] == [("v1#1", True), ("v2#1", False)]  # type: ignore[union-attr]
    again = Raft("v0#1", stored(cluster.disks["v0#1"], ready), TIMING, random.Random(1), cluster.now)
    again.step(cluster.now, "v2#1", RequestVote(1, False, True, 9, 9))
    answer = again.take_ready()
    assert answer is not None and not answer.messages[0][1].granted  # type: ignore[union-attr]


def test_a_member_far_behind_gets_the_snapshot_in_pieces_though_some_are_lost() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    late = next(name for name in cluster.voters if name != leader.identity)
    cluster.cut.add(late)
    for number in range(50):
        leader.propose(f"c{number}")
    cluster.settle()
    data = "x" * (3 * MAX_CHARACTERS_PER_MESSAGE + 7)
    leader.compact(lambda: data, keep=2)
    cluster.cut.clear()
    cluster.voters[late].step(
        cluster.now, leader.identity, AppendEntries(leader.term, leader.heartbeat_round, 40, leader.term, 0)
    )
    for _ in range(3):
        leader.take_immediate_messages(cluster.now)  # a broadcast that is lost
        cluster.pass_time(timedelta(milliseconds=150))
    got = [one for one in cluster.applied[late] if isinstance(one, Snapshot)]
    assert [one.data for one in got] == [data]
    leader.propose("behind it")
    cluster.settle()
    cluster.pass_time(timedelta(milliseconds=200))
    assert cluster.commands(late)[-1] == "behind it"
    assert cluster.disks[late].snapshot.data == data


def test_voters_come_and_go_one_at_a_time() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    four = (*leader.configuration.voters, "v3#1")
    with pytest.raises(ConfigurationChangeRejectedError, match="one voter"):
        leader.change_configuration(Configuration((*four, "v4#1")))
    leader.change_configuration(Configuration(leader.configuration.voters, ("v3#1",)))
    with pytest.raises(ConfigurationChangeRejectedError, match="not committed"):
        leader.change_configuration(Configuration(four))
    cluster.add("v3#1", PersistentState(), 9)
    cluster.pass_time(timedelta(milliseconds=400))
    leader.change_configuration(Configuration(four))
    cluster.pass_time(timedelta(milliseconds=400))
    assert cluster.voters["v3#1"].configuration.voters == four
    rest = tuple(name for name in four if name != leader.identity)
    leader.change_configuration(Configuration(rest))
    cluster.pass_time(timedelta(milliseconds=300))
    assert not leader.is_leader  # it saw its own going through, and went
    assert cluster.leader().identity in rest


def test_leadership_is_handed_over_at_once() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    to = leader.transfer_leadership()
    cluster.settle()
    assert to and cluster.voters[to].is_leader and not leader.is_leader


def test_a_voter_whose_store_went_back_is_told_so_by_the_leader() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    old = next(name for name in cluster.voters if name != leader.identity)
    before = PersistentState(
        cluster.disks[old].term, cluster.disks[old].voted_for, cluster.disks[old].snapshot, []
    )
    leader.propose("durable there")
    cluster.settle()
    again = cluster.add(old, before, 5)
    cluster.pass_time(timedelta(milliseconds=500))
    assert again.log_regressed
    again.step(cluster.now, leader.identity, TimeoutNow(leader.term))
    assert not again.is_leader and again.role is Role.FOLLOWER  # it stands for nothing any more


def test_an_answer_of_before_does_not_pass_for_a_lost_memory() -> None:
    cluster = Cluster()
    leader = cluster.leader()
    other = cluster.voters[next(name for name in cluster.voters if name != leader.identity)]
    stale = AppendEntriesResponse(leader.term, 1, False, 0)
    leader.propose("more")
    cluster.settle()
    leader.step(cluster.now, other.identity, stale)
    cluster.settle()
    other.step(cluster.now, leader.identity, LogRegressed(leader.term, 1))
    assert not other.log_regressed


# Named commands.


class Counter:
    def __init__(self) -> None:
        self.value = 0

    def apply(self, command: object) -> dict[str, object]:
        self.value += command["add"]  # type: ignore[index]
        return {"value": self.value}

    def snapshot(self) -> object:
        return self.value

    def restore(self, told: int) -> None:
        self.value = told


def test_a_command_that_is_sent_again_is_applied_once_also_after_a_snapshot() -> None:
    one = StateMachines({"n": Counter()})
    body = '{"m":"n","add":2,"by":"a/1","no":1}'
    assert one.apply(body)[1] == {"value": 2} == one.apply(body)[1]
    two = StateMachines({"n": Counter()})
    two.restore(one.snapshot())
    assert two.apply(body)[1] == {"value": 2} and two.snapshot() == one.snapshot()
    assert two.apply('{"m":"n","add":1,"by":"b/1","no":1}')[1] == {"value": 3}


@pytest.mark.parametrize(
    "body", ["", "[]", "7", '{"m":"x"}', '{"m":"n"}', '{"m":"n","add":"x","by":"a","no":1}']
)
def test_a_command_without_sense_changes_nothing_and_says_so(body: str) -> None:
    counter = Counter()
    assert "error" in StateMachines({"n": counter}).apply(body)[1] and counter.value == 0


def test_a_log_is_compacted_and_a_voter_starts_again_from_what_is_stored() -> None:
    now = EPOCH + timedelta(days=1)
    group = Configuration(("v#1",))
    disk = PersistentState(snapshot=Snapshot(configuration=group))
    told = ReplicaSettings(TIMING, LeaseSettings(), ("v",))
    voter = Replica("v#1", disk, told, lambda table: {"n": Counter()}, random.Random(1), now)

    def settle() -> list[object]:
        nonlocal disk
        said: list[object] = []
        for _ in range(6):
            said += [message for _, message in voter.take_immediate_messages(now)]
            while (ready := voter.take_ready()) is not None:
                disk = stored(disk, ready)
                voter.acknowledge_durable(now, ready)
                for to, message in ready.messages:
                    if to == voter.identity:
                        voter.step(now, to, message)
        return said

    now = voter.next_due()
    voter.tick(now)
    settle()
    for number in range(COMPACTION_THRESHOLD + 10):
        voter.step(now, "a", CommandRequest("a/1", number, '{"m":"n","add":1}'))
        if number % 100 == 0:
            settle()
    settle()
    assert disk.snapshot.index >= COMPACTION_THRESHOLD - 100 and len(disk.entries) < COMPACTION_THRESHOLD
    voter = Replica("v#1", disk, told, lambda table: {"n": Counter()}, random.Random(1), now)
    now = voter.next_due()
    voter.tick(now)
    settle()
    voter.step(now, "a", CommandRequest("a/1", 99_999, '{"m":"n","add":1}'))
    done = [one for one in settle() if isinstance(one, CommandResponse)]
    assert done == [CommandResponse(99_999, True, "v", f'{{"value":{COMPACTION_THRESHOLD + 11}}}')]


class Nodes:
    """Whole voters on a network that delivers all at once."""

    def __init__(self, named: tuple[str, ...]) -> None:
        self.now = EPOCH + timedelta(days=1)
        self.named = named
        self.voters: dict[str, Replica] = {}

    def start(self, identity: str, saved: PersistentState) -> Replica:
        told = ReplicaSettings(TIMING, LeaseSettings(), self.named)
        self.voters[identity] = Replica(
            identity, saved, told, lambda table: {}, random.Random(identity), self.now
        )
        return self.voters[identity]

    def pass_time(self, seconds: float) -> None:
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.now += 20 * MILLISECOND
            for one in list(self.voters.values()):
                one.tick(self.now)
                if one.identity not in one.raft.configuration.voters:
                    for other in self.voters.values():
                        other.step(self.now, one.identity, JoinRequest(one.node, one.identity))
            for _ in range(8):
                for one in list(self.voters.values()):
                    messages = one.take_immediate_messages(self.now)
                    while (ready := one.take_ready()) is not None:
                        one.acknowledge_durable(self.now, ready)
                        messages += ready.messages
                    for to, message in messages:
                        if to in self.voters:
                            self.voters[to].step(self.now, one.identity, message)

    def group(self) -> set[str]:
        leads = [one for one in self.voters.values() if one.raft.is_established_leader]
        assert leads, "nobody leads"
        return set(max(leads, key=lambda one: one.raft.term).raft.configuration.voters)


def test_a_group_grows_from_one_replaces_a_lost_voter_and_lets_go_who_is_not_named() -> None:
    nodes = Nodes(("a", "b", "c"))
    nodes.start("a#1", PersistentState(snapshot=Snapshot(configuration=Configuration(("a#1",)))))
    for identity in ("b#1", "c#1", "x#1"):  # nobody named x
        nodes.start(identity, PersistentState())
    nodes.pass_time(3)
    assert nodes.group() == {"a#1", "b#1", "c#1"}
    del nodes.voters["c#1"]
    nodes.start("c#2", PersistentState())  # its disk was lost
    nodes.pass_time(4)
    assert nodes.group() == {"a#1", "b#1", "c#2"}
    for one in nodes.voters.values():
        one.settings = ReplicaSettings(TIMING, LeaseSettings(), ("b", "c", "d"))
    nodes.named = ("b", "c", "d")
    nodes.start("d#1", PersistentState())
    nodes.pass_time(5)
    assert nodes.group() == {"b#1", "c#2", "d#1"}  # the leader itself may be the one that goes


# Logs and messages.


@given(st.lists(st.tuples(st.sampled_from(["append", "cut", "compact"]), st.integers(0, 30)), max_size=40))
def test_a_log_is_what_a_plain_list_would_be(steps: list[tuple[str, int]]) -> None:
    group = Configuration(("a",))
    log, plain, base, term = RaftLog(PersistentState(snapshot=Snapshot(configuration=group))), [0], 0, 1
    for what, number in steps:
        if what == "append":
            term += number % 3 == 0
            log.append(LogEntry(log.last_index + 1, term, EntryType.COMMAND, str(number)))
            plain.append(term)
        elif what == "cut" and base < log.last_index:
            first = max(base + 1, log.last_index - number % 4)
            log.truncate_from(first)
            del plain[first:]
        elif what == "compact" and log.last_index > log.snapshot.index:
            index = log.snapshot.index + 1 + number % (log.last_index - log.snapshot.index)
            log.compact(Snapshot(index, log.term_at(index), group, ""), keep=number % 5)
            base = log.snapshot.index
        assert log.last_index == len(plain) - 1
        assert [log.term_at(index) for index in range(log.first_index, log.last_index + 1)] == plain[
            log.first_index :
        ]
        assert log.first_index <= log.snapshot.index + 1


MESSAGES = st.one_of(
    st.builds(
        AppendEntries,
        *(st.integers(0, 1 << 40) for _ in range(5)),
        st.lists(
            st.builds(LogEntry, st.integers(1, 99), st.integers(0, 9), st.just(EntryType.COMMAND), st.text()),
            max_size=3,
        ).map(tuple),
    ),
    st.builds(
        RequestVote, st.integers(0, 99), st.booleans(), st.booleans(), st.integers(0, 99), st.integers(0, 99)
    ),
    st.builds(CommandResponse, st.integers(0, 99), st.booleans(), st.text(), st.text()),
)


@given(MESSAGES)
def test_messages_come_back_as_they_were(message: object) -> None:
    envelope = Envelope("f", "1.a", "a#1", "b#1", message)  # type: ignore[arg-type]
    assert read_envelope(write_envelope(envelope)) == envelope


@given(MESSAGES, st.integers(0, 1 << 16), st.binary(min_size=1, max_size=4))
@settings(max_examples=150)
def test_a_spoilt_message_is_corrupt_or_another_message_and_nothing_else(
    message: object, at: int, junk: bytes
) -> None:
    body = write_envelope(Envelope("f", "1.a", "a#1", "b#1", message))  # type: ignore[arg-type]
    at %= len(body)
    with contextlib.suppress(CorruptError):
        read_envelope(body[:at] + junk + body[at + 1 :])


@pytest.mark.parametrize(
    "told",
    [
        ["Append", {"term": 1}],
        [
            "Append",
            {"term": 1, "round": 1, "prev": 0, "prev_term": 0, "commit": 0, "entries": [{"index": 1}]},
        ],
        ["Append", {"term": True, "round": 1, "prev": 0, "prev_term": 0, "commit": 0, "entries": []}],
        ["Beat", {"node": "a", "boot": "b", "number": 1, "wants": [1]}],
        ["Beaten", {"number": 1, "good": True, "leader": "", "leases": [["a", "b"]]}],
        ["SnapshotPart", {"group": [1]}],
        ["Nothing", {}],
        {},
    ],
)
def test_a_message_without_sense_is_corrupt(told: object) -> None:
    with pytest.raises(CorruptError):
        CODEC.load(told)


def test_a_voter_that_wakes_late_reads_its_lines_before_it_asks_for_an_election() -> None:
    now = EPOCH + timedelta(days=1)
    saved = PersistentState(snapshot=Snapshot(configuration=Configuration(("a#1", "b#1", "c#1"))))
    raft = Raft("a#1", saved, TIMING, random.Random(1), now)
    late = raft.next_due() + 3 * TIMING.heartbeat_interval
    raft.tick(late)
    assert not raft.is_leader and raft.next_due() == late + TIMING.heartbeat_interval
    raft.step(late, "b#1", AppendEntries(1, 1, 0, 0, 0, ()))  # the leader's word was there all the time
    assert raft.leader == "b#1" and raft.next_due() > late + TIMING.heartbeat_interval
    # Without a word it stands a beat later, and is not put off again however late that is.
    again = raft.next_due() + 3 * TIMING.heartbeat_interval
    raft.tick(again)
    assert [
        message for _, message in raft.take_immediate_messages(again) if isinstance(message, RequestVote)
    ] == []
    raft.tick(again + 9 * TIMING.heartbeat_interval)
    assert raft.role is Role.PRE_CANDIDATE
