"""How connections with much input share the time of an iteration of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial

from marlstep.frontends.time_slices import SHARED_TIME, TimeSlices
from tests.support.node import START


class Load:
    """Connections that each have a number of pieces of work, and an event loop whose iterations the test begins."""

    def __init__(self, piece: timedelta) -> None:
        self.slices = TimeSlices(self._get_now, self._run_soon)
        self.done: list[str] = []  # the connection of each piece, in the order in which they were done
        self._now, self._piece = START, piece
        self._next_iteration: list[Callable[[], None]] = []

    def _get_now(self) -> datetime:
        return self._now

    def _run_soon(self, callback: Callable[[], None]) -> None:
        self._next_iteration.append(callback)

    def work(self, name: str, pieces: int) -> None:
        """Do pieces of work until the shared time is used up, and queue the rest."""
        for left in range(pieces, 0, -1):
            if self.slices.is_used_up():
                self.slices.enqueue(name, partial(self.work, name, left))
                return
            self._now += self._piece
            self.done.append(name)

    def run_iteration(self) -> str:
        """Run the next iteration; return the connections whose pieces were done in it."""
        callbacks, self._next_iteration = self._next_iteration, []
        before = len(self.done)
        for callback in callbacks:
            callback()
        return "".join(self.done[before:])


def test_one_connection_has_the_shared_time_of_each_iteration() -> None:
    load = Load(SHARED_TIME / 4)
    load.work("a", 10)
    assert "".join(load.done) == "aaaa"
    assert [load.run_iteration() for _ in range(4)] == ["aaaa", "aa", "", ""]


def test_connections_that_wait_take_part_in_order_before_one_that_goes_on() -> None:
    # Guards against a client that sends without a pause and keeps the others from the shared time.
    load = Load(SHARED_TIME / 4)
    load.work("a", 100)
    for name in "bcd":
        load.work(name, 3)
    assert [load.run_iteration() for _ in range(5)] == ["aaaa", "bbbc", "ddda", "ccaa", "aaaa"]


def test_a_connection_that_has_left_is_not_resumed() -> None:
    load = Load(SHARED_TIME)
    for name in "abc":
        load.work(name, 2)
    load.slices.remove("b")
    assert [load.run_iteration() for _ in range(5)] == ["a", "c", "c", "", ""]
