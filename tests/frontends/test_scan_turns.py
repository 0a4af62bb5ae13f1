"""In which order large blocks of variables are scanned."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from marlstep.frontends.scan_turns import LARGE_BLOCK_BYTES, ScanTurns


class Iterations:
    """Runs callbacks in the next iteration of an event loop."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[[], None]] = []

    def run_soon(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def run_next(self) -> None:
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


def test_one_large_block_is_scanned_in_an_iteration_and_the_others_in_order() -> None:
    # Guards against all other clients waiting while the blocks of hundreds of connections are scanned.
    iterations, scanned = Iterations(), list[int]()
    turns = ScanTurns(iterations.run_soon)

    def scan(number: int) -> None:
        if turns.take(LARGE_BLOCK_BYTES):
            scanned.append(number)
        else:
            turns.wait(number, partial(scan, number))

    for number in range(5):
        scan(number)
    turns.leave(2)
    counts = [len(scanned)]
    while iterations.callbacks:
        iterations.run_next()
        counts.append(len(scanned))
    assert scanned == [0, 1, 3, 4] and counts == [1, 2, 3, 4, 4]
    assert turns.take(LARGE_BLOCK_BYTES)


def test_a_small_block_is_scanned_at_once() -> None:
    turns = ScanTurns(lambda _callback: None)
    assert turns.take(LARGE_BLOCK_BYTES) and not turns.take(LARGE_BLOCK_BYTES)
    assert turns.take(LARGE_BLOCK_BYTES - 1)


def test_one_that_waits_keeps_its_place() -> None:
    iterations, resumed = Iterations(), list[str]()
    turns = ScanTurns(iterations.run_soon)
    turns.take(LARGE_BLOCK_BYTES)
    for key in ("a", "b", "a"):
        turns.wait(key, partial(resumed.append, key))
    assert turns.is_waiting("a")
    iterations.run_next()
    assert resumed == ["a", "b"] and not turns.is_waiting("a")
