"""A process's client of its consensus group: sends heartbeats, holds leases and proposes commands for the log.

It works the same on voters and on other nodes. It does no I/O: the caller passes in the time and the received messages,
and sends the messages that it returns.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

import orjson

from marlstep.consensus.raft import RandomSource
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse
from marlstep.consensus.state_machine import Command, ResultJson
from marlstep.leases.holder import LeaseEvent, LeaseEventKind, LeaseHolder
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.leases.names import is_config_lease
from marlstep.leases.settings import LeaseSettings

MAX_LATENCY_SAMPLES = 200
MAX_OUTBOUND_COMMANDS = 32  # commands without a result; the group keeps twice as many results per process
TARGET_SWITCHES_PER_TIMEOUT = 4  # voters tried per response timeout while no voter knows the leader

GroupMessage = Heartbeat | CommandRequest
GroupResponse = HeartbeatResponse | CommandResponse


@dataclass(slots=True)
class OutboundCommand:
    """A proposed command that has no result yet."""

    request: CommandRequest
    sent_at: datetime | None  # when it was last sent; None if it must be sent at the next tick
    created_at: datetime


class GroupClient:
    """Sends heartbeats and commands to the presumed leader, and to another voter if it does not respond."""

    def __init__(
        self,
        node: str,
        process_id: str,
        voters: tuple[str, ...],
        settings: LeaseSettings,
        random_source: RandomSource,
    ) -> None:
        """Initialize the client of one process.

        Args:
            node: name of this process's node.
            process_id: identifier of this process; no other process of the node ever has the same one.
            voters: names of the voting nodes.
            settings: lease terms and limits, the same on all nodes.
            random_source: selects the first voter to contact if this node is not a voter.
        """
        self.holder = LeaseHolder(node, process_id, settings)
        self.voters, self.settings = voters, settings
        self.target = node if node in voters else self._random_voter(random_source)
        self.results: OrderedDict[int, ResultJson] = OrderedDict()
        self.last_response_at: datetime | None = None  # when the leader last responded to a heartbeat
        self.command_latencies: deque[timedelta] = deque(maxlen=MAX_LATENCY_SAMPLES)  # from `propose`
        self._command_number = 0
        self._outbound: OrderedDict[int, OutboundCommand] = OrderedDict()
        self._next_heartbeat: datetime | None = None
        self._unanswered_since: datetime | None = None  # when the oldest unanswered heartbeat was sent

    def _random_voter(self, random_source: RandomSource) -> str:
        return self.voters[int(random_source.random() * len(self.voters)) % len(self.voters)]

    # Proposing commands.

    def propose(self, now: datetime, command: Command) -> int | None:
        """Propose a command to the group. Returns its number, or None if too many commands have no result yet."""
        if len(self._outbound) >= MAX_OUTBOUND_COMMANDS:
            return None
        self._command_number += 1
        body = orjson.dumps(command.to_json()).decode()
        request = CommandRequest(self.holder.name, self._command_number, body)
        self._outbound[self._command_number] = OutboundCommand(request, None, now)
        return self._command_number

    def abandon(self, number: int) -> None:
        """Stop waiting for the result of the given command, which may still be applied."""
        self._outbound.pop(number, None)
        self.results.pop(number, None)

    def take_result(self, number: int) -> ResultJson | None:
        """Remove and return the result of the given command; None if it has not arrived."""
        return self.results.pop(number, None)

    # Scheduling and sending.

    def schedule_heartbeat(self, now: datetime) -> None:
        """Schedule the next heartbeat for `now` instead of its regular time."""
        self._next_heartbeat = now

    def tick(self, now: datetime) -> tuple[list[tuple[str, GroupMessage]], list[LeaseEvent]]:
        """Return the messages to send now, each with its target voter, and events of the leases that have expired."""
        events = self.holder.tick(now)
        timeout = self.settings.response_timeout
        if self._unanswered_since is not None and now >= self._unanswered_since + timeout:
            self._switch_target(now, "")
        messages: list[tuple[str, GroupMessage]] = []
        if self._next_heartbeat is None or now >= self._next_heartbeat:
            messages.append((self.target, self._make_heartbeat(now)))
        for outbound in self._outbound.values():
            if outbound.sent_at is None or now >= outbound.sent_at + timeout:
                outbound.sent_at = now
                messages.append((self.target, outbound.request))
        return messages, events

    def _make_heartbeat(self, now: datetime) -> Heartbeat:
        self._next_heartbeat = now + self.settings.renewal_interval
        if self._unanswered_since is None:
            self._unanswered_since = now
        return self.holder.make_heartbeat(now)

    def next_due(self, now: datetime) -> datetime:
        """Return the time at which `tick` must be called next."""
        timeout = self.settings.response_timeout
        due = [self._next_heartbeat or now]
        due += [
            now if outbound.sent_at is None else outbound.sent_at + timeout
            for outbound in self._outbound.values()
        ]
        if self._unanswered_since is not None:
            due.append(self._unanswered_since + timeout)
        if (expiry := self.holder.next_due()) is not None:
            due.append(expiry)
        return min(due)

    def _switch_target(self, now: datetime, leader: str) -> None:
        """Switch to `leader` if it is a voter other than the current target, otherwise to the next voter."""
        if leader in self.voters and leader != self.target:
            self.target = leader
        else:
            index = self.voters.index(self.target) if self.target in self.voters else -1
            self.target = self.voters[(index + 1) % len(self.voters)]
        self._unanswered_since = None
        delay = self.settings.response_timeout / TARGET_SWITCHES_PER_TIMEOUT
        self._next_heartbeat = now if leader else now + delay

    # Handling responses.

    def handle_response(self, now: datetime, sender: str, message: GroupResponse) -> list[LeaseEvent]:
        """Handle a response from the node `sender`. Returns the resulting lease events."""
        match message:
            case CommandResponse():
                self._handle_command_response(now, sender, message)
                return []
            case HeartbeatResponse():
                return self._handle_heartbeat_response(now, sender, message)

    def _handle_heartbeat_response(
        self, now: datetime, sender: str, message: HeartbeatResponse
    ) -> list[LeaseEvent]:
        if not message.from_leader:
            if sender == self.target:
                self._switch_target(now, message.leader)
            return []
        self._unanswered_since, self.last_response_at = None, now
        self.target = sender
        events = self.holder.handle_response(now, message)
        if any(event.event is LeaseEventKind.GAINED for event in events):
            # The term of a grant is counted from the heartbeat that it responds to. If the lease became free only
            # after that heartbeat, little of the term may be left, so renew at once.
            self.schedule_heartbeat(now)
        return events

    def _handle_command_response(self, now: datetime, sender: str, message: CommandResponse) -> None:
        outbound = self._outbound.get(message.number)
        if outbound is None:
            return
        if not message.applied:
            if message.leader and sender == self.target:
                self._switch_target(now, message.leader)
                outbound.sent_at = None
            return
        del self._outbound[message.number]
        self.command_latencies.append(now - outbound.created_at)
        result = orjson.loads(message.result)
        self.results[message.number] = result if isinstance(result, dict) else {"error": "no result"}

    # Shutdown.

    def release_leases(self, now: datetime, keep: Iterable[str] = ()) -> list[LeaseEvent]:
        """Release all leases except those in `keep`, and schedule a heartbeat for `now` that returns them."""
        events = self.holder.release_all(keep)
        self.schedule_heartbeat(now)
        return events

    @property
    def is_idle(self) -> bool:
        """Whether no task lease is held, no lease is being returned, and every command has its result."""
        holds_task_leases = any(not is_config_lease(name) for name in self.holder.held)
        return not holds_task_leases and not self.holder.returning and not self._outbound

    def time_since_response(self, now: datetime) -> timedelta | None:
        """Return the time since the leader's last response to a heartbeat; None before the first."""
        return None if self.last_response_at is None else now - self.last_response_at
