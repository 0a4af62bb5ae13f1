"""Failure detectors on the simulated network: faults, mutations, and the drill's checkers and exit codes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marlstep.cli.main import call
from marlstep.drill.acts import Act
from marlstep.drill.broken import MEMBERS_BREAKAGES, Breakage
from marlstep.drill.members import Line, forbidden_acts, wrongly_removed
from marlstep.drill.plan import Fault, Plan, Shape, draw
from marlstep.drill.virtual_members import KINDS, run_members
from marlstep.membership.partition_state import (
    PartitionState,
)
from tests.membership.support import NODES


@pytest.mark.parametrize("seed", range(30, 36))
def test_all_hear_of_all_in_the_end_on_the_virtual_network(seed: int) -> None:
    plan = draw(seed, Shape(nodes=12, length_ms=30_000, kinds=KINDS, every_ms=2_000))
    world, why = run_members(plan, loss=0.05)
    assert not why and world.measured.datagrams > 500


def cuts(*groups: tuple[str, ...], at: int = 5_000, span: int = 8_000) -> tuple[Fault, ...]:
    """Nobody of one group hears anybody of another."""
    return tuple(
        Fault(at, span, "cut", one, other)
        for number, here in enumerate(groups)
        for there in groups[number + 1 :]
        for one in here
        for other in there
    )


HARD = {
    "stopped for 1 s, 5 s, 30 s": (
        Fault(4_000, 1_000, "stop", "n1"),
        Fault(4_000, 5_000, "stop", "n5"),
        Fault(4_000, 30_000, "stop", "n9"),
    ),
    "three sides": cuts(NODES[:4], NODES[4:8], NODES[8:]),
    "a bridge that alone sees both sides": cuts(NODES[:6], NODES[7:]),
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


@pytest.mark.parametrize("name", HARD)
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_hard_case_ends_with_all_hearing_of_all(name: str, loss: float) -> None:
    last = max(one.at_ms + one.for_ms for one in HARD[name])
    length = last + (12_000 if not loss else 30_000)
    world, why = run_members(Plan(5, NODES, NODES[:3], length, (1.0,) * 12, HARD[name]), loss=loss)
    if not loss:
        assert not why and not (name == "one way to each" and world.measured.false_failures)
    else:  # with a third of all datagrams lost somebody is suspected at any moment, and seldom taken for failed
        minutes = length / 60_000
        assert world.measured.false_failures / len(NODES) / minutes < 12


def test_a_slow_node_is_not_taken_for_dead_and_does_not_make_others_look_dead() -> None:
    plan = Plan(7, NODES, NODES[:3], 60_000, (1.0,) * 12, ())
    world, why = run_members(
        plan, loss=0.01, slow=0.25
    )  # a loop that is late by up to a second, again and again
    assert not why and not world.measured.false_failures
    assert sum(node.detector.counts["late"] for node in world.nodes.values()) > 10


@pytest.mark.parametrize(("name", "seed"), [("incarnation-not-raised", 3), ("old-boot-taken", 0)])
def test_a_deliberate_breakage_of_the_members_is_found(name: str, seed: int) -> None:
    plan = draw(seed, Shape(nodes=12, length_ms=40_000, kinds=KINDS, every_ms=2_500))
    assert run_members(plan, MEMBERS_BREAKAGES[name])[1] and not run_members(plan, Breakage())[1]


def test_without_faults_nobody_is_suspected_and_the_load_does_not_grow_with_the_fleet() -> None:
    rates = []
    for nodes in (10, 60):
        names = tuple(f"n{number}" for number in range(nodes))
        world, why = run_members(Plan(1, names, names[:3], 20_000, (1.0,) * nodes, ()), loss=0.0)
        assert not why and not world.measured.false_suspicions
        rates.append(world.measured.datagrams / nodes)
    assert rates[1] < 1.2 * rates[0]


def test_the_checkers_find_a_wrong_removal_and_an_act_that_is_forbidden() -> None:
    lines = {
        Line(10, "n1", "remove n2"),
        Line(10, "n1", "remove n3"),
        Line(5, "n4", f"situation is {PartitionState.ISOLATED.value}"),
    }
    assert wrongly_removed(lines, {"n2": [(5, 20)], "n3": [(11, 20)]}) == ["n3 at 10 by n1"]
    late = Act("t", "n4/x", 1, 1, 2_000_000, 2_100_000, True)
    assert len(forbidden_acts(lines, [late])) == 1
    assert not forbidden_acts(lines, [replace(late, began_us=400_000), replace(late, node="n5/x")])


def test_the_drill_of_members_exits_as_the_others_do() -> None:
    words = ["drill", "members", "--nodes", "9", "--for", "20s", "--jobs", "1", "--json"]
    assert call([*words, "--virtual", "--loss", "0.2", "--slow", "0.2", "--seeds", "2"]) == 0
    assert call([*words, "--virtual", "--calm", "--trusting"]) == 0
    bad = ["drill", "members", "--nodes", "12", "--for", "40s", "--virtual", "--seed", "0"]
    assert call([*bad, "--broken", "old-boot-taken"]) == 1 and call(bad) == 0
    assert call([*words, "--virtual", "--broken", "acts-in-any-situation"]) == 2
    assert call(["drill", "leases", "--broken", "vote-not-synced"]) == 2  # it is of the virtual network
