"""Evaluation of a canary rollout: the nodes that activated the version first are compared with the others.

The leader evaluates the request counts in heartbeats. Only its decision is replicated, so a new leader starts the
observation again and observes for the whole duration. A version is withdrawn as soon as its nodes perform
significantly worse or one of their processes ends. It is promoted at the end of its duration if enough requests were
observed and its nodes performed no worse.
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

# Number of standard errors by which two shares must differ to be significant. By chance alone, they differ by that
# much once in several hundred evaluations.
SIGNIFICANCE = 3.0
ADOPTION_TIMEOUT = 10 * SECOND  # beyond the rollout's duration, for all its nodes to activate the version


@dataclass(slots=True, frozen=True)
class ReceivedHeartbeat:
    """The last heartbeat of a process, and when it was received."""

    heartbeat: Heartbeat
    received_at: datetime


@dataclass(slots=True, frozen=True)
class RolloutDecision:
    """A command that promotes a version in canary rollout to all nodes, or withdraws it."""

    name: str
    version: int
    promote: bool
    reason: str

    def to_json(self) -> CommandJson:
        """Return the stored form."""
        stored: dict[str, object] = {"m": MACHINE, "doc": self.name, "version": self.version}
        stored["why"] = self.reason
        return stored | ({"do": "commit", "whole": True} if self.promote else {"do": "withdraw"})


@dataclass(slots=True, frozen=True)
class RolloutVerdict:
    """The verdict on a rollout, and the reason for it."""

    promote: bool
    reason: str


@dataclass(slots=True)
class CountRange:
    """The cumulative request counts of one process when its observation started, and in its last heartbeat."""

    first: RequestCounts
    last: RequestCounts


@dataclass(slots=True)
class RolloutObservation:
    """The observations of one rollout by this leader."""

    started_at: datetime
    adopted_at: datetime | None = None  # when all of its nodes had activated the version
    canaries: dict[str, CountRange] = field(default_factory=dict)  # by process on its nodes
    controls: dict[str, CountRange] = field(default_factory=dict)  # by process on the other nodes

    def update_counts(
        self,
        name: str,
        prepared: PreparedVersion,
        live: set[str],
        heartbeats: Mapping[str, ReceivedHeartbeat],
    ) -> None:
        """Update the request counts of all live processes; a canary is included once it has activated the version."""
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
        """Return the nodes of the rollout that have not activated the version yet."""
        return set(rollout.nodes) - {node_of_process(process) for process in self.canaries}


class RolloutMonitor:
    """The leader's evaluation of all started rollouts."""

    def __init__(self) -> None:
        """Initialize the monitor with no observations."""
        self._observations: dict[tuple[str, int], RolloutObservation] = {}

    def become_leader(self) -> None:
        """Discard all observations, as those of an earlier term as leader are outdated."""
        self._observations.clear()

    def evaluate(
        self,
        now: datetime,
        store: ConfigStore,
        heartbeats: Mapping[str, ReceivedHeartbeat],
        lease_term: timedelta,
    ) -> list[RolloutDecision]:
        """Evaluate all started rollouts, and return the decisions to propose.

        Args:
            now: The leader's clock.
            store: The state of the documents on this replica.
            heartbeats: The last heartbeat of each process.
            lease_term: Duration of a configuration lease. A process that has sent no heartbeat for that long may have
                ended.
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
            observation.update_counts(name, prepared, live, heartbeats)
            verdict = self._evaluate_rollout(now, prepared, observation, live, heartbeats, lease_term)
            if verdict is None:
                continue
            if verdict.promote and store.missing_acknowledgements(store.documents[name]):
                continue  # a process that started during the rollout has not acknowledged the version yet
            decisions.append(RolloutDecision(name, number, verdict.promote, verdict.reason))
        return decisions

    def _evaluate_rollout(
        self,
        now: datetime,
        prepared: PreparedVersion,
        observation: RolloutObservation,
        live: set[str],
        heartbeats: Mapping[str, ReceivedHeartbeat],
        lease_term: timedelta,
    ) -> RolloutVerdict | None:
        """Return the verdict on one rollout, or None if it is not decided yet."""
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
            return RolloutVerdict(False, f"its nodes do worse: {_format_comparison(canaries, controls)}")
        if now < observation.adopted_at + rollout.duration_ms * MILLISECOND:
            return None
        received = [
            heartbeats[process].received_at for process in observation.canaries if process in heartbeats
        ]
        if any(received_at < now - lease_term for received_at in received):
            return None  # a canary sends no heartbeats: wait until it does again or its lease expires
        return _final_verdict(rollout, canaries, controls)

    def is_degraded(
        self, canaries: RequestCounts, controls: RequestCounts, max_degradation: float, min_requests: int
    ) -> bool:
        """Return whether the canaries fail more requests than permitted, and more than chance explains.

        This is a two-proportion z-test with the pooled proportion.

        Args:
            canaries: Counts of the rollout's nodes.
            controls: Counts of the other nodes.
            max_degradation: Permitted difference of their shares of failed requests, between 0 and 1.
            min_requests: Number of requests on the rollout's nodes below which there is no degradation.
        """
        canary_requests, control_requests = canaries.read, controls.read
        if canary_requests < max(min_requests, 1):
            return False
        canary_share = count_failures(canaries) / canary_requests
        control_share = count_failures(controls) / control_requests if control_requests else 0.0
        pooled = (count_failures(canaries) + count_failures(controls)) / (canary_requests + control_requests)
        variance = (
            pooled
            * (1 - pooled)
            * (1 / canary_requests + (1 / control_requests if control_requests else 0.0))
        )
        degradation = canary_share - control_share
        return not (degradation <= max_degradation or degradation <= SIGNIFICANCE * math.sqrt(variance))


def _active_version(heartbeat: Heartbeat, document: str) -> int | None:
    """Return the version of a document that is active on the sender, or None."""
    active = {
        name: version
        for name, version, state, _, _ in heartbeat.document_states
        if state == FollowerState.ACTIVE.wire_word
    }
    return active.get(document)


def _await_adoption(
    now: datetime, rollout: Rollout, observation: RolloutObservation
) -> RolloutVerdict | None:
    """Start the rollout's duration once all of its nodes have activated the version.

    Return a verdict only if they do not activate it in time.
    """
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
    return RolloutVerdict(True, f"its nodes did no worse: {_format_comparison(canaries, controls)}")


def count_failures(counts: RequestCounts) -> int:
    """Return the number of requests that were rejected, failed or late."""
    return counts.refused + counts.failed


def total_counts(ranges: Iterable[CountRange]) -> RequestCounts:
    """Return the total counts of several processes since the observation of each started."""
    read = rejected = failed = 0
    for count_range in ranges:
        read += count_range.last.read - count_range.first.read
        rejected += count_range.last.refused - count_range.first.refused
        failed += count_range.last.failed - count_range.first.failed
    # Requests that were read before the observation started may be rejected or fail after it.
    rejected = min(rejected, read)
    return RequestCounts(read, rejected, min(failed, read - rejected))


def _format_comparison(canaries: RequestCounts, controls: RequestCounts) -> str:
    return f"{_format_counts(canaries)} there, {_format_counts(controls)} elsewhere"


def _format_counts(counts: RequestCounts) -> str:
    return f"{counts.refused} refused and {counts.failed} failed of {counts.read}"
