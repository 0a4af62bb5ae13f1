"""The client of the uwsgi servers behind the uwsgi front: a backend that does its work by sending it on.

Servers stand in pools (`marlstep/pool`). Which server a request goes to, and whether it goes to another after a try
that went wrong, is decided there; what is beyond all limits waits in the decision module, which is told the room.
A run can't be paused here, only given up, when its answer is out already.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime

from marlstep.admission.events import Outcome
from marlstep.admission.settings import Effect
from marlstep.core.model import Request, Sink
from marlstep.net.eventloop import Dial, dial
from marlstep.pool.plan import Address, Plan, server_name
from marlstep.pool.table import PoolSettings, Server, ServerTable
from marlstep.pool.tries import End, Tries
from marlstep.timer_queue import Deadline, TimerQueue
from marlstep.units import MILLISECOND, ZERO
from marlstep.upstreams.attempt import Attempt

log = logging.getLogger(__name__)

TELL_ROOM = 50 * MILLISECOND  # between two looks at the room of a pool
OUTCOMES = {
    End.WELL: Outcome.OK,
    End.NOT_REACHED: Outcome.CONNECT_FAILED,
    End.REFUSED: Outcome.FULL,
    End.BROKEN: Outcome.RESET,
    End.GIVEN_UP: Outcome.CANCELLED,
}


class Pool:
    """One pool: its table, and where its servers are."""

    def __init__(self, plan: Plan, settings: PoolSettings, chance: random.Random, now: datetime) -> None:
        self.plan = plan
        self.table = ServerTable(settings, chance)
        self.addresses: dict[str, Address] = {}
        self.told: int | None = None  # the room that the module knows
        self.counts = dict.fromkeys(("attempts", "again", "not reached", "refused", "broken", "no room"), 0)
        self.change(plan, now)

    def change(self, plan: Plan, now: datetime) -> None:
        """Other servers from now on; what is on its way to those that go ends there."""
        came, gone = self.table.set_members(plan.names, now)
        self.plan = plan
        self.addresses |= {server_name(address): address for address in plan.servers}
        self.addresses = {name: at for name, at in self.addresses.items() if self.table.named(name)}
        if self.told is not None and (came or gone):
            log.info(
                "pool %s: %s came, %s go", plan.name, ", ".join(came) or "none", ", ".join(gone) or "none"
            )


@dataclass(slots=True)
class _Run:
    """One request, from its start here to its end."""

    request: Request
    pool: Pool
    since: datetime
    tries: Tries
    attempt: Attempt | None = None
    server: int = 0  # handle
    last: End | None = None
    history: list[str] = field(default_factory=list)  # what went wrong so far


class Upstream:
    def __init__(
        self,
        plans: tuple[Plan, ...],
        timeline: TimerQueue,
        sink: Callable[[], Sink],
        response_limit: int,
        seed: int = 0,
        settings: PoolSettings | None = None,
        dial: Dial = dial,
    ) -> None:
        self.response_limit = response_limit
        self.pools: dict[str, Pool] = {}
        self._timeline, self._sink, self._dial = timeline, sink, dial
        self._chance, self._settings = random.Random(seed), settings or PoolSettings()
        self._runs: dict[str, _Run] = {}
        self._look: Deadline | None = None
        self.move(plans)

    def move(self, plans: tuple[Plan, ...]) -> None:
        """Pools and servers from now on. A pool that is gone gets nothing new."""
        now = self._timeline.now()
        for plan in plans:
            if plan.name in self.pools:
                self.pools[plan.name].change(plan, now)
            else:
                self.pools[plan.name] = Pool(plan, self._settings, self._chance, now)
        for name in self.pools.keys() - {plan.name for plan in plans}:
            self.pools[name].table.set_members([], now)
            if not len(self.pools[name].table):
                del self.pools[name]
        self._look_soon()

    # Requests.

    def start(self, request: Request) -> None:
        now = self._timeline.now()
        pool = self.pools.get(request.offer.pool)
        if pool is None:  # it went with a new configuration while the request was held
            self._timeline.soon(lambda: self._sink().run_ended(request.id, Outcome.FULL, ZERO))
            return
        tries = Tries(request.kind.effect is Effect.SAFE, pool.plan.tries, request.due)
        run = self._runs[request.id] = _Run(request, pool, now, tries)
        if not self._try(run, now):
            pool.counts["no room"] += 1
            self._tell_room(pool, full=True)
            # Told in a turn of its own: the core is in the midst of starting it.
            self._timeline.soon(lambda: self._over(run, Outcome.FULL, "no server has room"))

    def _try(self, run: _Run, now: datetime) -> bool:
        """Send it to a server that it has not been to; False where none has room."""
        pool = run.pool
        server = pool.table.choose(now, frozenset(run.tries.tried)) if pool.plan.limited else self._only(run)
        if server is None:
            return False
        pool.table.begun(server.handle)
        run.tries.began(server.handle)
        run.server = server.handle
        pool.counts["attempts"] += 1
        plan, request = pool.plan, run.request
        run.attempt = Attempt(self, request.id, request.offer.body, now, plan.refuses, plan.boot_header)
        within = run.tries.left(now, plan.connect_timeout)
        run.attempt.open(self._dial, pool.addresses[server.name], self._timeline, within)
        return True

    def _only(self, run: _Run) -> Server | None:
        """The one server of a pool without limits gets all there is."""
        return next((one for one in run.pool.table if one.handle not in run.tries.tried), None)

    def pause(self, request: Request) -> None:
        """A server behind a socket can't be paused: the run goes on, unless nobody waits for it."""
        if request.answered:
            self.abandon(request)

    def abandon(self, request: Request) -> None:
        run = self._runs.get(request.id)
        if run is not None and run.attempt is not None:
            # Told in a turn of its own: the core is in the midst of answering.
            attempt = run.attempt
            self._timeline.soon(lambda: self._give_up(attempt))

    def _give_up(self, attempt: Attempt) -> None:
        if self.waits_for(attempt):
            self.ended(attempt, End.GIVEN_UP, "")

    def resume(self, request: Request) -> None:
        """Nothing is ever paused here."""

    def supply(self, request: Request, reply: bytes) -> None:
        """Nothing is ever called for here."""

    def skip(self, request: Request) -> None:
        """Nothing is ever called for here."""

    # Attempts.

    def waits_for(self, attempt: Attempt) -> bool:
        run = self._runs.get(attempt.id)
        return run is not None and run.attempt is attempt

    def ended(self, attempt: Attempt, end: End, why: str) -> None:
        """The one place where an attempt and its connection are given back."""
        run = self._runs[attempt.id]
        now, took = self._timeline.now(), self._timeline.now() - attempt.since
        table = run.pool.table
        server = table.get(run.server)
        if attempt.boot is not None and table.booted(run.server, attempt.boot, now):
            log.info("pool %s: a server lives anew, what was learned of it is dropped", run.pool.plan.name)
        match end:
            case End.WELL:
                table.succeeded(run.server, now, took)
            case End.REFUSED:
                table.refused(run.server, now)
            case End.GIVEN_UP:
                table.given_up(run.server)
            case _:
                table.failed(run.server, now, took)
        if server is not None and table.get(run.server) is None:  # it had left, and this was its last
            run.pool.addresses.pop(server.name, None)
        run.attempt = None
        attempt.let_go()
        if end.value in run.pool.counts:
            run.pool.counts[end.value] += 1
        self._look_soon()
        if why:
            run.history.append(why)
        if run.tries.again(end, now) and self._try(run, now):
            run.pool.counts["again"] += 1
            return
        self._over(run, OUTCOMES[end], "; ".join(run.history), bytes(attempt.response))

    def _over(self, run: _Run, outcome: Outcome, why: str, response: bytes = b"") -> None:
        if self._runs.get(run.request.id) is not run:
            return
        del self._runs[run.request.id]
        if why:
            log.warning("upstream: %s: %s", run.request.id, why)
        if outcome.never_ran and run.tries.resent:
            outcome = Outcome.RESET  # an earlier try may have run
        self._sink().run_ended(run.request.id, outcome, self._timeline.now() - run.since, response)

    # The room of the pools.

    def _look_soon(self) -> None:
        if self._look is None:
            self._look = self._timeline.at(self._timeline.now() + TELL_ROOM, self._look_now)

    def _look_now(self) -> None:
        self._look = None
        for pool in self.pools.values():
            self._tell_room(pool)
        if any(pool.table.changes for pool in self.pools.values()):
            self._look_soon()  # slow starts and times out pass without an attempt that ends

    def _tell_room(self, pool: Pool, full: bool = False) -> None:
        if not pool.plan.limited:
            return
        now = self._timeline.now()
        room = sum(one.in_flight for one in pool.table) if full else pool.table.capacity(now)
        if room != pool.told:
            pool.told = room
            self._sink().room(pool.plan.name, room)

    def close(self) -> None:
        self._timeline.cancel(self._look)
        for run in list(self._runs.values()):
            if run.attempt is not None:
                run.attempt.let_go()
