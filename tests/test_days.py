"""What the days in service ask for: small machines, long days, and releases while much is held."""

from __future__ import annotations

import pytest

from marlstep.config import ConfigError, check
from marlstep.frontends.resp_wire import write_frame
from marlstep.units import SECOND
from tests.frontends.support import RespHarness, exec_frame, instant_ms
from tests.support.node import raw_config

KINDS = (b"temp-history", b"schedule-save", b"setpoint-cmd")


@pytest.mark.parametrize("limits", [{"memory_mb": 1}, {"cores": 0}, {"cores": "half"}])
def test_limits_that_cannot_be_are_named(limits: dict[str, object]) -> None:
    with pytest.raises(ConfigError, match=r"limits\.(memory_mb|cores) must be"):
        check(raw_config(limits=limits))


def test_what_uwsgi_may_hold_fits_the_machine_too() -> None:
    # Guards against bodies and responses that are allowed more memory than a small machine has.
    second = {"listen": "127.0.0.1:0", "upstream": "127.0.0.1:1", "vars": {"class": "C"}}
    small = raw_config(limits={"memory_mb": 64})
    with pytest.raises(ConfigError, match=r"uwsgi\.max_connections .* 32 MiB, half of limits\.memory_mb"):
        check(small, {"uwsgi": second})
    assert check(small, {"uwsgi": {**second, "max_connections": 64}}).uwsgi is not None


def test_nothing_grows_with_ids_front_ends_and_connections_that_were_seen() -> None:
    # Guards against tables, deadlines or ledgers that keep something of every request on a long day.
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


def test_a_release_while_much_is_held_answers_each_once_and_runs_nothing_that_came_too_late() -> None:
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
