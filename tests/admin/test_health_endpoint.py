"""The operators' door, and the state that it changes."""

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
from tests.support.node import Desk, Wire, raw_config

CONNECTIONS = 48


class Gate:
    def __init__(self) -> None:
        self.desk = Desk()
        self.told: list[bool] = []
        core = self.desk.core
        self.door = HealthEndpoint(
            core,
            self.desk.clock.timeline,
            lambda: self.told.append(core.serving_state.wants_traffic),
            CONNECTIONS,
        )

    def connect(self) -> Wire:
        return Wire(HttpConnection(self.door))

    def ask(self, method: str, path: str, head: str = "", body: bytes = b"", step: int = 999) -> int:
        wire = self.connect()
        sized = f"Content-Length: {len(body)}\r\n" if body else ""
        wire.feed(f"{method} {path} HTTP/1.1\r\nHost: n\r\n{sized}{head}\r\n".encode() + body, step)
        assert wire.closed
        return status(wire)


def status(wire: Wire) -> int:
    head, _, body = bytes(wire.written).partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head and isinstance(json.loads(body), dict)
    return int(head.split()[1])


def test_health_is_yes_from_the_moment_the_cores_are_there() -> None:
    gate = Gate()
    assert gate.ask("GET", "/admin/health") == 503
    gate.desk.core.backend_ready()
    assert gate.ask("GET", "/admin/health?verbose=1", step=1) == 200


def test_a_quiesced_node_says_sick_and_serves_what_still_comes_until_it_is_resumed() -> None:
    gate = Gate()
    gate.desk.core.backend_ready()
    for _ in range(2):  # a repeat does no harm
        assert gate.ask("POST", "/admin/quiesce") == 200 and not gate.desk.core.healthy
    assert gate.ask("GET", "/admin/health") == 200  # the process itself is well
    gate.desk.submit(1)
    gate.desk.end(1)
    assert gate.desk.verdicts(1) == [ResponseStatus.DONE]
    for _ in range(2):
        assert gate.ask("POST", "/admin/resume") == 200 and gate.desk.core.healthy
    assert gate.told == [False, False, True, True]


def test_the_notice_to_leave_ends_a_quiesce_and_no_resume_undoes_it() -> None:
    gate = Gate()
    gate.desk.core.backend_ready()
    gate.ask("POST", "/admin/quiesce")
    gate.desk.core.drain(gate.desk.clock.now() + 3 * SECOND)
    assert (gate.ask("POST", "/admin/resume"), gate.ask("GET", "/admin/health")) == (409, 503)
    assert gate.ask("POST", "/admin/quiesce") == 409 and not gate.desk.core.healthy
    gate.desk.clock.advance(2_600)
    assert gate.desk.stopped


@pytest.mark.parametrize(
    ("method", "path", "head", "body", "wanted"),
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
def test_calls_that_can_not_be_had_are_refused_by_kind(
    method: str, path: str, head: str, body: bytes, wanted: int
) -> None:
    gate = Gate()
    gate.desk.core.backend_ready()
    assert gate.ask(method, path, head, body) == wanted and gate.desk.core.healthy and not gate.told


def test_a_head_without_end_and_a_second_call_behind_the_first_do_nothing() -> None:
    gate = Gate()
    wire = gate.connect()
    wire.feed(b"GET /admin/health HTTP/1.1\r\n" + b"X: y\r\n" * MAX_HEAD_BYTES)
    assert status(wire) == 431 and wire.closed
    wire = gate.connect()
    wire.feed(b"GET /admin/health HTTP/1.1\r\n\r\nPOST /admin/quiesce HTTP/1.1\r\n\r\n")
    assert status(wire) == 503 and gate.desk.core.healthy


def test_a_good_call_is_answered_beside_callers_that_hold_their_connections() -> None:
    # Guards against a door that is kept shut by those who connect and say nothing, or half a call.
    gate = Gate()
    gate.desk.core.backend_ready()
    held: list[Wire] = []
    for number in range(5 * CONNECTIONS):
        held.append(gate.connect())
        held[-1].feed(
            [b"", b"GET /admin/he", b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 9\r\n\r\n"][number % 3]
        )
        if number % 7 == 0:
            assert gate.ask("GET", "/admin/health") == 200
        if number % 50 == 0:
            gate.desk.clock.advance(MIN_UNPROVEN_AGE / MILLISECOND)
    assert len(gate.door.connections) <= CONNECTIONS
    gate.desk.clock.advance(REQUEST_TIMEOUT / MILLISECOND)
    assert all(wire.closed for wire in held) and len(gate.door.connections) == 0
    late = [status(wire) for wire in held if wire.written]
    assert late and set(late) == {408} and gate.desk.core.healthy


@FIXED
@given(GARBAGE, CUTS)
def test_garbage_at_the_door_changes_nothing(garbage: bytes, cuts: list[int]) -> None:
    gate = Gate()
    wire = gate.connect()
    for part in pieces(garbage, cuts):
        wire.feed(part)
    assert not wire.written or status(wire) in (400, 404, 405, 413, 431)
    gate.desk.clock.advance(2_000)
    assert len(gate.door.connections) == 0 and gate.desk.core.healthy


ASKED: dict[str, Callable[[ServingState], Any]] = {
    "ready": ServingState.mark_ready,
    "quiesce": ServingState.quiesce,
    "resume": ServingState.resume,
    "leave": ServingState.begin_drain,
}


@FIXED
@given(st.lists(st.sampled_from(sorted(ASKED)), max_size=8))
def test_the_state_follows_what_was_asked_last_and_leaving_is_for_good(words: list[str]) -> None:
    duty, ready, quiesced, left = ServingState(), False, False, False
    for word in words:
        told = ASKED[word](duty)
        if word in ("quiesce", "resume"):
            assert told is not left
            quiesced = quiesced if left else word == "quiesce"
        ready, left = ready or word == "ready", left or word == "leave"
        assert duty.wants_traffic is (not left and not quiesced) and duty.can_serve is (ready and not left)
        wanted = ServingPhase.LEAVING if left else ServingPhase.QUIESCED if quiesced else ServingPhase.SERVING
        assert duty.phase is (wanted if ready or left else ServingPhase.STARTING)


def test_the_address_of_the_door_comes_from_the_file_or_the_environment(tmp_path: Any) -> None:
    assert check(raw_config()).health_listen is None
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(mgmt="127.0.0.1:9901")))
    environ = {"PROXY_CONFIG": str(path)}
    assert load(environ).health_listen == ("127.0.0.1", 9901)
    assert load({**environ, "PROXY_MGMT": "127.0.0.2:9"}).health_listen == ("127.0.0.2", 9)
    with pytest.raises(ConfigError, match="mgmt must be a numeric address"):
        load({**environ, "PROXY_MGMT": "nowhere"})
