"""Which uwsgi requests are attempts of one piece of work: the id alone does not say it, as clients choose it."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.frontends.uwsgi_wire import write_packet
from tests.core.test_repeats import KEYED
from tests.frontends.support import RESPONSE, UwsgiHarness
from tests.support.node import FakeTransport

DEPOSIT = {
    "REQUEST_METHOD": "POST",
    "REQUEST_URI": "/scans?museum=7",
    "PATH_INFO": "/scans",
    "QUERY_STRING": "museum=7",
    "X_CLASS": "keyed",
    "X_ID": "1",
    "X_TENANT": "galerie",
    "REMOTE_PORT": "40001",
    "HTTP_TRACEPARENT": "00-a-1",
}
BODY = b"scan"
OTHER_WORK = [
    ({}, b"noise"),
    ({}, b""),
    ({"REQUEST_METHOD": "DELETE"}, BODY),
    ({"REQUEST_URI": "/scans?museum=8"}, BODY),
    ({"PATH_INFO": "/other"}, BODY),
    ({"QUERY_STRING": "museum=8"}, BODY),
    ({"SCRIPT_NAME": "/archive"}, BODY),
    ({"QUERY_STRING": "", "PATH_INFO": "/scansmuseum=7"}, BODY),
]


def send(harness: UwsgiHarness, variables: dict[str, str], body: bytes) -> FakeTransport:
    return harness.send(variables | {"CONTENT_LENGTH": str(len(body))}, body)


def status_line(connection: FakeTransport) -> bytes:
    return bytes(connection.written).split(b"\r\n", 1)[0]


def start_count(harness: UwsgiHarness) -> int:
    return [command for command, _ in harness.node.backend.commands].count("start")


@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize(("changes", "body"), OTHER_WORK)
def test_other_work_under_a_known_id_gets_502_and_no_result(
    changes: dict[str, str], body: bytes, ended: bool
) -> None:
    # Guards against a client that gets the result of another client's request by naming its id, or gives it its own.
    harness = UwsgiHarness(**KEYED)
    owner = send(harness, DEPOSIT, BODY)
    if ended:
        harness.end_run()
    intruder = send(harness, DEPOSIT | changes, body)
    assert status_line(intruder) == b"HTTP/1.1 502 Bad Gateway" and intruder.closed
    if not ended:
        harness.end_run()
    retry = send(harness, DEPOSIT, BODY)
    assert (owner.take(), retry.take()) == (RESPONSE, RESPONSE)
    assert start_count(harness) == 1


@pytest.mark.parametrize("ended", [False, True])
def test_a_retry_shares_the_result_whatever_the_gateway_changes_beside_its_work(ended: bool) -> None:
    # Guards against a retry that is taken for other work because of its route through the gateway.
    harness = UwsgiHarness(**KEYED)
    send(harness, DEPOSIT, BODY)
    if ended:
        harness.end_run()
    changed = {"REMOTE_PORT": "51234", "HTTP_TRACEPARENT": "00-b-9", "X_RETRY": "1", "X_COST": "3.5"}
    retry = send(harness, dict(reversed((DEPOSIT | changed).items())), BODY)
    if not ended:
        harness.end_run()
    assert retry.take() == RESPONSE and start_count(harness) == 1


TENANTS = ("galerie", "musee", "")


@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize(("request_class", "settings"), [("keyed", KEYED), ("setpoint-cmd", {})])
def test_the_same_id_of_another_tenant_is_other_work(
    request_class: str, settings: dict[str, Any], ended: bool
) -> None:
    # Guards against tenants whose gateways count their ids from 1 and so get each other's results, or none.
    harness = UwsgiHarness(cores=4, **settings)
    connections = []
    for number, tenant in enumerate(TENANTS, 1):
        connections.append(send(harness, DEPOSIT | {"X_CLASS": request_class, "X_TENANT": tenant}, BODY))
        if ended:
            harness.end_run(number=number, result=tenant.encode())
    if not ended:
        for number, tenant in enumerate(TENANTS, 1):
            harness.end_run(number=number, result=tenant.encode())
    assert [each.take() for each in connections] == [tenant.encode() for tenant in TENANTS]
    assert start_count(harness) == len(TENANTS)


def test_other_work_of_an_at_most_once_class_under_a_known_id_does_not_run() -> None:
    # Guards against a second run of at-most-once work whose repeat was changed on its way.
    harness = UwsgiHarness()
    deposit = DEPOSIT | {"X_CLASS": "setpoint-cmd"}
    send(harness, deposit, BODY)
    assert status_line(send(harness, deposit, b"noise")) == b"HTTP/1.1 502 Bad Gateway"
    assert start_count(harness) == 1


def test_a_request_without_an_id_has_neither_scope_nor_digest() -> None:
    harness = UwsgiHarness()
    connection = harness.connect()
    connection.feed(write_packet({"X_CLASS": "temp-history", "X_TENANT": "galerie"}))
    [request] = harness.node.core._requests
    assert (request.inbound.key_scope, request.inbound.digest) == ("", "")
