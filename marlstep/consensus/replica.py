"""One voter whole: its part in the log, the machines on it, and what it does for nodes while it leads.

Still without I/O: what drives it stores and sends what it says, on sockets or on a virtual network.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import orjson

from marlstep.consensus.configuration_change import ConfigurationChangeRejectedError
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import Raft, RaftTiming, RandomSource, Ready
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse, JoinRequest, Message
from marlstep.consensus.state_machine import (
    Command,
    CommandJson,
    ResultJson,
    StateMachine,
    StateMachines,
    command_json,
)
from marlstep.leases.manager import LeaseManager, no_quota_shares
from marlstep.leases.messages import Heartbeat, HeartbeatResponse, RelayAnnouncement, ServerRecovered
from marlstep.leases.settings import CONFIG_LEASE_PREFIX, LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.membership.quota_balancer import QuotaBalancer
from marlstep.membership.quota_table import QuotaTable
from marlstep.membership.roster import Roster
from marlstep.membership.roster_controller import FailureReport, RosterController, RosterSettings
from marlstep.replicated_config.documents import CHUNK_CHARACTERS
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.replicated_config.rollout import ReceivedHeartbeat, RolloutMonitor
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import MILLISECOND, SECOND

COMPACTION_THRESHOLD = 2_000  # entries behind the snapshot
ENTRIES_KEPT_AFTER_COMPACTION = 500  # of them, for members that lag a little
APPLIED_HISTORY_LENGTH = 256
STANDINGS_PER_PAGE = 50  # processes that one answer tells of: a message has its limit
MAX_LAG_TO_VOTE = 32  # entries that a learner may be behind to become a voter
JOIN_REQUEST_EXPIRY = (
    5 * SECOND
)  # a voter that is silent for so long may be replaced by its node's new identity


@dataclass(slots=True, frozen=True)
class ReplicaEvent:
    """Of who leads or votes, for the log."""

    what: str
    reason: str


def node_of(identity: str) -> str:
    """Of a voter's identity (`node#store`) or of a process's name (`node/boot`)."""
    return identity.partition("#")[0].partition("/")[0]


@dataclass(slots=True, frozen=True)
class ReplicaSettings:
    timing: RaftTiming
    leases: LeaseSettings
    eligible_nodes: tuple[str, ...]  # nodes that may vote
    roster: RosterSettings | None = None  # where the group keeps a list of who belongs to the fleet
    quotas: bool = False  # tenants' allowances are for the whole service


class Replica:
    def __init__(
        self,
        me: str,
        saved: PersistentState,
        settings: ReplicaSettings,
        machines: Callable[[LeaseTable], Mapping[str, StateMachine]],
        chance: RandomSource,
        now: datetime,
    ) -> None:
        """`machines` gives those beside the leases, which may look at the table of these.

        Raises ValueError where the snapshot can't be read by them.
        """
        self.identity, self.node, self.settings = me, node_of(me), settings
        self.raft = Raft(me, saved, settings.timing, chance, now)
        self.leases = LeaseTable()
        self.machines = StateMachines({"leases": self.leases, **machines(self.leases)})
        if saved.snapshot.data:
            self.machines.restore(saved.snapshot.data)
        self.lease_manager = LeaseManager(self.leases, settings.leases)
        book = self.machines.machines.get("rules")
        self.config_store: ConfigStore | None = book if isinstance(book, ConfigStore) else None
        self.rollout = RolloutMonitor()
        agreed = self.machines.machines.get("members")
        self.roster: Roster | None = agreed if isinstance(agreed, Roster) else None
        shares = self.machines.machines.get("shares")
        self.quotas: QuotaTable | None = shares if isinstance(shares, QuotaTable) else None
        self.quota_balancer = QuotaBalancer()
        self.roster_controller = RosterController(settings.roster or RosterSettings())
        self._committing: set[tuple[str, int]] = set()
        self.events: deque[ReplicaEvent] = deque()  # for whoever drives it to log
        self.applied: deque[tuple[int, CommandJson, ResultJson]] = deque(maxlen=APPLIED_HISTORY_LENGTH)
        self.counts = dict.fromkeys(("commands", "elections", "beats", "asks", "snapshots", "drifting"), 0)
        self._leadership_term = 0  # the term in which the keeper was told that this voter leads
        self._pending_requests: dict[tuple[str, int], str] = {}  # who waits for which command
        self._outbox: list[tuple[str, Message]] = []
        self._join_requests: dict[str, datetime] = {}  # identities that wait to be taken in
        self._next_reconcile = now  # when to look again whether the group is as it should be
        self._last_known_leader = ""

    # What comes in.

    def step(self, now: datetime, sender: str, message: Message) -> None:
        """A message from another member of the group or from a node."""
        match message:
            case Heartbeat():
                self._handle_heartbeat(now, sender, message)
            case CommandRequest():
                self._handle_command_request(now, sender, message)
            case JoinRequest():
                self._handle_join_request(now, sender, message)
            case FetchChunk():
                self._handle_fetch(sender, message)
            case (
                CommandResponse()
                | HeartbeatResponse()
                | ServerRecovered()
                | DocumentChunk()
                | RelayAnnouncement()
            ):
                pass  # of a node's own part, not of a voter's
            case _:
                self.raft.step(now, sender, message)
        self._advance(now)

    def tick(self, now: datetime) -> None:
        self.raft.tick(now)
        self._advance(now)

    def next_due(self) -> datetime:
        due = self.raft.next_due()
        leases = self.lease_manager.next_due() if self.raft.is_established_leader else None
        return due if leases is None else min(due, leases)

    def _handle_heartbeat(self, now: datetime, sender: str, beat: Heartbeat) -> None:
        if not self.raft.is_established_leader:
            self._outbox.append((sender, HeartbeatResponse(beat.number, False, node_of(self.raft.leader))))
            return
        self.counts["beats"] += 1
        for command in self.lease_manager.handle_heartbeat(now, beat, self.raft.heartbeat_round + 1):
            self._propose(now, command)

    def _handle_command_request(self, now: datetime, sender: str, ask: CommandRequest) -> None:
        known = (
            self.machines.cached_result(ask.client, ask.number) if self.raft.is_established_leader else None
        )
        if known is not None:
            self._outbox.append((sender, CommandResponse(ask.number, True, self.node, _write(known))))
        elif not self.raft.is_established_leader:
            self._outbox.append((sender, CommandResponse(ask.number, False, node_of(self.raft.leader))))
        elif (ask.client, ask.number) not in self._pending_requests:
            self.counts["asks"] += 1
            try:
                command = orjson.loads(ask.command)
            except ValueError:
                command = None
            if not isinstance(command, dict):
                refused = _write({"error": "no command: an object is wanted"})
                self._outbox.append((sender, CommandResponse(ask.number, True, self.node, refused)))
                return
            if command.get("m") == "standings":  # nothing for the log: what this one has heard
                rows, first = self.process_standings(now), command.get("from")
                first = first if isinstance(first, int) and first >= 0 else 0
                told = {"standings": rows[first : first + STANDINGS_PER_PAGE], "of": len(rows)}
                self._outbox.append((sender, CommandResponse(ask.number, True, self.node, _write(told))))
                return
            self._pending_requests[ask.client, ask.number] = sender
            self._propose(now, {**command, "by": ask.client, "no": ask.number})

    def _handle_fetch(self, sender: str, asked: FetchChunk) -> None:
        """A piece of a document, for a node that has no log."""
        if self.config_store is None or not self.raft.is_established_leader:
            return
        content = self.config_store.content(asked.name, asked.version)
        if content is None:
            self._outbox.append((sender, DocumentChunk(asked.name, asked.version, asked.offset, -1, "")))
        elif 0 <= asked.offset < max(1, len(content)):
            data = content[asked.offset : asked.offset + CHUNK_CHARACTERS]
            self._outbox.append(
                (sender, DocumentChunk(asked.name, asked.version, asked.offset, len(content), data))
            )

    def _propose(self, now: datetime, command: Command | CommandJson) -> None:
        self.raft.propose(_write(command_json(command)))

    # Who is in the group.

    def _handle_join_request(self, now: datetime, sender: str, join: JoinRequest) -> None:
        node = join.node
        if (
            node in self.settings.eligible_nodes
            and node_of(join.identity) == node
            and sender == join.identity
        ):
            self._join_requests[join.identity] = now

    def _reconcile_configuration(self, now: datetime) -> None:
        """One step at a time: take in who waits, let it vote once it has caught up in its old self's place."""
        raft = self.raft
        if not raft.is_established_leader or raft.log.configuration_index > raft.commit_index:
            return
        group = raft.configuration
        for identity in group.members:
            if node_of(identity) not in self.settings.eligible_nodes and self._remove_member(
                now, group, identity
            ):
                return
        for identity, asked in list(self._join_requests.items()):
            if identity in group.voters or asked < now - JOIN_REQUEST_EXPIRY:
                del self._join_requests[identity]
            elif identity not in group.learners:
                others = tuple(one for one in group.learners if node_of(one) != node_of(identity))
                self._change_configuration(
                    now, Configuration(group.voters, (*others, identity)), f"{identity} listens"
                )
                return
            elif self._is_caught_up(now, identity):
                before = [one for one in group.voters if node_of(one) == node_of(identity)]
                left = [one for one in group.voters if one not in before]
                if before and len(group.voters) > 1:
                    if all(self._is_silent(now, one) for one in before) and self._majority_is_alive(
                        now, left
                    ):
                        voters, learners = tuple(left), group.learners
                        self._change_configuration(
                            now, Configuration(voters, learners), f"{before[0]} is replaced by {identity}"
                        )
                elif not before:
                    learners = tuple(one for one in group.learners if one != identity)
                    self._change_configuration(
                        now, Configuration((*group.voters, identity), learners), f"{identity} votes"
                    )
                return

    def _remove_member(self, now: datetime, group: Configuration, identity: str) -> bool:
        """A member whose node is not named any more goes, where the others can do without it."""
        voters = [one for one in group.voters if one != identity]
        learners = tuple(one for one in group.learners if one != identity)
        if not voters or not self._majority_is_alive(now, voters):
            return False
        self._change_configuration(
            now, Configuration(tuple(voters), learners), f"{identity} goes, as its node is not named any more"
        )
        return True

    def _change_configuration(self, now: datetime, group: Configuration, why: str) -> None:
        with contextlib.suppress(ConfigurationChangeRejectedError):
            self.raft.change_configuration(group)
            self.events.append(ReplicaEvent(f"group: {why}", "asked by its node"))

    def _is_caught_up(self, now: datetime, identity: str) -> bool:
        peer = self.raft.progress.get(identity)
        return (
            peer is not None
            and peer.match_index > 0
            and self.raft.replication_lag(identity) <= MAX_LAG_TO_VOTE
        )

    def _is_silent(self, now: datetime, identity: str) -> bool:
        """Its node has another store now: the old self can't come back, unless it is this very voter."""
        peer = self.raft.progress.get(identity)
        return identity != self.identity and (
            peer is None or peer.last_contact is None or peer.last_contact < now - self._contact_timeout
        )

    @property
    def _contact_timeout(self) -> timedelta:
        return 2 * self.raft.timing.election_timeout

    def _majority_is_alive(self, now: datetime, voters: list[str]) -> bool:
        """A majority of them has been heard of late: without the one that goes they can go on."""
        heard = sum(one == self.identity or not self._is_silent(now, one) for one in voters)
        return heard >= len(voters) // 2 + 1

    # What follows.

    def _advance(self, now: datetime) -> None:
        raft = self.raft
        for item in raft.take_committed():
            if isinstance(item, Snapshot):
                if item.data:
                    self.machines.restore(item.data)
                self.counts["snapshots"] += 1
            elif item.entry_type is EntryType.COMMAND:
                self._apply(now, item)
            elif item.entry_type is EntryType.CONFIGURATION:
                self.events.append(
                    ReplicaEvent(f"group is now {Configuration.decode(item.body).voters}", "committed")
                )
        if raft.is_established_leader and self._leadership_term != raft.term:
            self._leadership_term = raft.term
            self.counts["elections"] += 1
            self.lease_manager.become_leader(now)
            self.rollout.become_leader()
            self.roster_controller.become_leader(now)
            self.quota_balancer.become_leader()
            self._publish_roster()
            self._committing.clear()
        elif not raft.is_leader and self._leadership_term:
            self._leadership_term = 0
            self._pending_requests.clear()
            self._join_requests.clear()
            self.lease_manager.step_down()
        if raft.is_established_leader:
            for command in self.lease_manager.tick(now):
                self._propose(now, command)
            if self.config_store is not None:
                self._reconcile_config_versions(now, self.config_store)
            news = () if self.config_store is None else self.config_store.statuses()
            shares = no_quota_shares if self.quotas is None else self.quotas.shares_of
            self._outbox += self.lease_manager.take_responses(
                now, raft.confirmed_round, self.node, raft.term, news, shares
            )
            for holder, error in self.lease_manager.detected_drifts:
                self.counts["drifting"] += 1
                what = f"the clock of {holder} errs by {error:+.1%} against this one"
                self.events.append(ReplicaEvent(what, "beyond the stated drift: only tokens protect from it"))
            self.lease_manager.detected_drifts.clear()
            if now >= self._next_reconcile:
                self._next_reconcile = now + raft.timing.heartbeat_interval
                self._reconcile_configuration(now)
                if self.settings.roster is not None and self.roster is not None:
                    self._reconcile_roster(now, self.roster)
                if self.settings.quotas and self.quotas is not None and self.config_store is not None:
                    for quota_command in self.quota_balancer.rebalance(
                        now, self.quotas, self.config_store.allowances(), self._demands()
                    ):
                        self._propose(now, quota_command)
        if raft.last_applied - raft.log.snapshot.index >= COMPACTION_THRESHOLD:
            raft.compact(self.machines.snapshot, ENTRIES_KEPT_AFTER_COMPACTION)
        if raft.leader != self._last_known_leader:
            before, self._last_known_leader = self._last_known_leader, raft.leader
            why = f"term {raft.term}, before: {before or 'none'}"
            self.events.append(ReplicaEvent(f"leader is {raft.leader or 'unknown'}", why))

    def _reconcile_config_versions(self, now: datetime, book: ConfigStore) -> None:
        """A change that all who act have said they can take comes into force."""
        for name, version in book.ready_to_commit():
            if (name, version) not in self._committing:
                self._committing.add((name, version))
                self._propose(now, {"m": "rules", "do": "commit", "doc": name, "version": version})
        if not book.active_rollouts():
            return
        beats = {holder: ReceivedHeartbeat(beat, at) for holder, beat, at in self.lease_manager.heartbeats()}
        for one in self.rollout.evaluate(now, book, beats, self.settings.leases.term_of(CONFIG_LEASE_PREFIX)):
            if (one.name, one.version) not in self._committing:
                self._committing.add((one.name, one.version))
                told = {"m": "rules", "doc": one.name, "version": one.version, "why": one.reason}
                self._propose(
                    now, told | ({"do": "commit", "whole": True} if one.promote else {"do": "withdraw"})
                )
                way = "goes on to all" if one.promote else "goes back"
                self.events.append(
                    ReplicaEvent(f"staged version {one.version} of {one.name} {way}", one.reason)
                )

    def _demands(self) -> dict[str, dict[str, float]]:
        return {
            holder: {tenant: per_ks / 1000 for tenant, per_ks in beat.tenant_demand}
            for holder, beat, _ in self.lease_manager.heartbeats()
        }

    def _publish_roster(self) -> None:
        """Before anybody belongs all may have tasks: the first are taken in only after a term and a probation."""
        if self.settings.roster is not None and self.roster is not None:
            self.lease_manager.set_eligible_nodes(self.roster.members() or None)

    def _reconcile_roster(self, now: datetime, agreed: Roster) -> None:
        words = {
            holder: FailureReport(node_of(holder), at, frozenset(beat.failed_nodes))
            for holder, beat, at in self.lease_manager.heartbeats()
        }
        holds = frozenset(lease.node for lease in self.leases.leases.values() if lease.holder)
        leases = self.settings.leases
        for change in self.roster_controller.reconcile(
            now, agreed, words, holds, max(leases.term, leases.config_term)
        ):
            command = change.to_json()
            self.events.append(
                ReplicaEvent(f"{command['do']} {command['node']}", command.get("why", "it is heard"))
            )
            self._propose(now, change)

    def process_standings(self, now: datetime) -> list[dict[str, Any]]:
        """What each process has said of itself, as far as this leader has heard."""
        rows = []
        for holder, beat, at in self.lease_manager.heartbeats():
            until = self.lease_manager.expiry_of(CONFIG_LEASE_PREFIX + holder)
            rows.append(
                {
                    "process": holder,
                    "heard_ms": (now - at) // MILLISECOND,
                    "lease_ms": 0 if until is None else max(0, (until - now) // MILLISECOND),
                    "acts": [list(row) for row in beat.document_states],
                    "figures": list(beat.request_counts),
                }
            )
        return sorted(rows, key=lambda row: str(row["process"]))

    def _apply(self, now: datetime, entry: LogEntry) -> None:
        command, result = self.machines.apply(entry.body)
        self.counts["commands"] += 1
        self.applied.append((entry.index, command, result))
        if command.get("m") == "leases" and self._leadership_term == self.raft.term:
            self.lease_manager.on_applied(now, command, result, self.raft.heartbeat_round + 1)
        if command.get("m") == "rules" and command.get("do") != "part":
            self._committing.discard((str(command.get("doc")), command.get("version", 0)))
            if self._leadership_term == self.raft.term and ("acked" not in result):
                self.lease_manager.push_to_all(self.raft.heartbeat_round + 1)
        if command.get("m") == "members":
            self._publish_roster()
        if command.get("m") == "shares" and self._leadership_term == self.raft.term and "part" in result:
            self.lease_manager.push_to(result["holder"], self.raft.heartbeat_round + 1)
        by, number = command.get("by"), command.get("no")
        if isinstance(by, str) and isinstance(number, int):
            waiting = self._pending_requests.pop((by, number), None)
            if waiting is not None:
                self._outbox.append((waiting, CommandResponse(number, True, self.node, _write(result))))

    # What goes out.

    def take_immediate_messages(self, now: datetime) -> list[tuple[str, Message]]:
        """To be sent at once."""
        out, self._outbox = self._outbox, []
        out += self.raft.take_immediate_messages(now)
        return out

    def take_ready(self) -> Ready | None:
        """To be made durable, its messages to be sent after that, and then told to `synced`."""
        return self.raft.take_ready()

    def acknowledge_durable(self, now: datetime, ready: Ready) -> None:
        self.raft.acknowledge_durable(ready)
        self._advance(now)

    def transfer_leadership(self) -> str | None:
        """Hand the leadership over; return the identity of the next leader, None where no voter is ready."""
        return self.raft.transfer_leadership()

    def status(self) -> dict[str, Any]:
        raft = self.raft
        return {
            "identity": self.identity,
            "role": raft.role.value,
            "term": raft.term,
            "leader": raft.leader,
            "last": raft.log.last_index,
            "commit": raft.commit_index,
            "snapshot": raft.log.snapshot.index,
            "voters": list(raft.configuration.voters),
            "learners": list(raft.configuration.learners),
            "lag": {one: raft.replication_lag(one) for one in raft.progress} if raft.is_leader else {},
            "counts": dict(self.counts),
        }


def _write(value: object) -> str:
    return orjson.dumps(value).decode()
