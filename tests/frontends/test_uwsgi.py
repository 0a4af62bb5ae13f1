"""The uwsgi front: packets cut anywhere, answers mapped, and the hard cases."""

import pytest

from marlstep.admission.events import Outcome
from marlstep.frontends.uwsgi import UwsgiConnection, UwsgiFrontend
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.units import SECOND
from tests.support.node import Desk, Wire

MAPPED = UwsgiMapping(
    class_variable="X_CLASS",
    class_names={"setpoint": "setpoint-cmd"},
    idempotency_key_variable="X_ID",
    retry_variable="X_RETRY",
    cost_variable="X_COST",
    tenant_variable="X_TENANT",
)
READ = {"REQUEST_METHOD": "GET", "X_CLASS": "temp-history"}
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Gateway:
    """Clients before the front, on a clock that is moved by hand."""

    def __init__(self, cores: int = 2) -> None:
        self.desk = Desk(cores)
        self.front = UwsgiFrontend(
            self.desk.core, self.desk.clock.timeline, self.desk.backend, 8, 2 * SECOND, MAPPED, 100
        )
        self.desk.core.add_frontend(self.front)
        self.number = 0

    def connect(self) -> Wire:
        return Wire(UwsgiConnection(self.front))

    def send(self, variables: dict[str, str], body: bytes = b"", step: int = 1 << 16) -> Wire:
        wire = self.connect()
        wire.feed(write_packet(variables, body), step)
        self.desk.clock.settle()
        return wire

    def end(self, outcome: Outcome = Outcome.OK, result: bytes = RESPONSE, number: int = 1) -> None:
        self.desk.core.run_ended(f"uwsgi-{number}", outcome, SECOND, result)
        self.desk.clock.settle()


def status(wire: Wire) -> int:
    assert wire.closed
    head = bytes(wire.written).split(b"\r\n", 1)[0]
    return int(head.split()[1])


def test_a_packet_may_be_cut_at_every_byte() -> None:
    packet = write_packet(READ | {"CONTENT_LENGTH": "5"}, b"hello")
    for cut in range(1, len(packet)):
        gateway = Gateway()
        wire = gateway.connect()
        wire.feed(packet[:cut])
        assert gateway.desk.core.in_flight == 0
        wire.feed(packet[cut:])
        gateway.desk.clock.settle()
        assert gateway.desk.backend.told == [("start", "uwsgi-1")]
        gateway.end()
        assert wire.take() == RESPONSE and wire.closed


def test_the_packet_goes_on_as_it_came() -> None:
    gateway = Gateway()
    gateway.send(READ | {"CONTENT_LENGTH": "5"}, b"hello", step=1)
    [request] = gateway.desk.core._requests
    assert request.inbound.body == write_packet(READ | {"CONTENT_LENGTH": "5"}, b"hello")


def test_variables_are_mapped_as_the_operator_says() -> None:
    gateway = Gateway()
    gateway.send({"X_CLASS": "setpoint", "X_ID": "b7", "X_RETRY": "1", "X_COST": "12.5", "X_TENANT": "t"})
    [request] = gateway.desk.core._requests
    offer = request.inbound
    assert (offer.request_class, offer.idempotency_key, offer.is_retry, offer.tenant) == (
        "setpoint-cmd",
        "b7",
        True,
        "t",
    )
    assert offer.cost_hint == 0.0125 * SECOND


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
def test_what_is_malformed_is_answered_400_and_closed(packet: bytes) -> None:
    gateway = Gateway()
    wire = gateway.connect()
    wire.feed(packet)
    assert status(wire) == 400 and gateway.desk.core.in_flight == 0


def test_a_body_that_is_too_large_is_answered_413_unread() -> None:
    assert status(Gateway().send(READ | {"CONTENT_LENGTH": "101"})) == 413


def test_a_malformed_length_mid_drain_harms_no_request_that_was_read() -> None:
    gateway = Gateway()
    good = gateway.send(READ)
    begun = gateway.connect()
    begun.feed(write_packet(READ)[:9])
    gateway.desk.core.drain(gateway.desk.clock.now() + 3.2 * SECOND)
    gateway.desk.clock.advance(100)
    bad = gateway.connect()
    bad.feed(b"\0\x04\0\0\xff\xff\xff\xff")
    assert status(bad) == 400
    begun.feed(write_packet(READ)[9:])
    gateway.desk.clock.settle()
    gateway.end(number=1)
    gateway.end(number=2)
    assert status(good) == status(begun) == 200


def test_what_came_over_two_and_a_half_seconds_after_the_notice_is_not_run() -> None:
    gateway = Gateway()
    gateway.desk.core.drain(gateway.desk.clock.now() + 3.2 * SECOND)
    gateway.desk.clock.advance(2000)
    begun = gateway.connect()
    begun.feed(write_packet(READ)[:9])
    gateway.desk.clock.advance(510)
    begun.feed(write_packet(READ)[9:])
    gateway.desk.clock.settle()
    assert status(begun) == 503 and b"Retry-After: 1\r\n" in begun.written
    assert gateway.desk.backend.told == []


@pytest.mark.parametrize(("outcome", "told"), [(Outcome.CONNECT_FAILED, 503), (Outcome.RESET, 502)])
def test_only_a_connection_that_never_stood_proves_that_nothing_ran(outcome: Outcome, told: int) -> None:
    gateway = Gateway()
    wire = gateway.send({"X_CLASS": "setpoint", "X_ID": "b7"})
    gateway.end(outcome, b"")
    assert status(wire) == told
    again = gateway.send({"X_CLASS": "setpoint", "X_ID": "b7"})
    assert [what for what, _ in gateway.desk.backend.told].count("start") == (2 if told == 503 else 1)
    assert again.closed == (told == 502)


def test_a_run_past_its_time_is_answered_504_and_given_up() -> None:
    gateway = Gateway()
    wire = gateway.send({"X_CLASS": "setpoint"})
    gateway.desk.clock.advance(1800)
    assert status(wire) == 504
    assert ("abandon", "uwsgi-1") in gateway.desk.backend.told
    gateway.end()
    assert bytes(wire.written).count(b"HTTP/1.1") == 1


def test_a_client_that_is_gone_takes_its_run_along() -> None:
    gateway = Gateway()
    gateway.send(READ).close()
    gateway.desk.clock.settle()
    assert ("abandon", "uwsgi-1") in gateway.desk.backend.told
    gateway.end(Outcome.CANCELLED, b"")
    assert gateway.desk.core.in_flight == 0 and len(gateway.front.connections) == 0


@pytest.mark.parametrize("part", [b"", write_packet(READ)[:9], write_packet(READ | {"CONTENT_LENGTH": "9"})])
def test_a_packet_that_stays_unfinished_is_closed_on(part: bytes) -> None:
    gateway = Gateway()
    wire, whole = gateway.connect(), gateway.send(READ)
    wire.feed(part)
    gateway.desk.clock.advance(2_001)
    assert wire.closed and len(gateway.front.connections) == 1 and not whole.closed


def test_a_full_table_turns_connections_away() -> None:
    gateway = Gateway()
    wires = [gateway.send(READ) for _ in range(9)]
    assert [wire.closed for wire in wires] == [False] * 8 + [True]
    assert gateway.desk.core.unanswered == 8


def test_packets_that_are_not_whole_leave_room_for_others() -> None:
    gateway = Gateway()
    for _ in range(50):
        gateway.connect().feed(write_packet(READ)[:9])
        gateway.desk.clock.advance(150)
    gateway.send(READ)
    assert gateway.desk.core.unanswered == 1
