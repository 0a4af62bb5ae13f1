"""Replicated documents on the simulated network, and in the model checker with all orders of messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marlstep.fault_injection.document_model import STARTS, search_document_states
from marlstep.fault_injection.mutations import DOCUMENT_MUTATIONS, Mutation
from marlstep.fault_injection.plan import PlanSettings, draw
from marlstep.fault_injection.simulated_documents import run_rules


@pytest.mark.parametrize("seed", range(50, 54))
def test_nodes_do_not_contradict_each_other_on_the_simulated_network(seed: int) -> None:
    cluster, violation = run_rules(draw(seed, PlanSettings(length_ms=16_000)))
    assert not violation and sum(len(seen.acted) for seen in cluster.seen.values()) >= 4


# For each mutation a seed whose plan detects it.
DETECTING_SEEDS = {
    "acts-before-all-said-so": 0, "any-version": 3, "earlier-lives-count": 26, "part-given-at-once": 4,
    "rules-counted-from-answer": 1, "says-before-it-stops": 0, "stage-not-looked-at": 1, "version-from-disk": 3,
}  # fmt: skip


@pytest.mark.parametrize("name", sorted(DETECTING_SEEDS))
def test_the_simulated_drill_detects_each_mutation(name: str) -> None:
    mutation = DOCUMENT_MUTATIONS[name]
    plan = draw(DETECTING_SEEDS[name], mutation.shape)
    assert run_rules(plan, mutation)[1] and not run_rules(plan)[1]


@pytest.mark.parametrize("start", sorted(set(STARTS) - {"three"}))
def test_the_model_checker_finds_no_violation_in_any_order_of_messages(start: str) -> None:
    result = search_document_states(start, Mutation(), replace(STARTS[start][-1], depth=9), seconds=60)
    assert result.complete and not result.broken and result.states > 300


@pytest.mark.parametrize(
    ("start", "name", "crashes"),
    [
        ("strict", "says-before-it-stops", 0),
        ("strict", "acts-before-all-said-so", 1),
        ("lapsed", "acts-while-behind", 1),
    ],
)
def test_the_model_checker_detects_each_mutation(start: str, name: str, crashes: int) -> None:
    bounds = replace(STARTS[start][-1], crashes=crashes)
    result = search_document_states(start, DOCUMENT_MUTATIONS[name], bounds, seconds=60)
    assert "two act on different versions" in result.broken and result.trace
