"""In which order blocks of variables are scanned, and how many bytes of them in an iteration of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from marlstep.frontends.scan_turns import MAX_SCANNED_BYTES, ScanTurns


class Scanner:
    """Scans blocks when it is their turn, in iterations of an event loop that the test begins."""

    def __init__(self) -> None:
        self.turns = ScanTurns(self._run_soon)
        self.scanned: list[str] = []
        self._next_iteration: list[Callable[[], None]] = []

    def _run_soon(self, callback: Callable[[], None]) -> None:
        self._next_iteration.append(callback)

    def scan(self, name: str, size: int) -> None:
        if self.turns.take(size):
            self.turns.leave(name)
            self.scanned.append(name)
        else:
            self.turns.wait(name, partial(self.scan, name, size))

    def run_iteration(self) -> str:
        """Run the next iteration; return the names that were scanned in it."""
        callbacks, self._next_iteration = self._next_iteration, []
        before = len(self.scanned)
        for callback in callbacks:
            callback()
        return "".join(self.scanned[before:])


def test_each_iteration_scans_a_number_of_bytes_in_the_order_of_arrival() -> None:
    # Guards against all other clients waiting while the blocks of hundreds of connections are scanned.
    scanner = Scanner()
    for name in "abcdefgh":
        scanner.scan(name, MAX_SCANNED_BYTES // 3)
    assert "".join(scanner.scanned) == "abc"
    scanner.turns.leave("e")
    assert [scanner.run_iteration() for _ in range(3)] == ["dfg", "h", ""]


def test_a_block_over_the_limit_is_scanned_alone() -> None:
    scanner = Scanner()
    for name in "abc":
        scanner.scan(name, 2 * MAX_SCANNED_BYTES)
    assert "".join(scanner.scanned) == "a"
    assert [scanner.run_iteration() for _ in range(3)] == ["b", "c", ""]


def test_one_that_waits_keeps_its_place_before_later_ones_of_any_size() -> None:
    scanner = Scanner()
    scanner.scan("a", MAX_SCANNED_BYTES)
    for name, size in (("b", MAX_SCANNED_BYTES), ("c", 1), ("b", MAX_SCANNED_BYTES), ("d", 1)):
        scanner.scan(name, size)
    assert scanner.turns.is_waiting("b")
    assert [scanner.run_iteration() for _ in range(3)] == ["b", "cd", ""]
    assert not scanner.turns.is_waiting("b")


def test_a_new_block_does_not_take_the_turn_of_one_that_waits() -> None:
    scanner = Scanner()
    scanner.scan("a", MAX_SCANNED_BYTES - 1)
    scanner.scan("b", MAX_SCANNED_BYTES)
    scanner.scan("c", 1)
    assert "".join(scanner.scanned) == "a"
    assert [scanner.run_iteration() for _ in range(2)] == ["b", "c"]
