"""Failure detectors on a simulated network, up to a thousand of them, under the faults of a plan.

Datagrams are delayed, lost, and sometimes replayed seconds later, after the process that sent them has ended. At the
end of a plan every live node must see exactly the live nodes, each under its current process.
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
DATAGRAM_OVERHEAD_BYTES = (
    110  # of a datagram without its records: frame, keyed checksum, sender and message kind
)
REPLAYED_SHARE = 0.002  # the share of datagrams that are delivered again, seconds later
ZONE_COUNT = 3
DRAIN_DURATION_US = 50_000  # from the start of a drain to the end of the process
MAX_REFUTATION_US = 3_000_000  # the longest time for a live node to refute a false record of itself


@dataclass(slots=True)
class DetectorMeasurements:
    """What was measured in a run. The fields are named as in the report's JSON.

    Attributes:
        detected_us: The time from a process's death to each node's detection of it, in microseconds.
        views_agree_us: The time from the end of the last fault until all views agreed, in microseconds.
        false_suspicions: How often a node's own probes made it suspect a process that was up, although no fault had
            affected either node in the last 2 s.
        false_failures: How often a node declared such a process failed, or learned that it had been declared failed.
        datagrams: How many datagrams were sent.
        bytes: The size of all datagrams.
        exchange_bytes: The size of all messages over streams.
    """

    detected_us: list[int] = field(default_factory=list)
    views_agree_us: int = 0
    false_suspicions: int = 0
    false_failures: int = 0
    datagrams: int = 0
    bytes: int = 0
    exchange_bytes: int = 0


class SimulatedDetector:
    """One node with its failure detector, over all generations of its process.

    Attributes:
        generation: How many processes of this node were started.
        up: Whether its process exists, running or stopped.
        leaving: Whether it is shutting down gracefully.
        stopped_until: When a stopped process continues, in microseconds of simulated time.
        disturbed_until: When the last fault that affects it ends, in microseconds of simulated time.
        slow: The longest delay of its event loop, in microseconds; 0 for none.
    """

    def __init__(self, cluster: SimulatedDetectorCluster, name: str, number: int) -> None:
        """Create a node that is not started; `number` determines its zone."""
        self.cluster, self.name, self.number = cluster, name, number
        self.zone = f"z{number % ZONE_COUNT}"
        self.generation, self.up, self.leaving = 0, False, False
        self.detector: FailureDetector
        self.stopped_until = 0
        self.disturbed_until = 0
        self.slow = 0
        self._deferred: list[Callable[[], None]] = []
        self._tick_at: int | None = None
        self._reported_count = 0  # suspicions and failures that were reported to the cluster

    @property
    def address(self) -> str:
        """The address to which other nodes send: in the simulation the node's name."""
        return self.name

    def start(self) -> None:
        """Start the node's next process."""
        cluster = self.cluster
        self.generation, self.up, self.leaving, self._deferred, self._reported_count = (
            self.generation + 1,
            True,
            False,
            [],
            0,
        )
        self.stopped_until, self._tick_at = 0, None
        # The wall clock may be wrong, so that this process seems to have started before the previous one.
        started_ms = cluster.true_us // 1000 + cluster.chance.randrange(-20_000, 20_000) + 100_000
        local = MemberRecord(
            self.name, f"b{self.generation}", started_ms, 0, MemberState.ALIVE, self.address, self.zone
        )
        chance = random.Random(cluster.chance.random())
        self.detector = FailureDetector(local, cluster.settings, chance, cluster.now)
        cluster.mutation.apply_to(self.detector.state)
        seeds = [seed for seed in cluster.seeds if seed != self.name]
        cluster.send_all(self, self.detector.join(seeds))
        self.drive()

    def at(self, after_us: int, action: Callable[[], None]) -> None:
        """Run an action after `after_us` in this process; a stopped process runs it when it continues."""
        generation = self.generation

        def run_in_generation() -> None:
            if self.up and self.generation == generation:
                if self.cluster.true_us < self.stopped_until:
                    self._deferred.append(run_in_generation)
                else:
                    action()

        self.cluster.after(after_us, run_in_generation)

    def resume(self) -> None:
        """Continue after a stop: run due timers first, as an event loop does, and then handle deferred messages."""
        if self.up and self.cluster.true_us >= self.stopped_until:
            self.drive()
            pending, self._deferred = self._deferred, []
            for deferred in pending:
                deferred()

    def receive(self, sender: MemberRecord, send: OutboundMessage) -> None:
        """Handle a message of another node."""
        self.cluster.send_all(self, self.detector.receive(self.cluster.now, sender, send.message))
        self.drive()

    def drive(self) -> None:
        """Let the detector act on the time, and set its next timer."""
        cluster = self.cluster
        if not self.up or cluster.true_us < self.stopped_until:
            return
        if self.detector.next_due() <= cluster.now:
            cluster.send_all(self, self.detector.tick(cluster.now))
        self._report_changes()
        due_us = max(cluster.true_at(self.detector.next_due()), cluster.true_us + 100)
        if self.slow and cluster.chance.random() < 0.2:
            due_us += cluster.chance.randrange(self.slow)
        if self._tick_at is not None and cluster.true_us < self._tick_at <= due_us:
            return
        self._tick_at, generation = due_us, self.generation

        def tick() -> None:
            if self.up and self.generation == generation and self._tick_at == due_us:
                self._tick_at = None
                self.drive() if cluster.true_us >= self.stopped_until else None

        cluster.after(due_us - cluster.true_us, tick)

    def _report_changes(self) -> None:
        """Report new suspicions and failures to the cluster."""
        detector = self.detector
        change_count = detector.counts["suspect"] + detector.counts["failed"]
        if change_count == self._reported_count:
            return
        self._reported_count = change_count
        for change in list(detector.events)[-8:]:
            if change.at == self.cluster.now:
                self.cluster.record_view_change(
                    self, change.node, change.event, change.reported_by == self.name
                )


class SimulatedDetectorCluster(Simulation):
    """All nodes, the network between them, and the measurements of their views."""

    def __init__(
        self, plan: Plan, mutation: Mutation | None = None, settings: DetectorSettings | None = None,
        loss: float = 0.01, slow: float = 0.0,
    ) -> None:  # fmt: skip
        """Create the nodes of a plan, which start when the plan is run.

        Args:
            plan: The faults and the nodes.
            mutation: The deliberate defect that the nodes run with, or none.
            settings: The settings of the detectors; None for the defaults.
            loss: The share of datagrams that are lost.
            slow: The share of nodes whose event loop is sometimes late, by up to a second.
        """
        super().__init__(plan, mutation, plan.seed * 6_151 + 5)
        self.settings = settings or DetectorSettings()
        self.loss = loss
        self.measured = DetectorMeasurements()
        self.last_fault_us = 0
        self._death_times: dict[tuple[str, str], int] = {}
        self._agreed_since: int | None = None
        self._agreed_at: int | None = None
        self.nodes = {name: SimulatedDetector(self, name, number) for number, name in enumerate(plan.nodes)}
        self.seeds = plan.nodes[:3]
        for node in list(self.nodes.values())[: math.ceil(slow * len(self.nodes))]:
            node.slow = 1_000_000

    @property
    def now(self) -> datetime:
        """The simulated time; the clocks of all nodes show it."""
        return START + span(self.true_us)

    @staticmethod
    def true_at(local: datetime) -> int:
        """Return the simulated time, in microseconds, at which a clock shows at least `local`."""
        return -(-(local - START) // timedelta(microseconds=1))

    def run(self) -> None:
        """Run the plan to its end.

        Raises:
            InvariantViolationError: The views do not agree at the end.
        """
        for node in self.nodes.values():
            self.after(self.chance.randrange(400_000), node.start)
        self.schedule_faults()
        self.after(1_000_000, self._check_agreement)
        end_us = self.plan.length_ms * 1_000
        self.run_events()
        # A record replayed from a forgotten process is accepted until its node refutes it, so views may differ at the
        # end if they agreed within the last `MAX_REFUTATION_US`.
        if (difference := self.view_difference()) and (
            self._agreed_at is None or self._agreed_at < end_us - MAX_REFUTATION_US
        ):
            raise InvariantViolationError(f"at the end {difference}")
        self.measured.views_agree_us = max(0, (self._agreed_since or end_us) - self.last_fault_us)

    # Network.

    def send_all(self, node: SimulatedDetector, sends: list[OutboundMessage]) -> None:
        """Send messages of a node over the network."""
        for send in sends:
            self._send(node, node.detector.local, send)

    def _send(self, node: SimulatedDetector, sender: MemberRecord, send: OutboundMessage) -> None:
        target = self.nodes.get(send.address)
        if target is None or target is node:
            return
        size = DATAGRAM_OVERHEAD_BYTES + sum(len(str(row)) for row in write_records(send.message.records))
        if send.over_stream:
            self.measured.exchange_bytes += size
        else:
            self.measured.datagrams += 1
            self.measured.bytes += size
            if self.chance.random() < self.loss:
                return
        link = self._links.get((node.name, target.name))
        delay = self.chance.randrange(200, 4_000)
        if link is not None:
            if self.true_us < link.cut_until:
                return
            if self.true_us < link.slow_until:
                delay += self.chance.randrange(700_000)
        self.after(delay, lambda: target.at(0, lambda: target.receive(sender, send)))
        if self.chance.random() < REPLAYED_SHARE:
            replay_delay_us = self.chance.randrange(1_000_000, 10_000_000)
            self.after(replay_delay_us, lambda: target.at(0, lambda: target.receive(sender, send)))

    # Fault injection.

    def prepare_fault(self, fault: Fault) -> None:
        """Record until when the fault disturbs which nodes."""
        until_us = self.true_us + fault.duration_us
        self.last_fault_us = max(self.last_fault_us, until_us)
        for name in FAULT_TYPES[fault.kind].disturbed_nodes(fault, self):
            node = self.nodes[name]
            node.disturbed_until = max(node.disturbed_until, until_us)

    def resolve_role(self, name: str) -> str:
        """Return the first node for each role: there are no leases and no leader here."""
        return name if name in self.nodes or not name else self.plan.nodes[0]

    def node_names(self) -> Collection[str]:
        """Return the names of all nodes, running or not."""
        return self.nodes.keys()

    def nodes_split_along(self, node: str) -> set[str]:
        """Return the nodes that always stay on the same side as the node when the network is split."""
        zone = self.nodes[node].zone
        return {other.name for other in self.nodes.values() if other.zone == zone}

    def draw_restart_delay_us(self) -> int:
        """Return a random time for which a node stays down when all nodes are restarted."""
        self.last_fault_us = max(self.last_fault_us, self.true_us + RESTART_DELAY_US[1])
        return super().draw_restart_delay_us()

    def kill(self, node: str, duration_us: int) -> None:
        """Kill the node's process, and start it again after the duration."""
        killed = self.nodes[node]
        if killed.up:
            killed.up = False
            if not killed.leaving:
                self._death_times[node, f"b{killed.generation}"] = self.true_us
        self.after(duration_us, lambda: None if killed.up else killed.start())

    def pause(self, node: str, duration_us: int) -> None:
        """Suspend the node's process, and continue it after the duration."""
        paused = self.nodes[node]
        paused.stopped_until = max(paused.stopped_until, self.true_us + duration_us)
        self.after(duration_us, paused.resume)

    def drain(self, node: str, duration_us: int) -> None:
        """Shut the node down gracefully, and start it again after the duration."""
        draining = self.nodes[node]
        if draining.up:
            draining.leaving = True
            self.send_all(draining, draining.detector.leave())
            self.after(DRAIN_DURATION_US, lambda: self.kill(node, duration_us))
            self.last_fault_us = max(self.last_fault_us, self.true_us + duration_us + DRAIN_DURATION_US)

    # Measurements.

    def record_view_change(
        self, node: SimulatedDetector, name: str, event: str, is_own_finding: bool
    ) -> None:
        """Measure that a node regards another as suspect or failed.

        Args:
            node: The node whose view changed.
            name: The name of the other node.
            event: The new state and the process that it is about, as the detector logs it.
            is_own_finding: Whether the node detected it, rather than received it in a record of a third node.
        """
        state, _, process_id = event.partition(", process ")
        died_us = self._death_times.get((name, process_id))
        if state == MemberState.FAILED and died_us is not None:
            self.measured.detected_us.append(self.true_us - died_us)
        other = self.nodes.get(name)
        is_disturbed = (
            max(node.disturbed_until, other.disturbed_until if other else 0) + 2_000_000 >= self.true_us
        )
        if other is not None and other.up and f"b{other.generation}" == process_id and not is_disturbed:
            self.measured.false_suspicions += is_own_finding and state == MemberState.SUSPECT
            self.measured.false_failures += state == MemberState.FAILED

    def view_difference(self) -> str:
        """Return how the view of a live node is wrong; empty if every live node sees exactly the live nodes."""
        truth = {
            name: (f"b{node.generation}", MemberState.ALIVE.value)
            for name, node in self.nodes.items()
            if node.up and not node.leaving and self.true_us >= node.stopped_until
        }
        for name in truth:
            view = self.nodes[name].detector.view()
            if view != truth:
                missing = sorted(truth.keys() - view.keys())[:3]
                extra = sorted(view.keys() - truth.keys())[:3]
                outdated = sorted(
                    node_name
                    for node_name in truth.keys() & view.keys()
                    if truth[node_name] != view[node_name]
                )[:3]
                return (
                    f"{name} does not hear of {missing}, hears of {extra}, of others as they were: {outdated}"
                )
        return ""

    def _check_agreement(self) -> None:
        """Check periodically whether the views agree, and record since when."""
        if self.view_difference():
            self._agreed_since = None
        else:
            self._agreed_at = self.true_us
            self._agreed_since = self._agreed_since or self.true_us
        self.after(100_000 if len(self.nodes) <= 50 else 500_000, self._check_agreement)


def run_members(
    plan: Plan, mutation: Mutation | None = None, settings: DetectorSettings | None = None,
    loss: float = 0.01, slow: float = 0.0,
) -> tuple[SimulatedDetectorCluster, str]:  # fmt: skip
    """Run a plan on a new cluster; return the cluster, and what was violated or an empty text."""
    cluster = SimulatedDetectorCluster(plan, mutation, settings, loss, slow)
    try:
        cluster.run()
    except InvariantViolationError as violation:
        return cluster, str(violation)
    return cluster, ""
