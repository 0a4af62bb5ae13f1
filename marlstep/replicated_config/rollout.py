"""Evaluation of a canary rollout: compare the nodes that activated a version first with the others.

The leader evaluates the request counts of heartbeats; the log has only its decision, so a new leader observes the
whole duration anew. A version is withdrawn as soon as its nodes do significantly worse, or one of their processes
ends. It is promoted when its duration is over, enough requests were observed, and its nodes did no worse.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from marlstep.consensus.state_machine import CommandJson
from marlstep.leases.messages import Heartbeat, RequestCounts
from marlstep.replicated_config.commands import MACHINE
from marlstep.replicated_config.documents import PreparedVersion, Rollout
from marlstep.replicated_config.followed_document import FollowerState
from marlstep.replicated_config.rollout_plan import node_of_process
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import MILLISECOND, SECOND

# Standard errors by which two shares must differ; chance alone does that once in several hundred evaluations.
SIGNIFICANCE = 3.0
ADOPTION_TIMEOUT = 10 * SECOND  # beyond the rollout's duration, for its nodes to activate the version


@dataclass(slots=True, frozen=True)
class ReceivedHeartbeat:
    """The last heartbeat of one process, and when it arrived."""

    heartbeat: Heartbeat
    received_at: datetime


@dataclass(slots=True, frozen=True)
class RolloutDecision:
    """A command to promote a version in canary rollout to all nodes, or to withdraw it."""

    name: str
    version: int
    promote: bool
    reason: str

    def to_json(self) -> CommandJson:
        """Return the command as the log stores it."""
        stored: dict[str, object] = {"m": MACHINE, "doc": self.name, "version": self.version}
        stored["why"] = self.reason
        return stored | ({"do": "commit", "whole": True} if self.promote else {"do": "withdraw"})


@dataclass(slots=True, frozen=True)
class RolloutVerdict:
    """The outcome of an evaluation."""

    promote: bool
    reason: str


@dataclass(slots=True)
class CountRange:
    """The request counts of one process at the start of its observation, and now."""

    first: RequestCounts
    last: RequestCounts


@dataclass(slots=True)
class RolloutObservation:
    """What this leader has observed of one rollout."""

    started_at: datetime
    adopted_at: datetime | None = None  # since when all of its nodes have the version active
    canaries: dict[str, CountRange] = field(default_factory=dict)  # by process of its nodes
    controls: dict[str, CountRange] = field(default_factory=dict)  # by process of the other nodes

    def count(
        self,
        name: str,
        prepared: PreparedVersion,
        live: set[str],
        heartbeats: Mapping[str, ReceivedHeartbeat],
    ) -> None:
        """Take the request counts of all live processes; those of a canary count once it has the version active."""
        assert prepared.rollout is not None
        for process, received in heartbeats.items():
            if process not in live:
                continue
            heartbeat = received.heartbeat
            group = self.controls
            if node_of_process(process) in prepared.rollout.nodes:
                if _active_version(heartbeat, name) != prepared.version.number:
                    continue
                group = self.canaries
            counts = heartbeat.request_counts
            group.setdefault(process, CountRange(counts, counts)).last = counts

    def missing_nodes(self, rollout: Rollout) -> set[str]:
        """Return the rollout's nodes that have not activated the version yet."""
        return set(rollout.nodes) - {node_of_process(process) for process in self.canaries}


class RolloutMonitor:
    """The leader's evaluation of all rollouts that have started."""

    def __init__(self) -> None:
        """Observe nothing yet."""
        self._observations: dict[tuple[str, int], RolloutObservation] = {}

    def become_leader(self) -> None:
        """Discard all observations: this replica leads from now on, and has to observe by itself."""
        self._observations.clear()

    def evaluate(
        self,
        now: datetime,
        store: ConfigStore,
        heartbeats: Mapping[str, ReceivedHeartbeat],
        lease_term: timedelta,
    ) -> list[RolloutDecision]:
        """Return what is decided about the rollouts that have started.

        Args:
            now: The leader's clock.
            store: The documents as applied here.
            heartbeats: The last one of each process.
            lease_term: Term of the configuration leases: a process that is silent for as long may have ended.
        """
        rollouts = {(name, prepared.version.number): prepared for name, prepared in store.active_rollouts()}
        for key in [key for key in self._observations if key not in rollouts]:
            del self._observations[key]
        if not rollouts:
            return []
        live = set(store.live_processes())
        decisions = []
        for (name, number), prepared in rollouts.items():
            observation = self._observations.setdefault((name, number), RolloutObservation(now))
            observation.count(name, prepared, live, heartbeats)
            verdict = self._evaluate_one(now, prepared, observation, live, heartbeats, lease_term)
            if verdict is None:
                continue
            if verdict.promote and store.missing_acknowledgements(store.documents[name]):
                continue  # a process started meanwhile, and has not acknowledged the version yet
            decisions.append(RolloutDecision(name, number, verdict.promote, verdict.reason))
        return decisions

    def _evaluate_one(
        self,
        now: datetime,
        prepared: PreparedVersion,
        observation: RolloutObservation,
        live: set[str],
        heartbeats: Mapping[str, ReceivedHeartbeat],
        lease_term: timedelta,
    ) -> RolloutVerdict | None:
        """Return the verdict on one rollout; None while it is open."""
        rollout = prepared.rollout
        assert rollout is not None
        for process in observation.canaries:
            if process not in live:
                return RolloutVerdict(False, f"{process} has ended since it acts on it")
        if observation.adopted_at is None:
            return _await_adoption(now, rollout, observation)
        canaries = total_counts(observation.canaries.values())
        controls = total_counts(observation.controls.values())
        if self.is_degraded(canaries, controls, rollout.max_degradation, rollout.min_requests):
            return RolloutVerdict(False, f"its nodes do worse: {_compared(canaries, controls)}")
        if now < observation.adopted_at + rollout.duration_ms * MILLISECOND:
            return None
        received = [
            heartbeats[process].received_at for process in observation.canaries if process in heartbeats
        ]
        if any(received_at < now - lease_term for received_at in received):
            return None  # a silent process: its lease will tell whether it has ended
        return _final_verdict(rollout, canaries, controls)

    def is_degraded(
        self, canaries: RequestCounts, controls: RequestCounts, max_degradation: float, min_requests: int
    ) -> bool:
        """Whether the canaries fail more requests than permitted, and more than chance explains.

        Compares two proportions, by the standard error of their difference under the pooled proportion.
        """
        observed, compared = canaries.read, controls.read
        if observed < max(min_requests, 1):
            return False
        canary_share = failures(canaries) / observed
        control_share = failures(controls) / compared if compared else 0.0
        pooled = (failures(canaries) + failures(controls)) / (observed + compared)
        variance = pooled * (1 - pooled) * (1 / observed + (1 / compared if compared else 0.0))
        degradation = canary_share - control_share
        return not (degradation <= max_degradation or degradation <= SIGNIFICANCE * math.sqrt(variance))


def _active_version(heartbeat: Heartbeat, document: str) -> int | None:
    """The version of a document that the sender has active."""
    active = {
        name: version
        for name, version, state, _, _ in heartbeat.document_states
        if state == FollowerState.ACTIVE.wire_word
    }
    return active.get(document)


def _await_adoption(
    now: datetime, rollout: Rollout, observation: RolloutObservation
) -> RolloutVerdict | None:
    """Start the rollout's duration once all of its nodes have activated the version."""
    missing = observation.missing_nodes(rollout)
    if not missing:
        observation.adopted_at = now
    elif now >= observation.started_at + rollout.duration_ms * MILLISECOND + ADOPTION_TIMEOUT:
        return RolloutVerdict(False, f"{', '.join(sorted(missing))} did not act on it in time")
    return None


def _final_verdict(rollout: Rollout, canaries: RequestCounts, controls: RequestCounts) -> RolloutVerdict:
    if canaries.read < rollout.min_requests:
        reason = f"only {canaries.read} requests were seen on its nodes, {rollout.min_requests} are wanted"
        return RolloutVerdict(False, reason)
    return RolloutVerdict(True, f"its nodes did no worse: {_compared(canaries, controls)}")


def failures(counts: RequestCounts) -> int:
    """Return how many requests were rejected, failed or late."""
    return counts.refused + counts.failed


def total_counts(ranges: Iterable[CountRange]) -> RequestCounts:
    """Return the counts of all processes together since their observation began."""
    read = rejected = failed = 0
    for counted in ranges:
        read += counted.last.read - counted.first.read
        rejected += counted.last.refused - counted.first.refused
        failed += counted.last.failed - counted.first.failed
    rejected = min(rejected, read)  # requests that were read before the observation began may end within it
    return RequestCounts(read, rejected, min(failed, read - rejected))


def _compared(canaries: RequestCounts, controls: RequestCounts) -> str:
    return f"{_described(canaries)} there, {_described(controls)} elsewhere"


def _described(counts: RequestCounts) -> str:
    return f"{counts.refused} refused and {counts.failed} failed of {counts.read}"
