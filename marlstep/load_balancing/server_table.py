"""The servers of one pool: its members, the attempts that they have in flight, and which server is next.

What exceeds the capacity of all servers is not queued here: the admission controller does that, by priority.
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

MAX_SERVERS = 1_024  # of a pool, those that are leaving included

# Whether a server may be probed, by its name, the end of its ejection and the time.
ProbePermission = Callable[[str, datetime, datetime], bool]


def always_may_probe(_server: str, _ejected_until: datetime, _now: datetime) -> bool:
    """Let this node probe every server whose ejection is over, as a node without peers does."""
    return True


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """Settings of the servers of a pool, and of the pool as a whole."""

    limits: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    health: OutlierDetectionSettings = field(default_factory=OutlierDetectionSettings)
    max_ejected_share: float = 0.34  # of the members that may be ejected at once; see `ejection_allowed`
    latency_decay_time: timedelta = 10 * SECOND  # of the latency estimate


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """The names of the servers that a change of members added and removed."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Whether anything changed."""
        return bool(self.added or self.removed)


class ServerTable:
    """The servers of a pool by handle; the handle of a server that was dropped finds nothing."""

    def __init__(self, settings: PoolSettings, random_source: RandomSource) -> None:
        """Make an empty table; `random_source` is drawn from to choose servers."""
        self.settings = settings
        self.may_probe: ProbePermission = (
            always_may_probe  # replaced where one node of a fleet checks for all
        )
        self._random_source = random_source
        self._servers: SlotTable[Server] = SlotTable(MAX_SERVERS)
        self._handles: dict[str, int] = {}  # by name
        self._members: list[
            Server
        ] = []  # all but those that are leaving, in the order in which they were added
        self._ejected: dict[int, Server] = {}  # by handle: those that are ejected or probed

    def __len__(self) -> int:
        """Count the servers, those that are leaving included."""
        return len(self._servers)

    def __iter__(self) -> Iterator[Server]:
        """Iterate over the servers, those that are leaving included."""
        return iter(self._servers)

    def get(self, handle: int) -> Server | None:
        """Look up a server by its handle; None where it was dropped."""
        return self._servers.get(handle)

    def find(self, name: str) -> Server | None:
        """Look up a server by its name; None where there is none."""
        handle = self._handles.get(name)
        return None if handle is None else self._servers.get(handle)

    # Members.

    def set_members(self, names: list[str], now: datetime) -> MembershipChange:
        """Make these the members of the pool, and return what changed.

        A server that is removed keeps its attempts in flight until they have ended. If it is added again before, it
        is the same server, with all that is known of it.

        Raises:
            PoolFullError: There would be too many servers; nothing is changed then. Servers that this call removes
                are not counted.
            TableFullError: Servers that this call removed have attempts in flight, and leave no slot for some of the
                new ones. No new server is used then, although some have been added, and the removed ones get no
                attempts any more.

        """
        members = dict.fromkeys(names)
        requested = len(members) + sum(server.leaving for server in self._servers)
        if requested > MAX_SERVERS:
            raise PoolFullError(MAX_SERVERS, requested)
        removed = self._remove_all_but(members)
        added = [name for name in members if self._add(name, now)]
        self._members = [server for server in self._servers if not server.leaving]
        return MembershipChange(tuple(added), tuple(removed))

    def _remove_all_but(self, members: dict[str, None]) -> list[str]:
        removed = []
        for server in self._servers:
            if server.name not in members and not server.leaving:
                server.leaving = True
                removed.append(server.name)
                self._drop_if_drained(server)
        return removed

    def _add(self, name: str, now: datetime) -> bool:
        """Add a server, unless it is a member."""
        known = self.find(name)
        if known is not None:
            was_leaving, known.leaving = known.leaving, False
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
        """Free the slot of a server that is leaving and has no attempt in flight."""
        if server.leaving and not server.in_flight and self._servers.free(server.handle):
            del self._handles[server.name]
            self._ejected.pop(server.handle, None)

    # Capacity and choice.

    def capacity(self, now: datetime) -> int:
        """Return how many attempts the members take at once, those in flight included; a probe counts as one.

        Ejections and slow starts whose time is over end with this call.
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
        """Whether the capacity can change without an attempt that ends: a server is ejected, or in slow start."""
        return bool(self._ejected) or any(
            server.health.slow_start_since is not None for server in self._members
        )

    def choose(self, now: datetime, excluded: frozenset[int] = frozenset()) -> Server | None:
        """Return the server for an attempt; None where none has capacity. Nothing is reserved yet.

        Rule: a server that is due for a probe comes first, since its recovery is worth more than one request. Else
        `choose_server` decides. Servers whose handles are in `excluded` are not chosen.
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
        until = server.health.ejected_until
        return until is None or self.may_probe(server.name, until, now)

    def ejected(self) -> dict[str, datetime]:
        """Return the members that are ejected or probed, by name, with the end of their ejection."""
        return {
            server.name: server.health.ejected_until
            for server in self._ejected.values()
            if server.health.ejected_until is not None and not server.leaving
        }

    # Attempts.

    def attempt_started(self, handle: int) -> None:
        """Count an attempt as in flight at the server.

        Attempts are counted, not told apart: while a server is probed, an older attempt that ends counts as the probe.
        """
        server = self._servers.get(handle)
        if server is not None:
            server.in_flight += 1
            server.probe_in_flight = (
                server.probe_in_flight or server.health.state is ServerHealthState.PROBING
            )

    def attempt_succeeded(self, handle: int, now: datetime, latency: timedelta) -> None:
        """Take in a response, which came `latency` after the attempt was started."""
        server = self._end_attempt(handle)
        if server is None:
            return
        server.latency.observe(now, latency)
        server.limit.record_response(now, latency, server.in_flight + 1)
        self._record_success(server, now)
        self._drop_if_drained(server)

    def attempt_failed(self, handle: int, now: datetime, elapsed: timedelta) -> None:
        """Take in that the server could not be reached, or that the connection or the response failed.

        A failure that took longer than the latency estimate raises the estimate; a fast one does not lower it.
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
        """Take in that the server rejected the request: it is alive, and overloaded.

        This lowers its concurrency limit, and is no failure for outlier detection. A probe passes by it.
        """
        server = self._end_attempt(handle)
        if server is None:
            return
        server.limit.record_failure(now)
        if server.health.state is ServerHealthState.PROBING:
            self._record_success(server, now)
        self._drop_if_drained(server)

    def attempt_cancelled(self, handle: int) -> None:
        """Take in that nobody waits for the response any more, which tells nothing about the server."""
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
        """Eject a server; one that failed its probe is ejected again however many are."""
        ejected = sum(not other.leaving for other in self._ejected.values())
        failed_its_probe = server.health.state is ServerHealthState.PROBING
        if failed_its_probe or ejection_allowed(ejected, len(self._members), self.settings.max_ejected_share):
            server.health.eject(now)
            self._ejected[server.handle] = server
        else:
            server.health.keep_in_service(now)

    def boot_id_received(self, handle: int, boot_id: str, now: datetime) -> bool:
        """Take in the identity of the server's incarnation, and return whether the server has restarted.

        What was learned of the previous incarnation tells nothing about this one, and is discarded.
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
