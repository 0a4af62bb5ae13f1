"""A replica: one member of the Raft group, with its state machines and, while it leads, the leader's duties.

It does no I/O: its driver stores the state and sends the messages that it returns, over sockets or a simulated network.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from datetime import datetime
from typing import NamedTuple

import orjson

from marlstep.consensus.group_membership import GroupMembership
from marlstep.consensus.leader_duties import LeaderDuties, MachineName, ReplicatedState
from marlstep.consensus.log import Configuration, EntryType, LogEntry, PersistentState, Snapshot
from marlstep.consensus.raft import Raft, RandomSource, Ready
from marlstep.consensus.replica_messages import (
    STANDINGS_QUERY,
    CommandRequest,
    CommandResponse,
    JoinRequest,
    Message,
)
from marlstep.consensus.replica_settings import ReplicaSettings, node_of
from marlstep.consensus.replica_status import COUNTERS, ReplicaEvent, ReplicaStatus
from marlstep.consensus.state_machine import CommandJson, ResultJson, StateMachine, StateMachines
from marlstep.leases.messages import Heartbeat, HeartbeatResponse, RelayAnnouncement, ServerRecovered
from marlstep.leases.table import LeaseTable
from marlstep.replicated_config.documents import CHUNK_CHARACTERS
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk

__all__ = ["COMPACTION_THRESHOLD", "AppliedCommand", "Replica", "ReplicaEvent", "ReplicaSettings", "node_of"]

COMPACTION_THRESHOLD = 2_000  # compact the log after this many applied entries since the last snapshot
ENTRIES_KEPT_AFTER_COMPACTION = 500  # for members that lag a little, which then need no snapshot
APPLIED_HISTORY_LENGTH = 256
STANDINGS_PER_PAGE = 50  # processes in one response, as the size of a message is limited
MISSING_DOCUMENT_LENGTH = -1  # the length in a chunk of an unknown document version


class AppliedCommand(NamedTuple):
    """A command that the state machines have applied, with the index of its log entry."""

    log_index: int
    command: CommandJson
    result: ResultJson


class Replica:
    """One member of the group and its state machines; the interface for its driver."""

    def __init__(
        self,
        identity: str,
        saved: PersistentState,
        settings: ReplicaSettings,
        machines: Callable[[LeaseTable], Mapping[str, StateMachine]],
        random_source: RandomSource,
        now: datetime,
    ) -> None:
        """Initialize a follower from its stored state.

        Args:
            identity: The identity of this replica (`node#store`).
            saved: The durable state that the store returned.
            settings: The settings of the replica.
            machines: Creates the state machines other than the lease table, which it gets and they may read.
            random_source: The source of randomness of the election timeout.
            now: The current time.

        Raises:
            ValueError: The stored entries are not contiguous, or the stored snapshot cannot be restored.
        """
        self.identity, self.node, self.settings = identity, node_of(identity), settings
        self.raft = Raft(identity, saved, settings.timing, random_source, now)
        self.leases = LeaseTable()
        self.machines = StateMachines({MachineName.LEASES: self.leases, **machines(self.leases)})
        if saved.snapshot.data:
            self.machines.restore(saved.snapshot.data)
        state = ReplicatedState.from_machines(self.leases, self.machines)
        self.config_store, self.roster, self.quotas = state.config_store, state.roster, state.quotas
        self.events: deque[ReplicaEvent] = deque()  # the driver logs and removes them
        self.duties = LeaderDuties(self.node, self.raft, state, settings, self.events)
        self.lease_manager, self.rollout = self.duties.lease_manager, self.duties.rollout
        self.roster_controller = self.duties.roster_controller
        self.group = GroupMembership(self.raft, self.events)
        self.applied: deque[AppliedCommand] = deque(maxlen=APPLIED_HISTORY_LENGTH)
        self.counts = dict.fromkeys(COUNTERS, 0)
        self._pending_requests: dict[tuple[str, int], str] = {}  # sender by client and command number
        self._outbox: list[tuple[str, Message]] = []
        self._next_reconcile = now
        self._last_known_leader = ""

    # Messages and timers

    def step(self, now: datetime, sender: str, message: Message) -> None:
        """Handle a message from a member of the group or from a node."""
        match message:
            case Heartbeat():
                self._handle_heartbeat(now, sender, message)
            case CommandRequest():
                self._handle_command_request(now, sender, message)
            case JoinRequest():
                self.group.handle_join_request(now, sender, message, self.settings.eligible_nodes)
            case FetchChunk():
                self._handle_fetch_chunk(sender, message)
            case (
                CommandResponse()
                | HeartbeatResponse()
                | ServerRecovered()
                | DocumentChunk()
                | RelayAnnouncement()
            ):
                pass  # handled by the node's client of the group
            case _:
                self.raft.step(now, sender, message)
        self._advance(now)

    def tick(self, now: datetime) -> None:
        """Run the timers that are due."""
        self.raft.tick(now)
        self._advance(now)

    def next_due(self) -> datetime:
        """Return the time at which `tick` should be called next."""
        raft_due = self.raft.next_due()
        duties_due = self.duties.next_due() if self.raft.is_established_leader else None
        return raft_due if duties_due is None else min(raft_due, duties_due)

    def transfer_leadership(self) -> str | None:
        """Transfer the leadership; return its target, or None if not leading or if no other voter is ready."""
        return self.raft.transfer_leadership()

    def _handle_heartbeat(self, now: datetime, sender: str, heartbeat: Heartbeat) -> None:
        if not self.raft.is_established_leader:
            redirect = HeartbeatResponse(heartbeat.number, False, node_of(self.raft.leader))
            self._outbox.append((sender, redirect))
            return
        self.counts["beats"] += 1
        self.duties.handle_heartbeat(now, heartbeat)

    def _handle_fetch_chunk(self, sender: str, request: FetchChunk) -> None:
        """Send a chunk of a configuration document to the process that requested it, a voter's or another node's."""
        if self.config_store is None or not self.raft.is_established_leader:
            return
        content = self.config_store.content(request.name, request.version)
        if content is None:
            length, data = MISSING_DOCUMENT_LENGTH, ""
        elif 0 <= request.offset < max(1, len(content)):
            length, data = len(content), content[request.offset : request.offset + CHUNK_CHARACTERS]
        else:
            return
        chunk = DocumentChunk(request.name, request.version, request.offset, length, data)
        self._outbox.append((sender, chunk))

    # Commands of clients

    def _handle_command_request(self, now: datetime, sender: str, request: CommandRequest) -> None:
        if not self.raft.is_established_leader:
            redirect = CommandResponse(request.number, False, node_of(self.raft.leader))
            self._outbox.append((sender, redirect))
            return
        cached = self.machines.cached_result(request.client, request.number)
        if cached is not None:
            self._respond(sender, request.number, cached)
        elif (request.client, request.number) not in self._pending_requests:
            self.counts["asks"] += 1
            self._handle_new_command(now, sender, request)

    def _handle_new_command(self, now: datetime, sender: str, request: CommandRequest) -> None:
        command = _parse_object(request.command)
        if command is None:
            self._respond(sender, request.number, {"error": "no command: an object is wanted"})
        elif command.get("m") == STANDINGS_QUERY:
            self._respond(sender, request.number, self._standings_page(now, command.get("from")))
        else:
            self._pending_requests[request.client, request.number] = sender
            self.raft.propose(_to_json_text({**command, "by": request.client, "no": request.number}))

    def _standings_page(self, now: datetime, requested_start: object) -> ResultJson:
        standings = [standing.to_json() for standing in self.duties.process_standings(now)]
        start = requested_start if isinstance(requested_start, int) and requested_start >= 0 else 0
        return {"standings": standings[start : start + STANDINGS_PER_PAGE], "of": len(standings)}

    def _respond(self, to: str, number: int, result: ResultJson) -> None:
        self._outbox.append((to, CommandResponse(number, True, self.node, _to_json_text(result))))

    # Processing after each message, timer and durable write

    def _advance(self, now: datetime) -> None:
        self._apply_committed(now)
        self._observe_leadership(now)
        if self.raft.is_established_leader:
            self._run_leader_duties(now)
        self._compact_if_needed()
        self._report_leader_change()

    def _apply_committed(self, now: datetime) -> None:
        for committed in self.raft.take_committed():
            if isinstance(committed, Snapshot):
                self._restore(committed)
            elif committed.entry_type is EntryType.COMMAND:
                self._apply_command(now, committed)
            elif committed.entry_type is EntryType.CONFIGURATION:
                voters = Configuration.decode(committed.body).voters
                self.events.append(ReplicaEvent(f"group is now {voters}", "committed"))

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.data:
            self.machines.restore(snapshot.data)
        self.counts["snapshots"] += 1

    def _apply_command(self, now: datetime, entry: LogEntry) -> None:
        command, result = self.machines.apply(entry.body)
        self.counts["commands"] += 1
        self.applied.append(AppliedCommand(entry.index, command, result))
        self.duties.handle_applied(now, command, result)
        client, number = command.get("by"), command.get("no")
        if isinstance(client, str) and isinstance(number, int):
            sender = self._pending_requests.pop((client, number), None)
            if sender is not None:
                self._respond(sender, number, result)

    def _observe_leadership(self, now: datetime) -> None:
        if self.raft.is_established_leader and not self.duties.is_current:
            self.counts["elections"] += 1
            self.duties.start_term(now)
        elif not self.raft.is_leader and self.duties.is_active:
            self.duties.step_down()
            self._pending_requests.clear()
            self.group.clear()

    def _run_leader_duties(self, now: datetime) -> None:
        self.duties.expire_and_grant_leases(now)
        self.duties.activate_config_versions(now)
        self._outbox += self.duties.take_heartbeat_responses(now)
        self.counts["drifting"] += self.duties.report_drifting_clocks()
        if now >= self._next_reconcile:
            self._next_reconcile = now + self.raft.timing.heartbeat_interval
            self.group.reconcile(now, self.settings.eligible_nodes)
            self.duties.reconcile_roster(now)
            self.duties.rebalance_quotas(now)

    def _compact_if_needed(self) -> None:
        if self.raft.last_applied - self.raft.log.snapshot.index >= COMPACTION_THRESHOLD:
            self.raft.compact(self.machines.snapshot, ENTRIES_KEPT_AFTER_COMPACTION)

    def _report_leader_change(self) -> None:
        leader = self.raft.leader
        if leader != self._last_known_leader:
            reason = f"term {self.raft.term}, before: {self._last_known_leader or 'none'}"
            self.events.append(ReplicaEvent(f"leader is {leader or 'unknown'}", reason))
            self._last_known_leader = leader

    # Messages, state and status for the driver

    def take_immediate_messages(self, now: datetime) -> list[tuple[str, Message]]:
        """Return and remove the messages that may be sent immediately."""
        messages, self._outbox = self._outbox, []
        messages += self.raft.take_immediate_messages(now)
        return messages

    def take_ready(self) -> Ready | None:
        """Return the state to make durable and the messages to send after that; then call `acknowledge_durable`."""
        return self.raft.take_ready()

    def acknowledge_durable(self, now: datetime, ready: Ready) -> None:
        """Record that the state of `ready` is durable."""
        self.raft.acknowledge_durable(ready)
        self._advance(now)

    def status(self) -> ReplicaStatus:
        """Return the state to show to operators."""
        raft = self.raft
        return ReplicaStatus(
            identity=self.identity,
            role=raft.role.value,
            term=raft.term,
            leader=raft.leader,
            last_index=raft.log.last_index,
            commit_index=raft.commit_index,
            snapshot_index=raft.log.snapshot.index,
            voters=raft.configuration.voters,
            learners=raft.configuration.learners,
            lag={member: raft.replication_lag(member) for member in raft.progress} if raft.is_leader else {},
            counts=dict(self.counts),
        )


def _parse_object(text: str) -> CommandJson | None:
    try:
        command = orjson.loads(text)
    except ValueError:
        return None
    return command if isinstance(command, dict) else None


def _to_json_text(value: CommandJson) -> str:
    return orjson.dumps(value).decode()
