"""A model of leases for the model checker: three voters, and two nodes that want the same lease.

A state consists of all voters, holders and messages in flight at one moment. In each state, any message may be
delivered (one that never is counts as lost), any voter or holder may wake at the time of its own next timer, however
late the others are, and any voter may crash and restart with its durable state. Equal states are visited once.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Any

from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.messages import AppendEntries
from marlstep.consensus.raft import RaftTiming
from marlstep.consensus.replica import Replica, ReplicaSettings, node_of
from marlstep.consensus.state_machine import StateMachine
from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.model_checker import Bounds, SearchResult, search_from
from marlstep.fault_injection.mutations import Mutation
from marlstep.leases.client import GroupClient
from marlstep.leases.messages import HeartbeatResponse
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.units import EPOCH, MILLISECOND

LEASE = "task/walk"
VOTERS = ("v1", "v2", "v3")
START = EPOCH + timedelta(days=20_000)
TIMING = RaftTiming(100 * MILLISECOND, 400 * MILLISECOND)
SETTINGS = LeaseSettings(1_500 * MILLISECOND)


class ConstantRandom:
    """A random source with a constant value; each voter gets another one, and so an election timeout of its own."""

    def __init__(self, value: float) -> None:
        """Initialize the source; `random` always returns `value`."""
        self.value = value

    def random(self) -> float:
        """Return the constant value."""
        return self.value


InFlightMessage = tuple[str, str, Any]  # sender, receiver, message


@dataclass(slots=True)
class State:
    """A state of the model.

    Voters and holders are kept pickled, so that states share those that a step leaves alone: a step unpickles and
    stores only the one that it changes.

    Attributes:
        now: The true time.
        parts: The pickled voters and holders by name.
        keys: A hash of the relevant state of each voter and holder, by name.
        voters: The names of the voters.
        holders: The names of the processes that want leases.
        disks: The durable state of each voter.
        flying: The messages in flight, oldest first.
        committed: The entries committed so far, by log index.
        leaders: The leaders seen so far, by term.
        tokens: The fencing tokens of grants, by log index.
        held_until: The end of the time for which each holder considers itself the holder of the lease.
        crashes: The number of crashes so far.
        wakes: The number of steps so far in which time passed.
        doing: A description of the step that is being computed from this state.
    """

    now: datetime
    parts: dict[str, bytes]
    keys: dict[str, int]
    voters: tuple[str, ...]
    holders: tuple[str, ...]
    disks: dict[str, PersistentState] = field(default_factory=dict)
    flying: tuple[InFlightMessage, ...] = ()
    committed: dict[int, LogEntry] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)
    tokens: dict[int, int] = field(default_factory=dict)
    held_until: dict[str, datetime] = field(default_factory=dict)
    crashes: int = 0
    wakes: int = 0
    doing: str = ""

    def copy(self) -> State:
        """Return a copy whose dictionaries can be changed independently."""
        return replace(
            self,
            parts=dict(self.parts),
            keys=dict(self.keys),
            disks=dict(self.disks),
            held_until=dict(self.held_until),
        )

    def key(self) -> int:
        """Return a hash that is equal for states that the search need not tell apart."""
        return hash((self.now, self.crashes, self.wakes, frozenset(self.flying), tuple(self.keys.values())))

    def voter(self, name: str) -> Replica:
        """Return a fresh copy of a voter; `put` stores it again."""
        return pickle.loads(self.parts[name])  # type: ignore[no-any-return]

    def holder(self, name: str) -> GroupClient:
        """Return a fresh copy of a holder; `put` stores it again."""
        return pickle.loads(self.parts[name])  # type: ignore[no-any-return]

    def put(self, name: str, part: Replica | GroupClient) -> None:
        """Store a voter or a holder and update its key."""
        self.parts[name] = pickle.dumps(part, -1)
        self.keys[name] = hash(voter_key(part) if isinstance(part, Replica) else holder_key(part))

    @staticmethod
    def state_machines() -> Callable[[LeaseTable], Mapping[str, StateMachine]]:
        """Return the factory of the voters' state machines other than the lease table."""
        return _no_state_machines

    # Successor states: message delivery, timers, crashes.

    def steps(self, bounds: Bounds) -> Iterator[tuple[str, State]]:
        """Yield each possible step as text, with the state after it.

        Raises:
            InvariantViolationError: The step that `doing` describes violates an invariant.
        """
        for number, (sender, receiver, message) in enumerate(self.flying):
            after = self.copy()
            after.flying = self.flying[:number] + self.flying[number + 1 :]
            self.doing = f"{receiver} hears {message} from {sender}"
            after.deliver(sender, receiver, message, bounds)
            yield self.doing, after
        if self.wakes < bounds.wakes:
            yield from self._timer_steps(bounds)
        if self.crashes < bounds.crashes:
            for name in self.voters:
                after = self.copy()
                self.doing = f"{name} crashes and comes back"
                after.crash(name)
                yield self.doing, after

    def _timer_steps(self, bounds: Bounds) -> Iterator[tuple[str, State]]:
        for name in self.voters:
            voter = self.voter(name)
            due = {voter.raft.next_due()}
            if voter.raft.is_established_leader and (expiry := voter.lease_manager.next_due()) is not None:
                due.add(expiry)
            for timer_due in sorted(due):
                wake_at = max(self.now, timer_due)
                if wake_at <= START + bounds.horizon and (
                    voter.raft.is_leader or voter.raft.term < bounds.term
                ):
                    after = self.copy()
                    after.now, after.wakes = wake_at, self.wakes + 1
                    replica = after.voter(name)
                    self.doing = f"{name} wakes at {wake_at - START}"
                    replica.tick(wake_at)
                    after.settle(name, replica, bounds)
                    yield self.doing, after
        for name in self.holders:
            holder = self.holder(name)
            wake_at = max(self.now, holder.next_due(self.now))
            if wake_at <= START + bounds.horizon:
                after = self.copy()
                after.now, after.wakes = wake_at, self.wakes + 1
                self.doing = f"{name} wakes at {wake_at - START}"
                after.wake(name, bounds)
                yield self.doing, after

    def deliver(self, sender: str, receiver: str, message: Any, bounds: Bounds) -> None:
        """Deliver a message to a voter or a holder."""
        if receiver in self.holders:
            if isinstance(message, HeartbeatResponse):
                client = self.holder(receiver)
                client.handle_response(self.now, sender, message)
                self.update_holder(receiver, client)
        else:
            name = node_of(receiver)
            voter = self.voter(name)
            voter.step(self.now, sender, message)
            self.settle(name, voter, bounds)

    def update_holder(self, name: str, client: GroupClient) -> None:
        """Store a holder and check that no two hold the lease at the same time.

        Raises:
            InvariantViolationError: Two processes consider themselves holders.
        """
        self.put(name, client)
        self.held_until[name] = self.now + client.holder.time_left(LEASE, self.now)
        holding = [name for name, held_until in self.held_until.items() if held_until > self.now]
        if len(holding) > 1:
            raise InvariantViolationError(f"two hold the lease at {self.now - START}: {', '.join(holding)}")

    def wake(self, name: str, bounds: Bounds) -> None:
        """Let a holder handle its timers, and send its messages."""
        client = self.holder(name)
        sends, _ = client.tick(self.now)
        self.update_holder(name, client)
        for target, message in sends:
            self.send(client.holder.name, target, message, bounds)

    def send(self, sender: str, receiver: str, message: Any, bounds: Bounds) -> None:
        """Put a message in flight unless an equal one is; the oldest is lost if there are too many."""
        envelope = (sender, receiver, message)
        if envelope not in self.flying:
            self.flying = (*self.flying, envelope)[-bounds.flying :]

    def crash(self, name: str) -> None:
        """Restart a voter from its durable state; classes replaced by a mutation stay replaced."""
        self.crashes += 1
        old = self.voter(name)
        disk = self.disks[name]
        voter = make_voter(name, disk, self.now, old.raft.timing, old.settings.leases, self.state_machines())
        replaced_parts: list[tuple[object, object]] = [(voter.raft, old.raft), (voter.leases, old.leases)]
        replaced_parts += [
            (voter.lease_manager, old.lease_manager),
            (voter.config_store, old.config_store),
            (voter.rollout, old.rollout),
        ]
        for part, original in replaced_parts:
            if part is not None:
                part.__class__ = original.__class__
        voter.raft.replication.max_entries_per_message = old.raft.replication.max_entries_per_message
        self.put(name, voter)

    def settle(self, name: str, voter: Replica, bounds: Bounds) -> None:
        """Send the voter's messages and persist its state until it has no more output, then check and store it.

        Writes are durable at once: a crash before that has the same effect as the loss of the message that caused them.
        """
        while True:
            for receiver, message in voter.take_immediate_messages(self.now):
                self.route(voter, receiver, message, bounds)
            ready = voter.take_ready()
            if ready is None:
                break
            old = self.disks[name]
            entries = old.entries
            if ready.entries:
                entries = [entry for entry in entries if entry.index < ready.entries[0].index] + ready.entries
            self.disks[name] = PersistentState(ready.term, ready.voted_for, old.snapshot, entries)
            voter.acknowledge_durable(self.now, ready)
            for receiver, message in ready.messages:
                if receiver == voter.identity:
                    voter.step(self.now, voter.identity, message)
                else:
                    self.route(voter, receiver, message, bounds)
        voter.events.clear()
        self.check(voter)
        self.put(name, voter)

    def route(self, voter: Replica, receiver: str, message: Any, bounds: Bounds) -> None:
        """Send a message of a voter under the sender name that its receiver expects."""
        sender = voter.node if isinstance(message, HeartbeatResponse) else voter.identity
        self.send(sender, receiver, message, bounds)

    # Invariants.

    def may_request(self, holder: str, lease: str) -> bool:
        """Return whether the holder may have requested the lease."""
        return holder in self.holders and lease == LEASE

    def check(self, voter: Replica) -> None:
        """Check the invariants of elections, committed entries and lease grants for a voter.

        Raises:
            InvariantViolationError: Two leaders in a term, a new leader without a committed entry, different entries
                committed at an index, a token that did not increase, or a lease granted without a request.
        """
        raft = voter.raft
        if raft.is_leader:
            if self.leaders.get(raft.term, voter.identity) != voter.identity:
                raise InvariantViolationError(
                    f"two lead in term {raft.term}: {self.leaders[raft.term]} and {voter.identity}"
                )
            is_new = raft.term not in self.leaders
            self.leaders = {**self.leaders, raft.term: voter.identity}
            # Checked at its election only: the leader of an old term may lack entries committed in later terms.
            for index, entry in self.committed.items():
                if is_new and (index > raft.log.last_index or raft.log[index] != entry):
                    raise InvariantViolationError(
                        f"{voter.identity} leads in term {raft.term} without committed entry {index}"
                    )
        for index in range(1, raft.last_applied + 1):
            if index not in self.committed:
                self.committed = {**self.committed, index: raft.log[index]}
            elif self.committed[index] != raft.log[index]:
                first = self.committed[index]
                raise InvariantViolationError(
                    f"committed entry {index} differs: {first} and {raft.log[index]}"
                )
        for index, command, result in voter.applied:
            if "granted" in result and index not in self.tokens:
                token = int(result["token"])
                if any(token <= other for other_index, other in self.tokens.items() if other_index < index):
                    raise InvariantViolationError(
                        f"token {token} at entry {index} is not above all before it"
                    )
                if not self.may_request(str(result["granted"]), str(command["name"])):
                    raise InvariantViolationError(f"granted what was not asked: {command}")
                self.tokens = {**self.tokens, index: token}


def voter_key(voter: Replica) -> tuple[Any, ...]:
    """Return the state of a voter that tells states of the model apart."""
    raft, manager = voter.raft, voter.lease_manager
    log = tuple((item.index, item.term, item.body) for item in raft.log.slice(1, raft.log.last_index))
    peers = tuple(
        (
            name,
            peer.next_index,
            peer.match_index,
            peer.acknowledged_round,
            peer.probing,
            peer.probe_in_flight,
            peer.last_contact,
        )
        for name, peer in raft.progress.items()
    )
    pending = tuple(
        (name, item.heartbeat_round, item.heartbeat.number)
        for name, item in manager._pending_responses.items()
    )
    return (
        (
            raft.term,
            raft.voted_for,
            raft.role,
            raft.leader,
            raft.commit_index,
            raft.heartbeat_round,
            log,
            peers,
        ),
        (
            raft.election.timer.last_leader_contact,
            raft.election.timer.deadline,
            raft.election.timer.deferred,
            raft.replication.next_heartbeat,
            raft.election.role_since,
            tuple(sorted(raft.election.votes_received)),
        ),
        (
            tuple(manager._expiries.items()),
            tuple(manager._ending_tokens.items()),
            manager._leader_since,
            pending,
        ),
        (tuple(manager._proposed_grants.items()), tuple(manager._holders), manager._grants_due),
    )


def holder_key(client: GroupClient) -> tuple[Any, ...]:
    """Return the state of a holder that tells states of the model apart."""
    holder = client.holder
    held = tuple((name, lease.token, lease.expires_at, lease.lapsed) for name, lease in holder.held.items())
    sent, returned = tuple(holder._sent_heartbeats.items()), tuple(holder._returned_tokens.items())
    return (
        client.target,
        client._next_heartbeat,
        client._unanswered_since,
        holder._heartbeat_number,
        holder._last_response,
        held,
        sent,
        returned,
    )


def make_voter(
    name: str,
    disk: PersistentState,
    now: datetime,
    timing: RaftTiming,
    leases: LeaseSettings,
    machines: Callable[[LeaseTable], Mapping[str, StateMachine]],
) -> Replica:
    """Create a voter from its durable state.

    Args:
        name: The name of its node.
        disk: The durable state; the voter gets a copy.
        now: The true time.
        timing: The timing of heartbeats and elections.
        leases: The settings of leases.
        machines: Creates the state machines other than the lease table.
    """
    saved = pickle.loads(pickle.dumps(disk))
    settings = ReplicaSettings(timing, leases, VOTERS)
    return Replica(f"{name}#1", saved, settings, machines, ConstantRandom(VOTERS.index(name) / 4), now)


def _no_state_machines(table: object) -> dict[str, Any]:
    return {}


GROUP = Configuration(tuple(f"{name}#1" for name in VOTERS))


def fresh(mutation: Mutation) -> State:
    """Return a state without a leader and without a holder."""
    disks = {name: PersistentState(snapshot=Snapshot(configuration=GROUP)) for name in VOTERS}
    return _make_state(mutation, disks)


def held(mutation: Mutation) -> State:
    """Return a state in which v1 is the leader and the first of the two processes holds the lease."""
    state = fresh(mutation)
    bounds = Bounds(99, 9, 99)

    def wake(name: str) -> None:
        voter = state.voter(name)
        state.now = max(state.now, voter.next_due())
        voter.tick(state.now)
        state.settle(name, voter, bounds)

    wake("v1")
    for _ in range(40):
        while state.flying:
            (sender, receiver, message), *rest = state.flying
            state.flying = tuple(rest)
            state.now += MILLISECOND
            state.deliver(sender, receiver, message, bounds)
        if state.holder("a/1").holder.held:
            return replace(state, wakes=0)
        for name in state.holders:
            if state.holder(name).next_due(state.now) <= state.now:
                state.wake(name, bounds)
        if not state.flying:
            wake("v1")
    raise AssertionError("start state not reached: expected a/1 to hold the lease after 40 rounds")


def divergent(mutation: Mutation) -> State:
    """Return the state after step (b) of figure 8 of the Raft paper.

    v1 and v2 were leaders, each has an entry that no other voter has, and v1 is the leader again.
    """
    disks = {name: PersistentState(snapshot=Snapshot(configuration=GROUP)) for name in VOTERS}
    # v1 knows of term 3 and has the entry that it appended in term 2.
    disks["v1"].term, disks["v1"].voted_for = 3, ""
    disks["v1"].entries = [LogEntry(1, 2, EntryType.NOOP, "")]
    disks["v2"].term, disks["v2"].voted_for = 3, "v2#1"
    disks["v2"].entries = [LogEntry(1, 3, EntryType.NOOP, "")]
    disks["v3"].term, disks["v3"].voted_for = 3, "v2#1"
    state = _make_state(mutation, disks, holders=())
    bounds = Bounds(99, 9, 99)
    first = state.voter("v1")
    state.now = first.raft.next_due()
    first.tick(state.now)
    state.settle("v1", first, bounds)
    while not state.voter("v1").raft.is_leader:
        envelope = next(envelope for envelope in state.flying if "v2#1" not in envelope[:2])
        state.flying = tuple(other for other in state.flying if other is not envelope)
        state.deliver(*envelope, bounds)
    return replace(
        state,
        wakes=0,
        flying=tuple(envelope for envelope in state.flying if isinstance(envelope[2], AppendEntries)),
    )


STARTS = {
    "fresh": (fresh, Bounds(depth=9, term=1, wakes=3, crashes=0, flying=6)),
    "held": (held, Bounds(depth=7, term=3, wakes=3, crashes=1, flying=5)),
    "divergent": (
        divergent,
        Bounds(depth=13, term=5, wakes=1, crashes=0, flying=4, horizon=2_500 * MILLISECOND),
    ),
}


def _make_state(
    mutation: Mutation, disks: dict[str, PersistentState], holders: tuple[str, ...] = ("a", "b")
) -> State:
    settings = mutation.settings(SETTINGS)
    names = tuple(f"{name}/1" for name in holders)
    state = State(START, {}, {}, tuple(disks), names, disks)
    for name, disk in disks.items():
        voter = make_voter(name, disk, START, TIMING, settings, _no_state_machines)
        mutation.apply_to_replica(voter)
        voter.raft.replication.max_entries_per_message = mutation.max_entries_per_message
        state.put(name, voter)
    for number, name in enumerate(holders):
        client = GroupClient(name, "1", VOTERS, settings, ConstantRandom(0.0))
        mutation.apply_to(client.holder)
        client.holder.set_wanted([LEASE])
        client._next_heartbeat = START + number * MILLISECOND
        state.put(client.holder.name, client)
    return state


def walk(
    start: str, mutation: Mutation, bounds: Bounds | None = None, seconds: float = 240.0
) -> SearchResult:
    """Search breadth first from a start state, so that a violation is found with the fewest steps.

    Args:
        start: The name of the start state, a key of `STARTS`.
        mutation: The rule to break on purpose.
        bounds: The bounds of the search; None for those of the start state.
        seconds: When to give up, in seconds.
    """
    make, default_bounds = STARTS[start]
    return search_from(start, make(mutation), bounds or default_bounds, seconds)
