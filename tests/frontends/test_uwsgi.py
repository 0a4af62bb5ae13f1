"""The uwsgi frontend: packets that arrive in parts, responses by outcome, and when connections close."""

import pytest

from marlstep.admission.events import Outcome
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.units import SECOND
from tests.frontends.support import READ, RESPONSE, UwsgiHarness
from tests.support.node import Wire


def status(wire: Wire) -> int:
    assert wire.closed
    head = bytes(wire.written).split(b"\r\n", 1)[0]
    return int(head.split()[1])


def test_a_packet_may_be_divided_at_every_byte() -> None:
    packet = write_packet(READ | {"CONTENT_LENGTH": "5"}, b"hello")
    for cut in range(1, len(packet)):
        harness = UwsgiHarness()
        wire = harness.connect()
        wire.feed(packet[:cut])
        assert harness.desk.core.in_flight == 0
        wire.feed(packet[cut:])
        harness.desk.clock.settle()
        assert harness.desk.backend.told == [("start", "uwsgi-1")]
        harness.end()
        assert wire.take() == RESPONSE and wire.closed


def test_a_packet_is_forwarded_unchanged() -> None:
    harness = UwsgiHarness()
    harness.send(READ | {"CONTENT_LENGTH": "5"}, b"hello", step=1)
    [request] = harness.desk.core._requests
    assert request.inbound.body == write_packet(READ | {"CONTENT_LENGTH": "5"}, b"hello")


def test_variables_are_mapped_as_configured() -> None:
    harness = UwsgiHarness()
    harness.send({"X_CLASS": "setpoint", "X_ID": "b7", "X_RETRY": "1", "X_COST": "12.5", "X_TENANT": "t"})
    [request] = harness.desk.core._requests
    inbound = request.inbound
    assert (inbound.request_class, inbound.idempotency_key, inbound.is_retry, inbound.tenant) == (
        "setpoint-cmd",
        "b7",
        True,
        "t",
    )
    assert inbound.cost_hint == 0.0125 * SECOND


@pytest.mark.parametrize(
    "packet",
    [
        write_packet({"X_CLASS": "no-such"}),
        write_packet(READ | {"X_ID": "w" * 257}),
        write_packet(READ | {"CONTENT_LENGTH": "-1"}),
        write_packet(READ | {"CONTENT_LENGTH": "1e3"}),
        b"\x05" + write_packet(READ)[1:],
        b"\0\0\0\0",
        b"\0\x04\0\0\xff\xffab",
        b"\0\x03\0\0\x01\0a",
        b"GET / HTTP/1.1\r\n\r\n" + b" " * 0x5445,
    ],
)
def test_a_malformed_packet_gets_400_and_is_closed(packet: bytes) -> None:
    harness = UwsgiHarness()
    wire = harness.connect()
    wire.feed(packet)
    assert status(wire) == 400 and harness.desk.core.in_flight == 0


def test_a_body_that_is_too_large_gets_413_unread() -> None:
    assert status(UwsgiHarness().send(READ | {"CONTENT_LENGTH": "101"})) == 413


def test_a_malformed_length_during_a_drain_harms_no_request_that_was_read() -> None:
    harness = UwsgiHarness()
    good = harness.send(READ)
    begun = harness.connect()
    begun.feed(write_packet(READ)[:9])
    harness.desk.core.drain(harness.desk.clock.now() + 3.2 * SECOND)
    harness.desk.clock.advance(100)
    bad = harness.connect()
    bad.feed(b"\0\x04\0\0\xff\xff\xff\xff")
    assert status(bad) == 400
    begun.feed(write_packet(READ)[9:])
    harness.desk.clock.settle()
    harness.end(number=1)
    harness.end(number=2)
    assert status(good) == status(begun) == 200


def test_a_request_over_two_and_a_half_seconds_after_the_drain_began_is_not_run() -> None:
    harness = UwsgiHarness()
    harness.desk.core.drain(harness.desk.clock.now() + 3.2 * SECOND)
    harness.desk.clock.advance(2000)
    begun = harness.connect()
    begun.feed(write_packet(READ)[:9])
    harness.desk.clock.advance(510)
    begun.feed(write_packet(READ)[9:])
    harness.desk.clock.settle()
    assert status(begun) == 503 and b"Retry-After: 1\r\n" in begun.written
    assert harness.desk.backend.told == []


@pytest.mark.parametrize(("outcome", "expected"), [(Outcome.CONNECT_FAILED, 503), (Outcome.RESET, 502)])
def test_only_a_failed_connect_proves_that_nothing_ran(outcome: Outcome, expected: int) -> None:
    harness = UwsgiHarness()
    wire = harness.send({"X_CLASS": "setpoint", "X_ID": "b7"})
    harness.end(outcome, b"")
    assert status(wire) == expected
    again = harness.send({"X_CLASS": "setpoint", "X_ID": "b7"})
    assert [event for event, _ in harness.desk.backend.told].count("start") == (2 if expected == 503 else 1)
    assert again.closed == (expected == 502)


def test_a_run_past_its_deadline_gets_504_and_is_abandoned() -> None:
    harness = UwsgiHarness()
    wire = harness.send({"X_CLASS": "setpoint"})
    harness.desk.clock.advance(1800)
    assert status(wire) == 504
    assert ("abandon", "uwsgi-1") in harness.desk.backend.told
    harness.end()
    assert bytes(wire.written).count(b"HTTP/1.1") == 1


def test_a_disconnected_client_has_its_run_abandoned() -> None:
    harness = UwsgiHarness()
    harness.send(READ).close()
    harness.desk.clock.settle()
    assert ("abandon", "uwsgi-1") in harness.desk.backend.told
    harness.end(Outcome.CANCELLED, b"")
    assert harness.desk.core.in_flight == 0 and len(harness.frontend.connections) == 0


@pytest.mark.parametrize("part", [b"", write_packet(READ)[:9], write_packet(READ | {"CONTENT_LENGTH": "9"})])
def test_a_connection_without_a_complete_packet_is_closed_after_the_read_timeout(part: bytes) -> None:
    harness = UwsgiHarness()
    wire, whole = harness.connect(), harness.send(READ)
    wire.feed(part)
    harness.desk.clock.advance(2_001)
    assert wire.closed and len(harness.frontend.connections) == 1 and not whole.closed


def test_a_full_table_rejects_connections() -> None:
    harness = UwsgiHarness()
    wires = [harness.send(READ) for _ in range(9)]
    assert [wire.closed for wire in wires] == [False] * 8 + [True]
    assert harness.desk.core.unanswered == 8


def test_incomplete_packets_leave_slots_for_others() -> None:
    harness = UwsgiHarness()
    for _ in range(50):
        harness.connect().feed(write_packet(READ)[:9])
        harness.desk.clock.advance(150)
    harness.send(READ)
    assert harness.desk.core.unanswered == 1
