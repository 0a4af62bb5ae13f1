"""The backend of the uwsgi frontend: it forwards each request to a server of its pool.

`marlstep.load_balancing` decides which server gets a request, and whether the request is sent to another server after a
failed attempt. The admission controller queues requests beyond the capacity of a pool, and is notified of its capacity.
A run cannot be preempted; it is cancelled only once its request is settled.
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
from marlstep.errors import MarlstepError
from marlstep.load_balancing.errors import PoolFullError
from marlstep.load_balancing.pool_config import PoolConfig
from marlstep.load_balancing.retry_policy import AttemptOutcome, RetryPolicy
from marlstep.load_balancing.server_table import PoolSettings
from marlstep.net.eventloop import Dial, dial
from marlstep.timer_queue import Timer, TimerQueue
from marlstep.units import MILLISECOND, ZERO
from marlstep.upstreams.attempt import Attempt
from marlstep.upstreams.errors import AttemptError, NoCapacityError
from marlstep.upstreams.outcomes import run_outcome
from marlstep.upstreams.server_pool import ServerPool

log = logging.getLogger(__name__)

CAPACITY_REPORT_INTERVAL = 50 * MILLISECOND  # also the delay from a change to its report


class PoolChangeError(MarlstepError):
    """A changed configuration of a pool can't be applied now; the one in force stays.

    Attributes:
        pool: name of the pool.
    """

    def __init__(self, pool: str, reason: object) -> None:
        """Initialize the error; `reason` says what does not fit."""
        super().__init__(f"pool {pool}: {reason}")
        self.pool = pool


@dataclass(slots=True)
class UpstreamRequest:
    """The state of a request that is being forwarded."""

    request: Request
    pool: ServerPool
    started_at: datetime
    retry_policy: RetryPolicy
    attempt: Attempt | None = None  # in flight
    server: int = 0  # handle of the last attempt's server
    errors: list[AttemptError] = field(default_factory=list)  # of the attempts so far


class Upstream:
    """Forwards requests to the servers of their pools, and reports the outcomes of the runs."""

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
        """Initialize the pools, and schedule the reports of their capacity.

        Args:
            pools: Configuration of the pools.
            timeline: The clock and its timers.
            sink: Returns the receiver of events: ends of runs and capacities of pools.
            response_limit: Largest response that is accepted, in bytes.
            seed: Seed of the random choice of servers.
            settings: Settings of concurrency limits and outlier detection; None for the defaults.
            dial: Opens connections.

        """
        self.response_limit = response_limit
        self.pools: dict[str, ServerPool] = {}
        self._timeline, self._sink, self._dial = timeline, sink, dial
        self._random, self._settings = random.Random(seed), settings or PoolSettings()
        self._requests: dict[str, UpstreamRequest] = {}  # by id
        self._report_timer: Timer | None = None
        self._is_closed = False
        self.reconfigure(pools)

    def check(self, pools: tuple[PoolConfig, ...]) -> None:
        """Check that a changed configuration can be applied now.

        Raises:
            PoolChangeError: A pool has more servers than its table holds beside those that still finish requests.
        """
        for config in pools:
            if config.name in self.pools:
                try:
                    self.pools[config.name].table.check_members(config.server_names)
                except PoolFullError as error:
                    raise PoolChangeError(config.name, error) from error

    def reconfigure(self, pools: tuple[PoolConfig, ...]) -> None:
        """Apply a changed configuration of pools and servers. A removed pool gets no new requests.

        Raises:
            PoolChangeError: As for `check`; nothing is changed.
        """
        self.check(pools)
        now = self._timeline.now()
        for config in pools:
            if config.name in self.pools:
                self.pools[config.name].reconfigure(config, now)
            else:
                self.pools[config.name] = ServerPool(config, self._settings, self._random, now)
        for name in self.pools.keys() - {config.name for config in pools}:
            self.pools[name].table.set_members([], now)
            if not len(self.pools[name].table):
                del self.pools[name]
        self._schedule_capacity_reports()

    # Backend interface.

    def start(self, request: Request) -> None:
        """Forward a request to a server; the run ends as rejected if no server has capacity."""
        now = self._timeline.now()
        pool = self.pools.get(request.inbound.pool)
        if (
            pool is None or self._is_closed
        ):  # the pool was removed while the request was queued, or the process exits
            self._timeline.soon(lambda: self._sink().run_ended(request.id, Outcome.REJECTED, ZERO))
            return
        is_idempotent = request.class_settings.effect is Effect.IDEMPOTENT
        retry_policy = RetryPolicy(is_idempotent, pool.config.max_attempts, request.deadline_at)
        forwarded = UpstreamRequest(request, pool, now, retry_policy)
        self._requests[request.id] = forwarded
        if not self._start_attempt(forwarded, now):
            pool.statistics.no_capacity += 1
            forwarded.errors.append(NoCapacityError(pool.config.name))
            self._report_capacity(pool, is_full=True)
            # Deferred to a later iteration of the event loop, because the core is still starting the request.
            self._timeline.soon(lambda: self._finish(forwarded, Outcome.REJECTED))

    def preempt(self, request: Request) -> None:
        """Cancel the run if its request is settled; otherwise do nothing, as a remote server cannot be preempted."""
        if request.is_settled:
            self.abandon(request)

    def abandon(self, request: Request) -> None:
        """Cancel the run, because no client waits for its response."""
        forwarded = self._requests.get(request.id)
        if forwarded is not None and forwarded.attempt is not None:
            # Deferred to a later iteration of the event loop, because the core is still sending the response.
            self._timeline.soon(forwarded.attempt.cancel)

    def resume(self, request: Request) -> None:
        """Do nothing: this backend never pauses runs."""

    def supply(self, request: Request, reply: bytes) -> None:
        """Do nothing: runs of this backend request no downstream calls from the node."""

    def skip(self, request: Request) -> None:
        """Do nothing: runs of this backend request no downstream calls from the node."""

    # Attempts and retries.

    def _start_attempt(self, forwarded: UpstreamRequest, now: datetime) -> bool:
        """Send the request to a server that has not had it before; return False if none has capacity."""
        pool, request = forwarded.pool, forwarded.request
        server = pool.choose(now, forwarded.retry_policy.attempted_servers)
        if server is None:
            return False
        pool.table.attempt_started(server.handle)
        pool.statistics.attempts += 1
        forwarded.retry_policy = forwarded.retry_policy.attempt_started(server.handle)
        forwarded.server = server.handle
        config = pool.config
        attempt = Attempt(
            self, request.id, request.inbound.body, now, config.rejection_statuses, config.boot_id_header
        )
        forwarded.attempt = attempt
        connect_timeout = forwarded.retry_policy.connect_timeout(now, config.connect_timeout)
        attempt.open(self._dial, pool.addresses[server.name], self._timeline, connect_timeout)
        return True

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, error: AttemptError | None) -> None:
        """Release the attempt, and either retry the request or report the end of its run."""
        forwarded = self._requests[attempt.request_id]
        now, pool = self._timeline.now(), forwarded.pool
        pool.attempt_ended(forwarded.server, outcome, attempt.boot_id, now, now - attempt.started_at)
        forwarded.attempt = None
        attempt.release()
        self._schedule_capacity_reports()
        if error is not None:
            forwarded.errors.append(error)
        if self._retry(forwarded, outcome, now):
            pool.statistics.retries += 1
        else:
            may_have_run = forwarded.retry_policy.may_have_run
            self._finish(forwarded, run_outcome(outcome, may_have_run), attempt.response)

    def _retry(self, forwarded: UpstreamRequest, outcome: AttemptOutcome, now: datetime) -> bool:
        """Send the request to another server if the retry policy permits; return whether it was sent."""
        next_policy = forwarded.retry_policy.next_attempt(outcome, now)
        if next_policy is None:
            return False
        forwarded.retry_policy = next_policy
        return self._start_attempt(forwarded, now)

    def _finish(self, forwarded: UpstreamRequest, outcome: Outcome, response: bytes = b"") -> None:
        request_id = forwarded.request.id
        if self._requests.get(request_id) is not forwarded:
            return
        del self._requests[request_id]
        if forwarded.errors:
            errors = "; ".join(str(error) for error in forwarded.errors)
            log.warning(
                "attempts failed: request=%s outcome=%s errors=%s", request_id, outcome.name.lower(), errors
            )
        elapsed = self._timeline.now() - forwarded.started_at
        self._sink().run_ended(request_id, outcome, elapsed, response)

    # Reports of the pools' capacity.

    def _schedule_capacity_reports(self) -> None:
        if self._report_timer is None:
            at = self._timeline.now() + CAPACITY_REPORT_INTERVAL
            self._report_timer = self._timeline.at(at, self._report_capacities)

    def _report_capacities(self) -> None:
        self._report_timer = None
        for pool in self.pools.values():
            self._report_capacity(pool)
        if any(pool.table.capacity_changes_with_time for pool in self.pools.values()):
            self._schedule_capacity_reports()

    def _report_capacity(self, pool: ServerPool, is_full: bool = False) -> None:
        """Notify the core of a pool's capacity if it has changed and the pool has limits."""
        if not pool.config.has_limits:
            return
        capacity = pool.capacity(self._timeline.now(), is_full)
        if capacity != pool.reported_capacity:
            pool.reported_capacity = capacity
            self._sink().pool_capacity(pool.config.name, capacity)

    def close(self) -> None:
        """Stop the capacity reports, and end all attempts; no request is sent to a server after this."""
        self._is_closed = True
        self._timeline.cancel(self._report_timer)
        for forwarded in self._requests.values():
            if forwarded.attempt is not None:
                forwarded.attempt.close()
        self._requests.clear()
