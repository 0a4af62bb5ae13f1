"""Failure detectors on the simulated network: faults, mutations, and the drill's checks and exit codes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marlstep.cli.main import call
from marlstep.fault_injection.effects import Effect
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.membership_drill import LogRecord, forbidden_acts, wrongly_removed
from marlstep.fault_injection.mutations import MEMBERSHIP_MUTATIONS, Mutation
from marlstep.fault_injection.plan import Plan, PlanSettings, draw
from marlstep.fault_injection.simulated_detectors import RANDOM_FAULT_TYPES, run_members
from marlstep.membership.partition_state import PartitionState
from tests.membership.support import NODES


@pytest.mark.parametrize("seed", range(30, 36))
def test_all_views_converge_after_random_faults(seed: int) -> None:
    plan = draw(
        seed, PlanSettings(nodes=12, length_ms=30_000, fault_types=RANDOM_FAULT_TYPES, mean_interval_ms=2_000)
    )
    cluster, violation = run_members(plan, loss=0.05)
    assert not violation and cluster.measured.datagrams > 500


def cuts_between(*groups: tuple[str, ...], at_ms: int = 5_000, duration_ms: int = 8_000) -> tuple[Fault, ...]:
    """Cut all links between the groups."""
    return tuple(
        Fault(at_ms, duration_ms, "cut", node, other)
        for number, group in enumerate(groups)
        for other_group in groups[number + 1 :]
        for node in group
        for other in other_group
    )


HARD_CASES = {
    "stopped for 1 s, 5 s, 30 s": (
        Fault(4_000, 1_000, "stop", "n1"),
        Fault(4_000, 5_000, "stop", "n5"),
        Fault(4_000, 30_000, "stop", "n9"),
    ),
    "three sides": cuts_between(NODES[:4], NODES[4:8], NODES[8:]),
    "a bridge that alone sees both sides": cuts_between(NODES[:6], NODES[7:]),
    "heard by nobody": (Fault(5_000, 9_000, "mute", "n5"),),
    "hears nobody": (Fault(5_000, 9_000, "deaf", "n5"),),
    "one way to each": tuple(Fault(5_000, 9_000, "one way", "n5", other) for other in NODES if other != "n5")[
        :6
    ],
    "60% replaced within 7 s": tuple(
        Fault(5_000 + number * 1_000, 1_500, "kill", name) for number, name in enumerate(NODES[:7])
    ),
    "a zone lost, and back cold": tuple(Fault(5_000, 6_000, "kill", name) for name in NODES[::3]),
}


@pytest.mark.parametrize("name", HARD_CASES)
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_views_converge_after_a_hard_fault_case(name: str, loss: float) -> None:
    last_ms = max(fault.at_ms + fault.for_ms for fault in HARD_CASES[name])
    length_ms = last_ms + (12_000 if not loss else 30_000)
    cluster, violation = run_members(
        Plan(5, NODES, NODES[:3], length_ms, (1.0,) * 12, HARD_CASES[name]), loss=loss
    )
    if not loss:
        assert not violation and not (name == "one way to each" and cluster.measured.false_failures)
    else:  # with 30% loss some node is suspected at almost any time, but failures are rarely declared
        minutes = length_ms / 60_000
        assert cluster.measured.false_failures / len(NODES) / minutes < 12


def test_slow_nodes_cause_no_false_failures() -> None:
    plan = Plan(7, NODES, NODES[:3], 60_000, (1.0,) * 12, ())
    # The event loops of a quarter of the nodes are often late, by up to a second.
    cluster, violation = run_members(plan, loss=0.01, slow=0.25)
    assert not violation and not cluster.measured.false_failures
    assert sum(node.detector.counts["late"] for node in cluster.nodes.values()) > 10


@pytest.mark.parametrize(("name", "seed"), [("incarnation-not-raised", 3), ("old-boot-taken", 0)])
def test_the_simulation_detects_a_mutation_of_the_detector(name: str, seed: int) -> None:
    plan = draw(
        seed, PlanSettings(nodes=12, length_ms=40_000, fault_types=RANDOM_FAULT_TYPES, mean_interval_ms=2_500)
    )
    assert run_members(plan, MEMBERSHIP_MUTATIONS[name])[1] and not run_members(plan, Mutation())[1]


def test_without_faults_nobody_is_suspected_and_load_per_node_is_constant() -> None:
    rates = []
    for nodes in (10, 60):
        names = tuple(f"n{number}" for number in range(nodes))
        cluster, violation = run_members(Plan(1, names, names[:3], 20_000, (1.0,) * nodes, ()), loss=0.0)
        assert not violation and not cluster.measured.false_suspicions
        rates.append(cluster.measured.datagrams / nodes)
    assert rates[1] < 1.2 * rates[0]


def test_the_checkers_find_a_wrong_removal_and_a_forbidden_effect() -> None:
    records = {
        LogRecord(10, "n1", "remove n2"),
        LogRecord(10, "n1", "remove n3"),
        LogRecord(5, "n4", f"situation is {PartitionState.ISOLATED.value}"),
    }
    assert wrongly_removed(records, {"n2": [(5, 20)], "n3": [(11, 20)]}) == ["n3 at 10 by n1"]
    late_act = Effect("t", "n4/x", 1, 1, 2_000_000, 2_100_000, True)
    assert len(forbidden_acts(records, [late_act])) == 1
    assert not forbidden_acts(records, [replace(late_act, began_us=400_000), replace(late_act, node="n5/x")])


def test_the_members_drill_has_the_exit_codes_of_the_other_drills() -> None:
    arguments = ["drill", "members", "--nodes", "9", "--for", "20s", "--jobs", "1", "--json"]
    assert call([*arguments, "--virtual", "--loss", "0.2", "--slow", "0.2", "--seeds", "2"]) == 0
    assert call([*arguments, "--virtual", "--calm", "--trusting"]) == 0
    faulty = ["drill", "members", "--nodes", "12", "--for", "40s", "--virtual", "--seed", "0"]
    assert call([*faulty, "--broken", "old-boot-taken"]) == 1 and call(faulty) == 0
    assert call([*arguments, "--virtual", "--broken", "acts-in-any-situation"]) == 2
    # This mutation exists only on the simulated network.
    assert call(["drill", "leases", "--broken", "vote-not-synced"]) == 2
