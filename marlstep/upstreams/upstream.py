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
from marlstep.load_balancing.pool_config import Address, PoolConfig, server_name
from marlstep.load_balancing.retry_policy import AttemptOutcome, RetryPolicy
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_table import PoolSettings, ServerTable
from marlstep.net.eventloop import Dial, dial
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, ZERO
from marlstep.upstreams.attempt import Attempt

log = logging.getLogger(__name__)

CAPACITY_REPORT_INTERVAL = 50 * MILLISECOND  # between two looks at the room of a pool
OUTCOMES = {
    AttemptOutcome.SUCCEEDED: Outcome.OK,
    AttemptOutcome.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    AttemptOutcome.REJECTED: Outcome.FULL,
    AttemptOutcome.CONNECTION_LOST: Outcome.RESET,
    AttemptOutcome.CANCELLED: Outcome.CANCELLED,
}


class ServerPool:
    """One pool: its table, and where its servers are."""

    def __init__(
        self, config: PoolConfig, settings: PoolSettings, random_source: random.Random, now: datetime
    ) -> None:
        self.config = config
        self.table = ServerTable(settings, random_source)
        self.addresses: dict[str, Address] = {}
        self.reported_capacity: int | None = None  # the room that the module knows
        self.counts = dict.fromkeys(("attempts", "again", "not reached", "refused", "broken", "no room"), 0)
        self.change(config, now)

    def change(self, config: PoolConfig, now: datetime) -> None:
        """Other servers from now on; what is on its way to those that go ends there."""
        added, removed = self.table.set_members(config.server_names, now)
        self.config = config
        self.addresses |= {server_name(address): address for address in config.servers}
        self.addresses = {name: at for name, at in self.addresses.items() if self.table.find(name)}
        if self.reported_capacity is not None and (added or removed):
            log.info(
                "pool %s: %s added, %s go",
                config.name,
                ", ".join(added) or "none",
                ", ".join(removed) or "none",
            )


@dataclass(slots=True)
class UpstreamRequest:
    """One request, from its start here to its end."""

    request: Request
    pool: ServerPool
    since: datetime
    retry_policy: RetryPolicy
    attempt: Attempt | None = None
    server: int = 0  # handle
    last: AttemptOutcome | None = None
    history: list[str] = field(default_factory=list)  # what went wrong so far


class Upstream:
    def __init__(
        self,
        pools: tuple[PoolConfig, ...],
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
        self._random, self._settings = random.Random(seed), settings or PoolSettings()
        self._runs: dict[str, UpstreamRequest] = {}
        self._reconcile_timer: Timer | None = None
        self.reconfigure(pools)

    def reconfigure(self, pools: tuple[PoolConfig, ...]) -> None:
        """Pools and servers from now on. A pool that is gone gets nothing new."""
        now = self._timeline.now()
        for config in pools:
            if config.name in self.pools:
                self.pools[config.name].change(config, now)
            else:
                self.pools[config.name] = ServerPool(config, self._settings, self._random, now)
        for name in self.pools.keys() - {config.name for config in pools}:
            self.pools[name].table.set_members([], now)
            if not len(self.pools[name].table):
                del self.pools[name]
        self._schedule_reconcile()

    # Requests.

    def start(self, request: Request) -> None:
        now = self._timeline.now()
        pool = self.pools.get(request.inbound.pool)
        if pool is None:  # it went with a new configuration while the request was held
            self._timeline.soon(lambda: self._sink().run_ended(request.id, Outcome.FULL, ZERO))
            return
        retry_policy = RetryPolicy(
            request.class_settings.effect is Effect.SAFE, pool.config.max_attempts, request.due_at
        )
        run = self._runs[request.id] = UpstreamRequest(request, pool, now, retry_policy)
        if not self._start_attempt(run, now):
            pool.counts["no room"] += 1
            self._report_capacity(pool, full=True)
            # Told in a turn of its own: the core is in the midst of starting it.
            self._timeline.soon(lambda: self._finish(run, Outcome.FULL, "no server has room"))

    def _start_attempt(self, run: UpstreamRequest, now: datetime) -> bool:
        """Send it to a server that it has not been to; False where none has room."""
        pool = run.pool
        server = (
            pool.table.choose(now, frozenset(run.retry_policy.attempted_servers))
            if pool.config.has_limits
            else self._unlimited_server(run)
        )
        if server is None:
            return False
        pool.table.attempt_started(server.handle)
        run.retry_policy.attempt_started(server.handle)
        run.server = server.handle
        pool.counts["attempts"] += 1
        config, request = pool.config, run.request
        run.attempt = Attempt(
            self, request.id, request.inbound.body, now, config.rejection_statuses, config.boot_id_header
        )
        within = run.retry_policy.connect_timeout(now, config.connect_timeout)
        run.attempt.open(self._dial, pool.addresses[server.name], self._timeline, within)
        return True

    def _unlimited_server(self, run: UpstreamRequest) -> Server | None:
        """The one server of a pool without limits gets all there is."""
        return next(
            (one for one in run.pool.table if one.handle not in run.retry_policy.attempted_servers), None
        )

    def pause(self, request: Request) -> None:
        """A server behind a socket can't be paused: the run goes on, unless nobody waits for it."""
        if request.answered:
            self.abandon(request)

    def abandon(self, request: Request) -> None:
        run = self._runs.get(request.id)
        if run is not None and run.attempt is not None:
            # Told in a turn of its own: the core is in the midst of answering.
            attempt = run.attempt
            self._timeline.soon(lambda: self._cancel(attempt))

    def _cancel(self, attempt: Attempt) -> None:
        if self.response_awaited(attempt):
            self.attempt_ended(attempt, AttemptOutcome.CANCELLED, "")

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
        if attempt.boot_id is not None and table.boot_id_received(run.server, attempt.boot_id, now):
            log.info("pool %s: a server lives anew, what was learned of it is dropped", run.pool.config.name)
        match end:
            case AttemptOutcome.SUCCEEDED:
                table.attempt_succeeded(run.server, now, took)
            case AttemptOutcome.REJECTED:
                table.attempt_rejected(run.server, now)
            case AttemptOutcome.CANCELLED:
                table.attempt_cancelled(run.server)
            case _:
                table.attempt_failed(run.server, now, took)
        if server is not None and table.get(run.server) is None:  # it had left, and this was its last
            run.pool.addresses.pop(server.name, None)
        run.attempt = None
        attempt.abandon()
        if end.value in run.pool.counts:
            run.pool.counts[end.value] += 1
        self._schedule_reconcile()
        if why:
            run.history.append(why)
        if run.retry_policy.should_retry(end, now) and self._start_attempt(run, now):
            run.pool.counts["again"] += 1
            return
        self._finish(run, OUTCOMES[end], "; ".join(run.history), bytes(attempt.response))

    def _finish(self, run: UpstreamRequest, outcome: Outcome, why: str, response: bytes = b"") -> None:
        if self._runs.get(run.request.id) is not run:
            return
        del self._runs[run.request.id]
        if why:
            log.warning("upstream: %s: %s", run.request.id, why)
        if outcome.never_ran and run.retry_policy.may_have_run:
            outcome = Outcome.RESET  # an earlier try may have run
        self._sink().run_ended(run.request.id, outcome, self._timeline.now() - run.since, response)

    # The room of the pools.

    def _schedule_reconcile(self) -> None:
        if self._reconcile_timer is None:
            self._reconcile_timer = self._timeline.at(
                self._timeline.now() + CAPACITY_REPORT_INTERVAL, self._reconcile
            )

    def _reconcile(self) -> None:
        self._reconcile_timer = None
        for pool in self.pools.values():
            self._report_capacity(pool)
        if any(pool.table.capacity_changes_with_time for pool in self.pools.values()):
            self._schedule_reconcile()  # slow starts and times out pass without an attempt that ends

    def _report_capacity(self, pool: ServerPool, full: bool = False) -> None:
        if not pool.config.has_limits:
            return
        now = self._timeline.now()
        capacity = sum(one.in_flight for one in pool.table) if full else pool.table.capacity(now)
        if capacity != pool.reported_capacity:
            pool.reported_capacity = capacity
            self._sink().pool_capacity(pool.config.name, capacity)

    def close(self) -> None:
        self._timeline.cancel(self._reconcile_timer)
        for run in list(self._runs.values()):
            if run.attempt is not None:
                run.attempt.abandon()
