"""The leader's side of leases: when one is over, and who gets the next.

Nothing of this is in the log: a voter that comes to lead counts all terms anew, in full, from the moment it leads. A
renewal is answered only after a majority has confirmed, after the beat came, that this voter leads: then no other can
have begun to count before the holder asked.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime

from marlstep.consensus.state_machine import Command, Result
from marlstep.leases.clock_drift import DriftWatch
from marlstep.leases.messages import Beat, Beaten, Held, News, Share
from marlstep.leases.settings import RULES, LeaseSettings
from marlstep.leases.table import Table
from marlstep.units import instant


@dataclass(slots=True)
class Waiting:
    """One node, as its last beat has it."""

    beat: Beat
    heard: datetime
    since: dict[str, datetime]  # it wants each of these since then


@dataclass(slots=True, frozen=True)
class Unanswered:
    beat: Beat
    round: int
    pushed: bool = False  # the beat was answered before: it renews nothing again


def no_shares(holder: str) -> tuple[Share, ...]:
    return ()


class Keeper:
    def __init__(self, table: Table, settings: LeaseSettings) -> None:
        self.table, self.settings = table, settings
        self._leads_since: datetime | None = None
        self._until: dict[str, datetime] = {}
        self._ending: dict[str, int] = {}  # proposed to end, by token: not renewed any more
        self._granting: dict[str, str] = {}
        self._nodes: dict[str, Waiting] = {}
        self._unanswered: dict[str, Unanswered] = {}
        self._count = 0  # of answers
        self._drift = DriftWatch(settings.drift)
        self._only: frozenset[str] | None = None  # nodes that may have leases of tasks; None: all
        self.drifting: list[tuple[str, float]] = []  # clocks that were found to err, to be told and counted
        self._look = False  # something changed that may allow a grant

    def lead(self, now: datetime) -> None:
        """This voter leads from now on."""
        self._leads_since = now
        held = (name for name, lease in self.table.leases.items() if lease.holder)
        self._until = {name: self.settings.group_until(now, name) for name in held}
        self._ending, self._granting, self._nodes, self._unanswered = {}, {}, {}, {}
        self._drift.keep(set())
        self._look = True

    def step_down(self) -> None:
        self._leads_since = None
        self._unanswered.clear()

    def allow(self, nodes: frozenset[str] | None) -> None:
        """Only these may have leases of tasks from now on: others get none, and none of theirs is renewed."""
        if nodes != self._only:
            self._only, self._look = nodes, True

    def _belongs(self, holder: str) -> bool:
        return self._only is None or holder.partition("/")[0] in self._only

    # What nodes say.

    def heard(self) -> Iterable[tuple[str, Beat, datetime]]:
        """Each process's last beat, and when it came."""
        return ((holder, one.beat, one.heard) for holder, one in self._nodes.items())

    def until(self, name: str) -> datetime | None:
        """When that lease is over, by this voter's clock; None where it is not held."""
        return self._until.get(name)

    def beat(self, now: datetime, beat: Beat, round: int) -> list[Command]:
        """A beat came; it is answered once a majority has answered `round`. Gives what is to be proposed."""
        holder = f"{beat.node}/{beat.boot}"
        before = self._nodes.get(holder)
        if before is not None and beat.number < before.beat.number:
            return []  # overtaken by a later one
        since = before.since if before is not None else {}
        wants = {name: since.get(name, now) for name in beat.wants}
        if before is None or wants.keys() != since.keys():
            self._look = True
        self._nodes[holder] = Waiting(beat, now, wants)
        if beat.clock_us and (error := self._drift.beat(holder, instant(beat.clock_us), now)) is not None:
            self.drifting.append((holder, error))
        self._unanswered[holder] = Unanswered(beat, round)
        returned = []
        for name, token in beat.returns:
            lease = self.table.leases.get(name)
            if lease is not None and lease.holder == holder and lease.token == token:
                returned += self._end(name, token, "return")
        return returned

    def _end(self, name: str, token: int, what: str) -> list[Command]:
        if self._ending.get(name) == token:
            return []
        self._ending[name] = token
        return [{"m": "leases", "do": what, "name": name, "token": token}]

    def answers(
        self,
        now: datetime,
        confirmed: int,
        leader: str,
        term: int,
        news: tuple[News, ...] = (),
        shares: Callable[[str], tuple[Share, ...]] = no_shares,
    ) -> list[tuple[str, Beaten]]:
        """The beats that can be answered now, by holder. The leases in an answer to a new beat are renewed."""
        found = []
        for holder, one in list(self._unanswered.items()):
            if one.round > confirmed:
                continue
            del self._unanswered[holder]
            held = self.table.held_by(holder)
            if not self._belongs(holder):  # not named, so not acted on any more; it ends here by time
                held = [(name, token) for name, token in held if name.startswith(RULES)]
            leases = tuple(self._named(now, held, renew=not one.pushed))
            self._count += 1
            drifts = self._drift.beyond(holder)
            mine = shares(holder)
            told = Beaten(one.beat.number, True, leader, term, self._count, leases, drifts, news, mine)
            found.append((holder, told))
        return found

    def _named(self, now: datetime, held: Iterable[Held], renew: bool) -> Iterable[Held]:
        for name, token in held:
            if self._ending.get(name) == token:
                continue
            if renew:
                self._until[name] = self.settings.group_until(now, name)
            yield name, token

    # Time.

    def next_due(self) -> datetime | None:
        """When `tick` has something to do; None where nothing is due by time alone."""
        if self._leads_since is None:
            return None
        due = [min(self._until.values())] if self._until else []
        if self._look and self._settling_until is not None:
            due.append(self._settling_until)
        return min(due, default=None)

    @property
    def _settling_until(self) -> datetime | None:
        """Before that not all who wait have been heard, and the first would get all there is."""
        return None if self._leads_since is None else self._leads_since + self.settings.renew_every

    def tick(self, now: datetime) -> list[Command]:
        """What is to be proposed."""
        if self._leads_since is None:
            return []
        commands: list[Command] = []
        for name, until in list(self._until.items()):
            if now >= until:
                del self._until[name]
                commands += self._end(name, self.table.leases[name].token, "expire")
        settled = self._settling_until is not None and now >= self._settling_until
        if self._look and settled:
            self._look = False
            commands += self._grants(now)
        return commands

    def _grants(self, now: datetime) -> list[Command]:
        live = now - self.settings.term
        for holder in [one for one, waits in self._nodes.items() if waits.heard < live]:
            del self._nodes[holder]
        self._drift.keep(set(self._nodes))
        wanted: dict[str, list[str]] = {}
        for holder, waits in self._nodes.items():
            for name in waits.since:
                if not self.table.holder(name) and name not in self._granting:
                    wanted.setdefault(name, []).append(holder)
        counts = {holder: self.table.counts[holder] for holder in self._nodes}
        for holder in self._granting.values():
            counts[holder] = counts.get(holder, 0) + 1
        commands: list[Command] = []
        for name, holders in wanted.items():
            free = [
                one
                for one in holders
                if name.startswith(RULES) or (self._belongs(one) and self._may_have_more(one, counts))
            ]
            if not free:
                continue
            chosen = min(free, key=lambda one: self._rank(name, one, counts))
            self._granting[name] = chosen
            counts[chosen] = counts.get(chosen, 0) + (not name.startswith(RULES))
            most = 0 if name.startswith(RULES) else self._nodes[chosen].beat.most
            commands.append({"m": "leases", "do": "grant", "name": name, "holder": chosen, "most": most})
        return commands

    def _may_have_more(self, holder: str, counts: dict[str, int]) -> bool:
        most = self._nodes[holder].beat.most
        return not most or counts.get(holder, 0) < most

    def _rank(self, name: str, holder: str, counts: dict[str, int]) -> tuple[int, datetime, str]:
        """The least comes first: few leases, and then a long wait. Who had it last counts as having one less."""
        lease = self.table.leases.get(name)
        stays = lease is not None and lease.last == holder.partition("/")[0]
        return counts.get(holder, 0) - stays, self._nodes[holder].since[name], holder

    # What the log says.

    def applied(self, now: datetime, command: Command, result: Result, round: int) -> None:
        """A command of leases was committed. `round` is one whose answers will come after now."""
        if self._leads_since is None:
            return
        name = str(command.get("name"))
        match command.get("do"):
            case "grant":
                self._granting.pop(name, None)
                if "granted" in result:
                    self._until[name] = self.settings.group_until(now, name)
                    self.tell(result["granted"], round)
                else:
                    self._look = True
            case "expire" | "return":
                if self._ending.get(name) == command.get("token"):
                    del self._ending[name]
                if result.get("ended"):
                    self._until.pop(name, None)
                    self._look = True

    def tell_all(self, round: int) -> None:
        """There is news for all who hold a lease on the rules."""
        for name, lease in self.table.leases.items():
            if name.startswith(RULES) and lease.holder:
                self.tell(lease.holder, round)

    def tell(self, holder: str, round: int) -> None:
        """It need not wait for its next beat to hear of a grant."""
        waits = self._nodes.get(holder)
        if waits is not None and holder not in self._unanswered:
            self._unanswered[holder] = Unanswered(waits.beat, round, pushed=True)
