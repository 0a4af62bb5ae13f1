"""The client of the uwsgi servers behind the uwsgi front: a backend that does its work by sending it on.

Servers stand in pools (`marlstep/load_balancing`). Which server a request goes to, and whether it goes to another
after an attempt that failed, is decided there; what is beyond all limits waits in the admission controller, which is
told the capacity.
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
from marlstep.core.interfaces import EventSink, Request
from marlstep.load_balancing.pool_plan import Address, PoolPlan, server_name
from marlstep.load_balancing.retries import AttemptOutcome, RetryPolicy
from marlstep.load_balancing.server_table import PoolSettings, Server, ServerTable
from marlstep.net.eventloop import Dial, dial
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, ZERO
from marlstep.upstreams.attempt import Attempt

log = logging.getLogger(__name__)

CAPACITY_REPORT_INTERVAL = 50 * MILLISECOND  # between two looks at the room of a pool
OUTCOMES = {
    AttemptOutcome.WELL: Outcome.OK,
    AttemptOutcome.NOT_REACHED: Outcome.CONNECT_FAILED,
    AttemptOutcome.REFUSED: Outcome.REJECTED,
    AttemptOutcome.BROKEN: Outcome.RESET,
    AttemptOutcome.GIVEN_UP: Outcome.CANCELLED,
}


class ServerPool:
    """One pool: its table, and where its servers are."""

    def __init__(self, plan: PoolPlan, settings: PoolSettings, chance: random.Random, now: datetime) -> None:
        self.plan = plan
        self.table = ServerTable(settings, chance)
        self.addresses: dict[str, Address] = {}
        self.told: int | None = None  # the room that the module knows
        self.counts = dict.fromkeys(("attempts", "again", "not reached", "refused", "broken", "no room"), 0)
        self.change(plan, now)

    def change(self, plan: PoolPlan, now: datetime) -> None:
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
class UpstreamRequest:
    """One request, from its start here to its end."""

    request: Request
    pool: ServerPool
    since: datetime
    tries: RetryPolicy
    attempt: Attempt | None = None
    server: int = 0  # handle
    last: AttemptOutcome | None = None
    history: list[str] = field(default_factory=list)  # what went wrong so far


class Upstream:
    def __init__(
        self,
        plans: tuple[PoolPlan, ...],
        timeline: TimerQueue,
        sink: Callable[[], EventSink],
        response_limit: int,
        seed: int = 0,
        settings: PoolSettings | None = None,
        dial: Dial = dial,
    ) -> None:
        self.response_limit = response_limit
        self.pools: dict[str, ServerPool] = {}
        self._timeline, self._sink, self._dial = timeline, sink, dial
        self._chance, self._settings = random.Random(seed), settings or PoolSettings()
        self._runs: dict[str, UpstreamRequest] = {}
        self._look: Timer | None = None
        self.set_plans(plans)

    def set_plans(self, plans: tuple[PoolPlan, ...]) -> None:
        """Pools and servers from now on. A pool that is gone gets nothing new."""
        now = self._timeline.now()
        for plan in plans:
            if plan.name in self.pools:
                self.pools[plan.name].change(plan, now)
            else:
                self.pools[plan.name] = ServerPool(plan, self._settings, self._chance, now)
        for name in self.pools.keys() - {plan.name for plan in plans}:
            self.pools[name].table.set_members([], now)
            if not len(self.pools[name].table):
                del self.pools[name]
        self._schedule_reconcile()

    # Requests.

    def start(self, request: Request) -> None:
        now = self._timeline.now()
        pool = self.pools.get(request.inbound.pool)
        if pool is None:  # it went with a new configuration while the request was held
            self._timeline.soon(lambda: self._sink().run_ended(request.id, Outcome.REJECTED, ZERO))
            return
        tries = RetryPolicy(
            request.class_settings.effect is Effect.IDEMPOTENT, pool.plan.max_attempts, request.deadline_at
        )
        run = self._runs[request.id] = UpstreamRequest(request, pool, now, tries)
        if not self._try(run, now):
            pool.counts["no room"] += 1
            self._report_capacity(pool, full=True)
            # Told in a turn of its own: the core is in the midst of starting it.
            self._timeline.soon(lambda: self._over(run, Outcome.REJECTED, "no server has room"))

    def _try(self, run: UpstreamRequest, now: datetime) -> bool:
        """Send it to a server that it has not been to; False where none has room."""
        pool = run.pool
        server = (
            pool.table.choose(now, frozenset(run.tries.attempted_servers))
            if pool.plan.limited
            else self._only(run)
        )
        if server is None:
            return False
        pool.table.attempt_started(server.handle)
        run.tries.attempt_started(server.handle)
        run.server = server.handle
        pool.counts["attempts"] += 1
        plan, request = pool.plan, run.request
        run.attempt = Attempt(self, request.id, request.inbound.body, now, plan.refuses, plan.boot_header)
        within = run.tries.left(now, plan.connect_timeout)
        run.attempt.open(self._dial, pool.addresses[server.name], self._timeline, within)
        return True

    def _only(self, run: UpstreamRequest) -> Server | None:
        """The one server of a pool without limits gets all there is."""
        return next((one for one in run.pool.table if one.handle not in run.tries.attempted_servers), None)

    def pause(self, request: Request) -> None:
        """A server behind a socket can't be paused: the run goes on, unless nobody waits for it."""
        if request.responded:
            self.abandon(request)

    def abandon(self, request: Request) -> None:
        run = self._runs.get(request.id)
        if run is not None and run.attempt is not None:
            # Told in a turn of its own: the core is in the midst of answering.
            attempt = run.attempt
            self._timeline.soon(lambda: self._give_up(attempt))

    def _give_up(self, attempt: Attempt) -> None:
        if self.response_awaited(attempt):
            self.attempt_ended(attempt, AttemptOutcome.GIVEN_UP, "")

    def resume(self, request: Request) -> None:
        """Nothing is ever paused here."""

    def supply(self, request: Request, reply: bytes) -> None:
        """Nothing is ever called for here."""

    def skip(self, request: Request) -> None:
        """Nothing is ever called for here."""

    # Attempts.

    def response_awaited(self, attempt: Attempt) -> bool:
        run = self._runs.get(attempt.id)
        return run is not None and run.attempt is attempt

    def attempt_ended(self, attempt: Attempt, end: AttemptOutcome, why: str) -> None:
        """The one place where an attempt and its connection are given back."""
        run = self._runs[attempt.id]
        now, took = self._timeline.now(), self._timeline.now() - attempt.since
        table = run.pool.table
        server = table.get(run.server)
        if attempt.boot is not None and table.booted(run.server, attempt.boot, now):
            log.info("pool %s: a server lives anew, what was learned of it is dropped", run.pool.plan.name)
        match end:
            case AttemptOutcome.WELL:
                table.succeeded(run.server, now, took)
            case AttemptOutcome.REFUSED:
                table.attempt_refused(run.server, now)
            case AttemptOutcome.GIVEN_UP:
                table.attempt_abandoned(run.server)
            case _:
                table.failed(run.server, now, took)
        if server is not None and table.get(run.server) is None:  # it had left, and this was its last
            run.pool.addresses.pop(server.name, None)
        run.attempt = None
        attempt.abandon()
        if end.value in run.pool.counts:
            run.pool.counts[end.value] += 1
        self._schedule_reconcile()
        if why:
            run.history.append(why)
        if run.tries.should_retry(end, now) and self._try(run, now):
            run.pool.counts["again"] += 1
            return
        self._over(run, OUTCOMES[end], "; ".join(run.history), bytes(attempt.response))

    def _over(self, run: UpstreamRequest, outcome: Outcome, why: str, response: bytes = b"") -> None:
        if self._runs.get(run.request.id) is not run:
            return
        del self._runs[run.request.id]
        if why:
            log.warning("upstream: %s: %s", run.request.id, why)
        if outcome.never_ran and run.tries.resent:
            outcome = Outcome.RESET  # an earlier try may have run
        self._sink().run_ended(run.request.id, outcome, self._timeline.now() - run.since, response)

    # The room of the pools.

    def _schedule_reconcile(self) -> None:
        if self._look is None:
            self._look = self._timeline.at(self._timeline.now() + CAPACITY_REPORT_INTERVAL, self._reconcile)

    def _reconcile(self) -> None:
        self._look = None
        for pool in self.pools.values():
            self._report_capacity(pool)
        if any(pool.table.changes for pool in self.pools.values()):
            self._schedule_reconcile()  # slow starts and times out pass without an attempt that ends

    def _report_capacity(self, pool: ServerPool, full: bool = False) -> None:
        if not pool.plan.limited:
            return
        now = self._timeline.now()
        room = sum(one.in_flight for one in pool.table) if full else pool.table.capacity(now)
        if room != pool.told:
            pool.told = room
            self._sink().pool_capacity(pool.plan.name, room)

    def close(self) -> None:
        self._timeline.cancel(self._look)
        for run in list(self._runs.values()):
            if run.attempt is not None:
                run.attempt.abandon()
