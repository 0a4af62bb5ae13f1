"""The client of many servers: where a request goes, where it goes next, and that a setpoint is sent once."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.core.interfaces import ResponseStatus
from marlstep.load_balancing.concurrency_limit import ConcurrencyLimitSettings
from marlstep.load_balancing.outlier_detection import OutlierDetectionSettings, ServerState
from marlstep.load_balancing.pool_config import PoolConfig, pool_for
from marlstep.load_balancing.server import Server
from marlstep.load_balancing.server_table import PoolSettings
from marlstep.net.eventloop import Address
from marlstep.units import MILLISECOND, SECOND
from marlstep.upstreams.upstream import Upstream
from tests.frontends.test_parsers import FIXED
from tests.support.node import Desk, HandDial, Wire

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FULL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
QUICK = OutlierDetectionSettings(slow_start_time=MILLISECOND)


def servers(*ports: int) -> tuple[Address, ...]:
    return tuple(("127.0.0.1", port) for port in ports)


class Yard:
    """A core whose backend is the client of three servers; connections are opened by hand."""

    def __init__(self, *ports: int, **plan: Any) -> None:
        self.desk = Desk(cores=8)
        self.dial = HandDial()
        self.config = PoolConfig("p", servers(*(ports or (1, 2, 3))), rejection_statuses=(503,), **plan)
        settings = PoolSettings(ConcurrencyLimitSettings(min_limit=1, initial_limit=2), QUICK)
        core = self.desk.core
        self.upstream = Upstream(
            (self.config,), self.desk.clock.timeline, lambda: core, 4096, 1, settings, self.dial
        )
        self.desk.clock.advance(100)

    def send(self, number: int, kind: str = "temp-history") -> None:
        self.submit(number, kind)

    def submit(self, number: int, kind: str) -> int:
        plain, self.desk.backend = self.desk.backend, self.upstream  # type: ignore[assignment]
        try:
            return self.desk.submit(number, kind, pool="p")
        finally:
            self.desk.backend = plain

    @property
    def port(self) -> int:
        """Of the connection that is on its way."""
        return self.dial.waiting[0][1][1]

    def reply(self, wire: Wire, data: bytes = OK) -> None:
        wire.feed(data)
        self.desk.clock.settle()

    def refuse(self) -> None:
        self.dial.refuse()
        self.desk.clock.settle()

    def server(self, port: int) -> Server:
        server = self.upstream.pools["p"].table.find(f"127.0.0.1:{port}")
        assert server is not None
        return server

    def settle(self) -> None:
        self.desk.clock.advance(60)


@pytest.mark.parametrize("kind", ["temp-history", "setpoint-cmd"])
def test_what_was_not_reached_or_refused_goes_to_another_server_whatever_its_class(kind: str) -> None:
    yard = Yard()
    yard.send(1, kind)
    ports = [yard.port]
    yard.refuse()
    ports.append(yard.port)
    yard.reply(yard.dial.accept(), FULL)
    ports.append(yard.port)
    yard.reply(yard.dial.accept())
    assert sorted(ports) == [1, 2, 3] and yard.desk.verdicts(1) == [ResponseStatus.DONE]
    statistics = yard.upstream.pools["p"].statistics
    assert (statistics.attempts, statistics.retries) == (3, 2)
    assert (statistics.connect_failures, statistics.rejections) == (1, 1)


def test_where_none_takes_it_the_request_is_refused_as_it_never_ran() -> None:
    yard = Yard()
    yard.send(1, "setpoint-cmd")
    for _ in range(3):
        yard.refuse()
    assert yard.desk.verdicts(1) == [ResponseStatus.REJECTED] and not yard.dial.waiting


def test_a_setpoint_that_may_have_reached_a_server_is_never_sent_again() -> None:
    yard = Yard()
    yard.send(1, "setpoint-cmd")
    wire = yard.dial.accept()
    assert wire.written
    wire.close()
    yard.settle()
    assert yard.desk.verdicts(1) == [ResponseStatus.FAILED] and not yard.dial.waiting


def test_safe_work_is_sent_again_once_and_then_fails_even_where_the_last_server_refused_it() -> None:
    for last in ("broken", "refused"):
        yard = Yard()
        yard.send(1)
        yard.dial.accept().close()
        yard.settle()
        wire = yard.dial.accept()
        if last == "broken":
            wire.close()
        else:
            yard.reply(wire, FULL)
            yard.refuse()
        yard.settle()
        assert yard.desk.verdicts(1) == [ResponseStatus.FAILED] and not yard.dial.waiting


def test_a_connection_that_does_not_come_is_given_up_in_time_and_one_that_comes_late_carries_nothing() -> (
    None
):
    yard = Yard(connect_timeout=200 * MILLISECOND)
    yard.send(1, "setpoint-cmd")
    make, _, _ = yard.dial.waiting[0]
    yard.desk.clock.advance(210)
    late = Wire(make())  # type: ignore[arg-type]
    assert late.closed and not late.written
    yard.reply(yard.dial.accept())
    assert yard.desk.verdicts(1) == [ResponseStatus.DONE]


def test_work_beyond_the_room_of_the_pool_waits_in_the_module_by_worth() -> None:
    # Guards against a queue of the client's own, which would not know of worth, and against refusals for lack of room.
    yard = Yard(1, 2)  # two requests each
    for number in range(1, 6):
        yard.send(number)
    yard.send(6, "setpoint-cmd")
    yard.desk.submit(7)  # of no pool: not in its way
    assert ("start", "r7") in yard.desk.backend.told
    assert len(yard.dial.waiting) == 4 and yard.upstream.pools["p"].statistics.no_capacity == 0
    wires = [yard.dial.accept() for _ in range(4)]
    yard.reply(wires[0])
    yard.settle()
    assert len(yard.dial.waiting) >= 1
    sent = yard.dial.accept()
    assert yard.upstream._requests["r6"].attempt is sent.stream and not yard.desk.verdicts(6)


def test_servers_come_and_go_and_attempts_on_their_way_end_where_they_are() -> None:
    yard = Yard(1)
    yard.send(1, "setpoint-cmd")
    wire = yard.dial.accept()
    yard.upstream.reconfigure((PoolConfig("p", servers(2)),))
    yard.settle()
    yard.send(2, "setpoint-cmd")
    assert yard.port == 2
    yard.reply(wire)
    assert yard.desk.verdicts(1) == [ResponseStatus.DONE] and list(yard.upstream.pools["p"].addresses) == [
        "127.0.0.1:2"
    ]
    yard.upstream.reconfigure((PoolConfig("q", servers(4)),))
    yard.reply(yard.dial.accept())
    assert yard.desk.verdicts(2) == [ResponseStatus.DONE]


def test_a_server_that_tells_another_life_is_known_for_nothing_of_the_last() -> None:
    yard = Yard(1)
    for number, boot in enumerate((b"a", b"a", b"b"), 1):
        yard.send(number)
        wire = yard.dial.accept()
        yard.desk.clock.advance(100 - 30 * number)  # each response is quicker than the one before
        known = yard.server(1).latency.value is not None
        assert known is (number > 1)
        yard.reply(wire, b"HTTP/1.1 200 OK\r\nX-Boot-Id: " + boot + OK[15:])
        yard.settle()
    assert yard.server(1).boot_id == "b" and yard.server(1).latency.value == 10 * MILLISECOND


def test_a_dead_server_is_put_out_and_comes_back_by_a_probe() -> None:
    yard = Yard()
    busy: list[Wire] = []
    for number in range(1, 12):  # until the others are full, and the dead one has failed five times
        yard.send(number)
        while yard.dial.waiting:
            if yard.port == 2:
                yard.refuse()
            else:
                busy.append(yard.dial.accept())
        yard.settle()
    assert yard.server(2).health.state is ServerState.EJECTED and len(busy) == 4
    for wire in busy:
        yard.reply(wire)
    answered = [verdict for number in range(1, 12) for verdict in yard.desk.verdicts(number)]
    assert (
        Counter(answered)[ResponseStatus.DONE] == 4 and Counter(answered)[ResponseStatus.REJECTED] >= 3
    )  # none failed
    yard.desk.clock.advance(2_000)
    yard.send(12)
    assert yard.port == 2  # the probe
    while yard.dial.waiting:
        yard.reply(yard.dial.accept())
    assert yard.server(2).health.state is ServerState.HEALTHY and yard.desk.verdicts(12) == [
        ResponseStatus.DONE
    ]


@FIXED
@given(st.lists(st.sampled_from(["send", "set", "refuse", "ok", "full", "cut", "wait", "gone"]), max_size=60))
def test_whatever_servers_do_each_request_has_one_answer_and_a_setpoint_reaches_one_at_most(
    words: list[str],
) -> None:
    yard = Yard()
    open_wires: list[Wire] = []
    handles: list[int] = []
    number = 0
    for word in words:
        match word:
            case "send" | "set":
                number += 1
                kind = "temp-history" if word == "send" else "setpoint-cmd"
                handles.append(yard.submit(number, kind))
            case "refuse" if yard.dial.waiting:
                yard.refuse()
            case "ok" | "full" | "cut":
                if yard.dial.waiting:
                    open_wires.append(yard.dial.accept())
                if open_wires:
                    wire = open_wires.pop(0)
                    wire.close() if word == "cut" else yard.reply(wire, OK if word == "ok" else FULL)
            case "wait":
                yard.desk.clock.advance(700)
            case "gone" if handles:
                yard.desk.core.client_disconnected(handles.pop())
        yard.desk.clock.settle()
    yard.desk.clock.advance(12_000)
    gone = number - len(handles)
    answered = [len(yard.desk.verdicts(one)) for one in range(1, number + 1)]
    assert max(answered, default=0) <= 1 and answered.count(0) <= gone
    assert yard.desk.core.in_flight == 0 and not yard.upstream._requests
    assert all(server.in_flight == 0 for server in yard.upstream.pools["p"].table)


def test_the_pool_for_a_class_is_the_one_that_lists_it_or_the_one_that_lists_none() -> None:
    plans = (PoolConfig("a", servers(1), ("x",)), PoolConfig("b", servers(2)))
    assert Counter(pool_for(plans, kind) for kind in ("x", "y", "z")) == {"b": 2, "a": 1}


def test_probes_need_no_request_of_their_own_to_be_due() -> None:
    yard = Yard(1, 2, 3)
    table = yard.upstream.pools["p"].table
    server = yard.server(1)
    for _ in range(5):
        table.attempt_started(server.handle)
        table.attempt_failed(server.handle, yard.desk.clock.now(), MILLISECOND)
    assert table.capacity(yard.desk.clock.now()) == 4
    assert table.capacity(yard.desk.clock.now() + 2 * SECOND) == 5  # the probe
