"""A node's side of leases: what it wants, what it has, and until when it may act on that.

It acts on a lease only until a time that it counts from before it asked, by its own clock less the drift.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.leases.messages import Acts, Beat, Beaten, Figures, Held, News, Share
from marlstep.leases.settings import LeaseSettings
from marlstep.units import ZERO, instant_us

KEPT_BEATS = 32  # whose answers may still come
Report = tuple[tuple[Acts, ...], Figures, tuple[Held, ...]]  # what a beat tells of the node beside its leases


def no_report(now: datetime) -> Report:
    return (), (0, 0, 0), ()


def none_failed() -> tuple[str, ...]:
    return ()


@dataclass(slots=True)
class Mine:
    token: int
    until: datetime  # by this node's clock
    since: datetime
    lapsed: bool = False  # its time ran out here, and that was said


@dataclass(slots=True, frozen=True)
class Change:
    """To be acted on, and logged."""

    name: str
    token: int
    what: str  # gained, lapsed, lost, regained
    why: str


class Holder:
    def __init__(self, node: str, boot: str, settings: LeaseSettings) -> None:
        self.node, self.boot, self.settings = node, boot, settings
        self.wants: dict[str, None] = {}
        self.held: dict[str, Mine] = {}
        self.leaving = False
        self.news: tuple[News, ...] | None = None  # of the last answer that was taken in
        self.shares: tuple[Share, ...] = ()  # of the last answer that was taken in
        self.report: Callable[[datetime], Report] = no_report
        self.failed: Callable[[], tuple[str, ...]] = none_failed  # whom this node hears as failed
        self.drifts = False  # the group says that this node's clock errs too much
        self._returns: dict[str, int] = {}
        self._number = 0
        self._sent: OrderedDict[int, datetime] = OrderedDict()
        self._answered = (0, 0)  # term and count of the last answer that was taken in

    @property
    def name(self) -> str:
        return f"{self.node}/{self.boot}"

    # What may be done.

    def left(self, name: str, now: datetime) -> timedelta:
        """For how long it may still be acted on; zero where it may not."""
        mine = self.held.get(name)
        return ZERO if mine is None else max(ZERO, mine.until - now)

    def token(self, name: str) -> int:
        """0 where it is not held."""
        mine = self.held.get(name)
        return 0 if mine is None else mine.token

    @property
    def returning(self) -> bool:
        """Leases were given back, and the group has not said yet that it took them."""
        return bool(self._returns)

    # What is wanted.

    def want(self, names: Iterable[str]) -> list[Change]:
        """These and no others from now on; what is held beyond them is given back."""
        self.wants = dict.fromkeys(names)
        return [
            self._give_back(name, "not wanted any more") for name in list(self.held) if name not in self.wants
        ]

    def leave(self, keep: Iterable[str] = ()) -> list[Change]:
        """Give all others back, and want nothing more; what is kept runs out by itself."""
        self.leaving = True
        return self.want(keep)

    def _give_back(self, name: str, why: str) -> Change:
        mine = self.held.pop(name)
        self._returns[name] = mine.token
        return Change(name, mine.token, "lost", why)

    # Beats and their answers.

    def beat(self, now: datetime) -> Beat:
        """To be sent now: the leases that its answer names are counted from here."""
        self._number += 1
        self._sent[self._number] = now
        while len(self._sent) > KEPT_BEATS:
            self._sent.popitem(last=False)
        returns = tuple(self._returns.items())
        names = tuple(self.wants)
        acts, figures, demand = self.report(now)
        clock, most = instant_us(now), self.settings.most
        number, failed = self._number, self.failed()
        return Beat(self.node, self.boot, number, names, returns, most, clock, acts, figures, failed, demand)

    def told(self, now: datetime, answer: Beaten) -> list[Change]:
        """An answer came, perhaps late, twice or out of order."""
        asked = self._sent.get(answer.number)
        if not answer.good or asked is None or (answer.term, answer.count) <= self._answered:
            return []
        self._answered = (answer.term, answer.count)
        self.drifts, self.news, self.shares = answer.drifts, answer.news, answer.shares
        theirs = dict(answer.leases)
        changes = [
            Change(name, self.held.pop(name).token, "lost", "the group has it no more")
            for name in list(self.held)
            if theirs.get(name) != self.held[name].token
        ]
        for name, token in answer.leases:
            changes += self._hold(now, name, token, self.settings.holder_until(asked, name))
        self._returns = {name: token for name, token in self._returns.items() if theirs.get(name) == token}
        return changes

    def _hold(self, now: datetime, name: str, token: int, until: datetime) -> list[Change]:
        mine = self.held.get(name)
        if name not in self.wants:
            if mine is None:
                self._returns[name] = token
            return []
        if self._returns.get(name) == token or until <= now:
            return []  # given back already, or an answer that came too late to be of use
        if mine is None:
            self.held[name] = Mine(token, until, now)
            return [Change(name, token, "gained", f"for {(until - now).total_seconds():.2f} s")]
        mine.until = max(mine.until, until)
        if mine.lapsed:
            mine.lapsed = False
            return [Change(name, token, "regained", "the group has it still")]
        return []

    # Time.

    def next_due(self) -> datetime | None:
        """When the next lease is over here."""
        return min((mine.until for mine in self.held.values() if not mine.lapsed), default=None)

    def tick(self, now: datetime) -> list[Change]:
        changes = []
        for name, mine in self.held.items():
            if not mine.lapsed and now >= mine.until:
                mine.lapsed = True
                changes.append(Change(name, mine.token, "lapsed", "no renewal in time: it is not acted on"))
        return changes
