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
from marlstep.replicated_config.followed_document import FollowerState
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


def _config_machines(table: LeaseTable) -> dict[str, StateMachine]:
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
        self.client = GroupClient(node, boot, voters, settings, ConstantRandom(0.0))
        self.holder = self.client.holder
        self.lease = CONFIG_LEASE_PREFIX + self.holder.name
        self.holder.set_wanted([self.lease])
        definition = DocumentDefinition(DOCUMENT, Kind.SETTINGS, strict, DisconnectPolicy.STOP)
        self.follower = ConfigFollower((definition,), node)
        self.follower.start()
        self._acks: dict[int, int] = {}
        self._unsent: list[tuple[str, Any]] = []

    def next_due(self, now: datetime) -> datetime:
        """Return when the next timer is due."""
        return self.client.next_due(now)

    def put(self, now: datetime, content: str, expect: int) -> None:
        """Propose a new version with the content, if `expect` is still the current version."""
        upload = f"u{content}{self.holder.name}"
        upload_fields = {"m": "rules", "upload": upload, "doc": DOCUMENT, "kind": "settings"}
        document_definition = self.follower.documents[DOCUMENT].definition
        put: dict[str, Any] = {
            **upload_fields,
            "do": "put",
            "expect": expect,
            "strict": document_definition.strict,
        }
        put |= {"digest": content_digest(content), "author": "", "note": "", "at": ""}
        self.client.propose(now, StoredCommand({**upload_fields, "do": "part", "offset": 0, "data": content}))
        self.client.propose(now, StoredCommand(put))

    def tick(self, now: datetime) -> list[tuple[str, Any]]:
        """Handle the timers that are due; return the messages to send, each with its receiver."""
        sends, _ = self.client.tick(now)
        self._carry_out(now, self.follower.tick(now, self.holder.time_left(self.lease, now)))
        return self._add_new_requests(now, sends)

    def handle_message(self, now: datetime, sender: str, message: Any) -> list[tuple[str, Any]]:
        """Handle a message; return the messages to send, each with its receiver."""
        time_left_of = self.holder.time_left
        if isinstance(message, DocumentChunk):
            self._carry_out(now, self.follower.handle_chunk(now, message, time_left_of(self.lease, now)))
        else:
            self.client.handle_response(now, sender, message)
            statuses, self.holder.documents = self.holder.documents, None
            if statuses is not None:
                self._carry_out(
                    now, self.follower.handle_statuses(now, statuses, time_left_of(self.lease, now))
                )
            for number, version in list(self._acks.items()):
                if (result := self.client.take_result(number)) is not None:
                    del self._acks[number]
                    if "refused" in result:
                        self.follower.acknowledgement_lost(DOCUMENT, version)
        return self._add_new_requests(now, [])

    def _add_new_requests(self, now: datetime, sends: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
        """Return `sends` and the requests to send at once; the next heartbeat waits until it is due."""
        messages, self._unsent = self._unsent, []
        outbound = self.client._outbound.values()
        for pending in outbound:
            if pending.sent_at is None:
                pending.sent_at = now
                messages.append((self.client.target, pending.request))
        return sends + messages

    def _carry_out(self, now: datetime, actions: list[FollowerAction]) -> None:
        while actions:
            match action := actions.pop(0):
                case CheckVersion():
                    actions += self.follower.handle_check_result(
                        now, action, "", self.holder.time_left(self.lease, now)
                    )
                case AcknowledgeVersion():
                    command = {
                        "m": "rules",
                        "do": "ack",
                        "doc": action.name,
                        "version": action.version,
                        "why": "",
                    }
                    command |= {"digest": action.digest, "holder": self.holder.name}
                    number = self.client.propose(now, StoredCommand(command))
                    assert number is not None
                    self._acks[number] = action.version
                case FetchChunk():
                    self._unsent.append((self.client.target, action))
                case ProposeFirstVersion():
                    self.put(now, "[1]", 0)
                case ActivateVersion() | SuspendDocument():
                    pass  # `acting` reads the state of the follower

    def acting(self, now: datetime) -> tuple[int, datetime] | None:
        """Return the version that the process acts on and until when it may; None if it acts on none."""
        document = self.follower.documents[DOCUMENT]
        left = self.holder.time_left(self.lease, now)
        return (document.version, now + left) if document.state is FollowerState.ACTIVE and left else None


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
    def state_machines() -> Callable[[LeaseTable], Mapping[str, StateMachine]]:
        """Return the factory of the voters' configuration store."""
        return _config_machines

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
            State.put(self, name, part.client)
            self.parts[name] = _pickled(part)
            self.keys[name] = hash((self.keys[name], node_key(part)))
        else:
            State.put(self, name, part)
            self.keys[name] = hash((self.keys[name], replica_key(part)))

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
        restarted = DocumentNode(node, str(int(boot) + 1), self.voters, old.holder.settings, self.strict)
        restarted.holder.__class__, restarted.follower.__class__ = (
            old.holder.__class__,
            old.follower.__class__,
        )
        self.crashes += 1
        self.acting.pop(name, None)
        del self.parts[name], self.keys[name]
        self.holders = tuple(
            restarted.holder.name if holder_name == name else holder_name for holder_name in self.holders
        )
        self.put(restarted.holder.name, restarted)

    def deliver(self, sender: str, receiver: str, message: Any, bounds: Bounds) -> None:
        """Deliver a message to a voter or a node process; one to a process that has ended is lost."""
        if receiver in self.holders:
            process = self.node(receiver)
            sends = process.handle_message(self.now, sender, message)
            self.update_process(receiver, process)
            for target, reply in sends:
                self.send(receiver, target, reply, bounds)
        elif node_of(receiver) in self.voters:
            State.deliver(self, sender, receiver, message, bounds)

    def wake(self, name: str, bounds: Bounds) -> None:
        """Let a node process handle its timers, and send its messages."""
        process = self.node(name)
        sends = process.tick(self.now)
        self.update_process(name, process)
        for target, message in sends:
            self.send(name, target, message, bounds)

    def route(self, voter: Replica, receiver: str, message: Any, bounds: Bounds) -> None:
        """Send a message of a voter under the sender name that its receiver expects."""
        sender = voter.identity if "#" in receiver else voter.node
        self.send(sender, receiver, message, bounds)

    # Invariants.

    def may_request(self, holder: str, lease: str) -> bool:
        """Return whether the holder may have requested the lease."""
        return holder.partition("/")[0] in NODES and lease == CONFIG_LEASE_PREFIX + holder

    def check(self, voter: Replica) -> None:
        """Check a voter, record the versions that it has committed, and check the versions acted on."""
        State.check(self, voter)
        assert voter.config_store is not None
        document = voter.config_store.documents.get(DOCUMENT)
        in_force_now = {
            version.number: self.now for version in (document.versions if document else ())
        } | self.in_force
        if in_force_now != self.in_force:
            self.in_force = in_force_now
            self.check_versions()

    def update_process(self, name: str, process: DocumentNode) -> None:
        """Store a node process, record the version that it acts on, and check the versions acted on."""
        self.put(name, process)
        self.acting.pop(name, None)
        if (acting := process.acting(self.now)) is not None:
            self.acting[name] = acting
        self.check_versions()

    def check_versions(self) -> None:
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


def node_key(process: DocumentNode) -> tuple[Any, ...]:
    """Return the state of a node process that tells states of the model apart."""
    document = process.follower.documents[DOCUMENT]
    held, checks = tuple((document.fetched_contents or {}).items()), tuple(document.check_results.items())
    own_state = (
        document.state,
        document.version,
        document.target,
        document.fetching_version,
        document.fetched_text,
        document.fetch_sent_at,
        held,
        checks,
        document.acknowledged_version,
        document.proposed_at,
    )
    return (
        *own_state,
        holder_key(process.client),
        tuple(process.client._outbound),
        tuple(process._acks.items()),
    )


def replica_key(voter: Replica) -> tuple[Any, ...]:
    """Return the state of a voter that tells states apart, beyond its lease state."""
    return tuple(voter._pending_requests), tuple(sorted(voter.duties.proposed_decisions))


def lapsed(mutation: Mutation, strict: bool, voters: tuple[str, ...]) -> DocumentState:
    """Return a state like that of `change`, in which both configuration leases have just expired.

    No message was delivered meanwhile. Only messages of the second process are in flight, among them a late heartbeat.
    """
    state = change(mutation, strict, voters)
    state.flying = state.flying[:0]
    late_process = state.holders[1]
    state.now = state.node(late_process).next_due(state.now)
    state.wake(late_process, UNBOUNDED)
    [name] = state.voters
    voter = state.voter(name)
    state.now = max(
        filter(
            None,
            (
                voter.lease_manager.expiry_of(CONFIG_LEASE_PREFIX + holder_name)
                for holder_name in state.holders
            ),
        )
    )
    voter.tick(state.now)
    state.settle(name, voter, UNBOUNDED)
    state.flying = tuple(envelope for envelope in state.flying if envelope[0] == late_process)
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
        voter = make_voter(name, disks[name], START, TIMING, settings, _config_machines)
        mutation.apply_to_replica(voter)
        if voter.config_store is not None:
            mutation.apply_to(voter.config_store)
        state.put(name, voter)
    for name in names:
        process = DocumentNode(name.partition("/")[0], "1", voters, settings, strict)
        mutation.apply_to(process.holder)
        mutation.apply_to(process.follower)
        state.put(name, process)
    _run_until(state, lambda: len(state.acting) == len(NODES))
    first = state.node(names[0])
    first.put(state.now, "[2]", 1)
    for target, message in first._add_new_requests(state.now, []):
        state.send(names[0], target, message, UNBOUNDED)
    state.put(names[0], first)

    def prepared() -> bool:
        for name in voters:
            store = state.voter(name).config_store
            if (
                store is not None
                and DOCUMENT in store.documents
                and store.documents[DOCUMENT].prepared is not None
            ):
                return True
        return bool(state.in_force.keys() - {1})

    _run_until(state, prepared)
    state.crashes = state.wakes = 0
    return state


UNBOUNDED = Bounds(99, 9, 1 << 30, flying=64)


def _run_until(state: DocumentState, is_reached: Callable[[], bool]) -> None:
    """Run the model until the condition holds: messages are delivered in order, and the earliest timer fires next.

    Raises:
        AssertionError: The condition does not hold after 4000 steps.
    """
    for _ in range(4_000):
        if is_reached():
            return
        if state.flying:
            (sender, receiver, message), *rest = state.flying
            state.flying = tuple(rest)
            state.now += MILLISECOND
            state.deliver(sender, receiver, message, UNBOUNDED)
            continue
        due = {name: state.node(name).next_due(state.now) for name in state.holders}
        due |= {name: state.voter(name).next_due() for name in state.voters}
        name = min(due, key=lambda part: due[part])
        state.now = max(state.now, due[name])
        if name in state.holders:
            state.wake(name, UNBOUNDED)
        else:
            voter = state.voter(name)
            voter.tick(state.now)
            state.settle(name, voter, UNBOUNDED)
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
    make, strict, voters, default_bounds = STARTS[start]
    try:
        first = make(mutation, strict, voters)
    except InvariantViolationError as fault:
        return SearchResult(start, broken=str(fault), trace=("all messages in order",))
    return search_from(start, first, bounds or default_bounds, seconds)
