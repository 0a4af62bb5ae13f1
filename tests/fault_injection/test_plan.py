"""Plans: drawn from a seed, written to JSON and read."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.fault_injection.errors import InvalidPlanError
from marlstep.fault_injection.plan import PlanSettings, draw, read_plan


@given(st.integers(0, 10_000), st.sampled_from([3, 5, 12]))
def test_a_plan_is_determined_by_its_seed_and_unchanged_after_writing_and_reading(
    seed: int, nodes: int
) -> None:
    plan = draw(seed, PlanSettings(nodes=nodes))
    assert plan == draw(seed, PlanSettings(nodes=nodes)) == read_plan(json.loads(json.dumps(plan.write())))
    assert all(fault.at_ms + fault.for_ms <= plan.length_ms - 2_000 for fault in plan.faults)


@pytest.mark.parametrize(
    "spoilt",
    [{}, {"seed": 1}, [], {"faults": [{"kind": "flood", "node": "n1", "at_ms": 1, "for_ms": 1}]}],
)
def test_reading_json_that_is_not_a_plan_raises_invalid_plan_error(spoilt: object) -> None:
    valid = draw(1, PlanSettings()).write()
    with pytest.raises(InvalidPlanError):
        read_plan({**valid, **spoilt} if isinstance(spoilt, dict) and "faults" in spoilt else spoilt)
