"""Runs on the simulated network: invariants hold, and every mutation is detected."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.mutations import LEASE_MUTATIONS, Mutation
from marlstep.fault_injection.plan import Plan, PlanSettings, draw
from marlstep.fault_injection.simulated_cluster import run, shrink


@pytest.mark.parametrize("seed", range(100, 108))
def test_no_invariant_is_violated_on_the_simulated_network(seed: int) -> None:
    cluster, violation = run(draw(seed, PlanSettings(nodes=5 + seed % 3, voters=3 + 2 * (seed % 2))))
    assert not violation and cluster.counts["runs"] > 10 and cluster.grants


def test_a_run_is_the_same_for_the_same_plan() -> None:
    plan = draw(7, PlanSettings(length_ms=12_000))
    first, second = run(plan)[0], run(plan)[0]
    assert first.effects == second.effects and first.counts == second.counts


# For each mutation a seed whose plan detects it, from `make drill-breakages`.
DETECTING_SEEDS = {
    "any-vote": 1, "counted-from-answer": 4, "no-drift-margin": 3, "no-fence": 229, "no-wait-at-election": 16,
    "renewal-unconfirmed": 8, "store-copy-trusted": 8, "token-reused": 0, "vote-not-synced": 48,
}  # fmt: skip


@pytest.mark.parametrize("name", sorted(DETECTING_SEEDS))
def test_each_mutation_is_detected_by_a_plan_that_the_unchanged_code_passes(name: str) -> None:
    mutation = LEASE_MUTATIONS[name]
    plan = draw(DETECTING_SEEDS[name], mutation.shape)
    assert run(plan, mutation)[1]
    unchanged = replace(
        Mutation(), loss=mutation.loss, delay_us=mutation.delay_us, stuck_share=mutation.stuck_share
    )
    assert not run(plan, unchanged)[1]


def test_a_plan_is_shrunk_to_faults_that_still_violate_an_invariant() -> None:
    mutation = LEASE_MUTATIONS["no-drift-margin"]
    plan = draw(DETECTING_SEEDS["no-drift-margin"], mutation.shape)
    shrunk = shrink(plan, mutation, tries=25)
    assert len(shrunk.faults) < len(plan.faults) and run(shrunk, mutation)[1]


def test_a_fault_of_a_role_is_injected_at_the_node_that_has_it() -> None:
    base = draw(3, PlanSettings(length_ms=14_000))
    faults = (Fault(4_000, 3_000, "isolate", "@holder"), Fault(4_000, 2_000, "kill", "@leader"))
    cluster, violation = run(Plan(3, base.nodes, base.voters, 14_000, base.rates, faults))
    assert not violation and cluster.counts["isolate"] == 1 and cluster.counts["kills"] >= 1
