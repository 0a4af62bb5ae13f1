"""Commands: applied at most once per client and number; malformed commands return an error."""

from __future__ import annotations

import pytest

from marlstep.consensus.state_machine import StateMachines
from tests.consensus.support import CounterMachine


def test_a_repeated_command_is_applied_once_also_after_a_snapshot() -> None:
    machines = StateMachines({"n": CounterMachine()})
    body = '{"m":"n","add":2,"by":"a/1","no":1}'
    assert machines.apply(body)[1] == {"value": 2} == machines.apply(body)[1]
    restored = StateMachines({"n": CounterMachine()})
    restored.restore(machines.snapshot())
    assert restored.apply(body)[1] == {"value": 2} and restored.snapshot() == machines.snapshot()
    assert restored.apply('{"m":"n","add":1,"by":"b/1","no":1}')[1] == {"value": 3}


@pytest.mark.parametrize(
    "body", ["", "[]", "7", '{"m":"x"}', '{"m":"n"}', '{"m":"n","add":"x","by":"a","no":1}']
)
def test_a_malformed_command_changes_nothing_and_results_in_an_error(body: str) -> None:
    counter = CounterMachine()
    assert "error" in StateMachines({"n": counter}).apply(body)[1] and counter.value == 0
