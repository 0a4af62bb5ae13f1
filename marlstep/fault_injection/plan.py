"""Fault plans: which faults are injected when. Plans are drawn from a seed, printed as JSON and replayed from it."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from marlstep.fault_injection.errors import (
    InconsistentPlanError,
    MalformedPlanError,
    UnknownFaultError,
    UnknownStepError,
)
from marlstep.fault_injection.faults import FAULT_TYPES, Fault, Kill

RANDOM_FAULT_TYPES = tuple(name for name, fault_type in FAULT_TYPES.items() if fault_type.is_drawn)
# The holder of the first task's lease, and the leader of the group, at the time at which a fault is injected.
ROLES = ("@holder", "@leader")
# Steps at which a process may be killed or stopped: of votes, the store, leases, runs of tasks, and requests.
STEPS = ("voted", "stored", "granted", "begun", "acted", "ended", "left")
# Steps of a change of a document: its chunks are uploaded, it is put, acknowledged, and followed.
DOCUMENT_STEPS = ("uploading", "put", "said", "following")
DEFAULT_DRIFT = 0.01
FORMATION_MS = 3_000  # at the start of a plan, without faults: the group forms
HEAL_MS = 6_000  # at the end of a plan, in which no fault begins, so that all nodes recover
MIN_FAULT_MS = 20
ANY_NODE_SHARE = 0.4  # the share of faults that affect any node; the others affect a voter
EXCESSIVE_RATES = (0.8, 1.2)  # rates of a clock that exceed the drift that leases guard against


@dataclass(slots=True, frozen=True)
class Plan:
    """The faults of one run, and the cluster that they are injected into. Fields are named as in the plan's JSON.

    Attributes:
        seed: The seed that it was drawn from, which also determines the other random choices of a run.
        nodes: The names of all nodes.
        voters: The names of the nodes that are voters of the group.
        length_ms: How long the run lasts, in milliseconds.
        rates: How many seconds each node's clock advances in a second.
        faults: The faults, in order of time.
        drift: The relative error of clocks that the nodes are configured to tolerate.
    """

    seed: int
    nodes: tuple[str, ...]
    voters: tuple[str, ...]
    length_ms: int
    rates: tuple[float, ...]
    faults: tuple[Fault, ...]
    drift: float = DEFAULT_DRIFT

    def write(self) -> dict[str, Any]:
        """Return the plan as JSON, which `read_plan` reads."""
        return asdict(self)


def read_plan(row: Any) -> Plan:  # noqa: ANN401 (JSON of any kind: checked here)
    """Read a plan from JSON.

    Raises:
        InvalidPlanError: The JSON is not a plan, or names a fault, step or node that does not exist.
    """
    try:
        faults = tuple(Fault(**fault) for fault in row["faults"])
        plan = Plan(
            seed=int(row["seed"]),
            nodes=tuple(row["nodes"]),
            voters=tuple(row["voters"]),
            length_ms=int(row["length_ms"]),
            rates=tuple(map(float, row["rates"])),
            faults=faults,
            drift=float(row.get("drift", DEFAULT_DRIFT)),
        )
    except (KeyError, TypeError, ValueError) as cause:
        raise MalformedPlanError(cause) from cause
    for fault in plan.faults:
        _check_fault(fault, (*plan.nodes, *ROLES))
    if len(plan.rates) != len(plan.nodes) or not set(plan.voters) <= set(plan.nodes):
        raise InconsistentPlanError
    return plan


def _check_fault(fault: Fault, names: Sequence[str]) -> None:
    """Check the type, nodes and step of a fault, whose nodes must be among `names`.

    Raises:
        InvalidPlanError: The type, the step or a node does not exist.
    """
    if fault.kind not in FAULT_TYPES or fault.node not in names or fault.other not in ("", *names):
        raise UnknownFaultError(asdict(fault))
    if FAULT_TYPES[fault.kind].takes_step and fault.hook not in STEPS + DOCUMENT_STEPS:
        raise UnknownStepError(fault.hook, STEPS + DOCUMENT_STEPS)


@dataclass(slots=True, frozen=True)
class PlanSettings:
    """What random plans are drawn from.

    Attributes:
        nodes: The number of nodes.
        voters: The number of voters; they are the first of the nodes.
        length_ms: How long a run lasts, in milliseconds.
        drift: The largest relative error of the clocks.
        fault_types: The names of the types of faults.
        mean_interval_ms: The mean time between two faults, in milliseconds.
        max_duration_ms: The longest duration of a fault, in milliseconds; some types have a limit of their own.
        exceeds_drift: Whether one clock errs by a fifth, which is more than leases tolerate.
        steps: The steps at which a process may be killed.
    """

    nodes: int = 5
    voters: int = 3
    length_ms: int = 20_000
    drift: float = DEFAULT_DRIFT
    fault_types: Sequence[str] = RANDOM_FAULT_TYPES
    mean_interval_ms: int = 1_200
    max_duration_ms: int = 4_000
    exceeds_drift: bool = False
    steps: Sequence[str] = STEPS[:-1]


def draw(seed: int, settings: PlanSettings) -> Plan:
    """Draw a plan. The same seed and settings always give the same plan."""
    chance = random.Random(seed)
    nodes = tuple(f"n{number}" for number in range(1, settings.nodes + 1))
    voters = nodes[: settings.voters]
    rates = [1 + chance.choice((-1, -0.5, 0, 0.5, 1)) * settings.drift for _ in nodes]
    if settings.exceeds_drift:
        rates[chance.randrange(len(nodes))] = chance.choice(EXCESSIVE_RATES)
    faults = []
    last_ms = settings.length_ms - HEAL_MS
    at_ms = float(min(FORMATION_MS, settings.length_ms // 5))
    while (at_ms := at_ms + chance.expovariate(1 / settings.mean_interval_ms)) < last_ms:
        faults.append(_draw_fault(chance, settings, nodes, at_ms, last_ms))
    return Plan(seed, nodes, voters, settings.length_ms, tuple(rates), tuple(faults), settings.drift)


def _draw_fault(
    chance: random.Random, settings: PlanSettings, nodes: tuple[str, ...], at_ms: float, last_ms: int
) -> Fault:
    """Draw a fault at `at_ms` that ends soon after `last_ms`, so that the cluster can recover before the plan ends."""
    voters = nodes[: settings.voters]
    fault_type = FAULT_TYPES[chance.choice(tuple(settings.fault_types))]
    node = chance.choice(nodes if chance.random() < ANY_NODE_SHARE else voters)
    other = chance.choice([name for name in nodes if name != node]) if fault_type.affects_link else ""
    if fault_type.affects_store and node not in voters:
        fault_type = FAULT_TYPES[Kill.name]
    type_max_ms = fault_type.max_duration_ms or settings.max_duration_ms
    max_ms = min(type_max_ms, last_ms - at_ms + HEAL_MS // 3)
    duration_ms = max(MIN_FAULT_MS, int(max_ms * chance.random()))
    step = chance.choice(tuple(settings.steps)) if fault_type.takes_step else ""
    return Fault(int(at_ms), duration_ms, fault_type.name, node, other, step)
