"""The search of the model checker, with a counter as the model."""

from __future__ import annotations

from collections.abc import Iterator

from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.model_checker import Bounds, search_from


class CountingState:
    """A counter whose steps are to add one and to double it; reaching `forbidden` is a violation."""

    def __init__(self, value: int, forbidden: int) -> None:
        self.value, self.forbidden = value, forbidden
        self.doing = ""

    def key(self) -> int:
        return self.value

    def steps(self, bounds: Bounds) -> Iterator[tuple[str, CountingState]]:
        for step, value in (("add", self.value + 1), ("double", self.value * 2)):
            self.doing = step
            if value == self.forbidden:
                raise InvariantViolationError(f"reached {value}")
            yield step, CountingState(value, self.forbidden)


def bounds(depth: int) -> Bounds:
    return Bounds(depth=depth, term=0, wakes=0)


def test_a_search_within_its_bounds_is_complete_and_visits_each_state_once() -> None:
    result = search_from("one", CountingState(1, -1), bounds(2), seconds=60)
    assert result.complete and not result.broken
    assert (result.states, result.depth) == (4, 2)  # 1, 2, 3 and 4, although two steps lead to 2


def test_a_violation_is_returned_with_the_fewest_steps_that_lead_to_it() -> None:
    result = search_from("one", CountingState(1, 8), bounds(9), seconds=60)
    assert result.broken == "reached 8" and not result.complete
    assert result.trace == ("add", "double", "double")


def test_a_search_without_time_is_not_complete() -> None:
    result = search_from("one", CountingState(1, -1), bounds(9), seconds=0)
    assert not result.complete and not result.broken


def test_an_assertion_of_the_program_under_test_is_a_violation() -> None:
    class Failing(CountingState):
        def steps(self, bounds: Bounds) -> Iterator[tuple[str, CountingState]]:
            self.doing = "fail"
            yield from ()
            raise AssertionError

    result = search_from("one", Failing(1, -1), bounds(9), seconds=60)
    assert result.broken == "AssertionError()" and result.trace == ("fail",)
