"""Tests of the backend that forwards requests: choice of servers, retries, queueing, reconfiguration and ejection.

A request that is not idempotent is never sent again once it may have run.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.core.interfaces import ResponseStatus
from marlstep.load_balancing.concurrency_limit import ConcurrencyLimitSettings
from marlstep.load_balancing.outlier_detection import OutlierDetectionSettings, ServerHealthState
from marlstep.load_balancing.pool_config import PoolConfig
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_table import MAX_SERVERS, PoolSettings
from marlstep.net.eventloop import Address
from marlstep.units import MILLISECOND, SECOND
from marlstep.upstreams.upstream import PoolChangeError, Upstream
from tests.frontends.test_parsers import FIXED
from tests.support.node import CoreDriver, FakeTransport, ManualDialer

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REJECTION = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
NO_SLOW_START = OutlierDetectionSettings(slow_start_time=MILLISECOND)


def servers(*ports: int) -> tuple[Address, ...]:
    return tuple(("127.0.0.1", port) for port in ports)


class UpstreamSite:
    """A core whose backend forwards to a pool, by default of three servers. The test accepts or refuses connections."""

    def __init__(self, *ports: int, **pool: Any) -> None:
        self.driver = CoreDriver(cores=8)
        self.dial = ManualDialer()
        self.config = PoolConfig("p", servers(*(ports or (1, 2, 3))), rejection_statuses=(503,), **pool)
        settings = PoolSettings(ConcurrencyLimitSettings(min_limit=1, initial_limit=2), NO_SLOW_START)
        core = self.driver.core
        self.upstream = Upstream(
            (self.config,), self.driver.clock.timeline, lambda: core, 4096, 1, settings, self.dial
        )
        self.driver.clock.advance(100)

    def send(self, number: int, request_class: str = "temp-history") -> None:
        self.submit(number, request_class)

    def submit(self, number: int, request_class: str) -> int:
        recorder, self.driver.backend = self.driver.backend, self.upstream  # type: ignore[assignment]
        try:
            return self.driver.submit(number, request_class, pool="p")
        finally:
            self.driver.backend = recorder

    @property
    def port(self) -> int:
        """The server port of the oldest connection that is being opened."""
        return self.dial.waiting[0][1][1]

    def reply(self, wire: FakeTransport, data: bytes = OK) -> None:
        wire.feed(data)
        self.driver.clock.settle()

    def refuse_connection(self) -> None:
        self.dial.refuse()
        self.driver.clock.settle()

    def server(self, port: int) -> Server:
        server = self.upstream.pools["p"].table.find(f"127.0.0.1:{port}")
        assert server is not None
        return server

    def settle(self) -> None:
        self.driver.clock.advance(60)


@pytest.mark.parametrize("request_class", ["temp-history", "setpoint-cmd"])
def test_a_request_that_never_ran_goes_to_another_server_whatever_its_class(request_class: str) -> None:
    site = UpstreamSite()
    site.send(1, request_class)
    ports = [site.port]
    site.refuse_connection()
    ports.append(site.port)
    site.reply(site.dial.accept(), REJECTION)
    ports.append(site.port)
    site.reply(site.dial.accept())
    assert sorted(ports) == [1, 2, 3] and site.driver.statuses(1) == [ResponseStatus.DONE]
    statistics = site.upstream.pools["p"].statistics
    assert (statistics.attempts, statistics.retries) == (3, 2)
    assert (statistics.connect_failures, statistics.rejections) == (1, 1)


def test_a_request_that_no_server_accepts_is_rejected() -> None:
    site = UpstreamSite()
    site.send(1, "setpoint-cmd")
    for _ in range(3):
        site.refuse_connection()
    assert site.driver.statuses(1) == [ResponseStatus.REJECTED] and not site.dial.waiting


def test_a_request_that_is_not_idempotent_is_not_sent_again_once_it_may_have_run() -> None:
    site = UpstreamSite()
    site.send(1, "setpoint-cmd")
    wire = site.dial.accept()
    assert wire.written
    wire.close()
    site.settle()
    assert site.driver.statuses(1) == [ResponseStatus.FAILED] and not site.dial.waiting


def test_an_idempotent_request_is_sent_again_once_and_then_fails_even_if_the_last_server_rejects_it() -> None:
    for last in ("lost", "rejected"):
        site = UpstreamSite()
        site.send(1)
        site.dial.accept().close()
        site.settle()
        wire = site.dial.accept()
        if last == "lost":
            wire.close()
        else:
            site.reply(wire, REJECTION)
            site.refuse_connection()
        site.settle()
        assert site.driver.statuses(1) == [ResponseStatus.FAILED] and not site.dial.waiting


def test_no_request_is_sent_on_a_connection_that_opens_after_its_timeout() -> None:
    site = UpstreamSite(connect_timeout=200 * MILLISECOND)
    site.send(1, "setpoint-cmd")
    make_protocol, _, _ = site.dial.waiting[0]
    site.driver.clock.advance(210)
    late_wire = FakeTransport(make_protocol())  # type: ignore[arg-type]
    assert late_wire.closed and not late_wire.written
    site.reply(site.dial.accept())
    assert site.driver.statuses(1) == [ResponseStatus.DONE]


def test_requests_beyond_the_capacity_of_the_pool_are_queued_by_priority() -> None:
    # Guards against a queue in the backend, which would ignore priorities, and against rejections for lack of capacity.
    site = UpstreamSite(1, 2)  # two requests at once per server
    for number in range(1, 6):
        site.send(number)
    site.send(6, "setpoint-cmd")
    site.driver.submit(7)  # belongs to no pool, so it is not queued behind the others
    assert ("start", "r7") in site.driver.backend.commands
    assert len(site.dial.waiting) == 4 and site.upstream.pools["p"].statistics.no_capacity == 0
    wires = [site.dial.accept() for _ in range(4)]
    site.reply(wires[0])
    site.settle()
    assert len(site.dial.waiting) >= 1
    sent = site.dial.accept()
    assert site.upstream._requests["r6"].attempt is sent.stream and not site.driver.statuses(6)


def test_attempts_in_flight_at_removed_servers_and_pools_are_completed() -> None:
    site = UpstreamSite(1)
    site.send(1, "setpoint-cmd")
    wire = site.dial.accept()
    site.upstream.reconfigure((PoolConfig("p", servers(2)),))
    site.settle()
    site.send(2, "setpoint-cmd")
    assert site.port == 2
    site.reply(wire)
    assert site.driver.statuses(1) == [ResponseStatus.DONE] and list(site.upstream.pools["p"].addresses) == [
        "127.0.0.1:2"
    ]
    site.upstream.reconfigure((PoolConfig("q", servers(4)),))
    site.reply(site.dial.accept())
    assert site.driver.statuses(2) == [ResponseStatus.DONE]


def test_the_statistics_of_a_server_are_discarded_when_it_restarts() -> None:
    site = UpstreamSite(1)
    for number, boot_id in enumerate((b"a", b"a", b"b"), 1):
        site.send(number)
        wire = site.dial.accept()
        site.driver.clock.advance(100 - 30 * number)  # each response is faster than the one before
        has_latency_estimate = site.server(1).latency.value is not None
        assert has_latency_estimate is (number > 1)
        site.reply(wire, b"HTTP/1.1 200 OK\r\nX-Boot-Id: " + boot_id + OK[15:])
        site.settle()
    assert site.server(1).boot_id == "b" and site.server(1).latency.value == 10 * MILLISECOND


def test_a_dead_server_is_ejected_and_returns_after_a_successful_probe() -> None:
    site = UpstreamSite()
    accepted_wires: list[FakeTransport] = []
    for number in range(1, 12):  # enough to fill the other servers and to fail five times at the dead one
        site.send(number)
        while site.dial.waiting:
            if site.port == 2:
                site.refuse_connection()
            else:
                accepted_wires.append(site.dial.accept())
        site.settle()
    assert site.server(2).health.state is ServerHealthState.EJECTED and len(accepted_wires) == 4
    for wire in accepted_wires:
        site.reply(wire)
    received = [status for number in range(1, 12) for status in site.driver.statuses(number)]
    # No request fails because of the dead server.
    assert Counter(received)[ResponseStatus.DONE] == 4 and Counter(received)[ResponseStatus.REJECTED] >= 3
    site.driver.clock.advance(2_000)
    site.send(12)
    assert site.port == 2  # the probe
    while site.dial.waiting:
        site.reply(site.dial.accept())
    assert site.server(2).health.state is ServerHealthState.HEALTHY and site.driver.statuses(12) == [
        ResponseStatus.DONE
    ]


@FIXED
@given(
    st.lists(
        st.sampled_from(["read", "command", "refuse", "ok", "reject", "cut", "wait", "disconnect"]),
        max_size=60,
    )
)
def test_each_request_gets_one_response_under_any_sequence_of_events(
    events: list[str],
) -> None:
    site = UpstreamSite()
    open_wires: list[FakeTransport] = []
    handles: list[int] = []
    number = 0
    for event in events:
        match event:
            case "read" | "command":
                number += 1
                request_class = "temp-history" if event == "read" else "setpoint-cmd"
                handles.append(site.submit(number, request_class))
            case "refuse" if site.dial.waiting:
                site.refuse_connection()
            case "ok" | "reject" | "cut":
                if site.dial.waiting:
                    open_wires.append(site.dial.accept())
                if open_wires:
                    wire = open_wires.pop(0)
                    wire.close() if event == "cut" else site.reply(wire, OK if event == "ok" else REJECTION)
            case "wait":
                site.driver.clock.advance(700)
            case "disconnect" if handles:
                site.driver.core.client_disconnected(handles.pop())
        site.driver.clock.settle()
    site.driver.clock.advance(12_000)
    disconnected = number - len(handles)
    response_counts = [len(site.driver.statuses(request_number)) for request_number in range(1, number + 1)]
    assert max(response_counts, default=0) <= 1 and response_counts.count(0) <= disconnected
    assert site.driver.core.in_flight == 0 and not site.upstream._requests
    assert all(server.in_flight == 0 for server in site.upstream.pools["p"].table)


def test_a_probe_becomes_due_by_elapsed_time_alone() -> None:
    site = UpstreamSite(1, 2, 3)
    table = site.upstream.pools["p"].table
    server = site.server(1)
    for _ in range(5):
        table.attempt_started(server.handle)
        table.attempt_failed(server.handle, site.driver.clock.now(), MILLISECOND)
    assert table.capacity(site.driver.clock.now()) == 4
    assert table.capacity(site.driver.clock.now() + 2 * SECOND) == 5  # the probe


@pytest.mark.parametrize("is_connected", [False, True])
def test_a_connection_that_ends_after_the_close_starts_no_retry(is_connected: bool) -> None:
    # Guards against a close that releases attempts without ending them: their loss was retried at another server.
    site = UpstreamSite()
    site.send(1)
    wire = site.dial.accept() if is_connected else None
    site.upstream.close()
    assert wire is None or wire.closed
    site.driver.clock.advance(5_000)
    assert not site.dial.waiting and site.upstream.pools["p"].statistics.attempts == 1


def test_a_request_that_is_started_after_the_close_goes_to_no_server() -> None:
    site = UpstreamSite()
    site.upstream.close()
    site.send(1)
    site.driver.clock.advance(100)
    assert site.upstream.pools["p"].statistics.attempts == 0
    assert site.driver.statuses(1) == [ResponseStatus.REJECTED]


def test_a_change_that_does_not_fit_is_rejected_whole() -> None:
    # Guards against a reload that changes some pools, and fails at another one.
    site = UpstreamSite()
    site.send(1)
    changed = PoolConfig("p", tuple(("127.0.0.1", 1_000 + number) for number in range(MAX_SERVERS)))
    other = PoolConfig("other", servers(9))
    with pytest.raises(PoolChangeError, match="pool p: a pool holds at most"):
        site.upstream.reconfigure((other, changed))
    assert list(site.upstream.pools) == ["p"] and len(site.upstream.pools["p"].table) == 3
