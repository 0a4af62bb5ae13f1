"""A node's side of leases: what it wants, what it has, and until when it may act on that.

It acts on a lease only until a time that it counts from before it asked, by its own clock less the drift.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from marlstep.leases.messages import (
    NO_REQUESTS,
    DocumentState,
    DocumentStatus,
    Heartbeat,
    HeartbeatResponse,
    LeaseToken,
    QuotaShareRow,
    RequestCounts,
    TenantDemand,
)
from marlstep.leases.settings import LeaseSettings
from marlstep.units import ZERO, instant_us

MAX_UNANSWERED_HEARTBEATS = 32  # whose answers may still come


@dataclass(slots=True, frozen=True)
class HeartbeatReport:
    """What a heartbeat carries beside leases."""

    document_states: tuple[DocumentState, ...] = ()
    request_counts: RequestCounts = NO_REQUESTS
    tenant_demand: tuple[TenantDemand, ...] = ()


def empty_report(now: datetime) -> HeartbeatReport:
    return HeartbeatReport()


def no_failed_nodes() -> tuple[str, ...]:
    return ()


@dataclass(slots=True)
class HeldLease:
    token: int
    expires_at: datetime  # by this node's clock
    held_since: datetime
    lapsed: bool = False  # its time ran out here, and that was said


@dataclass(slots=True, frozen=True)
class LeaseEvent:
    """To be acted on, and logged."""

    name: str
    token: int
    event: str  # gained, lapsed, lost, regained
    reason: str


class LeaseHolder:
    def __init__(self, node: str, boot: str, settings: LeaseSettings) -> None:
        self.node, self.process_id, self.settings = node, boot, settings
        self.wanted: dict[str, None] = {}
        self.held: dict[str, HeldLease] = {}
        self.leaving = False
        self.documents: tuple[DocumentStatus, ...] | None = None  # of the last answer that was taken in
        self.quota_shares: tuple[QuotaShareRow, ...] = ()  # of the last answer that was taken in
        self.report: Callable[[datetime], HeartbeatReport] = empty_report
        self.failed_nodes: Callable[[], tuple[str, ...]] = no_failed_nodes  # whom this node hears as failed
        self.clock_drifts = False  # the group says that this node's clock errs too much
        self._returned_tokens: dict[str, int] = {}
        self._heartbeat_number = 0
        self._sent_heartbeats: OrderedDict[int, datetime] = OrderedDict()
        self._last_response = (0, 0)  # term and count of the last answer that was taken in

    @property
    def name(self) -> str:
        return f"{self.node}/{self.process_id}"

    # What may be done.

    def time_left(self, name: str, now: datetime) -> timedelta:
        """For how long it may still be acted on; zero where it may not."""
        mine = self.held.get(name)
        return ZERO if mine is None else max(ZERO, mine.expires_at - now)

    def token(self, name: str) -> int:
        """0 where it is not held."""
        mine = self.held.get(name)
        return 0 if mine is None else mine.token

    @property
    def returning(self) -> bool:
        """Leases were given back, and the group has not said yet that it took them."""
        return bool(self._returned_tokens)

    # What is wanted.

    def set_wanted(self, names: Iterable[str]) -> list[LeaseEvent]:
        """These and no others from now on; what is held beyond them is given back."""
        self.wanted = dict.fromkeys(names)
        return [
            self._release(name, "not wanted any more") for name in list(self.held) if name not in self.wanted
        ]

    def release_all(self, keep: Iterable[str] = ()) -> list[LeaseEvent]:
        """Give all others back, and want nothing more; what is kept runs out by itself."""
        self.leaving = True
        return self.set_wanted(keep)

    def _release(self, name: str, why: str) -> LeaseEvent:
        mine = self.held.pop(name)
        self._returned_tokens[name] = mine.token
        return LeaseEvent(name, mine.token, "lost", why)

    # Beats and their answers.

    def make_heartbeat(self, now: datetime) -> Heartbeat:
        """To be sent now: the leases that its answer names are counted from here."""
        self._heartbeat_number += 1
        self._sent_heartbeats[self._heartbeat_number] = now
        while len(self._sent_heartbeats) > MAX_UNANSWERED_HEARTBEATS:
            self._sent_heartbeats.popitem(last=False)
        returns = tuple(LeaseToken(name, token) for name, token in self._returned_tokens.items())
        names = tuple(self.wanted)
        report = self.report(now)
        clock, most = instant_us(now), self.settings.max_per_node
        number, failed = self._heartbeat_number, self.failed_nodes()
        return Heartbeat(
            self.node,
            self.process_id,
            number,
            names,
            returns,
            most,
            clock,
            report.document_states,
            report.request_counts,
            failed,
            report.tenant_demand,
        )

    def handle_response(self, now: datetime, answer: HeartbeatResponse) -> list[LeaseEvent]:
        """An answer came, perhaps late, twice or out of order."""
        asked = self._sent_heartbeats.get(answer.number)
        if not answer.from_leader or asked is None or (answer.term, answer.sequence) <= self._last_response:
            return []
        self._last_response = (answer.term, answer.sequence)
        self.clock_drifts, self.documents, self.quota_shares = (
            answer.clock_drifts,
            answer.documents,
            answer.quota_shares,
        )
        theirs = dict(answer.leases)
        changes = [
            LeaseEvent(name, self.held.pop(name).token, "lost", "the group has it no more")
            for name in list(self.held)
            if theirs.get(name) != self.held[name].token
        ]
        for name, token in answer.leases:
            changes += self._record_lease(now, name, token, self.settings.holder_expiry(asked, name))
        self._returned_tokens = {
            name: token for name, token in self._returned_tokens.items() if theirs.get(name) == token
        }
        return changes

    def _record_lease(self, now: datetime, name: str, token: int, until: datetime) -> list[LeaseEvent]:
        mine = self.held.get(name)
        if name not in self.wanted:
            if mine is None:
                self._returned_tokens[name] = token
            return []
        if self._returned_tokens.get(name) == token or until <= now:
            return []  # given back already, or an answer that came too late to be of use
        if mine is None:
            self.held[name] = HeldLease(token, until, now)
            return [LeaseEvent(name, token, "gained", f"for {(until - now).total_seconds():.2f} s")]
        mine.expires_at = max(mine.expires_at, until)
        if mine.lapsed:
            mine.lapsed = False
            return [LeaseEvent(name, token, "regained", "the group has it still")]
        return []

    # Time.

    def next_due(self) -> datetime | None:
        """When the next lease is over here."""
        return min((mine.expires_at for mine in self.held.values() if not mine.lapsed), default=None)

    def tick(self, now: datetime) -> list[LeaseEvent]:
        changes = []
        for name, mine in self.held.items():
            if not mine.lapsed and now >= mine.expires_at:
                mine.lapsed = True
                changes.append(
                    LeaseEvent(name, mine.token, "lapsed", "no renewal in time: it is not acted on")
                )
        return changes
