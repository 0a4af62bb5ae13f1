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

from marlstep.load_balancing.estimators import AdaptiveConcurrencyLimit, ConcurrencyLimitSettings, PeakEwma
from marlstep.load_balancing.outlier_detection import OutlierSettings, ServerHealth, ServerState
from marlstep.slots import SlotTable, TableFullError
from marlstep.units import MILLISECOND, ZERO

MAX_SERVERS = 1_024
UNKNOWN = 1 * MILLISECOND  # of a server that nothing is known of: it is soon known
DRAWS = 6  # by chance, for two that are free, before all are looked at
SUSPECT_COST = 3.0  # times its expected time, for a server that has just failed


class RandomSource(Protocol):
    """The seeded source that is passed in."""

    def randrange(self, start: int, /) -> int: ...


@dataclass(slots=True, frozen=True)
class PoolSettings:
    limits: ConcurrencyLimitSettings = field(default_factory=ConcurrencyLimitSettings)
    health: OutlierSettings = field(default_factory=OutlierSettings)
    most_out: float = 0.34  # of the servers that may be ejected at once
    fall: timedelta = 10_000 * MILLISECOND  # of the latency estimate


@dataclass(slots=True, eq=False)
class Server:
    """What is known of one server."""

    name: str  # host:port, as configured
    health: ServerHealth
    latency: PeakEwma
    limit: AdaptiveConcurrencyLimit
    handle: int = 0
    in_flight: int = 0
    boot: str | None = None  # the identity that it tells of its present life
    leaving: bool = False  # no new work; gone once nothing is in flight
    probe_out: bool = False

    @property
    def usable(self) -> bool:
        return not self.leaving and self.health.state in (
            ServerState.NEW,
            ServerState.HEALTHY,
            ServerState.SUSPECT,
        )


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

    def named(self, name: str) -> Server | None:
        handle = self._by_name.get(name)
        return None if handle is None else self._servers.get(handle)

    # Who is in the pool.

    def set_members(self, names: list[str], now: datetime) -> tuple[list[str], list[str]]:
        """The pool holds these from now on; gives the names that came and those that go.

        A server that goes keeps what it has until that has ended. One that comes back before then is the same.
        Raises TableFullError where there are too many, and changes nothing then.
        """
        wanted = dict.fromkeys(names)
        if len(wanted) + sum(server.leaving for server in self._servers) > MAX_SERVERS:
            raise TableFullError(f"a pool holds {MAX_SERVERS} servers at the most")
        came, gone = [], []
        for server in self._servers:
            if server.name not in wanted and not server.leaving:
                server.leaving = True
                gone.append(server.name)
                self._forget_if_done(server)
        for name in wanted:
            known = self.named(name)
            if known is None:
                self._add(name, now)
                came.append(name)
            elif known.leaving:
                known.leaving = False
                came.append(name)
        self._members = [server for server in self._servers if not server.leaving]
        return came, gone

    def _add(self, name: str, now: datetime) -> None:
        server = Server(
            name,
            ServerHealth(self.settings.health, now),
            PeakEwma(self.settings.fall),
            AdaptiveConcurrencyLimit(self.settings.limits),
        )
        server.handle = self._servers.add(server)
        self._by_name[name] = server.handle

    def _forget_if_done(self, server: Server) -> None:
        """The one place where a server's slot is given back."""
        if server.leaving and not server.in_flight and self._servers.free(server.handle):
            del self._by_name[server.name]
            self._ejected.pop(server.handle, None)

    # Which one.

    def server_capacity(self, server: Server, now: datetime) -> int:
        """How many more requests it may have."""
        if not server.usable:
            return 0
        return max(1, math.floor(server.limit.value * server.health.weight(now))) - server.in_flight

    def capacity(self, now: datetime) -> int:
        """How many requests all servers together take at once; a probe is one."""
        total = 0
        for server in self._members:
            server.health.look(now)
            if server.usable:
                total += max(0, self.server_capacity(server, now)) + server.in_flight
            elif server.health.state is ServerState.PROBING and self._allowed(server, now):
                total += 1
        return total

    @property
    def changes(self) -> bool:
        """The capacity moves by itself: a server is out, or in slow start."""
        return bool(self._ejected) or any(one.health.rising_since is not None for one in self._members)

    def cost(self, server: Server, now: datetime) -> timedelta:
        """When a request that went there now would be done, about."""
        took = max(UNKNOWN, server.latency.value or ZERO)
        penalty = SUSPECT_COST if server.health.state is ServerState.SUSPECT else 1.0
        return took * (server.in_flight + 1) * penalty / server.health.weight(now)

    def choose(self, now: datetime, without: frozenset[int] = frozenset()) -> Server | None:
        """The server for an attempt, or None where all are full, out, or in `without`. Takes nothing yet."""
        probe = self._probe(now, without)
        if probe is not None:
            return probe
        found = self._drawn(now, without)
        if not found:  # hardly any is free: look at all of them
            found = [
                one
                for one in self._members
                if one.handle not in without and self.server_capacity(one, now) > 0
            ]
        if len(found) > 2:
            first = found.pop(self._chance.randrange(len(found)))
            found = [first, found[self._chance.randrange(len(found))]]
        # Of equals the first drawn: by any fixed order the same few would get all of a light load.
        return min(found, key=lambda one: self.cost(one, now), default=None)

    def _drawn(self, now: datetime, without: frozenset[int]) -> list[Server]:
        """Two that are free, by a few draws; fewer where it takes more."""
        found: list[Server] = []
        members = self._members
        for _ in range(DRAWS if len(members) > DRAWS else 0):
            one = members[self._chance.randrange(len(members))]
            if one not in found and one.handle not in without and self.server_capacity(one, now) > 0:
                found.append(one)
                if len(found) == 2:
                    break
        return found

    def _probe(self, now: datetime, without: frozenset[int]) -> Server | None:
        """A server whose time out is over gets one request, before any other has a second chance to."""
        for server in self._ejected.values():
            server.health.look(now)
            if (
                server.health.state is ServerState.PROBING
                and not (server.probe_out or server.leaving or server.handle in without)
                and self._allowed(server, now)
            ):
                return server
        return None

    def _allowed(self, server: Server, now: datetime) -> bool:
        """In a fleet one node finds out for all whether a server is back."""
        return server.health.until is None or self.may_probe(server.name, server.health.until, now)

    def ejected(self) -> dict[str, datetime]:
        """The servers that are ejected or to be probed, and until when they were put out."""
        return {
            server.name: server.health.until
            for server in self._ejected.values()
            if server.health.until is not None and not server.leaving
        }

    # What became of attempts.

    def attempt_started(self, handle: int) -> None:
        server = self._servers.get(handle)
        if server is not None:
            server.in_flight += 1
            server.probe_out = server.probe_out or server.health.state is ServerState.PROBING

    def _attempt_over(self, handle: int) -> Server | None:
        server = self._servers.get(handle)
        if server is None or not server.in_flight:
            return None
        server.in_flight -= 1
        return server

    def succeeded(self, handle: int, now: datetime, took: timedelta) -> None:
        server = self._attempt_over(handle)
        if server is None:
            return
        server.latency.observe(now, took)
        server.limit.answered(now, took, server.in_flight + 1)
        self._well(server, now)
        self._forget_if_done(server)

    def _well(self, server: Server, now: datetime) -> None:
        server.health.succeeded(now)
        server.probe_out = False
        if server.health.state is not ServerState.EJECTED:
            self._ejected.pop(server.handle, None)

    def failed(self, handle: int, now: datetime, took: timedelta) -> None:
        """It broke, could not be reached, or took too long. `took` counts where it is more than was known."""
        server = self._attempt_over(handle)
        if server is None:
            return
        if server.latency.value is not None and took > server.latency.value:
            server.latency.observe(now, took)
        server.limit.failed(now)
        server.probe_out = False
        if server.health.failed(now):
            self._eject(server, now)
        self._forget_if_done(server)

    def attempt_refused(self, handle: int, now: datetime) -> None:
        """The server turned it away: it lives, and has too much."""
        server = self._attempt_over(handle)
        if server is None:
            return
        server.limit.failed(now)
        if server.health.state is ServerState.PROBING:
            self._well(server, now)
        self._forget_if_done(server)

    def attempt_abandoned(self, handle: int) -> None:
        """Nobody waits for it any more; it tells nothing of the server."""
        server = self._attempt_over(handle)
        if server is not None:
            server.probe_out = False
            self._forget_if_done(server)

    def _eject(self, server: Server, now: datetime) -> None:
        out = sum(not one.leaving for one in self._ejected.values())
        probed = server.health.state is ServerState.PROBING
        if not probed and out + 1 > self.settings.most_out * len(self._members):
            server.health.spare(now)
        else:
            server.health.eject(now)
            self._ejected[server.handle] = server

    def booted(self, handle: int, boot: str, now: datetime) -> bool:
        """The server told who it is in its present life; True where that is another than before.

        What was learned of the life before says nothing of this one.
        """
        server = self._servers.get(handle)
        if server is None:
            return False
        changed = server.boot is not None and server.boot != boot
        server.boot = boot
        if changed:
            server.latency = PeakEwma(self.settings.fall)
            server.limit = AdaptiveConcurrencyLimit(self.settings.limits)
            server.health = ServerHealth(self.settings.health, now)
            server.probe_out = False
            self._ejected.pop(handle, None)
        return changed
