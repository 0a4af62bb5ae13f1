"""The kernel link: notices once each, commands again after a break, and nothing that wedges it."""

import dataclasses

import pytest

from marlstep.admission.events import Outcome
from marlstep.core.interfaces import Request
from marlstep.platform.kernel import Kernel
from marlstep.units import MILLISECOND
from tests.support.node import Desk, HandClock, HandDial, Notes, Wire

OLD, NEW = ("127.0.0.1", 1), ("127.0.0.1", 2)


class Rig:
    def __init__(self) -> None:
        self.clock, self.notes, self.dial = HandClock(), Notes(), HandDial()
        self.kernel = Kernel(OLD, ("cpu", "runq"), self.clock.timeline, lambda: self.notes, self.dial)
        self.kernel.open()

    def connect(self) -> Wire:
        return self.dial.accept()


def test_the_milliseconds_of_a_notice_may_be_a_fraction() -> None:
    # Guards against the wedge of the first calm day: `REAP ... 25.382 ...` was taken for a fault, and
    # the link was dropped before the notice counted as read, and each new link began with it again.
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 12.5\r\nREAP 1 9b1f03aa5c7e2d41 complete 25.382 2\r\nok\r\n")
    assert rig.notes.told == [("ended", "9b1f03aa5c7e2d41", Outcome.OK, 25.382 * MILLISECOND, b"ok")]
    assert not wire.closed


def one(id: str) -> Request:
    desk = Desk()
    desk.submit(1)
    [request] = desk.core._requests
    request.inbound = dataclasses.replace(request.inbound, id=id)
    return request


def sched(rig: Rig, id: str) -> None:
    rig.kernel.start(one(id))


def test_commands_given_while_there_is_no_link_go_out_when_it_is_in_step() -> None:
    rig = Rig()
    sched(rig, "a")
    wire = rig.connect()
    assert wire.take() == b"OPEN 0\r\n"
    wire.feed(b"BOOTED hot 1\r\n")
    assert wire.take() == b"SYSINFO sync\r\n"
    wire.feed(b"INFO sync 0.5 1\r\n")
    assert wire.take() == b"SCHED a temp-history 4\r\nbody\r\n"


def test_after_a_break_only_what_no_notice_speaks_of_is_sent_again() -> None:
    # Guards against a setpoint that ended while the link was down being started once more.
    rig = Rig()
    first = rig.connect()
    first.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    sched(rig, "a")
    sched(rig, "b")
    first.close()
    rig.clock.advance(10)
    second = rig.connect()
    assert second.take() == b"OPEN 0\r\n"
    second.feed(b"BOOTED hot 1\r\nREAP 1 a complete 1 0\r\n\r\nINFO sync 0 0\r\n")
    assert b"SCHED a" not in second.written and b"SCHED b" in second.written
    second.feed(b"REAP 1 a complete 1 0\r\n\r\n")
    assert [one for one in rig.notes.told if one[0] == "ended"] == [
        ("ended", "a", Outcome.OK, MILLISECOND, b""),
    ]


@pytest.mark.parametrize(
    ("command", "outcome"),
    [("SCHED", Outcome.NOT_STARTED), ("PREEMPT", None), ("SYSINFO", None), ("RESCHED", None)],
)
def test_a_command_that_was_not_carried_out_ends_the_run_that_hangs_on_it(
    command: str, outcome: Outcome | None
) -> None:
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    sched(rig, "a")
    wire.feed(f"EINVAL {command} a\r\n".encode())
    ends = [one[2] for one in rig.notes.told if one[0] == "ended"]
    assert ends == ([outcome] if outcome else []) and not wire.closed


@pytest.mark.parametrize("bad", [b"REAP 1 a complete\r\n", b"REAP 1 a complete 1 2\r\nlong\r\n", b"x" * 9000])
def test_broken_framing_ends_the_link_and_no_more(bad: bytes) -> None:
    rig = Rig()
    wire = rig.connect()
    wire.feed(bad)
    assert wire.closed and not rig.notes.told


def test_after_a_break_the_link_is_made_again_at_once_and_a_refused_one_is_tried_again_later() -> None:
    # Guards against runs whose ends wait, and cores that stand still, for longer than the break itself.
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    wire.close()
    assert len(rig.dial.waiting) == 1
    rig.dial.refuse()
    assert not rig.dial.waiting
    rig.clock.advance(21)
    assert len(rig.dial.waiting) == 1


def test_a_link_that_breaks_inside_a_notice_takes_it_up_again_whole() -> None:
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nREAP 1 a complete 1 0\r\n\r\nREAP 2 b complete 1 4\r\nre")
    wire.close()
    again = rig.connect()
    assert again.take() == b"OPEN 1\r\n"
    again.feed(b"BOOTED hot 1\r\nREAP 2 b complete 1 4\r\nrest\r\nINFO sync 0 0\r\n")
    assert [one[1:] for one in rig.notes.told if one[0] == "ended"] == [
        ("a", Outcome.OK, MILLISECOND, b""),
        ("b", Outcome.OK, MILLISECOND, b"rest"),
    ]


def test_a_new_address_gets_a_new_link_with_the_same_numbers_and_what_may_be_lost_again() -> None:
    rig = Rig()
    old = rig.connect()
    old.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\nREAP 1 z complete 1 0\r\n\r\n")
    rig.kernel.change_address(NEW)
    sched(rig, "a")
    assert b"SCHED a" in old.written and not old.closed  # it serves until the new one stands
    rig.kernel.change_address(OLD)
    rig.kernel.change_address(NEW)
    [(_, address, _)] = rig.dial.waiting
    assert address == NEW
    new = rig.connect()
    assert old.closed and new.take() == b"OPEN 1\r\n"
    new.feed(b"BOOTED hot 9\r\nINFO sync 0 0\r\n")
    assert b"SCHED a" in new.written and not rig.dial.waiting


def test_a_notice_that_is_missing_is_asked_for_on_a_new_link_but_not_for_ever() -> None:
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nREAP 1 a complete 1 0\r\n\r\nREAP 3 c complete 1 0\r\n\r\n")
    assert wire.closed
    again = rig.connect()
    assert again.take() == b"OPEN 1\r\n"
    again.feed(b"BOOTED hot 1\r\nREAP 3 c complete 1 0\r\n\r\n")
    assert not again.closed and [one[1] for one in rig.notes.told] == ["a", "c"]


# What is sent again after a break.


def linked() -> tuple[Rig, Wire]:
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    wire.take()
    return rig, wire


def again(rig: Rig, wire: Wire) -> bytes:
    """The link breaks, and a new one comes into step: what is written then."""
    wire.close()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    return wire.take().replace(b"OPEN 0\r\nSYSINFO sync\r\n", b"")


def test_what_the_kernel_has_read_before_it_told_its_gauges_is_not_sent_again() -> None:
    # Guards against a run that goes on and is started anew just as it ends, and against the reply to one call that is
    # taken for the reply to the next: both lie between the last notice of a new link and the command on its way.
    rig, wire = linked()
    rig.kernel.start(one("a"))
    rig.kernel.supply(one("b"), b"rows")
    rig.kernel.request_gauges()
    rig.kernel.start(one("c"))  # behind the question: it may not have been read
    wire.feed(b"INFO g1 0 0\r\n")
    assert again(rig, wire) == b"SCHED c temp-history 4\r\nbody\r\n"


def test_gauges_that_were_asked_for_on_a_link_that_broke_say_nothing_of_the_next() -> None:
    rig, wire = linked()
    rig.kernel.start(one("a"))
    rig.kernel.request_gauges()
    wire.close()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\nINFO g1 0 0\r\n")
    assert again(rig, wire) == b"SCHED a temp-history 4\r\nbody\r\n"


def test_of_two_commands_that_read_alike_the_one_that_was_read_is_forgotten() -> None:
    # Guards against a run that stays paused: the older RESCHED was read, the newer one lost with the link.
    rig, wire = linked()
    request = one("a")
    rig.kernel.resume(request)
    rig.kernel.request_gauges()
    wire.feed(b"REAP 1 a cancelled 1 0\r\n\r\n")  # paused once more
    rig.kernel.resume(request)
    wire.feed(b"INFO g1 0 0\r\n")
    wire.close()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 1\r\nINFO sync 0 0\r\n")
    assert wire.take().endswith(b"RESCHED a\r\n")


def test_a_second_question_waits_for_the_first_so_that_a_slow_kernel_confirms_at_all() -> None:
    rig, wire = linked()
    rig.kernel.start(one("a"))
    for _ in range(100):
        rig.kernel.request_gauges()
    wire.feed(b"INFO g1 0 0\r\n")
    assert again(rig, wire) == b""
