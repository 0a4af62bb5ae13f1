"""The servers of one pool, and which of them an attempt goes to.

Of two that are drawn by chance the one that would be done sooner is taken: nearly as good as the best of all, at a
flat cost, and without all nodes running to the same server. Work beyond all limits is not taken here; it waits in
the decision module's hold, whose business admission is.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.load_balancing.concurrency_limit import AdaptiveConcurrencyLimit, ConcurrencyLimitSettings
from marlstep.load_balancing.latency_estimators import PeakEwma
from marlstep.load_balancing.outlier_detection import OutlierDetectionSettings, ServerHealth, ServerState
from marlstep.load_balancing.server import Server
from marlstep.slots import SlotTable, TableFullError
from marlstep.units import MILLISECOND, ZERO

MAX_SERVERS = 1_024
MIN_EXPECTED_LATENCY = 1 * MILLISECOND  # of a server that nothing is known of: it is soon known
MAX_RANDOM_DRAWS = 6  # by chance, for two that are free, before all are looked at
SUSPECT_LATENCY_FACTOR = 3.0  # times its expected time, for a server that has just failed


class RandomSource(Protocol):
    """The seeded source that is passed in."""

    def randrange(self, start: int, /) -> int: ...


@dataclass(slots=True, frozen=True)
class PoolSettings:
    limits: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    health: OutlierDetectionSettings = field(default_factory=OutlierDetectionSettings)
    max_ejected_share: float = 0.34  # of the servers that may be ejected at once
    latency_decay_time: timedelta = 10_000 * MILLISECOND  # of the latency estimate


class ServerTable:
    """Numbered slots, as everywhere: a handle that is late finds nothing."""

    def __init__(self, settings: PoolSettings, chance: RandomSource) -> None:
        self.settings = settings
        self._chance = chance
        self._servers: SlotTable[Server] = SlotTable(MAX_SERVERS)
        self._by_name: dict[str, int] = {}
        self._members: list[Server] = []  # all but those that leave, in the order in which they came
        self._ejected: dict[int, Server] = {}  # those that are ejected or probed
        self.may_probe: Callable[[str, datetime, datetime], bool] = lambda name, until, now: True

    def __len__(self) -> int:
        return len(self._servers)

    def __iter__(self) -> Iterator[Server]:
        return iter(self._servers)

    def get(self, handle: int) -> Server | None:
        return self._servers.get(handle)

    def find(self, name: str) -> Server | None:
        handle = self._by_name.get(name)
        return None if handle is None else self._servers.get(handle)

    # Who is in the pool.

    def set_members(self, names: list[str], now: datetime) -> tuple[list[str], list[str]]:
        """The pool holds these from now on; gives the names that added and those that go.

        A server that goes keeps what it has until that has ended. One that comes back before then is the same.
        Raises TableFullError where there are too many, and changes nothing then.
        """
        names_wanted = dict.fromkeys(names)
        if len(names_wanted) + sum(server.leaving for server in self._servers) > MAX_SERVERS:
            raise TableFullError(f"a pool holds {MAX_SERVERS} servers at the most")
        added, removed = [], []
        for server in self._servers:
            if server.name not in names_wanted and not server.leaving:
                server.leaving = True
                removed.append(server.name)
                self._remove_if_drained(server)
        for name in names_wanted:
            known = self.find(name)
            if known is None:
                self._add(name, now)
                added.append(name)
            elif known.leaving:
                known.leaving = False
                added.append(name)
        self._members = [server for server in self._servers if not server.leaving]
        return added, removed

    def _add(self, name: str, now: datetime) -> None:
        server = Server(
            name,
            ServerHealth(self.settings.health, now),
            PeakEwma(self.settings.latency_decay_time),
            AdaptiveConcurrencyLimit(self.settings.limits),
        )
        server.handle = self._servers.add(server)
        self._by_name[name] = server.handle

    def _remove_if_drained(self, server: Server) -> None:
        """The one place where a server's slot is given back."""
        if server.leaving and not server.in_flight and self._servers.free(server.handle):
            del self._by_name[server.name]
            self._ejected.pop(server.handle, None)

    # Which one.

    def available_capacity(self, server: Server, now: datetime) -> int:
        """How many more requests it may have."""
        if not server.is_usable:
            return 0
        return (
            max(1, math.floor(server.limit.value * server.health.slow_start_weight(now))) - server.in_flight
        )

    def capacity(self, now: datetime) -> int:
        """How many requests all servers together take at once; a probe is one."""
        total = 0
        for server in self._members:
            server.health.end_ejection_if_due(now)
            if server.is_usable:
                total += max(0, self.available_capacity(server, now)) + server.in_flight
            elif server.health.state is ServerState.PROBING and self._may_probe(server, now):
                total += 1
        return total

    @property
    def capacity_changes_with_time(self) -> bool:
        """The capacity moves by itself: a server is out, or in slow start."""
        return bool(self._ejected) or any(one.health.slow_start_since is not None for one in self._members)

    def expected_completion_time(self, server: Server, now: datetime) -> timedelta:
        """When a request that went there now would be done, about."""
        latency = max(MIN_EXPECTED_LATENCY, server.latency.value or ZERO)
        penalty = SUSPECT_LATENCY_FACTOR if server.health.state is ServerState.SUSPECT else 1.0
        return latency * (server.in_flight + 1) * penalty / server.health.slow_start_weight(now)

    def choose(self, now: datetime, excluded: frozenset[int] = frozenset()) -> Server | None:
        """The server for an attempt, or None where all are full, out, or in `excluded`. Takes nothing yet."""
        probe = self._server_to_probe(now, excluded)
        if probe is not None:
            return probe
        found = self._draw_two(now, excluded)
        if not found:  # hardly any is free: look at all of them
            found = [
                one
                for one in self._members
                if one.handle not in excluded and self.available_capacity(one, now) > 0
            ]
        if len(found) > 2:
            first = found.pop(self._chance.randrange(len(found)))
            found = [first, found[self._chance.randrange(len(found))]]
        # Of equals the first drawn: by any fixed order the same few would get all of a light load.
        return min(found, key=lambda one: self.expected_completion_time(one, now), default=None)

    def _draw_two(self, now: datetime, excluded: frozenset[int]) -> list[Server]:
        """Two that are free, by a few draws; fewer where it takes more."""
        found: list[Server] = []
        members = self._members
        for _ in range(MAX_RANDOM_DRAWS if len(members) > MAX_RANDOM_DRAWS else 0):
            one = members[self._chance.randrange(len(members))]
            if one not in found and one.handle not in excluded and self.available_capacity(one, now) > 0:
                found.append(one)
                if len(found) == 2:
                    break
        return found

    def _server_to_probe(self, now: datetime, excluded: frozenset[int]) -> Server | None:
        """A server whose time out is over gets one request, before any other has a second chance to."""
        for server in self._ejected.values():
            server.health.end_ejection_if_due(now)
            if (
                server.health.state is ServerState.PROBING
                and not (server.probe_in_flight or server.leaving or server.handle in excluded)
                and self._may_probe(server, now)
            ):
                return server
        return None

    def _may_probe(self, server: Server, now: datetime) -> bool:
        """In a fleet one node finds out for all whether a server is back."""
        return server.health.ejected_until is None or self.may_probe(
            server.name, server.health.ejected_until, now
        )

    def ejected(self) -> dict[str, datetime]:
        """The servers that are ejected or to be probed, and until when they were put out."""
        return {
            server.name: server.health.ejected_until
            for server in self._ejected.values()
            if server.health.ejected_until is not None and not server.leaving
        }

    # What became of attempts.

    def attempt_started(self, handle: int) -> None:
        server = self._servers.get(handle)
        if server is not None:
            server.in_flight += 1
            server.probe_in_flight = server.probe_in_flight or server.health.state is ServerState.PROBING

    def _end_attempt(self, handle: int) -> Server | None:
        server = self._servers.get(handle)
        if server is None or not server.in_flight:
            return None
        server.in_flight -= 1
        return server

    def attempt_succeeded(self, handle: int, now: datetime, latency: timedelta) -> None:
        server = self._end_attempt(handle)
        if server is None:
            return
        server.latency.observe(now, latency)
        server.limit.record_response(now, latency, server.in_flight + 1)
        self._record_recovery(server, now)
        self._remove_if_drained(server)

    def _record_recovery(self, server: Server, now: datetime) -> None:
        server.health.record_success(now)
        server.probe_in_flight = False
        if server.health.state is not ServerState.EJECTED:
            self._ejected.pop(server.handle, None)

    def attempt_failed(self, handle: int, now: datetime, latency: timedelta) -> None:
        """It broke, could not be reached, or latency too long. `latency` counts where it is more than was known."""
        server = self._end_attempt(handle)
        if server is None:
            return
        if server.latency.value is not None and latency > server.latency.value:
            server.latency.observe(now, latency)
        server.limit.record_failure(now)
        server.probe_in_flight = False
        if server.health.record_failure(now):
            self._eject(server, now)
        self._remove_if_drained(server)

    def attempt_rejected(self, handle: int, now: datetime) -> None:
        """The server turned it away: it lives, and has too much."""
        server = self._end_attempt(handle)
        if server is None:
            return
        server.limit.record_failure(now)
        if server.health.state is ServerState.PROBING:
            self._record_recovery(server, now)
        self._remove_if_drained(server)

    def attempt_cancelled(self, handle: int) -> None:
        """Nobody waits for it any more; it tells nothing of the server."""
        server = self._end_attempt(handle)
        if server is not None:
            server.probe_in_flight = False
            self._remove_if_drained(server)

    def _eject(self, server: Server, now: datetime) -> None:
        out = sum(not one.leaving for one in self._ejected.values())
        probed = server.health.state is ServerState.PROBING
        if not probed and out + 1 > self.settings.max_ejected_share * len(self._members):
            server.health.keep_in_service(now)
        else:
            server.health.eject(now)
            self._ejected[server.handle] = server

    def boot_id_received(self, handle: int, boot_id: str, now: datetime) -> bool:
        """The server told who it is in its present life; True where that is another than before.

        What was learned of the life before says nothing of this one.
        """
        server = self._servers.get(handle)
        if server is None:
            return False
        changed = server.boot_id is not None and server.boot_id != boot_id
        server.boot_id = boot_id
        if changed:
            server.latency = PeakEwma(self.settings.latency_decay_time)
            server.limit = AdaptiveConcurrencyLimit(self.settings.limits)
            server.health = ServerHealth(self.settings.health, now)
            server.probe_in_flight = False
            self._ejected.pop(handle, None)
        return changed
