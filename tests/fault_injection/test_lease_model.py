"""The model checker on the lease model, called as a function and as a command."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from click.testing import CliRunner, Result

from marlstep.cli.explore import explore
from marlstep.fault_injection.lease_model import STARTS, walk
from marlstep.fault_injection.mutations import Mutation


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_order_of_the_first_steps_violates_an_invariant(start: str) -> None:
    default_bounds = STARTS[start][1]
    result = walk(
        start, Mutation(), replace(default_bounds, depth=4 if start != "divergent" else 9), seconds=60
    )
    assert result.complete and not result.broken and result.states > 50


@pytest.fixture(scope="module")
def violating_search() -> Result:
    """Return the result of the command with commits of old terms allowed; the search is slow, so it runs only once."""
    arguments = ["leases", "--start", "divergent", "--broken", "old-term-commit", "--seconds", "120"]
    return CliRunner().invoke(explore, arguments)


def test_the_search_finds_a_commit_of_an_entry_from_an_old_term(violating_search: Result) -> None:
    """Figure 8 of the Raft paper, a sequence that random drills hardly ever reach."""
    _, _, reason, *steps = violating_search.output.splitlines()
    assert "without committed entry" in reason or "differs" in reason
    assert all(step.startswith("      ") for step in steps)
    assert 8 <= len(steps) <= STARTS["divergent"][1].depth


def test_the_command_prints_the_steps_of_a_violation(violating_search: Result) -> None:
    assert violating_search.exit_code == 1 and "hears RequestVote" in violating_search.output
    incomplete_search = CliRunner().invoke(
        explore, ["leases", "--start", "fresh", "--seconds", "0.2", "--json"]
    )
    assert (
        incomplete_search.exit_code == 2 and json.loads(incomplete_search.output)["verdict"] == "not complete"
    )
