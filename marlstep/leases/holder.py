"""A process's side of leases: which it wants, which it holds, and until when it may act on each.

It acts on a lease only until a time that it counts from before it sent the heartbeat, by its own clock less the drift.
"""

from __future__ import annotations

import enum
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
from marlstep.leases.names import ProcessName
from marlstep.leases.settings import LeaseSettings
from marlstep.units import ZERO, instant_us

MAX_UNANSWERED_HEARTBEATS = 32  # whose responses may still come
NO_TOKEN = 0


@dataclass(slots=True, frozen=True)
class HeartbeatReport:
    """What a heartbeat carries beside leases."""

    document_states: tuple[DocumentState, ...] = ()
    request_counts: RequestCounts = NO_REQUESTS
    tenant_demand: tuple[TenantDemand, ...] = ()


def empty_report(_now: datetime) -> HeartbeatReport:
    """The report of a process without replicated configuration."""
    return HeartbeatReport()


def no_failed_nodes() -> tuple[str, ...]:
    """The failed nodes, where there is no failure detector."""
    return ()


@dataclass(slots=True)
class HeldLease:
    """A lease that this process was granted."""

    token: int
    expires_at: datetime  # by this process's clock
    held_since: datetime
    lapsed: bool = False  # it expired here, and an event said so


class LeaseEventKind(enum.StrEnum):
    """What became of a lease, as logs and metrics have it."""

    GAINED = "gained"
    LAPSED = "lapsed"  # not renewed in time: it is not acted on, and may still come back
    LOST = "lost"
    REGAINED = "regained"  # renewed under the same token after it lapsed


@dataclass(slots=True, frozen=True)
class LeaseEvent:
    """A change that the process is to act on and to log."""

    name: str
    token: int
    event: LeaseEventKind
    reason: str


class LeaseHolder:
    """The leases of one process. It does no I/O: it makes heartbeats and takes in their responses."""

    def __init__(self, node: str, process_id: str, settings: LeaseSettings) -> None:
        """`process_id` tells this process from all others that this node ever had."""
        self.node, self.process_id, self.settings = node, process_id, settings
        self.wanted: dict[str, None] = {}  # names, in the order of the last `set_wanted`
        self.held: dict[str, HeldLease] = {}
        self.leaving = False
        self.documents: tuple[DocumentStatus, ...] | None = None  # of the last response
        self.quota_shares: tuple[QuotaShareRow, ...] = ()  # of the last response
        self.report: Callable[[datetime], HeartbeatReport] = empty_report
        self.failed_nodes: Callable[[], tuple[str, ...]] = no_failed_nodes
        self.clock_drifts = False  # the leader finds that this clock drifts by more than the settings allow
        self._returned_tokens: dict[str, int] = {}  # given back, and not yet known to be taken back
        self._heartbeat_number = 0
        self._sent_heartbeats: OrderedDict[int, datetime] = OrderedDict()
        self._last_response = (0, 0)  # term and sequence

    @property
    def name(self) -> str:
        """The process as lease holder: `node/process`."""
        return str(ProcessName(self.node, self.process_id))

    # State of leases.

    def time_left(self, name: str, now: datetime) -> timedelta:
        """How long the process may still act on that lease; zero where it may not."""
        lease = self.held.get(name)
        return ZERO if lease is None else max(ZERO, lease.expires_at - now)

    def token(self, name: str) -> int:
        """The lease's fencing token; 0 where it is not held."""
        lease = self.held.get(name)
        return NO_TOKEN if lease is None else lease.token

    @property
    def returning(self) -> bool:
        """Whether leases were given back that the group has not yet confirmed to have."""
        return bool(self._returned_tokens)

    # Wanted leases.

    def set_wanted(self, names: Iterable[str]) -> list[LeaseEvent]:
        """Want these leases and no others from now on; give back what is held beyond them."""
        self.wanted = dict.fromkeys(names)
        return [
            self._release(name, "not wanted any more") for name in list(self.held) if name not in self.wanted
        ]

    def release_all(self, keep: Iterable[str] = ()) -> list[LeaseEvent]:
        """Give back all leases but those in `keep`, and want no others any more."""
        self.leaving = True
        return self.set_wanted(keep)

    def _release(self, name: str, reason: str) -> LeaseEvent:
        lease = self.held.pop(name)
        self._returned_tokens[name] = lease.token
        return LeaseEvent(name, lease.token, LeaseEventKind.LOST, reason)

    # Heartbeats.

    def make_heartbeat(self, now: datetime) -> Heartbeat:
        """Make a heartbeat, to be sent at once: its response's leases are counted from `now`."""
        self._heartbeat_number += 1
        self._sent_heartbeats[self._heartbeat_number] = now
        while len(self._sent_heartbeats) > MAX_UNANSWERED_HEARTBEATS:
            self._sent_heartbeats.popitem(last=False)
        report = self.report(now)
        return Heartbeat(
            node=self.node,
            process_id=self.process_id,
            number=self._heartbeat_number,
            wanted_leases=tuple(self.wanted),
            returned_leases=tuple(LeaseToken(name, token) for name, token in self._returned_tokens.items()),
            max_leases=self.settings.max_per_node,
            clock_us=instant_us(now),
            document_states=report.document_states,
            request_counts=report.request_counts,
            failed_nodes=self.failed_nodes(),
            tenant_demand=report.tenant_demand,
        )

    def handle_response(self, now: datetime, response: HeartbeatResponse) -> list[LeaseEvent]:
        """Take in a response, which may be late, a duplicate or out of order."""
        sent_at = self._sent_heartbeats.get(response.number)
        sequence = (response.term, response.sequence)
        if not response.from_leader or sent_at is None or sequence <= self._last_response:
            return []
        self._last_response = sequence
        self.clock_drifts = response.clock_drifts
        self.documents = response.documents
        self.quota_shares = response.quota_shares
        granted = dict(response.leases)
        events = self._drop_revoked(granted)
        for name, token in response.leases:
            events += self._record_lease(now, name, token, self.settings.holder_expiry(sent_at, name))
        self._returned_tokens = {
            name: token for name, token in self._returned_tokens.items() if granted.get(name) == token
        }
        return events

    def _drop_revoked(self, granted: dict[str, int]) -> list[LeaseEvent]:
        """Drop the leases that the group no longer has under this process's token."""
        revoked = [name for name, lease in self.held.items() if granted.get(name) != lease.token]
        return [
            LeaseEvent(name, self.held.pop(name).token, LeaseEventKind.LOST, "the group has it no more")
            for name in revoked
        ]

    def _record_lease(self, now: datetime, name: str, token: int, expires_at: datetime) -> list[LeaseEvent]:
        lease = self.held.get(name)
        if name not in self.wanted:
            if lease is None:
                self._returned_tokens[name] = token
            return []
        if self._returned_tokens.get(name) == token or expires_at <= now:
            return []  # given back already, or the response came too late to be of use
        if lease is None:
            self.held[name] = HeldLease(token, expires_at, now)
            reason = f"for {(expires_at - now).total_seconds():.2f} s"
            return [LeaseEvent(name, token, LeaseEventKind.GAINED, reason)]
        lease.expires_at = max(lease.expires_at, expires_at)
        if lease.lapsed:
            lease.lapsed = False
            return [LeaseEvent(name, token, LeaseEventKind.REGAINED, "the group has it still")]
        return []

    # Time.

    def next_due(self) -> datetime | None:
        """When the next lease expires here; None where none does."""
        return min((lease.expires_at for lease in self.held.values() if not lease.lapsed), default=None)

    def tick(self, now: datetime) -> list[LeaseEvent]:
        """Mark the leases that have expired."""
        events = []
        for name, lease in self.held.items():
            if not lease.lapsed and now >= lease.expires_at:
                lease.lapsed = True
                reason = "no renewal in time: it is not acted on"
                events.append(LeaseEvent(name, lease.token, LeaseEventKind.LAPSED, reason))
        return events
