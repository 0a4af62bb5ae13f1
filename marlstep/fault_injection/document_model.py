"""A model of replicated documents for the model checker: voters, two nodes that follow a document, and a change.

The steps are those of the lease model: any order of message deliveries, losses, timers and crashes; a node that crashes
restarts as a new process. Invariants: no node acts on a version that was not committed. No two nodes act on different
versions of a strict document at the same time. No node acts on an old version of any other document for longer than a
lease duration after the new version came into force.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from marlstep.consensus.log import Configuration, PersistentState, Snapshot
from marlstep.consensus.replica import Replica, node_of
from marlstep.consensus.state_machine import StateMachine, StoredCommand
from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.lease_model import (
    START,
    TIMING,
    VOTERS,
    ConstantRandom,
    State,
    holder_key,
    make_voter,
)
from marlstep.fault_injection.model_checker import Bounds, SearchResult, search_from
from marlstep.fault_injection.mutations import Mutation
from marlstep.leases.client import GroupClient
from marlstep.leases.settings import CONFIG_LEASE_PREFIX, LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, Kind, content_digest
from marlstep.replicated_config.followed_document import FollowerState as Follows
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import (
    AcknowledgeVersion,
    ActivateVersion,
    CheckVersion,
    FollowerAction,
    ProposeFirstVersion,
    SuspendDocument,
)
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import MILLISECOND

NODES = ("a", "b")
DOCUMENT = "d"
SETTINGS = LeaseSettings(1_500 * MILLISECOND, config_term=1_500 * MILLISECOND)


def _book(table: LeaseTable) -> dict[str, StateMachine]:
    return {"rules": ConfigStore(table)}


class DocumentNode:
    """A node process that follows the document, driven the way the production code drives it."""

    def __init__(
        self, node: str, boot: str, voters: tuple[str, ...], settings: LeaseSettings, strict: bool
    ) -> None:
        """Initialize the process with no lease and no version of the document.

        Args:
            node: The name of the node.
            boot: The boot ID of the process.
            voters: The names of the voters.
            settings: The settings of leases.
            strict: Whether the document is strict.
        """
        self.participant = GroupClient(node, boot, voters, settings, ConstantRandom(0.0))
        self.holder = self.participant.holder
        self.lease = CONFIG_LEASE_PREFIX + self.holder.name
        self.holder.set_wanted([self.lease])
        named = DocumentDefinition(DOCUMENT, Kind.SETTINGS, strict, DisconnectPolicy.STOP)
        self.follower = ConfigFollower((named,), node)
        self.follower.start()
        self._acks: dict[int, int] = {}
        self._sends: list[tuple[str, Any]] = []

    def next_due(self, now: datetime) -> datetime:
        """Return when the next timer is due."""
        return self.participant.next_due(now)

    def put(self, now: datetime, content: str, expect: int) -> None:
        """Propose a new version with the content, if `expect` is still the current version."""
        upload = f"u{content}{self.holder.name}"
        told = {"m": "rules", "upload": upload, "doc": DOCUMENT, "kind": "settings"}
        named = self.follower.documents[DOCUMENT].definition
        put: dict[str, Any] = {**told, "do": "put", "expect": expect, "strict": named.strict}
        put |= {"digest": content_digest(content), "author": "", "note": "", "at": ""}
        self.participant.propose(now, StoredCommand({**told, "do": "part", "offset": 0, "data": content}))
        self.participant.propose(now, StoredCommand(put))

    def tick(self, now: datetime) -> list[tuple[str, Any]]:
        """Handle the timers that are due; return the messages to send, each with its receiver."""
        sends, _ = self.participant.tick(now)
        self._carry_out(now, self.follower.tick(now, self.holder.time_left(self.lease, now)))
        return self._out(now, sends)

    def told(self, now: datetime, sender: str, message: Any) -> list[tuple[str, Any]]:
        """Handle a message; return the messages to send, each with its receiver."""
        left = self.holder.time_left
        if isinstance(message, DocumentChunk):
            self._carry_out(now, self.follower.handle_chunk(now, message, left(self.lease, now)))
        else:
            self.participant.handle_response(now, sender, message)
            news, self.holder.documents = self.holder.documents, None
            if news is not None:
                self._carry_out(now, self.follower.handle_statuses(now, news, left(self.lease, now)))
            for number, version in list(self._acks.items()):
                if (result := self.participant.take_result(number)) is not None:
                    del self._acks[number]
                    if "refused" in result:
                        self.follower.acknowledgement_lost(DOCUMENT, version)
        return self._out(now, [])

    def _out(self, now: datetime, sends: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
        """Return `sends` and the requests to send at once; the next heartbeat waits until it is due."""
        more, self._sends = self._sends, []
        out = self.participant._outbound.values()
        for one in out:
            if one.sent_at is None:
                one.sent_at = now
                more.append((self.participant.target, one.request))
        return sends + more

    def _carry_out(self, now: datetime, done: list[FollowerAction]) -> None:
        while done:
            match do := done.pop(0):
                case CheckVersion():
                    done += self.follower.handle_check_result(
                        now, do, "", self.holder.time_left(self.lease, now)
                    )
                case AcknowledgeVersion():
                    told = {"m": "rules", "do": "ack", "doc": do.name, "version": do.version, "why": ""}
                    told |= {"digest": do.digest, "holder": self.holder.name}
                    number = self.participant.propose(now, StoredCommand(told))
                    assert number is not None
                    self._acks[number] = do.version
                case FetchChunk():
                    self._sends.append((self.participant.target, do))
                case ProposeFirstVersion():
                    self.put(now, "[1]", 0)
                case ActivateVersion() | SuspendDocument():
                    pass  # `acting` reads the state of the follower

    def acting(self, now: datetime) -> tuple[int, datetime] | None:
        """Return the version that the process acts on and until when it may; None if it acts on none."""
        one = self.follower.documents[DOCUMENT]
        left = self.holder.time_left(self.lease, now)
        return (one.version, now + left) if one.state is Follows.ACTIVE and left else None


@dataclass(slots=True)
class DocumentState(State):
    """A state of the model: that of the lease model, with `DocumentNode` as the holders.

    Attributes:
        strict: Whether the document is strict.
        acting: The version that each process acts on, and until when it may.
        in_force: The versions that came into force, and when.
    """

    strict: bool = True
    acting: dict[str, tuple[int, datetime]] = field(default_factory=dict)
    in_force: dict[int, datetime] = field(default_factory=dict)

    @staticmethod
    def machines() -> Callable[[LeaseTable], Mapping[str, StateMachine]]:
        """Return the factory of the voters' configuration store."""
        return _book

    def copy(self) -> DocumentState:
        """Return a copy whose dictionaries can be changed independently."""
        after = State.copy(self)
        assert isinstance(after, DocumentState)
        after.acting = dict(self.acting)
        return after

    def key(self) -> int:
        """Return a hash that is equal for states that the search need not tell apart."""
        since = tuple(self.in_force.items())
        flying = frozenset(self.flying)
        return hash((self.now, self.crashes, self.wakes, flying, tuple(self.keys.values()), since))

    def node(self, name: str) -> DocumentNode:
        """Return a fresh copy of a node process; `put` stores it again."""
        return State.holder(self, name)  # type: ignore[return-value]

    def put(self, name: str, part: Any) -> None:
        """Store a voter or a node process and update its key."""
        if isinstance(part, DocumentNode):
            State.put(self, name, part.participant)
            self.parts[name] = _pickled(part)
            self.keys[name] = hash((self.keys[name], node_key(part)))
        else:
            State.put(self, name, part)
            self.keys[name] = hash((self.keys[name], book_key(part)))

    def steps(self, bounds: Bounds) -> Iterator[tuple[str, State]]:
        """Yield the steps of the lease model and the crashes of node processes."""
        yield from State.steps(self, bounds)
        if self.crashes < bounds.crashes:
            for name in self.holders:
                after = self.copy()
                self.doing = f"{name} crashes and comes back"
                after.node_crashes(name)
                yield self.doing, after

    def node_crashes(self, name: str) -> None:
        """Replace a node process by a new one of the same node, which does not act on any version yet."""
        old = self.node(name)
        node, boot = name.split("/")
        fresh = DocumentNode(node, str(int(boot) + 1), self.voters, old.holder.settings, self.strict)
        fresh.holder.__class__, fresh.follower.__class__ = old.holder.__class__, old.follower.__class__
        self.crashes += 1
        self.acting.pop(name, None)
        del self.parts[name], self.keys[name]
        self.holders = tuple(fresh.holder.name if one == name else one for one in self.holders)
        self.put(fresh.holder.name, fresh)

    def deliver(self, sender: str, to: str, message: Any, bounds: Bounds) -> None:
        """Deliver a message to a voter or a node process; one to a process that has ended is lost."""
        if to in self.holders:
            one = self.node(to)
            sends = one.told(self.now, sender, message)
            self.see(to, one)
            for target, more in sends:
                self.send(to, target, more, bounds)
        elif node_of(to) in self.voters:
            State.deliver(self, sender, to, message, bounds)

    def wake(self, name: str, bounds: Bounds) -> None:
        """Let a node process handle its timers, and send its messages."""
        one = self.node(name)
        sends = one.tick(self.now)
        self.see(name, one)
        for target, message in sends:
            self.send(name, target, message, bounds)

    def route(self, voter: Replica, to: str, message: Any, bounds: Bounds) -> None:
        """Send a message of a voter under the sender name that its receiver expects."""
        sender = voter.identity if "#" in to else voter.node
        self.send(sender, to, message, bounds)

    # Invariants.

    def asked_for(self, holder: str, lease: str) -> bool:
        """Return whether the holder may have requested the lease."""
        return holder.partition("/")[0] in NODES and lease == CONFIG_LEASE_PREFIX + holder

    def check(self, voter: Replica) -> None:
        """Check a voter, record the versions that it has committed, and check the versions acted on."""
        State.check(self, voter)
        assert voter.config_store is not None
        document = voter.config_store.documents.get(DOCUMENT)
        new = {one.number: self.now for one in (document.versions if document else ())} | self.in_force
        if new != self.in_force:
            self.in_force = new
            self.look()

    def see(self, name: str, one: DocumentNode) -> None:
        """Store a node process, record the version that it acts on, and check the versions acted on."""
        self.put(name, one)
        self.acting.pop(name, None)
        if (acting := one.acting(self.now)) is not None:
            self.acting[name] = acting
        self.look()

    def look(self) -> None:
        """Check the versions that the node processes act on now.

        Raises:
            InvariantViolationError: A version that was never in force, different versions of a strict document, or an
                old version for longer than a lease duration after a newer one came into force.
        """
        acting = {name: version for name, (version, until) in self.acting.items() if until > self.now}
        for name, version in acting.items():
            if version not in self.in_force:
                raise InvariantViolationError(f"{name} acts on version {version}, which was never in force")
        if self.strict and len(set(acting.values())) > 1:
            raise InvariantViolationError(f"two act on different versions at {self.now - START}: {acting}")
        newest = max(self.in_force, default=0)
        for name, version in acting.items():
            if version < newest and self.now > self.in_force[newest] + SETTINGS.config_term:
                late = self.now - self.in_force[newest]
                raise InvariantViolationError(
                    f"{name} acts on version {version} {late} after {newest} came into force"
                )


def _pickled(part: object) -> bytes:
    import pickle

    return pickle.dumps(part, -1)


def node_key(one: DocumentNode) -> tuple[Any, ...]:
    """Return the state of a node process that tells states of the model apart."""
    at = one.follower.documents[DOCUMENT]
    held, checks = tuple((at.prepared_contents or {}).items()), tuple(at.check_results.items())
    mine = (
        at.state,
        at.version,
        at.target,
        at.fetching_version,
        at.fetched_text,
        at.fetch_sent_at,
        held,
        checks,
        at.acknowledged_version,
        at.proposed_at,
    )
    return (*mine, holder_key(one.participant), tuple(one.participant._outbound), tuple(one._acks.items()))


def book_key(voter: Replica) -> tuple[Any, ...]:
    """Return the state of a voter that tells states apart, beyond its lease state."""
    return tuple(voter._pending_requests), tuple(sorted(voter.duties.proposed_decisions))


def lapsed(mutation: Mutation, strict: bool, voters: tuple[str, ...]) -> DocumentState:
    """Return a state like that of `change`, in which both configuration leases have just expired.

    No message was delivered meanwhile. Only messages of the second process are in flight, among them a late heartbeat.
    """
    state = change(mutation, strict, voters)
    state.flying = state.flying[:0]
    late = state.holders[1]
    state.now = state.node(late).next_due(state.now)
    state.wake(late, WIDE)
    [name] = state.voters
    voter = state.voter(name)
    state.now = max(
        filter(None, (voter.lease_manager.expiry_of(CONFIG_LEASE_PREFIX + one) for one in state.holders))
    )
    voter.tick(state.now)
    state.settle(name, voter, WIDE)
    state.flying = tuple(sent for sent in state.flying if sent[0] == late)
    state.wakes = 0
    return state


def change(mutation: Mutation, strict: bool, voters: tuple[str, ...]) -> DocumentState:
    """Return a state in which both nodes act on version 1, and version 2 has just been prepared.

    Raises:
        InvariantViolationError: The mutation violates an invariant before that state is reached.
    """
    group = Configuration(tuple(f"{name}#1" for name in voters))
    disks = {name: PersistentState(snapshot=Snapshot(configuration=group)) for name in voters}
    settings = mutation.settings(SETTINGS)
    names = tuple(f"{name}/1" for name in NODES)
    state = DocumentState(START, {}, {}, voters, names, disks, strict=strict)
    for name in voters:
        voter = make_voter(name, disks[name], START, TIMING, settings, _book)
        mutation.apply_to_replica(voter)
        if voter.config_store is not None:
            mutation.apply_to(voter.config_store)
        state.put(name, voter)
    for name in names:
        one = DocumentNode(name.partition("/")[0], "1", voters, settings, strict)
        mutation.apply_to(one.holder)
        mutation.apply_to(one.follower)
        state.put(name, one)
    _until(state, lambda: len(state.acting) == len(NODES))
    first = state.node(names[0])
    first.put(state.now, "[2]", 1)
    for target, message in first._out(state.now, []):
        state.send(names[0], target, message, WIDE)
    state.put(names[0], first)

    def prepared() -> bool:
        for name in voters:
            book = state.voter(name).config_store
            if (
                book is not None
                and DOCUMENT in book.documents
                and book.documents[DOCUMENT].prepared is not None
            ):
                return True
        return bool(state.in_force.keys() - {1})

    _until(state, prepared)
    state.crashes = state.wakes = 0
    return state


WIDE = Bounds(99, 9, 1 << 30, flying=64)


def _until(state: DocumentState, there: Callable[[], bool]) -> None:
    """Run the model until the condition holds: messages are delivered in order, and the earliest timer fires next.

    Raises:
        AssertionError: The condition does not hold after 4000 steps.
    """
    for _ in range(4_000):
        if there():
            return
        if state.flying:
            (sender, to, message), *rest = state.flying
            state.flying = tuple(rest)
            state.now += MILLISECOND
            state.deliver(sender, to, message, WIDE)
            continue
        due = {name: state.node(name).next_due(state.now) for name in state.holders}
        due |= {name: state.voter(name).next_due() for name in state.voters}
        name = min(due, key=lambda one: due[one])
        state.now = max(state.now, due[name])
        if name in state.holders:
            state.wake(name, WIDE)
        else:
            voter = state.voter(name)
            voter.tick(state.now)
            state.settle(name, voter, WIDE)
    raise AssertionError("start state not reached: its condition does not hold after 4000 steps")


# Most start states have one voter, since the lease model covers three; `three` adds elections, to a smaller depth.
STARTS = {
    "strict": (change, True, VOTERS[:1], Bounds(depth=14, term=2, wakes=1, crashes=1, flying=5)),
    "plain": (change, False, VOTERS[:1], Bounds(depth=14, term=2, wakes=1, crashes=1, flying=5)),
    "lapsed": (lapsed, True, VOTERS[:1], Bounds(depth=12, term=2, wakes=1, crashes=1, flying=5)),
    "lapsed plain": (lapsed, False, VOTERS[:1], Bounds(depth=12, term=2, wakes=1, crashes=1, flying=5)),
    "three": (change, True, VOTERS, Bounds(depth=5, term=3, wakes=1, crashes=1, flying=5)),
}


def search_document_states(
    start: str, mutation: Mutation, bounds: Bounds | None = None, seconds: float = 240.0
) -> SearchResult:
    """Search breadth first from a start state, so that a violation is found with the fewest steps.

    Args:
        start: The name of the start state, a key of `STARTS`.
        mutation: The rule to break on purpose.
        bounds: The bounds of the search; None for those of the start state.
        seconds: When to give up, in seconds.
    """
    make, strict, voters, usual = STARTS[start]
    try:
        first = make(mutation, strict, voters)
    except InvariantViolationError as fault:
        return SearchResult(start, broken=str(fault), trace=("all messages in order",))
    return search_from(start, first, bounds or usual, seconds)
