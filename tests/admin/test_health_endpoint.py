"""Tests of the health endpoint and of the serving state that it changes."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.admin.health_endpoint import REQUEST_TIMEOUT, HealthEndpoint
from marlstep.admin.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, HttpConnection
from marlstep.config import ConfigError, check, load
from marlstep.core.interfaces import ResponseStatus
from marlstep.core.serving_state import ServingPhase, ServingState
from marlstep.frontends.connection_policy import MIN_UNPROVEN_AGE
from marlstep.units import MILLISECOND, SECOND
from tests.frontends.test_parsers import CUTS, FIXED, GARBAGE, pieces
from tests.support.node import CoreDriver, FakeTransport, raw_config

MAX_CONNECTIONS = 48


class EndpointHarness:
    def __init__(self) -> None:
        self.driver = CoreDriver()
        self.reported_states: list[bool] = []
        core = self.driver.core
        self.endpoint = HealthEndpoint(
            core,
            self.driver.clock.timeline,
            lambda: self.reported_states.append(core.serving_state.wants_traffic),
            MAX_CONNECTIONS,
        )

    def connect(self) -> FakeTransport:
        return FakeTransport(HttpConnection(self.endpoint))

    def request(self, method: str, path: str, head: str = "", body: bytes = b"", step: int = 999) -> int:
        wire = self.connect()
        sized = f"Content-Length: {len(body)}\r\n" if body else ""
        wire.feed(f"{method} {path} HTTP/1.1\r\nHost: n\r\n{sized}{head}\r\n".encode() + body, step)
        assert wire.closed
        return status(wire)


def status(wire: FakeTransport) -> int:
    head, _, body = bytes(wire.written).partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head and isinstance(json.loads(body), dict)
    return int(head.split()[1])


def test_health_returns_200_once_the_backend_is_ready() -> None:
    harness = EndpointHarness()
    assert harness.request("GET", "/admin/health") == 503
    harness.driver.core.backend_ready()
    assert harness.request("GET", "/admin/health?verbose=1", step=1) == 200


def test_a_quiesced_node_fails_health_checks_and_serves_until_it_is_resumed() -> None:
    harness = EndpointHarness()
    harness.driver.core.backend_ready()
    for _ in range(2):  # a repeated quiesce is accepted and changes nothing
        assert harness.request("POST", "/admin/quiesce") == 200 and not harness.driver.core.healthy
    # This path reports whether the process can serve, which a quiesce does not change.
    assert harness.request("GET", "/admin/health") == 200
    harness.driver.submit(1)
    harness.driver.end(1)
    assert harness.driver.statuses(1) == [ResponseStatus.DONE]
    for _ in range(2):
        assert harness.request("POST", "/admin/resume") == 200 and harness.driver.core.healthy
    assert harness.reported_states == [False, False, True, True]


def test_a_drain_ends_a_quiesce_and_rejects_later_changes() -> None:
    harness = EndpointHarness()
    harness.driver.core.backend_ready()
    harness.request("POST", "/admin/quiesce")
    harness.driver.core.drain(harness.driver.clock.now() + 3 * SECOND)
    assert (harness.request("POST", "/admin/resume"), harness.request("GET", "/admin/health")) == (409, 503)
    assert harness.request("POST", "/admin/quiesce") == 409 and not harness.driver.core.healthy
    harness.driver.clock.advance(2_600)
    assert harness.driver.stopped_accepting


@pytest.mark.parametrize(
    ("method", "path", "head", "body", "expected"),
    [
        ("GET", "/", "", b"", 404),
        ("GET", "/admin", "", b"", 404),
        ("POST", "/admin/health", "", b"", 405),
        ("GET", "/admin/quiesce", "", b"", 405),
        ("DELETE", "/admin/resume", "", b"", 405),
        ("no method", "/admin/health", "", b"", 400),
        ("GET", "/admin/health", "Content-Length: x\r\n", b"", 400),
        ("POST", "/admin/resume", "", b"x" * (MAX_BODY_BYTES + 1), 413),
        ("GET", "/admin/health", "X: " + "x" * MAX_HEAD_BYTES + "\r\n", b"", 431),
    ],
)
def test_an_invalid_request_is_rejected_with_its_status(
    method: str, path: str, head: str, body: bytes, expected: int
) -> None:
    harness = EndpointHarness()
    harness.driver.core.backend_ready()
    assert (
        harness.request(method, path, head, body) == expected
        and harness.driver.core.healthy
        and not harness.reported_states
    )


def test_an_oversized_head_and_a_second_request_on_a_connection_are_not_served() -> None:
    harness = EndpointHarness()
    wire = harness.connect()
    wire.feed(b"GET /admin/health HTTP/1.1\r\n" + b"X: y\r\n" * MAX_HEAD_BYTES)
    assert status(wire) == 431 and wire.closed
    wire = harness.connect()
    wire.feed(b"GET /admin/health HTTP/1.1\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\n\r\n")
    assert status(wire) == 503 and harness.driver.core.healthy


def test_a_complete_request_is_served_while_other_clients_send_incomplete_ones() -> None:
    # Guards against clients that fill the connection table by sending nothing, or only a part of a request.
    harness = EndpointHarness()
    harness.driver.core.backend_ready()
    incomplete: list[FakeTransport] = []
    for number in range(5 * MAX_CONNECTIONS):
        incomplete.append(harness.connect())
        incomplete[-1].feed(
            [b"", b"GET /admin/he", b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 9\r\n\r\n"][number % 3]
        )
        if number % 7 == 0:
            assert harness.request("GET", "/admin/health") == 200
        if number % 50 == 0:
            harness.driver.clock.advance(MIN_UNPROVEN_AGE / MILLISECOND)
    assert len(harness.endpoint.connections) <= MAX_CONNECTIONS
    harness.driver.clock.advance(REQUEST_TIMEOUT / MILLISECOND)
    assert all(wire.closed for wire in incomplete) and len(harness.endpoint.connections) == 0
    timed_out = [status(wire) for wire in incomplete if wire.written]
    assert timed_out and set(timed_out) == {408} and harness.driver.core.healthy


@FIXED
@given(GARBAGE, CUTS)
def test_malformed_input_changes_nothing(garbage: bytes, cuts: list[int]) -> None:
    harness = EndpointHarness()
    wire = harness.connect()
    for part in pieces(garbage, cuts):
        wire.feed(part)
    assert not wire.written or status(wire) in (400, 404, 405, 413, 431)
    harness.driver.clock.advance(2_000)
    assert len(harness.endpoint.connections) == 0 and harness.driver.core.healthy


TRANSITIONS: dict[str, Callable[[ServingState], Any]] = {
    "ready": ServingState.mark_ready,
    "quiesce": ServingState.quiesce,
    "resume": ServingState.resume,
    "drain": ServingState.begin_drain,
}


@FIXED
@given(st.lists(st.sampled_from(sorted(TRANSITIONS)), max_size=8))
def test_the_state_follows_the_last_transition_and_a_drain_is_final(names: list[str]) -> None:
    state, ready, quiesced, draining = ServingState(), False, False, False
    for name in names:
        accepted = TRANSITIONS[name](state)
        if name in ("quiesce", "resume"):
            assert accepted is not draining
            quiesced = quiesced if draining else name == "quiesce"
        ready, draining = ready or name == "ready", draining or name == "drain"
        assert state.wants_traffic is (not draining and not quiesced) and state.can_serve is (
            ready and not draining
        )
        expected = (
            ServingPhase.LEAVING if draining else ServingPhase.QUIESCED if quiesced else ServingPhase.SERVING
        )
        assert state.phase is (expected if ready or draining else ServingPhase.STARTING)


def test_the_health_address_is_read_from_the_file_or_the_environment(tmp_path: Any) -> None:
    assert check(raw_config()).health_listen is None
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(mgmt="127.0.0.1:9901")))
    environ = {"PROXY_CONFIG": str(path)}
    assert load(environ).health_listen == ("127.0.0.1", 9901)
    assert load({**environ, "PROXY_MGMT": "127.0.0.2:9"}).health_listen == ("127.0.0.2", 9)
    with pytest.raises(ConfigError, match="mgmt must be a numeric address"):
        load({**environ, "PROXY_MGMT": "nowhere"})
