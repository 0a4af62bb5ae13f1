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

from marlstep.consensus.raft import Chance
from marlstep.consensus.replica import Ask, Told
from marlstep.leases.holder import Change, Holder
from marlstep.leases.messages import Beat, Beaten
from marlstep.leases.settings import RULES, LeaseSettings

KEPT_TIMES = 200
MOST_OUT = 32  # commands that wait for their results; the group remembers twice as many


@dataclass(slots=True)
class Out:
    ask: Ask
    sent: datetime | None
    since: datetime


class Participant:
    def __init__(
        self, node: str, boot: str, voters: tuple[str, ...], settings: LeaseSettings, chance: Chance
    ) -> None:
        """`voters` are the nodes that may vote; `boot` is of this life of the process, never used again."""
        self.holder = Holder(node, boot, settings)
        self.voters, self.settings = voters, settings
        self.target = node if node in voters else voters[int(chance.random() * len(voters)) % len(voters)]
        self.results: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self.answered: datetime | None = None  # the group's last good answer to a beat
        self.took: deque[timedelta] = deque(maxlen=KEPT_TIMES)  # of the last commands, from the question on
        self._number = 0
        self._out: OrderedDict[int, Out] = OrderedDict()
        self._beat_at: datetime | None = None
        self._unanswered: datetime | None = None  # since when a beat waits

    # Commands.

    def ask(self, now: datetime, command: dict[str, Any]) -> int | None:
        """Ask the group for a command; its number, or None where too many wait already."""
        if len(self._out) >= MOST_OUT:
            return None
        self._number += 1
        body = orjson.dumps(command).decode()
        self._out[self._number] = Out(Ask(self.holder.name, self._number, body), None, now)
        return self._number

    def give_up(self, number: int) -> None:
        """Nobody waits for that result any more. It may still be applied."""
        self._out.pop(number, None)
        self.results.pop(number, None)

    def result(self, number: int) -> dict[str, Any] | None:
        return self.results.pop(number, None)

    # Time.

    def beat_soon(self, now: datetime) -> None:
        self._beat_at = now

    def tick(self, now: datetime) -> tuple[list[tuple[str, Beat | Ask]], list[Change]]:
        """What is to be sent now, and what changed by time alone."""
        changes = self.holder.tick(now)
        wait = self.settings.answer_wait
        if self._unanswered is not None and now >= self._unanswered + wait:
            self._turn(now, "")  # it does not answer: the next
        sends: list[tuple[str, Beat | Ask]] = []
        if self._beat_at is None or now >= self._beat_at:
            self._beat_at = now + self.settings.renew_every
            if self._unanswered is None:
                self._unanswered = now
            sends.append((self.target, self.holder.beat(now)))
        for out in self._out.values():
            if out.sent is None or now >= out.sent + wait:
                out.sent = now
                sends.append((self.target, out.ask))
        return sends, changes

    def next_due(self, now: datetime) -> datetime:
        wait = self.settings.answer_wait
        due = [self._beat_at or now]
        due += [now if out.sent is None else out.sent + wait for out in self._out.values()]
        if self._unanswered is not None:
            due.append(self._unanswered + wait)
        if (over := self.holder.next_due()) is not None:
            due.append(over)
        return min(due)

    def _turn(self, now: datetime, leader: str) -> None:
        """Ask another voter, at once: the one that is said to lead, or the next in the list."""
        if leader in self.voters and leader != self.target:
            self.target = leader
        else:
            at = self.voters.index(self.target) if self.target in self.voters else -1
            self.target = self.voters[(at + 1) % len(self.voters)]
        self._unanswered = None
        self._beat_at = now if leader else now + self.settings.answer_wait / 4

    # Answers.

    def told(self, now: datetime, sender: str, message: Beaten | Told) -> list[Change]:
        """`sender` is the node that the answer came from."""
        if isinstance(message, Told):
            self._told(now, sender, message)
            return []
        if not message.good:
            if sender == self.target:
                self._turn(now, message.leader)
            return []
        self._unanswered, self.answered = None, now
        self.target = sender
        changes = self.holder.told(now, message)
        if any(change.what == "gained" for change in changes):
            self.beat_soon(now)  # the time of a lease that was waited for began with an old beat
        return changes

    def _told(self, now: datetime, sender: str, message: Told) -> None:
        out = self._out.get(message.number)
        if out is None:
            return
        if not message.done:
            if message.leader and sender == self.target:
                self._turn(now, message.leader)
                out.sent = None
            return
        del self._out[message.number]
        self.took.append(now - out.since)
        result = orjson.loads(message.result)
        self.results[message.number] = result if isinstance(result, dict) else {"error": "no result"}

    # The end.

    def leave(self, now: datetime, keep: Iterable[str] = ()) -> list[Change]:
        """Give all other leases back, at once."""
        changes = self.holder.leave(keep)
        self.beat_soon(now)
        return changes

    @property
    def at_rest(self) -> bool:
        """No task is held, and nothing that was given back is still the group's to take."""
        tasks = any(not name.startswith(RULES) for name in self.holder.held)
        return not tasks and not self.holder.returning and not self._out

    def cut_off_for(self, now: datetime) -> timedelta | None:
        """Since the group's last answer; None before the first."""
        return None if self.answered is None else now - self.answered
