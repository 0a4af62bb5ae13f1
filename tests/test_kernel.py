"""The kernel link: notices once each, commands again after a break, and nothing that wedges it."""

from marlstep.kernel import Kernel, _Link
from marlstep.units import MILLISECOND
from petrelcart.interface import Outcome
from tests.node import HandClock, Notes, Wire


class Rig:
    def __init__(self) -> None:
        self.clock, self.notes = HandClock(), Notes()
        self.kernel = Kernel(("127.0.0.1", 1), ("cpu", "runq"), self.clock.timeline, lambda: self.notes)

    def connect(self) -> Wire:
        wire = Wire(_Link(self.kernel))
        return wire


def test_the_milliseconds_of_a_notice_may_be_a_fraction() -> None:
    # Guards against the wedge of the first calm day: `REAP ... 25.382 ...` was taken for a fault, and
    # the link was dropped before the notice counted as read, and each new link began with it again.
    rig = Rig()
    wire = rig.connect()
    wire.feed(b"BOOTED hot 12.5\r\nREAP 1 9b1f03aa5c7e2d41 complete 25.382 2\r\nok\r\n")
    assert rig.notes.told == [("ended", "9b1f03aa5c7e2d41", Outcome.OK, 25.382 * MILLISECOND, b"ok")]
    assert not wire.closed
