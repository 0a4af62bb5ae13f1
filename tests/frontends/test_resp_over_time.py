"""The RESP frontend over many requests: bounded tables, and a shutdown under load."""

from __future__ import annotations

from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SECOND
from tests.frontends.support import RespHarness, exec_frame, instant_ms

REQUEST_CLASSES = (b"temp-history", b"schedule-save", b"setpoint-cmd")


def test_tables_do_not_grow_with_the_requests_callers_and_connections_seen() -> None:
    # Guards against memory leaks: tables and timers that keep an entry for every request served.
    harness = RespHarness(limit=40)
    core, sizes = harness.node.core, []
    for number in range(1, 1_201):
        connection = harness.connect()
        fields = b"at=%d,from=%d,kb=1" % (instant_ms(harness), number)
        harness.feed(connection, exec_frame(number, request_class=REQUEST_CLASSES[number % 3], fields=fields))
        harness.node.clock.advance(20)
        if number % 5:
            harness.end_run(number)
        else:
            connection.close()  # while its request runs
            harness.node.clock.settle()
            harness.end_run(number)
        controller_state = core._controller.state
        sizes.append(
            len(core._requests._handles) + len(core.idempotency_keys) + len(harness.node.clock.timeline._heap)
            + core.in_flight
            + len(controller_state.entries.by_id) + len(controller_state.callers.last_seen)
            + len(controller_state.wakeups)
            + harness.frontend.connections.idle_count + harness.frontend.connections.unproven_count
            + len(harness.frontend.connections)
        )  # fmt: skip
    assert max(sizes[900:]) <= max(sizes[:900]) * 1.1 and max(sizes) < 2_000
    assert core.counts["read"] == 1_200 and core.in_flight == 0


def test_a_shutdown_under_load_sends_one_response_per_request_and_runs_no_late_arrival() -> None:
    harness = RespHarness(cores=2, limit=40)
    connections = [harness.connect() for _ in range(10)]

    def send(tag: int) -> None:
        fields = b"at=%d,from=4,kb=1" % instant_ms(harness)
        harness.feed(
            connections[tag % 10], exec_frame(tag, request_class=REQUEST_CLASSES[tag % 3], fields=fields)
        )

    for tag in range(1, 101):
        send(tag)
    harness.node.core.drain(harness.node.clock.now() + 3.2 * SECOND)
    harness.node.clock.advance(2_400)
    send(101)
    harness.node.clock.advance(101)
    started_count = len([id for event, id in harness.node.backend.commands if event == "start"])
    for tag in range(102, 120):
        send(tag)
    harness.node.clock.advance(600)
    started = [int(id, 16) for event, id in harness.node.backend.commands if event == "start"]
    assert all(tag <= 101 for tag in started) and len(started) >= started_count
    assert harness.node.core.unanswered == 0
    sent = b"".join(bytes(connection.written) for connection in connections)
    for tag in range(1, 120):
        words = (b"done", b"later", b"error")
        assert (
            sum(
                sent.count(b"$%d\r\n%d\r\n$%d\r\n%b" % (len(b"%d" % tag), tag, len(word), word))
                for word in words
            )
            == 1
        )
    assert write_frame(b"0", b"closing") in sent
