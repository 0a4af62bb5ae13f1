"""Which faults come when: drawn from a seed, printed, and replayed from what was printed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from marlstep.fault_injection.errors import InvalidPlanError
from marlstep.fault_injection.faults import FAULT_TYPES, Fault, Kill

KINDS = tuple(name for name, fault_type in FAULT_TYPES.items() if fault_type.is_drawn)
ROLES = ("@holder", "@leader")  # whoever holds the first task, or leads, when the fault comes
# Steps between which a process may be killed, or stopped.
HOOKS = ("voted", "stored", "granted", "begun", "acted", "ended", "left")
# Of a change of a document: its pieces are sent, the change itself, a node says that it can take it, acts on it.
RULES_HOOKS = ("uploading", "put", "said", "following")


@dataclass(slots=True, frozen=True)
class Plan:
    seed: int
    nodes: tuple[str, ...]
    voters: tuple[str, ...]
    length_ms: int
    rates: tuple[float, ...]  # of each node's clock
    faults: tuple[Fault, ...]
    drift: float = 0.01  # that the nodes are told; a clock beyond it is not guarded against

    def write(self) -> dict[str, Any]:
        return asdict(self)


def read_plan(told: Any) -> Plan:
    """Raises BadPlan."""
    try:
        faults = tuple(Fault(**row) for row in told["faults"])
        plan = Plan(
            int(told["seed"]),
            tuple(told["nodes"]),
            tuple(told["voters"]),
            int(told["length_ms"]),
            tuple(map(float, told["rates"])),
            faults,
            float(told.get("drift", 0.01)),
        )
    except (KeyError, TypeError, ValueError) as wrong:
        raise InvalidPlanError(f"no plan: {wrong!r}") from wrong
    for fault in faults:
        names = (*plan.nodes, *ROLES)
        if fault.kind not in FAULT_TYPES or fault.node not in names or fault.other not in ("", *names):
            raise InvalidPlanError(f"no fault that this rig knows: {asdict(fault)}")
        if FAULT_TYPES[fault.kind].takes_step and fault.hook not in HOOKS + RULES_HOOKS:
            raise InvalidPlanError(f"no hook {fault.hook!r}: {', '.join(HOOKS + RULES_HOOKS)}")
    if len(plan.rates) != len(plan.nodes) or not set(plan.voters) <= set(plan.nodes):
        raise InvalidPlanError("a plan has a rate for each node, and its voters are among the nodes")
    return plan


@dataclass(slots=True, frozen=True)
class Shape:
    """What plans are drawn from."""

    nodes: int = 5
    voters: int = 3
    length_ms: int = 20_000
    drift: float = 0.01  # within which the clocks go
    kinds: Sequence[str] = KINDS
    every_ms: int = 1_200  # between two faults, on the mean
    most_ms: int = 4_000  # that a fault lasts
    beyond: bool = False  # one clock goes 20% fast: beyond what is guarded against
    hooks: Sequence[str] = HOOKS[:-1]  # at which a process may die


QUIET_MS = 3_000  # at the begin, for the group to form
HEAL_MS = 6_000  # at the end, for all to come back


def draw(seed: int, shape: Shape) -> Plan:
    """The same for the same seed and shape."""
    chance = random.Random(seed)
    nodes = tuple(f"n{number}" for number in range(1, shape.nodes + 1))
    voters = nodes[: shape.voters]
    rates = [1 + chance.choice((-1, -0.5, 0, 0.5, 1)) * shape.drift for _ in nodes]
    if shape.beyond:
        rates[chance.randrange(len(nodes))] = chance.choice((0.8, 1.2))
    faults = []
    last = shape.length_ms - HEAL_MS
    at = float(min(QUIET_MS, shape.length_ms // 5))
    while (at := at + chance.expovariate(1 / shape.every_ms)) < last:
        kind = chance.choice(tuple(shape.kinds))
        node = chance.choice(nodes if chance.random() < 0.4 else voters)
        fault_type = FAULT_TYPES[kind]
        other = chance.choice([one for one in nodes if one != node]) if fault_type.affects_link else ""
        if fault_type.affects_store and node not in voters:
            fault_type = FAULT_TYPES[Kill.name]
        max_duration_ms = fault_type.max_duration_ms or shape.most_ms
        most = min(max_duration_ms, last - at + HEAL_MS // 3)
        span = max(20, int(most * chance.random()))
        hook = chance.choice(tuple(shape.hooks)) if fault_type.takes_step else ""
        faults.append(Fault(int(at), span, fault_type.name, node, other, hook))
    return Plan(seed, nodes, voters, shape.length_ms, tuple(rates), tuple(faults), shape.drift)
