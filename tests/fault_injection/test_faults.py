"""Fault types: the cluster operations that each of them calls, and the nodes that it passes."""

from __future__ import annotations

from unittest.mock import MagicMock, create_autospec

import pytest

from marlstep.fault_injection.faults import FAULT_TYPES, Fault, FaultTarget
from marlstep.fault_injection.plan import Plan, PlanSettings, draw
from marlstep.fault_injection.simulated_cluster import SimulatedCluster, run
from marlstep.fault_injection.simulated_detectors import SimulatedDetectorCluster

NODES = ("n1", "n2", "n3", "n4")
SECOND_US = 1_000_000
RESTART_DELAY_US = 7


QUERIES = ("node_names", "nodes_split_along", "draw_restart_delay_us")


def recording_cluster() -> MagicMock:
    """Return a cluster that records its operations; a split keeps n1 and n4 on the same side."""
    cluster: MagicMock = create_autospec(FaultTarget, instance=True)
    cluster.node_names.return_value = NODES
    cluster.nodes_split_along.side_effect = lambda node: {"n1", "n4"} if node in ("n1", "n4") else {node}
    cluster.draw_restart_delay_us.return_value = RESTART_DELAY_US
    return cluster


def inject(name: str, node: str = "n1", other: str = "", step: str = "") -> list[tuple[object, ...]]:
    """Inject a fault of one second into a recording cluster and return the recorded operations."""
    cluster = recording_cluster()
    FAULT_TYPES[name].inject(Fault(0, 1_000, name, node, other, step), cluster)
    return [(call[0], *call.args) for call in cluster.mock_calls if call[0] not in QUERIES]


@pytest.mark.parametrize(
    ("name", "operation"),
    [
        ("kill", "kill"), ("wipe", "wipe_store"), ("old store", "restore_old_store"), ("stop", "pause"),
        ("slow disk", "slow_disk"), ("full disk", "fill_disk"), ("drain", "drain"), ("jump", "jump_clock"),
    ],
)  # fmt: skip
def test_a_fault_of_a_node_passes_its_duration_in_microseconds(name: str, operation: str) -> None:
    assert inject(name) == [(operation, "n1", SECOND_US)]


@pytest.mark.parametrize(
    ("name", "operation"),
    [
        ("one way", "drop_messages"), ("slow", "delay_messages"), ("trickle", "trickle_messages"),
        ("repeat", "duplicate_messages"),
    ],
)  # fmt: skip
def test_a_fault_of_a_link_affects_one_direction(name: str, operation: str) -> None:
    assert inject(name, other="n2") == [(operation, "n1", "n2", SECOND_US)]


def test_a_cut_affects_both_directions() -> None:
    both = [("drop_messages", "n1", "n2", SECOND_US), ("drop_messages", "n2", "n1", SECOND_US)]
    assert inject("cut", other="n2") == both


def test_faults_without_a_duration_pass_none() -> None:
    assert inject("reset", other="n2") == [("reset_connection", "n1", "n2")]
    assert inject("upgrade") == [("upgrade", "n1")]
    assert inject("reload") == [("reload_configuration", "n1")]


def test_a_fault_at_a_step_passes_the_step() -> None:
    assert inject("crash at", step="voted") == [("kill_at_step", "n1", "voted")]
    assert inject("stop at", step="voted") == [("pause_at_step", "n1", "voted", SECOND_US)]


def test_restart_all_kills_each_node_for_a_random_time() -> None:
    assert inject("restart all") == [("kill", node, RESTART_DELAY_US) for node in NODES]


def dropped(name: str, other: str = "") -> set[tuple[object, ...]]:
    """Return the directed links on which the fault drops messages."""
    return {operation[1:3] for operation in inject(name, other=other) if operation[0] == "drop_messages"}


def test_an_isolated_node_is_cut_off_in_both_directions() -> None:
    outbound, inbound = {("n1", node) for node in NODES[1:]}, {(node, "n1") for node in NODES[1:]}
    assert dropped("isolate") == outbound | inbound
    assert dropped("deaf") == inbound
    assert dropped("mute") == outbound


def test_two_isolated_nodes_still_reach_each_other() -> None:
    links = dropped("isolate", other="n2")
    assert links == {pair for a in ("n1", "n2") for b in ("n3", "n4") for pair in ((a, b), (b, a))}


def test_a_split_keeps_a_zone_on_one_side() -> None:
    links = dropped("split", other="n2")
    assert links == {pair for a in ("n1", "n2", "n4") for pair in ((a, "n3"), ("n3", a))}


def test_only_paused_or_isolated_nodes_may_be_suspected() -> None:
    cluster = recording_cluster()
    disturbed = {
        name: fault_type.disturbed_nodes(Fault(0, 1, name, "n1", "n2"), cluster)
        for name, fault_type in FAULT_TYPES.items()
    }
    assert {name: nodes for name, nodes in disturbed.items() if nodes} == {
        "stop": {"n1"},
        "isolate": {"n1", "n2"},
        "deaf": {"n1", "n2"},
        "mute": {"n1", "n2"},
        "split": {"n1", "n2", "n4"},
    }


def test_the_fault_types_of_random_plans_keep_their_order() -> None:
    # Reports identify a random plan by its seed alone, and the order of the types determines the plan of a seed.
    assert tuple(name for name, fault_type in FAULT_TYPES.items() if fault_type.is_drawn) == (
        "kill", "wipe", "old store", "stop", "cut", "one way", "isolate", "slow", "trickle", "reset", "repeat",
        "slow disk", "drain", "restart all", "crash at", "deaf", "mute", "split",
    )  # fmt: skip


def test_every_type_in_a_random_plan_has_an_effect_on_a_simulated_cluster() -> None:
    for name, fault_type in FAULT_TYPES.items():
        if fault_type.is_drawn:
            operations = [str(operation[0]) for operation in inject(name, other="n2", step="voted")]
            assert operations
            for operation in operations:
                assert getattr(SimulatedCluster, operation) is not getattr(FaultTarget, operation)


def test_a_role_in_a_link_fault_is_resolved_to_a_node_on_the_simulated_network() -> None:
    base = draw(3, PlanSettings(length_ms=14_000))
    fault = Fault(6_000, 3_000, "cut", "@leader", "n5")
    cluster, violation = run(Plan(3, base.nodes, base.voters, 14_000, base.rates, (fault,)))
    cut = {pair for pair, link in cluster._links.items() if link.cut_until == 9_000_000}
    assert not violation and len(cut) == 2
    assert all("n5" in pair and set(pair) & set(base.voters) for pair in cut)


def test_a_simulated_detector_drops_both_directions_of_a_cut() -> None:
    faults = (Fault(1_000, 500, "cut", "n1", "n2"),)
    plan = Plan(3, NODES, NODES[:3], 8_000, (1.0,) * 4, faults)
    cluster = SimulatedDetectorCluster(plan)
    cluster.run()
    assert {pair for pair, link in cluster._links.items() if link.cut_until == 1_500_000} == {
        ("n1", "n2"), ("n2", "n1"),
    }  # fmt: skip
