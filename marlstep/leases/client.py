"""A node's part in the group, voter or not: its beats, its leases, and the commands that it asks for.

Pure, as all here: it is told of time and messages, and says what to send to which voter.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import orjson

from marlstep.consensus.raft import RandomSource
from marlstep.consensus.replica_messages import CommandRequest, CommandResponse
from marlstep.consensus.state_machine import Command, CommandJson, command_json
from marlstep.leases.holder import LeaseEvent, LeaseHolder
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.leases.settings import CONFIG_LEASE_PREFIX, LeaseSettings

MAX_LATENCY_SAMPLES = 200
MAX_OUTBOUND_COMMANDS = 32  # commands that wait for their results; the group remembers twice as many


@dataclass(slots=True)
class OutboundCommand:
    request: CommandRequest
    sent_at: datetime | None
    created_at: datetime


class GroupClient:
    def __init__(
        self, node: str, boot: str, voters: tuple[str, ...], settings: LeaseSettings, chance: RandomSource
    ) -> None:
        """`voters` are the nodes that may vote; `boot` is of this life of the process, never used again."""
        self.holder = LeaseHolder(node, boot, settings)
        self.voters, self.settings = voters, settings
        self.target = node if node in voters else voters[int(chance.random() * len(voters)) % len(voters)]
        self.results: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self.last_response_at: datetime | None = None  # the group's last good answer to a beat
        self.command_latencies: deque[timedelta] = deque(
            maxlen=MAX_LATENCY_SAMPLES
        )  # of the last commands, from the question on
        self._command_number = 0
        self._outbound: OrderedDict[int, OutboundCommand] = OrderedDict()
        self._next_heartbeat: datetime | None = None
        self._unanswered_since: datetime | None = None  # since when a beat waits

    # Commands.

    def propose(self, now: datetime, command: Command | CommandJson) -> int | None:
        """Ask the group for a command; its number, or None where too many wait already."""
        if len(self._outbound) >= MAX_OUTBOUND_COMMANDS:
            return None
        self._command_number += 1
        body = orjson.dumps(command_json(command)).decode()
        self._outbound[self._command_number] = OutboundCommand(
            CommandRequest(self.holder.name, self._command_number, body), None, now
        )
        return self._command_number

    def abandon(self, number: int) -> None:
        """Nobody waits for that result any more. It may still be applied."""
        self._outbound.pop(number, None)
        self.results.pop(number, None)

    def take_result(self, number: int) -> dict[str, Any] | None:
        return self.results.pop(number, None)

    # Time.

    def schedule_heartbeat(self, now: datetime) -> None:
        self._next_heartbeat = now

    def tick(self, now: datetime) -> tuple[list[tuple[str, Heartbeat | CommandRequest]], list[LeaseEvent]]:
        """What is to be sent now, and what changed by time alone."""
        changes = self.holder.tick(now)
        wait = self.settings.response_timeout
        if self._unanswered_since is not None and now >= self._unanswered_since + wait:
            self._switch_target(now, "")  # it does not answer: the next
        sends: list[tuple[str, Heartbeat | CommandRequest]] = []
        if self._next_heartbeat is None or now >= self._next_heartbeat:
            self._next_heartbeat = now + self.settings.renewal_interval
            if self._unanswered_since is None:
                self._unanswered_since = now
            sends.append((self.target, self.holder.make_heartbeat(now)))
        for out in self._outbound.values():
            if out.sent_at is None or now >= out.sent_at + wait:
                out.sent_at = now
                sends.append((self.target, out.request))
        return sends, changes

    def next_due(self, now: datetime) -> datetime:
        wait = self.settings.response_timeout
        due = [self._next_heartbeat or now]
        due += [now if out.sent_at is None else out.sent_at + wait for out in self._outbound.values()]
        if self._unanswered_since is not None:
            due.append(self._unanswered_since + wait)
        if (over := self.holder.next_due()) is not None:
            due.append(over)
        return min(due)

    def _switch_target(self, now: datetime, leader: str) -> None:
        """Ask another voter, at once: the one that is said to lead, or the next in the list."""
        if leader in self.voters and leader != self.target:
            self.target = leader
        else:
            at = self.voters.index(self.target) if self.target in self.voters else -1
            self.target = self.voters[(at + 1) % len(self.voters)]
        self._unanswered_since = None
        self._next_heartbeat = now if leader else now + self.settings.response_timeout / 4

    # Answers.

    def handle_response(
        self, now: datetime, sender: str, message: HeartbeatResponse | CommandResponse
    ) -> list[LeaseEvent]:
        """`sender` is the node that the answer came from."""
        if isinstance(message, CommandResponse):
            self._handle_command_response(now, sender, message)
            return []
        if not message.from_leader:
            if sender == self.target:
                self._switch_target(now, message.leader)
            return []
        self._unanswered_since, self.last_response_at = None, now
        self.target = sender
        changes = self.holder.handle_response(now, message)
        if any(change.event == "gained" for change in changes):
            self.schedule_heartbeat(now)  # the time of a lease that was waited for began with an old beat
        return changes

    def _handle_command_response(self, now: datetime, sender: str, message: CommandResponse) -> None:
        out = self._outbound.get(message.number)
        if out is None:
            return
        if not message.applied:
            if message.leader and sender == self.target:
                self._switch_target(now, message.leader)
                out.sent_at = None
            return
        del self._outbound[message.number]
        self.command_latencies.append(now - out.created_at)
        result = orjson.loads(message.result)
        self.results[message.number] = result if isinstance(result, dict) else {"error": "no result"}

    # The end.

    def release_leases(self, now: datetime, keep: Iterable[str] = ()) -> list[LeaseEvent]:
        """Give all other leases back, at once."""
        changes = self.holder.release_all(keep)
        self.schedule_heartbeat(now)
        return changes

    @property
    def is_idle(self) -> bool:
        """No task is held, and nothing that was given back is still the group's to take."""
        tasks = any(not name.startswith(CONFIG_LEASE_PREFIX) for name in self.holder.held)
        return not tasks and not self.holder.returning and not self._outbound

    def time_since_response(self, now: datetime) -> timedelta | None:
        """Since the group's last answer; None before the first."""
        return None if self.last_response_at is None else now - self.last_response_at
