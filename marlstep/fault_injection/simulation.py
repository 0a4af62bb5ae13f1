"""The core of every simulated cluster: simulated time, a queue of events, links between nodes, and faults of a plan.

A run is a function of its plan: all random choices follow from the plan's seed, and events at the same time run in the
order in which they were scheduled. The clusters built on this define the nodes and the faults that affect them.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from marlstep.fault_injection.errors import EventStormError
from marlstep.fault_injection.faults import FAULT_TYPES, Fault, FaultTarget
from marlstep.fault_injection.mutations import Mutation
from marlstep.fault_injection.plan import Plan

RESTART_DELAY_US = (10_000, 800_000)  # bounds of the time that a node stays down when all are restarted


@dataclass(slots=True)
class SimulatedLink:
    """The faults of one direction between two nodes, each with the time at which it ends, in microseconds."""

    cut_until: int = 0
    slow_until: int = 0
    repeat_until: int = 0


class Simulation(FaultTarget):
    """Simulated time and an event queue, with the links between nodes.

    Attributes:
        plan: The faults, and how long the simulation runs.
        mutation: The deliberate defect that the nodes run with, or none.
        chance: The source of all random choices.
        true_us: The simulated time, in microseconds from the start; clocks of nodes may differ from it.
        counts: How often each type of fault was injected, and whatever a cluster counts besides.
    """

    def __init__(self, plan: Plan, mutation: Mutation | None, seed: int) -> None:
        """Create a simulation at time 0 whose random choices follow from `seed`."""
        self.plan, self.mutation = plan, mutation or Mutation()
        self.chance = random.Random(seed)
        self.true_us = 0
        self.counts: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_number = 0
        self._links: dict[tuple[str, str], SimulatedLink] = {}

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedule an action after `delay_us` microseconds of simulated time."""
        self._event_number += 1
        heapq.heappush(self._events, (self.true_us + delay_us, self._event_number, action))

    def schedule_faults(self) -> None:
        """Schedule every fault of the plan; must be called at time 0."""
        for fault in self.plan.faults:
            self.after(fault.at_ms * 1_000, lambda fault=fault: self.inject(fault))  # type: ignore[misc]

    def run_events(self, max_events: int | None = None) -> None:
        """Run all events up to the end of the plan.

        Raises:
            EventStormError: There were more events than `max_events`, as nodes cause ever more of them.
        """
        end_us = self.plan.length_ms * 1_000
        event_count = 0
        while self._events and self._events[0][0] <= end_us:
            event_count += 1
            if max_events is not None and event_count > max_events:
                raise EventStormError(event_count, self.true_us)
            self.true_us, _, action = heapq.heappop(self._events)
            action()

    def inject(self, fault: Fault) -> None:
        """Inject a fault now, with its roles replaced by the nodes that have them."""
        self.counts[fault.kind] += 1
        resolved = replace(fault, node=self.resolve_role(fault.node), other=self.resolve_role(fault.other))
        self.prepare_fault(resolved)
        FAULT_TYPES[fault.kind].inject(resolved, self)

    def resolve_role(self, name: str) -> str:
        """Return the node that has a role of the plan now; any other name is returned unchanged."""
        return name

    def prepare_fault(self, fault: Fault) -> None:
        """Record a fault that is about to be injected."""

    def draw_restart_delay_us(self) -> int:
        """Return a random time for which a node stays down when all nodes are restarted."""
        return self.chance.randrange(*RESTART_DELAY_US)

    def link(self, origin: str, target: str) -> SimulatedLink:
        """Return the link from one node to another."""
        return self._links.setdefault((origin, target), SimulatedLink())

    def drop_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Drop every message from one node to the other."""
        self.link(origin, target).cut_until = self.true_us + duration_us

    def delay_messages(self, origin: str, target: str, duration_us: int) -> None:
        """Delay messages from one node to the other at random."""
        self.link(origin, target).slow_until = self.true_us + duration_us
