"""In which order blocks of variables are scanned, and how many bytes of them in an iteration of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from marlstep.frontends.scan_scheduler import MAX_SCANNED_BYTES, ScanScheduler


class Scanner:
    """Scans blocks when they are admitted, in iterations of an event loop that the test begins."""

    def __init__(self) -> None:
        self.scans = ScanScheduler(self._run_soon)
        self.scanned: list[str] = []
        self._next_iteration: list[Callable[[], None]] = []

    def _run_soon(self, callback: Callable[[], None]) -> None:
        self._next_iteration.append(callback)

    def scan(self, name: str, size: int) -> None:
        if self.scans.admit(size):
            self.scans.remove(name)
            self.scanned.append(name)
        else:
            self.scans.enqueue(name, partial(self.scan, name, size))

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
    scanner.scans.remove("e")
    assert [scanner.run_iteration() for _ in range(3)] == ["dfg", "h", ""]


def test_a_block_over_the_limit_is_scanned_alone() -> None:
    scanner = Scanner()
    for name in "abc":
        scanner.scan(name, 2 * MAX_SCANNED_BYTES)
    assert "".join(scanner.scanned) == "a"
    assert [scanner.run_iteration() for _ in range(3)] == ["b", "c", ""]


def test_a_queued_block_keeps_its_place_before_later_ones_of_any_size() -> None:
    scanner = Scanner()
    scanner.scan("a", MAX_SCANNED_BYTES)
    for name, size in (("b", MAX_SCANNED_BYTES), ("c", 1), ("b", MAX_SCANNED_BYTES), ("d", 1)):
        scanner.scan(name, size)
    assert scanner.scans.is_queued("b")
    assert [scanner.run_iteration() for _ in range(3)] == ["b", "cd", ""]
    assert not scanner.scans.is_queued("b")


def test_a_new_block_is_not_scanned_before_a_queued_one() -> None:
    scanner = Scanner()
    scanner.scan("a", MAX_SCANNED_BYTES - 1)
    scanner.scan("b", MAX_SCANNED_BYTES)
    scanner.scan("c", 1)
    assert "".join(scanner.scanned) == "a"
    assert [scanner.run_iteration() for _ in range(2)] == ["b", "c"]
