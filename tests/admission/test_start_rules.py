"""Tests of the conditions for starting or resuming a request."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.admission.entry import State
from marlstep.admission.settings import ClassSettings
from marlstep.admission.start_rules import (
    MAX_CONCURRENCY_FRACTION,
    has_idle_core,
    is_eligible,
    max_active_runs,
)
from marlstep.admission.timing import NEVER
from tests.admission.entries import queued_entry
from tests.support.helpers import AT_MOST_ONCE, KEYED, LOW, START


def test_the_maximum_of_active_runs_is_below_the_survivable_concurrency() -> None:
    assert max_active_runs(20.0) == MAX_CONCURRENCY_FRACTION * 20.0


def test_a_core_is_idle_while_fewer_requests_run_than_there_are_cores() -> None:
    assert has_idle_core(1, cores=2)
    assert not has_idle_core(2, cores=2)


def test_one_run_is_always_allowed_even_with_a_tiny_portion_of_the_server() -> None:
    assert max_active_runs(0.001) == 1.0


@pytest.mark.parametrize(
    ("request_class", "changes", "eligible"),
    [
        (LOW, {}, True),
        (LOW, {"has_run": True}, True),
        (AT_MOST_ONCE, {}, True),
        (AT_MOST_ONCE, {"has_run": True}, False),
        (AT_MOST_ONCE, {"has_run": True, "state": State.PAUSED}, True),
        (KEYED, {}, False),
        (KEYED, {"key_kept_until": START + 1}, True),
        (KEYED, {"key_kept_until": START + 1, "has_run": True}, False),
        (KEYED, {"has_run": True, "state": State.PAUSED}, True),
    ],
)
def test_a_request_runs_if_its_key_is_kept_and_no_effect_is_repeated(
    request_class: ClassSettings, changes: dict[str, Any], eligible: bool
) -> None:
    assert is_eligible(queued_entry(request_class, **changes), NEVER) is eligible


@pytest.mark.parametrize("state", [State.QUEUED, State.PAUSED])
def test_a_request_that_arrived_after_the_grace_period_of_a_drain_does_not_run(state: State) -> None:
    assert is_eligible(queued_entry(state=state), START)
    assert not is_eligible(queued_entry(state=state), START - 1)
