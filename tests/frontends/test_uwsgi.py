"""The uwsgi frontend: packets that arrive in parts, responses by outcome, and when connections close."""

import pytest

from marlstep.admission.events import Outcome
from marlstep.frontends.rejection_log import MAX_LINES_PER_SECOND
from marlstep.frontends.uwsgi import UwsgiConnection
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.units import MILLISECOND, SECOND
from tests.core.test_repeats import KEYED
from tests.frontends.support import READ_VARIABLES, RESPONSE, UwsgiHarness
from tests.support.node import FakeTransport


def status(connection: FakeTransport) -> int:
    assert connection.closed
    head = bytes(connection.written).split(b"\r\n", 1)[0]
    return int(head.split()[1])


def test_a_packet_may_be_divided_at_any_byte() -> None:
    packet = write_packet(READ_VARIABLES | {"CONTENT_LENGTH": "5"}, b"hello")
    for cut in range(1, len(packet)):
        harness = UwsgiHarness()
        connection = harness.connect()
        connection.feed(packet[:cut])
        assert harness.node.core.in_flight == 0
        connection.feed(packet[cut:])
        harness.node.clock.settle()
        assert harness.node.backend.commands == [("start", "uwsgi-1")]
        harness.end_run()
        assert connection.take() == RESPONSE and connection.closed


def test_a_packet_is_forwarded_unchanged() -> None:
    harness = UwsgiHarness()
    harness.send(READ_VARIABLES | {"CONTENT_LENGTH": "5"}, b"hello", step=1)
    [request] = harness.node.core._requests
    assert request.inbound.body == write_packet(READ_VARIABLES | {"CONTENT_LENGTH": "5"}, b"hello")


def test_variables_are_mapped_as_configured() -> None:
    harness = UwsgiHarness()
    harness.send({"X_CLASS": "setpoint", "X_ID": "b7", "X_RETRY": "1", "X_COST": "12.5", "X_TENANT": "t"})
    [request] = harness.node.core._requests
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
        write_packet(READ_VARIABLES | {"X_ID": "w" * 257}),
        write_packet(READ_VARIABLES | {"CONTENT_LENGTH": "-1"}),
        write_packet(READ_VARIABLES | {"CONTENT_LENGTH": "1e3"}),
        b"\x05" + write_packet(READ_VARIABLES)[1:],
        b"\0\0\0\0",
        b"\0\x04\0\0\xff\xffab",
        b"\0\x03\0\0\x01\0a",
        b"GET / HTTP/1.1\r\n\r\n" + b" " * 0x5445,
    ],
)
def test_a_malformed_packet_gets_400_and_the_connection_closes(packet: bytes) -> None:
    harness = UwsgiHarness()
    connection = harness.connect()
    connection.feed(packet)
    assert status(connection) == 400 and harness.node.core.in_flight == 0


def test_a_body_that_is_too_large_gets_413_before_it_is_read() -> None:
    assert status(UwsgiHarness().send(READ_VARIABLES | {"CONTENT_LENGTH": "101"})) == 413


def test_a_malformed_packet_during_a_drain_does_not_affect_other_requests() -> None:
    harness = UwsgiHarness()
    served = harness.send(READ_VARIABLES)
    partly_sent = harness.connect()
    partly_sent.feed(write_packet(READ_VARIABLES)[:9])
    harness.node.core.drain(harness.node.clock.now() + 3.2 * SECOND)
    harness.node.clock.advance(100)
    malformed = harness.connect()
    malformed.feed(b"\0\x04\0\0\xff\xff\xff\xff")
    assert status(malformed) == 400
    partly_sent.feed(write_packet(READ_VARIABLES)[9:])
    harness.node.clock.settle()
    harness.end_run(number=1)
    harness.end_run(number=2)
    assert status(served) == status(partly_sent) == 200


@pytest.mark.parametrize("has_successor", [False, True])
@pytest.mark.parametrize("bytes_before", [0, 1, 9])
def test_a_packet_read_after_the_frontend_stopped_accepting_is_served(
    bytes_before: int, has_successor: bool
) -> None:
    # Guards against a drain that closes an accepted connection whose packet it has not read yet.
    harness = UwsgiHarness()
    packet, core, now = write_packet(READ_VARIABLES), harness.node.core, harness.node.clock.now()
    connection = harness.connect()
    connection.feed(packet[:bytes_before])
    if has_successor:
        core.begin_hand_over(now + 3 * SECOND)
    else:
        core.drain(now + 3.2 * SECOND)
        harness.frontend.stop_accepting()
    harness.node.clock.settle()
    harness.node.clock.settle()
    assert harness.frontend.draining
    connection.feed(packet[bytes_before:])
    harness.node.clock.settle()
    harness.end_run()
    assert connection.take() == RESPONSE and connection.closed


def test_a_connection_that_sends_nothing_closes_at_its_read_timeout_in_a_drain_too() -> None:
    harness = UwsgiHarness()
    connection = harness.connect()
    harness.frontend.stop_accepting()
    harness.node.clock.advance(1_900)
    assert not connection.closed
    harness.node.clock.advance(200)
    assert connection.closed and not connection.written


def test_a_connection_whose_client_ends_it_without_a_packet_closes_in_a_drain() -> None:
    harness = UwsgiHarness()
    connection = harness.connect()
    harness.frontend.stop_accepting()
    connection.stream.eof_received()
    assert connection.closed and not connection.written


def test_a_request_that_arrives_over_2500_ms_after_the_drain_began_is_not_run() -> None:
    harness = UwsgiHarness()
    harness.node.core.drain(harness.node.clock.now() + 3.2 * SECOND)
    harness.node.clock.advance(2000)
    late = harness.connect()
    late.feed(write_packet(READ_VARIABLES)[:9])
    harness.node.clock.advance(510)
    late.feed(write_packet(READ_VARIABLES)[9:])
    harness.node.clock.settle()
    assert status(late) == 503 and b"Retry-After: 1\r\n" in late.written
    assert harness.node.backend.commands == []


@pytest.mark.parametrize(("outcome", "expected"), [(Outcome.CONNECT_FAILED, 503), (Outcome.RESET, 502)])
def test_a_repeated_request_runs_again_after_a_failed_connect_but_not_after_a_reset(
    outcome: Outcome, expected: int
) -> None:
    harness = UwsgiHarness()
    connection = harness.send({"X_CLASS": "setpoint", "X_ID": "b7"})
    harness.end_run(outcome, b"")
    assert status(connection) == expected
    repeat = harness.send({"X_CLASS": "setpoint", "X_ID": "b7"})
    assert [event for event, _ in harness.node.backend.commands].count("start") == (
        2 if expected == 503 else 1
    )
    assert repeat.closed == (expected == 502)


def test_a_run_past_its_deadline_gets_504_and_is_abandoned() -> None:
    harness = UwsgiHarness()
    connection = harness.send({"X_CLASS": "setpoint"})
    harness.node.clock.advance(1800)
    assert status(connection) == 504
    assert ("abandon", "uwsgi-1") in harness.node.backend.commands
    harness.end_run()
    assert bytes(connection.written).count(b"HTTP/1.1") == 1


def test_the_run_of_a_disconnected_client_is_abandoned() -> None:
    harness = UwsgiHarness()
    harness.send(READ_VARIABLES).close()
    harness.node.clock.settle()
    assert ("abandon", "uwsgi-1") in harness.node.backend.commands
    harness.end_run(Outcome.CANCELLED, b"")
    assert harness.node.core.in_flight == 0 and len(harness.frontend.connections) == 0


@pytest.mark.parametrize(
    "part", [b"", write_packet(READ_VARIABLES)[:9], write_packet(READ_VARIABLES | {"CONTENT_LENGTH": "9"})]
)
def test_a_connection_without_a_complete_packet_is_closed_after_the_read_timeout(part: bytes) -> None:
    harness = UwsgiHarness()
    connection, served = harness.connect(), harness.send(READ_VARIABLES)
    connection.feed(part)
    harness.node.clock.advance(2_001)
    assert connection.closed and len(harness.frontend.connections) == 1 and not served.closed


def test_a_full_table_rejects_connections() -> None:
    harness = UwsgiHarness()
    connections = [harness.send(READ_VARIABLES) for _ in range(9)]
    assert [connection.closed for connection in connections] == [False] * 8 + [True]
    assert harness.node.core.unanswered == 8


def test_incomplete_packets_leave_slots_for_others() -> None:
    harness = UwsgiHarness()
    for _ in range(50):
        harness.connect().feed(write_packet(READ_VARIABLES)[:9])
        harness.node.clock.advance(150)
    harness.send(READ_VARIABLES)
    assert harness.node.core.unanswered == 1


def test_a_repeat_that_waits_for_a_run_gets_no_503_at_the_stop() -> None:
    # Guards against "503 refused, it never ran" for work that runs: the gateway would send it to another node.
    harness = UwsgiHarness(**KEYED)
    variables = {"X_CLASS": "keyed", "X_ID": "scan-1"}
    connections = [harness.send(variables) for _ in range(2)]
    harness.node.core.respond_to_all()
    assert [status(connection) for connection in connections] == [504, 504]
    assert harness.node.backend.commands[:1] == [("start", "uwsgi-1")]


def large_packet(number: int) -> bytes:
    variables = {
        f"N{index}": "" for index in range(4_000)
    }  # more than are scanned in an iteration of the loop
    return write_packet(READ_VARIABLES | variables | {"X_ID": f"work-{number}"})


def test_large_packets_that_arrive_together_are_all_answered_one_scan_at_a_time() -> None:
    # Guards against other clients that wait while hundreds of large packets are scanned in one iteration of the loop.
    harness = UwsgiHarness()
    connections = [harness.connect() for _ in range(4)]
    for number, connection in enumerate(connections):
        connection.feed(large_packet(number))
    connections[1].stream.eof_received()  # a half-closed stream: its packet is complete
    started = harness.node.core.counts["read"]
    harness.node.clock.settle()
    assert started == 1 and harness.node.core.counts["read"] == 4
    for number in range(1, 5):
        harness.end_run(number=number)
    assert [status(connection) for connection in connections] == [200] * 4


def test_a_packet_that_waits_for_its_scan_is_neither_timed_out_nor_evicted() -> None:
    harness = UwsgiHarness()
    first, second = harness.connect(), harness.connect()
    first.feed(large_packet(1))
    second.feed(large_packet(2))
    waiting = second.stream
    assert isinstance(waiting, UwsgiConnection) and not harness.frontend.connections.is_unproven(waiting)
    waiting.timed_out()
    assert not second.closed
    second.close()
    harness.node.clock.settle()
    assert harness.node.core.counts["read"] == 1


def test_a_large_packet_without_its_body_leaves_its_slot_to_others() -> None:
    harness = UwsgiHarness()
    harness.connect().feed(large_packet(1))
    incomplete = harness.connect()
    block = large_packet(3)[4:] + write_packet({"CONTENT_LENGTH": "9"})[4:]
    incomplete.feed(b"\0" + len(block).to_bytes(2, "little") + b"\0" + block)
    harness.node.clock.settle()
    assert isinstance(incomplete.stream, UwsgiConnection)
    assert harness.frontend.connections.is_unproven(incomplete.stream)
    harness.node.clock.advance(2_100)
    assert incomplete.closed


def test_only_some_of_the_rejections_of_a_second_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a log that grows without end with unsound packets, each of which wrote a line.
    harness = UwsgiHarness()
    for number in range(50):
        harness.send({"X_CLASS": f"no-such-{number}"})
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == MAX_LINES_PER_SECOND
    assert all(line.startswith("request rejected: frontend=uwsgi status=400 reason=") for line in lines)


HALF_PACKET = write_packet(READ_VARIABLES | {"CONTENT_LENGTH": "100"}, b"x" * 50)


def test_a_connection_that_stalls_makes_room_for_the_packet_of_another() -> None:
    # Guards against a process that outgrows its memory with packets whose bodies do not come.
    harness = UwsgiHarness()
    harness.frontend.packet_memory.limit_bytes = 2 * (len(HALF_PACKET) + 50)
    stalled, slow = harness.connect(), harness.connect()
    stalled.feed(HALF_PACKET)
    slow.feed(HALF_PACKET)
    harness.node.clock.advance(150)
    slow.feed(b"x")
    new = harness.send(READ_VARIABLES | {"CONTENT_LENGTH": "100"}, b"x" * 100, step=50)
    assert stalled.closed and not slow.closed and harness.node.core.in_flight == 1
    slow.feed(b"x" * 49)
    harness.node.clock.settle()
    assert harness.node.core.in_flight == 2
    for number in (1, 2):
        harness.end_run(number=number)
    assert status(new) == status(slow) == 200
    assert harness.frontend.packet_memory.reserved_bytes == 0


def test_a_packet_for_which_there_is_no_memory_gets_503_before_it_is_read() -> None:
    harness = UwsgiHarness()
    harness.frontend.packet_memory.limit_bytes = len(HALF_PACKET)
    connection = harness.connect()
    connection.feed(HALF_PACKET)
    assert b"Retry-After: 1\r\n" in bytes(connection.written) and status(connection) == 503
    harness.node.clock.settle()
    assert harness.node.core.counts["read"] == 0 and harness.frontend.packet_memory.reserved_bytes == 0


def exceed_packet_memory(harness: UwsgiHarness) -> FakeTransport:
    """Feed half a packet for which there is no memory, later than a stalled connection may be closed for it."""
    harness.frontend.packet_memory.limit_bytes = harness.frontend.packet_memory.reserved_bytes
    harness.node.clock.time += 150 * MILLISECOND
    connection = harness.connect()
    connection.feed(HALF_PACKET)
    return connection


def test_a_packet_that_waits_for_its_scan_is_not_closed_for_the_memory_of_another() -> None:
    # Guards against a request that has been received whole and is reset.
    harness = UwsgiHarness()
    scanned, waiting = harness.connect(), harness.connect()
    scanned.feed(large_packet(1))
    waiting.feed(large_packet(2))
    assert status(exceed_packet_memory(harness)) == 503 and not waiting.closed
    harness.node.clock.settle()
    assert harness.node.core.counts["read"] == 2


def test_a_connection_with_unread_input_is_not_closed_for_the_memory_of_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a request whose rest has arrived while the loop is late, and is reset.
    harness = UwsgiHarness()
    unread = harness.connect()
    unread.feed(HALF_PACKET)
    monkeypatch.setattr(unread.stream, "has_unread_input", lambda: True)
    assert status(exceed_packet_memory(harness)) == 503 and not unread.closed
    unread.feed(b"x" * 50)
    harness.node.clock.settle()
    assert harness.node.core.counts["read"] == 1
