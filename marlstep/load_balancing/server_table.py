"""The servers of one pool: its members, their attempts in flight, and the choice of the next server.

Requests beyond the capacity of all servers are not queued here: the admission controller queues them by priority.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit, ConcurrencyLimitSettings
from marlstep.load_balancing.errors import PoolFullError
from marlstep.load_balancing.latency_estimators import PeakEwma
from marlstep.load_balancing.outlier_detection import (
    OutlierDetectionSettings,
    ServerHealth,
    ServerHealthState,
    ejection_allowed,
)
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_choice import RandomSource, choose_server
from marlstep.slots import SlotTable
from marlstep.units import SECOND

MAX_SERVERS = 1_024  # per pool, including servers that are leaving

# Returns whether a server may be probed. Arguments: its name, the end of its ejection, the current time.
ProbePermission = Callable[[str, datetime, datetime], bool]


def permit_every_probe(_server: str, _ejected_until: datetime, _now: datetime) -> bool:
    """Permit every probe: the default, for a node without peers."""
    return True


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """Settings of a pool and its servers."""

    limits: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    health: OutlierDetectionSettings = field(default_factory=OutlierDetectionSettings)
    max_ejected_share: float = 0.34  # of the members, at once; see `ejection_allowed`
    latency_decay_time: timedelta = 10 * SECOND  # of the latency estimate


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """The names of the servers that were added to and removed from a pool."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Whether anything changed."""
        return bool(self.added or self.removed)


class ServerTable:
    """The servers of a pool by handle; the handle of a server that was dropped is no longer valid."""

    def __init__(self, settings: PoolSettings, random_source: RandomSource) -> None:
        """Initialize an empty table; `random_source` is used to choose servers."""
        self.settings = settings
        # Replaced on the nodes of a fleet, where one node checks the ejected servers for all.
        self.may_probe: ProbePermission = permit_every_probe
        self._random_source = random_source
        self._servers: SlotTable[Server] = SlotTable(MAX_SERVERS)
        self._handles: dict[str, int] = {}  # by name
        self._members: list[Server] = []  # those that are not leaving, in the order of their slots
        self._ejected: dict[int, Server] = {}  # by handle; servers that are ejected or probed

    def __len__(self) -> int:
        """Return the number of servers, including those that are leaving."""
        return len(self._servers)

    def __iter__(self) -> Iterator[Server]:
        """Iterate over the servers, including those that are leaving."""
        return iter(self._servers)

    def get(self, handle: int) -> Server | None:
        """Look up a server by its handle; None if it was dropped."""
        return self._servers.get(handle)

    def find(self, name: str) -> Server | None:
        """Look up a server by its name; None if there is none."""
        handle = self._handles.get(name)
        return None if handle is None else self._servers.get(handle)

    # Membership of the pool.

    def set_members(self, names: list[str], now: datetime) -> MembershipChange:
        """Set the members of the pool, and return the servers that were added and removed.

        A removed server stays in the table until its attempts in flight have ended. If it is added again before then,
        it keeps its state.

        Args:
            names: Names of all members; duplicates are ignored.
            now: The current time; new servers begin slow start at it.

        Raises:
            PoolFullError: The members don't fit; see `check_members`. Nothing is changed.

        """
        self.check_members(names)
        members = dict.fromkeys(names)
        removed = self._remove_all_but(members)
        added = [name for name in members if self._add(name, now)]
        self._members = [server for server in self._servers if not server.leaving]
        return MembershipChange(tuple(added), tuple(removed))

    def check_members(self, names: list[str]) -> None:
        """Check that members fit into the table beside the removed servers that still have attempts in flight.

        Raises:
            PoolFullError: They don't fit. They may fit once attempts in flight have ended.
        """
        members = frozenset(names)
        busy = sum(server.name not in members and server.in_flight > 0 for server in self._servers)
        if len(members) + busy > MAX_SERVERS:
            raise PoolFullError(MAX_SERVERS, len(members) + busy)

    def _remove_all_but(self, members: dict[str, None]) -> list[str]:
        removed = []
        for server in self._servers:
            if server.name not in members and not server.leaving:
                server.leaving = True
                removed.append(server.name)
                self._drop_if_drained(server)
        return removed

    def _add(self, name: str, now: datetime) -> bool:
        """Add a server; return False if it is already a member."""
        existing = self.find(name)
        if existing is not None:
            was_leaving, existing.leaving = existing.leaving, False
            return was_leaving
        server = Server(
            name,
            ServerHealth(self.settings.health, now),
            PeakEwma(self.settings.latency_decay_time),
            AdaptiveConcurrencyLimit(self.settings.limits),
        )
        server.handle = self._servers.add(server)
        self._handles[name] = server.handle
        return True

    def _drop_if_drained(self, server: Server) -> None:
        """Remove the server from the table if it is leaving and has no attempt in flight."""
        if server.leaving and not server.in_flight and self._servers.free(server.handle):
            del self._handles[server.name]
            self._ejected.pop(server.handle, None)

    # Capacity, and the choice of servers.

    def capacity(self, now: datetime) -> int:
        """Return how many attempts the members can have in flight at once; a server that may be probed counts as one.

        Also ends the ejections and slow starts whose time has passed.
        """
        total = 0
        for server in self._members:
            server.health.end_ejection_if_due(now)
            if server.in_service:
                total += max(0, server.available_capacity(now)) + server.in_flight
            elif server.health.state is ServerHealthState.PROBING and self._is_probe_permitted(server, now):
                total += 1
        return total

    @property
    def capacity_changes_with_time(self) -> bool:
        """Whether the capacity can change over time alone, because a server is ejected or in slow start."""
        return bool(self._ejected) or any(
            server.health.slow_start_since is not None for server in self._members
        )

    def choose(self, now: datetime, excluded: frozenset[int] = frozenset()) -> Server | None:
        """Return the server for an attempt, or None if no server has capacity. This does not reserve any capacity.

        A server that is due for a probe has precedence, since its recovery is worth more than one request. Otherwise
        `choose_server` decides.

        Args:
            now: The current time.
            excluded: Handles of servers that must not be chosen.
        """
        return self._server_due_for_probe(now, excluded) or choose_server(
            self._members, excluded, now, self._random_source
        )

    def _server_due_for_probe(self, now: datetime, excluded: frozenset[int]) -> Server | None:
        for server in self._ejected.values():
            server.health.end_ejection_if_due(now)
            is_due = server.health.state is ServerHealthState.PROBING and not server.probe_in_flight
            is_eligible = not server.leaving and server.handle not in excluded
            if is_due and is_eligible and self._is_probe_permitted(server, now):
                return server
        return None

    def _is_probe_permitted(self, server: Server, now: datetime) -> bool:
        ejection_end = server.health.ejected_until
        return ejection_end is None or self.may_probe(server.name, ejection_end, now)

    def ejected(self) -> dict[str, datetime]:
        """Return the end of the ejection of each member that is ejected or probed, by server name."""
        return {
            server.name: server.health.ejected_until
            for server in self._ejected.values()
            if server.health.ejected_until is not None and not server.leaving
        }

    # Start and end of attempts.

    def attempt_started(self, handle: int) -> None:
        """Count an attempt as in flight at the server.

        Attempts are only counted, not identified: if an older attempt ends while a server is probed, its result counts
        as the result of the probe.
        """
        server = self._servers.get(handle)
        if server is not None:
            server.in_flight += 1
            server.probe_in_flight = (
                server.probe_in_flight or server.health.state is ServerHealthState.PROBING
            )

    def attempt_succeeded(self, handle: int, now: datetime, latency: timedelta) -> None:
        """Record a response that was received `latency` after the start of the attempt."""
        server = self._end_attempt(handle)
        if server is None:
            return
        server.latency.observe(now, latency)
        server.limit.record_response(now, latency, server.in_flight + 1)
        self._record_success(server, now)
        self._drop_if_drained(server)

    def attempt_failed(self, handle: int, now: datetime, elapsed: timedelta) -> None:
        """Record that the server could not be reached, or that the connection was lost or the response invalid.

        A failure that took longer than the latency estimate raises the estimate; a faster failure does not lower it.

        Args:
            handle: Handle of the server.
            now: The current time.
            elapsed: Time since the start of the attempt.
        """
        server = self._end_attempt(handle)
        if server is None:
            return
        if server.latency.value is not None and elapsed > server.latency.value:
            server.latency.observe(now, elapsed)
        server.limit.record_failure(now)
        server.probe_in_flight = False
        if server.health.record_failure(now):
            self._eject_unless_too_many(server, now)
        self._drop_if_drained(server)

    def attempt_rejected(self, handle: int, now: datetime) -> None:
        """Record that the server rejected the request, which means that it is alive but overloaded.

        A rejection lowers the concurrency limit, but is not a failure for outlier detection: a rejected probe counts as
        successful.
        """
        server = self._end_attempt(handle)
        if server is None:
            return
        server.limit.record_failure(now)
        if server.health.state is ServerHealthState.PROBING:
            self._record_success(server, now)
        self._drop_if_drained(server)

    def attempt_cancelled(self, handle: int) -> None:
        """Record that an attempt was cancelled, which gives no information about the server."""
        server = self._end_attempt(handle)
        if server is not None:
            server.probe_in_flight = False
            self._drop_if_drained(server)

    def _end_attempt(self, handle: int) -> Server | None:
        server = self._servers.get(handle)
        if server is None or not server.in_flight:
            return None
        server.in_flight -= 1
        return server

    def _record_success(self, server: Server, now: datetime) -> None:
        server.health.record_success(now)
        server.probe_in_flight = False
        if server.health.state is not ServerHealthState.EJECTED:
            self._ejected.pop(server.handle, None)

    def _eject_unless_too_many(self, server: Server, now: datetime) -> None:
        """Eject a server if the pool permits; a server that failed its probe is always ejected again."""
        ejected_count = sum(not other.leaving for other in self._ejected.values())
        failed_its_probe = server.health.state is ServerHealthState.PROBING
        if failed_its_probe or ejection_allowed(
            ejected_count, len(self._members), self.settings.max_ejected_share
        ):
            server.health.eject(now)
            self._ejected[server.handle] = server
        else:
            server.health.keep_in_service(now)

    def boot_id_received(self, handle: int, boot_id: str, now: datetime) -> bool:
        """Record the boot id of the server's incarnation, and return whether the server has restarted.

        After a restart the latency, concurrency limit and health of the previous incarnation are discarded, since they
        do not apply to the new one.
        """
        server = self._servers.get(handle)
        if server is None:
            return False
        has_restarted = server.boot_id is not None and server.boot_id != boot_id
        server.boot_id = boot_id
        if has_restarted:
            server.latency = PeakEwma(self.settings.latency_decay_time)
            server.limit = AdaptiveConcurrencyLimit(self.settings.limits)
            server.health = ServerHealth(self.settings.health, now)
            server.probe_in_flight = False
            self._ejected.pop(handle, None)
        return has_restarted
