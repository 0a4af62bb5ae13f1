"""The holder's side of leases: which leases a process wants and holds, and until when it may act on each.

The process counts the term of a lease from the time at which it sent the heartbeat, by its own clock, less the allowed
drift. It does not act on the lease after that.
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

MAX_UNANSWERED_HEARTBEATS = 32  # responses to older heartbeats are ignored
NO_TOKEN = 0


@dataclass(slots=True, frozen=True)
class HeartbeatReport:
    """Data that a heartbeat carries in addition to leases."""

    document_states: tuple[DocumentState, ...] = ()
    request_counts: RequestCounts = NO_REQUESTS
    tenant_demand: tuple[TenantDemand, ...] = ()


def empty_report(_now: datetime) -> HeartbeatReport:
    """Return the report of a process without replicated configuration."""
    return HeartbeatReport()


def no_failed_nodes() -> tuple[str, ...]:
    """Return no failed nodes; for a process without a failure detector."""
    return ()


@dataclass(slots=True)
class HeldLease:
    """A lease that was granted to this process."""

    token: int
    expires_at: datetime  # by this process's clock
    held_since: datetime
    lapsed: bool = False  # it expired by this process's clock, and the LAPSED event was emitted


class LeaseEventKind(enum.StrEnum):
    """How a lease changed; the values are written to logs and metrics."""

    GAINED = "gained"
    LAPSED = "lapsed"  # not renewed in time: not acted on, but the group may still renew it
    LOST = "lost"
    REGAINED = "regained"  # renewed under the same token after it lapsed


@dataclass(slots=True, frozen=True)
class LeaseEvent:
    """A change of a lease, for the caller to act on and to log."""

    name: str
    token: int
    event: LeaseEventKind
    reason: str


class LeaseHolder:
    """The leases of one process. Builds heartbeats and handles their responses; does no I/O."""

    def __init__(self, node: str, process_id: str, settings: LeaseSettings) -> None:
        """Initialize a holder with no leases; `process_id` is unique among all processes that `node` ever had."""
        self.node, self.process_id, self.settings = node, process_id, settings
        self.wanted: dict[str, None] = {}  # lease names, in the order of the last `set_wanted`
        self.held: dict[str, HeldLease] = {}
        self.leaving = False  # `release_all` was called
        self.documents: tuple[DocumentStatus, ...] | None = None  # from the last response
        self.quota_shares: tuple[QuotaShareRow, ...] = ()  # from the last response
        self.report: Callable[[datetime], HeartbeatReport] = empty_report
        self.failed_nodes: Callable[[], tuple[str, ...]] = no_failed_nodes
        self.clock_drifts = False  # the leader reports that this clock drifts by more than the bound
        self._returned_tokens: dict[str, int] = {}  # returned, but not yet confirmed by the leader
        self._heartbeat_number = 0
        self._sent_heartbeats: OrderedDict[int, datetime] = OrderedDict()
        self._last_response = (0, 0)  # term and sequence

    @property
    def name(self) -> str:
        """The process as lease holder: `node/process`."""
        return str(ProcessName(self.node, self.process_id))

    # Lease state.

    def time_left(self, name: str, now: datetime) -> timedelta:
        """Return how long the process may still act on the lease; zero if it may not."""
        lease = self.held.get(name)
        return ZERO if lease is None else max(ZERO, lease.expires_at - now)

    def token(self, name: str) -> int:
        """Return the fencing token of the lease; 0 if it is not held."""
        lease = self.held.get(name)
        return NO_TOKEN if lease is None else lease.token

    @property
    def returning(self) -> bool:
        """Whether the leader has yet to confirm the return of some leases."""
        return bool(self._returned_tokens)

    # Wanted leases.

    def set_wanted(self, names: Iterable[str]) -> list[LeaseEvent]:
        """Replace the wanted leases, and release the held ones that are no longer wanted. Returns an event for each."""
        self.wanted = dict.fromkeys(names)
        return [
            self._release(name, "not wanted any more") for name in list(self.held) if name not in self.wanted
        ]

    def release_all(self, keep: Iterable[str] = ()) -> list[LeaseEvent]:
        """Release all leases except those in `keep`, and stop wanting any others. Returns an event for each."""
        self.leaving = True
        return self.set_wanted(keep)

    def _release(self, name: str, reason: str) -> LeaseEvent:
        lease = self.held.pop(name)
        self._returned_tokens[name] = lease.token
        return LeaseEvent(name, lease.token, LeaseEventKind.LOST, reason)

    # Heartbeats.

    def make_heartbeat(self, now: datetime) -> Heartbeat:
        """Build a heartbeat to send at `now`, from which the terms of the leases in its response are counted."""
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
        """Handle a response, which may be late, duplicated or out of order. Returns the resulting events."""
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
        """Remove the held leases that the leader did not name under the same token."""
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
            return []  # the lease was already returned, or its term is over
        if lease is None:
            self.held[name] = HeldLease(token, expires_at, now)
            reason = f"for {(expires_at - now).total_seconds():.2f} s"
            return [LeaseEvent(name, token, LeaseEventKind.GAINED, reason)]
        lease.expires_at = max(lease.expires_at, expires_at)
        if lease.lapsed:
            lease.lapsed = False
            return [LeaseEvent(name, token, LeaseEventKind.REGAINED, "the group has it still")]
        return []

    # Expiry.

    def next_due(self) -> datetime | None:
        """Return when the next lease expires by this process's clock; None if there is none."""
        return min((lease.expires_at for lease in self.held.values() if not lease.lapsed), default=None)

    def tick(self, now: datetime) -> list[LeaseEvent]:
        """Mark expired leases as lapsed, and return their events."""
        events = []
        for name, lease in self.held.items():
            if not lease.lapsed and now >= lease.expires_at:
                lease.lapsed = True
                reason = "no renewal in time: it is not acted on"
                events.append(LeaseEvent(name, lease.token, LeaseEventKind.LAPSED, reason))
        return events
