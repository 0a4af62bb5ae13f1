"""The RESP frontend over many requests: bounded tables, and a shutdown under load."""

from __future__ import annotations

from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SECOND
from tests.frontends.support import RespHarness, exec_frame, instant_ms

KINDS = (b"temp-history", b"schedule-save", b"setpoint-cmd")


def test_no_table_grows_with_request_ids_callers_and_connections_seen() -> None:
    # Guards against memory leaks: tables and timers that keep an entry for every request served.
    platform = RespHarness(limit=40)
    core, sizes = platform.desk.core, []
    for number in range(1, 1_201):
        wire = platform.connect()
        fields = b"at=%d,from=%d,kb=1" % (instant_ms(platform), number)
        platform.feed(wire, exec_frame(number, request_class=KINDS[number % 3], fields=fields))
        platform.desk.clock.advance(20)
        if number % 5:
            platform.end(number)
        else:
            wire.close()  # while its request runs
            platform.desk.clock.settle()
            platform.end(number)
        known = core._controller.state
        sizes.append(
            len(core._requests._handles) + len(core.idempotency_keys) + len(platform.desk.clock.timeline._heap)
            + core.in_flight
            + len(known.entries.by_id) + len(known.callers.last_seen) + len(known.wakeups)
            + platform.frontend.connections.idle_count + platform.frontend.connections.unproven_count
            + len(platform.frontend.connections)
        )  # fmt: skip
    assert max(sizes[900:]) <= max(sizes[:900]) * 1.1 and max(sizes) < 2_000
    assert core.counts["read"] == 1_200 and core.in_flight == 0


def test_a_shutdown_under_load_responds_once_each_and_runs_no_late_arrival() -> None:
    platform = RespHarness(cores=2, limit=40)
    wires = [platform.connect() for _ in range(10)]

    def send(tag: int) -> None:
        fields = b"at=%d,from=4,kb=1" % instant_ms(platform)
        platform.feed(wires[tag % 10], exec_frame(tag, request_class=KINDS[tag % 3], fields=fields))

    for tag in range(1, 101):
        send(tag)
    platform.desk.core.drain(platform.desk.clock.now() + 3.2 * SECOND)
    platform.desk.clock.advance(2_400)
    send(101)
    platform.desk.clock.advance(101)
    ran = len([id for what, id in platform.desk.backend.told if what == "start"])
    for tag in range(102, 120):
        send(tag)
    platform.desk.clock.advance(600)
    started = [int(id, 16) for what, id in platform.desk.backend.told if what == "start"]
    assert all(tag <= 101 for tag in started) and len(started) >= ran
    assert platform.desk.core.unanswered == 0
    said = b"".join(bytes(wire.written) for wire in wires)
    for tag in range(1, 120):
        words = (b"done", b"later", b"error")
        assert (
            sum(
                said.count(b"$%d\r\n%d\r\n$%d\r\n%b" % (len(b"%d" % tag), tag, len(word), word))
                for word in words
            )
            == 1
        )
    assert write_frame(b"0", b"closing") in said
