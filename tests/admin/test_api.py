"""Tests of the administration API: routes, tenants' quotas, the token, and malformed input."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given

from marlstep.admin.api import AdminApi
from marlstep.admin.http import HttpConnection
from marlstep.core.interfaces import ResponseStatus
from marlstep.units import SECOND
from tests.frontends.test_parsers import CUTS, FIXED, GARBAGE, pieces
from tests.support.node import CoreDriver, FakeTransport

TOKEN = "0123456789abcdef"

TENANTS = [{"name": "riad", "portion": 0.5, "allowancePerS": 2.0}]


class ApiHarness:
    def __init__(self) -> None:
        self.driver = CoreDriver(cores=1, realms=TENANTS, overShareWorth=0.1)
        self.drain_requests = 0
        self.admin = AdminApi(self.driver.core, self.driver.clock.timeline, TOKEN, self.drain)

    def drain(self) -> None:
        self.drain_requests += 1
        self.driver.core.drain(self.driver.clock.now() + 3 * SECOND)

    def request(
        self, method: str, path: str, body: Any = None, token: str = TOKEN, step: int = 999
    ) -> tuple[int, Any]:
        wire = FakeTransport(HttpConnection(self.admin))
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nAuthorization: Bearer {token}\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        wire.feed(head.encode() + data, step)
        self.driver.clock.settle()
        assert wire.closed and len(self.admin.connections) == 0
        status, _, rest = bytes(wire.written).partition(b"\r\n")
        return int(status.split()[1]), json.loads(rest.partition(b"\r\n\r\n")[2])


def test_tenants_are_listed_with_their_counters_and_a_quota_can_be_changed() -> None:
    harness = ApiHarness()
    harness.driver.submit(1, tenant="riad")
    status, [tenant] = harness.request("GET", "/v1/tenants", step=1)
    assert (status, tenant["allowance_per_s"], tenant["counters"]) == (200, 2.0, {"read": 1, "runs": 1})
    assert harness.request("PUT", "/v1/tenants/riad", {"allowance_per_s": 7})[0] == 200
    assert harness.request("GET", "/v1/tenants/riad")[1]["allowance_per_s"] == 7.0
    assert harness.driver.core._controller.state.quotas_per_s == {"riad": 7.0}


@pytest.mark.parametrize("body", [None, [], {}, {"allowance_per_s": -1}, {"allowance_per_s": 1, "x": 1}])
def test_an_invalid_quota_changes_nothing(body: Any) -> None:
    harness = ApiHarness()
    assert harness.request("PUT", "/v1/tenants/riad", body)[0] == 400
    for value in (True, "7", None, 1e7, float("nan"), float("inf")):
        assert harness.request("PUT", "/v1/tenants/riad", {"allowance_per_s": value})[0] == 400
    assert harness.driver.core._controller.state.quotas_per_s == {"riad": 2.0}


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/health", 200),
        ("GET", "/v1/counters", 200),
        ("GET", "/", 404),
        ("GET", "/v1/tenants/none", 404),
        ("PUT", "/v1/tenants/none", 404),
        ("DELETE", "/v1/tenants/riad", 405),
        ("GET", "/v1/drain", 405),
    ],
)
def test_known_and_unknown_paths_and_methods_get_their_status(method: str, path: str, status: int) -> None:
    assert ApiHarness().request(method, path)[0] == status


@pytest.mark.parametrize("token", ["", "wrong", TOKEN + "x"])
def test_a_request_with_a_wrong_token_is_rejected_and_does_nothing(token: str) -> None:
    harness = ApiHarness()
    assert harness.request("POST", "/v1/drain", token=token)[0] == 401 and harness.drain_requests == 0


def test_a_drain_request_begins_the_shutdown_and_health_shows_it() -> None:
    harness = ApiHarness()
    assert harness.request("POST", "/v1/drain")[0] == 202 and harness.drain_requests == 1
    assert harness.request("GET", "/v1/health")[1]["draining"]
    harness.driver.submit(1, late_ms=-2600)
    assert harness.driver.statuses(1) == [ResponseStatus.REJECTED]


@FIXED
@given(GARBAGE, CUTS)
def test_malformed_input_leaves_the_api_working(garbage: bytes, cuts: list[int]) -> None:
    harness = ApiHarness()
    wire = FakeTransport(HttpConnection(harness.admin))
    for part in pieces(garbage, cuts):
        wire.feed(part)
    assert not wire.written or wire.written.startswith(b"HTTP/1.1 4")
    wire.close()
    assert harness.request("GET", "/v1/health")[0] == 200
