"""Detectors on the virtual network, up to a thousand of them: faults from a plan, and what all hear of each other.

Datagrams are delayed, lost, and now and then come again much later, from a life of their sender that is over. At the
end every live node has to hear of all live ones and of no other, under the process that each of them is now.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.faults import FAULT_TYPES, Fault
from marlstep.fault_injection.mutations import Mutation
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.simulated_machine import START
from marlstep.fault_injection.simulation import RESTART_DELAY_US, Simulation
from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.failure_detector import FailureDetector
from marlstep.membership.messages import OutboundMessage
from marlstep.membership.records import MemberRecord, MemberState, write_records
from marlstep.units import span

RANDOM_FAULT_TYPES = (
    "kill",
    "stop",
    "cut",
    "one way",
    "isolate",
    "deaf",
    "mute",
    "split",
    "slow",
    "drain",
    "restart all",
)
HEAD = 110  # bytes of a datagram beside its records: frame, key's checksum, sender, kind
REPLAYED = 0.002  # share of datagrams that come once more, seconds later
ZONES = 3
DRAIN_US = 50_000  # from the notice to leave to the end of the process
REFUTED_US = 3_000_000  # at the most, until a wrong word of a live node is put right


@dataclass(slots=True)
class DetectorMeasurements:
    detected_us: list[int] = field(default_factory=list)  # from a death to each view of it
    views_agree_us: int = 0  # after the last fault
    false_suspicions: int = 0  # of a node that was up, and could be reached by most
    false_failures: int = 0
    datagrams: int = 0
    bytes: int = 0
    exchange_bytes: int = 0


class SimulatedDetector:
    """One process, over its lives."""

    def __init__(self, cluster: SimulatedDetectorCluster, name: str, number: int) -> None:
        self.cluster, self.name, self.number = cluster, name, number
        self.zone = f"z{number % ZONES}"
        self.generation, self.up, self.leaving = 0, False, False
        self.detector: FailureDetector
        self.stopped_until = 0
        self.troubled_until = 0  # by a fault of the plan
        self.slow = 0  # microseconds that its loop is late, now and then
        self._deferred: list[Callable[[], None]] = []
        self._tick_at: int | None = None
        self._seen = 0  # changes that were looked at

    @property
    def address(self) -> str:
        return self.name

    def start(self) -> None:
        cluster = self.cluster
        self.generation, self.up, self.leaving, self._deferred, self._seen = (
            self.generation + 1,
            True,
            False,
            [],
            0,
        )
        self.stopped_until, self._tick_at = 0, None
        # An old clock: this life may seem older than the one before.
        born = cluster.true_us // 1000 + cluster.chance.randrange(-20_000, 20_000) + 100_000
        me = MemberRecord(
            self.name, f"b{self.generation}", born, 0, MemberState.ALIVE, self.address, self.zone
        )
        chance = random.Random(cluster.chance.random())
        self.detector = FailureDetector(me, cluster.settings, chance, cluster.now)
        cluster.mutation.apply_to(self.detector.state)
        seeds = [one for one in cluster.seeds if one != self.name]
        cluster.send_all(self, self.detector.join(seeds))
        self.drive()

    def at(self, after_us: int, action: Callable[[], None]) -> None:
        generation = self.generation

        def run_in_generation() -> None:
            if self.up and self.generation == generation:
                if self.cluster.true_us < self.stopped_until:
                    self._deferred.append(run_in_generation)
                else:
                    action()

        self.cluster.after(after_us, run_in_generation)

    def resume(self) -> None:
        """Timers first, as a loop does, and then what waits in the sockets."""
        if self.up and self.cluster.true_us >= self.stopped_until:
            self.drive()
            kept, self._deferred = self._deferred, []
            for deferred in kept:
                deferred()

    def receive(self, sender: MemberRecord, send: OutboundMessage) -> None:
        self.cluster.send_all(self, self.detector.receive(self.cluster.now, sender, send.message))
        self.drive()

    def drive(self) -> None:
        cluster = self.cluster
        if not self.up or cluster.true_us < self.stopped_until:
            return
        if self.detector.next_due() <= cluster.now:
            cluster.send_all(self, self.detector.tick(cluster.now))
        self._look()
        true = max(cluster.true_at(self.detector.next_due()), cluster.true_us + 100)
        if self.slow and cluster.chance.random() < 0.2:
            true += cluster.chance.randrange(self.slow)
        if self._tick_at is not None and cluster.true_us < self._tick_at <= true:
            return
        self._tick_at, generation = true, self.generation

        def tick() -> None:
            if self.up and self.generation == generation and self._tick_at == true:
                self._tick_at = None
                self.drive() if cluster.true_us >= self.stopped_until else None

        cluster.after(true - cluster.true_us, tick)

    def _look(self) -> None:
        detector = self.detector
        fresh = detector.counts["suspect"] + detector.counts["failed"]
        if fresh == self._seen:
            return
        self._seen = fresh
        for change in list(detector.events)[-8:]:
            if change.at == self.cluster.now:
                self.cluster.noted(self, change.node, change.event, change.reported_by == self.name)


class SimulatedDetectorCluster(Simulation):
    def __init__(
        self, plan: Plan, mutation: Mutation | None = None, settings: DetectorSettings | None = None,
        loss: float = 0.01, slow: float = 0.0,
    ) -> None:  # fmt: skip
        """`loss` of datagrams; `slow` is the share of nodes whose loop is late by up to a second."""
        super().__init__(plan, mutation, plan.seed * 6_151 + 5)
        self.settings = settings or DetectorSettings()
        self.loss = loss
        self.measured = DetectorMeasurements()
        self.last_fault_us = 0
        self._died: dict[tuple[str, str], int] = {}
        self._agreed_since: int | None = None
        self._agreed_at: int | None = None
        self.nodes = {name: SimulatedDetector(self, name, number) for number, name in enumerate(plan.nodes)}
        self.seeds = plan.nodes[:3]
        for node in list(self.nodes.values())[: math.ceil(slow * len(self.nodes))]:
            node.slow = 1_000_000

    @property
    def now(self) -> datetime:
        return START + span(self.true_us)

    @staticmethod
    def true_at(local: datetime) -> int:
        return -(-(local - START) // timedelta(microseconds=1))

    def run(self) -> None:
        """To the end of the plan. Raises Broken."""
        for node in self.nodes.values():
            self.after(self.chance.randrange(400_000), node.start)
        self.schedule_faults()
        self.after(1_000_000, self._compare)
        end = self.plan.length_ms * 1_000
        self.run_events()
        # What is replayed from a life that nobody remembers counts until its node has heard of it.
        if (why := self.disagree()) and (self._agreed_at is None or self._agreed_at < end - REFUTED_US):
            raise InvariantViolationError(f"at the end {why}")
        self.measured.views_agree_us = max(0, (self._agreed_since or end) - self.last_fault_us)

    # The network.

    def send_all(self, node: SimulatedDetector, sends: list[OutboundMessage]) -> None:
        for send in sends:
            self._send(node, node.detector.local, send)

    def _send(self, node: SimulatedDetector, sender: MemberRecord, send: OutboundMessage) -> None:
        target = self.nodes.get(send.address)
        if target is None or target is node:
            return
        size = HEAD + sum(len(str(row)) for row in write_records(send.message.records))
        if send.over_stream:
            self.measured.exchange_bytes += size
        else:
            self.measured.datagrams += 1
            self.measured.bytes += size
            if self.chance.random() < self.loss:
                return
        path = self._links.get((node.name, target.name))
        delay = self.chance.randrange(200, 4_000)
        if path is not None:
            if self.true_us < path.cut_until:
                return
            if self.true_us < path.slow_until:
                delay += self.chance.randrange(700_000)
        self.after(delay, lambda: target.at(0, lambda: target.receive(sender, send)))
        if self.chance.random() < REPLAYED:  # it comes again from far too long ago
            late = self.chance.randrange(1_000_000, 10_000_000)
            self.after(late, lambda: target.at(0, lambda: target.receive(sender, send)))

    # Faults.

    def prepare_fault(self, fault: Fault) -> None:
        until = self.true_us + fault.duration_us
        self.last_fault_us = max(self.last_fault_us, until)
        for name in FAULT_TYPES[fault.kind].disturbed_nodes(fault, self):
            node = self.nodes[name]
            node.troubled_until = max(node.troubled_until, until)

    def resolve_role(self, name: str) -> str:
        """Return the node that a role stands for: there are no leases and no leader here, so it is the first."""
        return name if name in self.nodes or not name else self.plan.nodes[0]

    def node_names(self) -> Collection[str]:
        return self.nodes.keys()

    def nodes_split_along(self, node: str) -> set[str]:
        zone = self.nodes[node].zone
        return {other.name for other in self.nodes.values() if other.zone == zone}

    def draw_restart_delay_us(self) -> int:
        self.last_fault_us = max(self.last_fault_us, self.true_us + RESTART_DELAY_US[1])
        return super().draw_restart_delay_us()

    def kill(self, node: str, duration_us: int) -> None:
        killed = self.nodes[node]
        if killed.up:
            killed.up = False
            if not killed.leaving:
                self._died[node, f"b{killed.generation}"] = self.true_us
        self.after(duration_us, lambda: None if killed.up else killed.start())

    def pause(self, node: str, duration_us: int) -> None:
        paused = self.nodes[node]
        paused.stopped_until = max(paused.stopped_until, self.true_us + duration_us)
        self.after(duration_us, paused.resume)

    def drain(self, node: str, duration_us: int) -> None:
        draining = self.nodes[node]
        if draining.up:
            draining.leaving = True
            self.send_all(draining, draining.detector.leave())
            self.after(DRAIN_US, lambda: self.kill(node, duration_us))
            self.last_fault_us = max(self.last_fault_us, self.true_us + duration_us + DRAIN_US)

    # The eye.

    def noted(self, node: SimulatedDetector, about: str, what: str, itself: bool) -> None:
        """One node takes another for suspect or failed, by `itself` or as it was told."""
        state, _, boot = what.partition(", process ")
        died = self._died.get((about, boot))
        if state == MemberState.FAILED and died is not None:
            self.measured.detected_us.append(self.true_us - died)
        other = self.nodes.get(about)
        troubled = max(node.troubled_until, other.troubled_until if other else 0) + 2_000_000 >= self.true_us
        if other is not None and other.up and f"b{other.generation}" == boot and not troubled:
            self.measured.false_suspicions += itself and state == MemberState.SUSPECT
            self.measured.false_failures += state == MemberState.FAILED

    def disagree(self) -> str:
        """Whose view is another than what is; empty where all live nodes hear of all live ones alone."""
        truth = {
            name: (f"b{node.generation}", MemberState.ALIVE.value)
            for name, node in self.nodes.items()
            if node.up and not node.leaving and self.true_us >= node.stopped_until
        }
        for name in truth:
            view = self.nodes[name].detector.view()
            if view != truth:
                missing = sorted(truth.keys() - view.keys())[:3]
                more = sorted(view.keys() - truth.keys())[:3]
                other = sorted(one for one in truth.keys() & view.keys() if truth[one] != view[one])[:3]
                return f"{name} does not hear of {missing}, hears of {more}, of others as they were: {other}"
        return ""

    def _compare(self) -> None:
        if self.disagree():
            self._agreed_since = None
        else:
            self._agreed_at = self.true_us
            self._agreed_since = self._agreed_since or self.true_us
        self.after(100_000 if len(self.nodes) <= 50 else 500_000, self._compare)


def run_members(
    plan: Plan, mutation: Mutation | None = None, settings: DetectorSettings | None = None,
    loss: float = 0.01, slow: float = 0.0,
) -> tuple[SimulatedDetectorCluster, str]:  # fmt: skip
    """One world; gives it and what broke, or an empty text."""
    cluster = SimulatedDetectorCluster(plan, mutation, settings, loss, slow)
    try:
        cluster.run()
    except InvariantViolationError as fault:
        return cluster, str(fault)
    return cluster, ""
