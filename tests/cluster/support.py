"""Plans of drills over real processes."""

from __future__ import annotations

from pathlib import Path

from marlstep.drill.plan import Fault, Plan

ROOT = Path(__file__).parent.parent.parent
CONFIG = ROOT / "deploy" / "node.json"
NODES = ("n1", "n2", "n3", "n4", "n5")


def written(seed: int, length_ms: int, *faults: tuple[int, int, str, str, str, str]) -> Plan:
    rows = tuple(Fault(*fault) for fault in faults)
    return Plan(seed, NODES, NODES[:3], length_ms, (1.01, 0.99, 1.0, 1.01, 0.99), rows)
