"""Mutations: deliberate defects, each of which removes one rule from the product and must be detected by a drill.

The product itself contains none of them: a mutation replaces classes or settings only in a simulation or a drill.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Any

from marlstep.consensus.raft import Raft
from marlstep.consensus.replica import Replica
from marlstep.consensus.replication import MAX_ENTRIES_PER_MESSAGE
from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.fault_injection.plan import DOCUMENT_STEPS, RANDOM_FAULT_TYPES, PlanSettings
from marlstep.leases.commands import GrantLease, LeaseGranted, LeaseResult
from marlstep.leases.holder import LeaseEvent, LeaseHolder
from marlstep.leases.manager import LeaseManager, no_quota_shares
from marlstep.leases.messages import DocumentStatus, HeartbeatResponse, RequestCounts
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import Lease, LeaseTable
from marlstep.membership.membership_state import MembershipState
from marlstep.membership.quota_table import QuotaShare, QuotaTable
from marlstep.membership.records import MemberRecord
from marlstep.replicated_config.commands import PrepareVersion
from marlstep.replicated_config.documents import Document
from marlstep.replicated_config.followed_document import FollowerState
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import SuspendDocument
from marlstep.replicated_config.results import VersionPrepared
from marlstep.replicated_config.rollout import RolloutMonitor
from marlstep.replicated_config.store import ConfigStore
from marlstep.scheduled_tasks.actions import ActionKind, RunnerAction
from marlstep.scheduled_tasks.runner import RunnerState, TaskRunner
from marlstep.units import MILLISECOND, ZERO


class CountsLeaseFromResponse(LeaseHolder):
    """Counts the lease duration from the receipt of the response instead of from the sending of its heartbeat."""

    def handle_response(self, now: datetime, response: HeartbeatResponse) -> list[LeaseEvent]:
        """Handle a response as if its heartbeat had been sent now."""
        if response.number in self._sent_heartbeats:
            self._sent_heartbeats[response.number] = now
        return super().handle_response(now, response)


class KeepsExpiredLeases(LeaseHolder):
    """Keeps every lease that it was ever granted, however long the group does not respond."""

    def time_left(self, name: str, now: datetime) -> timedelta:
        """Return a full lease duration for every lease that was granted."""
        return self.settings.term if name in self.held else ZERO

    def tick(self, now: datetime) -> list[LeaseEvent]:
        """Return no events, so that no lease expires."""
        return []


class CommitsEntriesOfEarlierTerms(Raft):
    """Commits entries of earlier terms once a majority stores them: figure 8 of the Raft paper."""

    def _advance_commit_index(self) -> None:
        index = self.replication.quorum_match_index(self._durable_index)
        if index > self.commit_index:
            self.commit_index = index
            self.replication.request_broadcast()


class ReusesTokens(LeaseTable):
    """Reuses the fencing token of the previous grant for the next grant of a lease."""

    def _grant(self, command: GrantLease) -> LeaseResult:
        previous, holder = self.leases.get(command.name), command.holder
        if previous is None or previous.holder or not previous.token:
            return super()._grant(command)
        self.held_counts[holder] += 1
        self.leases[command.name] = Lease(
            holder, previous.token, previous.previous_node, previous.grant_count + 1
        )
        return LeaseGranted(holder, previous.token)


class ConfirmsRenewalsWithoutQuorum(LeaseManager):
    """Confirms renewals without checking with a majority that this voter is still the leader."""

    def take_responses(
        self,
        now: datetime,
        confirmed_round: int,
        leader: str,
        term: int,
        documents: tuple[DocumentStatus, ...] = (),
        quota_shares: Any = no_quota_shares,
    ) -> list[tuple[str, HeartbeatResponse]]:
        """Return the responses as if every round of heartbeats were confirmed."""
        return super().take_responses(now, 1 << 60, leader, term, documents, quota_shares)


class NeverStepsDown(Raft):
    """Remains leader even if a majority does not respond to it."""

    def _hears_majority(self, now: datetime) -> bool:
        return True


class ShortensLeasesAfterElection(LeaseManager):
    """Lets all leases expire 200 ms after an election instead of after a full lease duration."""

    def become_leader(self, now: datetime) -> None:
        """Take over leadership with leases that expire in 200 ms."""
        super().become_leader(now)
        self._expiries = dict.fromkeys(self._expiries, now + 200 * MILLISECOND)


class SkipsFencing(TaskRunner):
    """Acts as a new lease holder without fencing off requests of the previous holder that may be in flight."""

    def _handle_inspection(self, now: datetime, answer: Any) -> None:
        super()._handle_inspection(now, answer)
        if self.state is RunnerState.FENCING:
            self.state = RunnerState.RECORDING_FENCE


class BypassesRunLog(TaskRunner):
    """Begins and ends runs without recording them in the log: every node that assumes it holds the lease acts."""

    def next_action(self, now: datetime, wall: datetime, time_left: timedelta) -> RunnerAction | None:
        """Return the next action other than begin and end, which succeed without a command to the group."""
        action = super().next_action(now, wall, time_left)
        while action is not None and action.kind in (ActionKind.BEGIN, ActionKind.END):
            self.handle_result(now, action, {"begun": action.run})
            action = super().next_action(now, wall, time_left)
        return action


class GrantsEveryVote(Raft):
    """Grants its vote to every candidate, even to one whose log is behind."""

    def _handle_request_vote(self, now: datetime, sender: str, request: Any) -> None:
        super()._handle_request_vote(
            now, sender, replace(request, last_log_index=1 << 40, last_log_term=1 << 40)
        )


class IgnoresMissingAcknowledgements(ConfigStore):
    """Puts a change in force without the acknowledgements of the nodes that act on the document."""

    def missing_acknowledgements(self, document: Document) -> list[str]:
        """Return no nodes, as if all had acknowledged the change."""
        return []


class IgnoresExpectedVersion(ConfigStore):
    """Accepts a put whatever version it expects: compare-and-set without the comparison."""

    def _apply_prepare(self, command: PrepareVersion) -> VersionPrepared:
        stored = self.documents.get(command.document)
        active_version = stored.active_number if stored is not None else 0
        if stored is not None and stored.prepared is not None:
            stored.prepared = None
        return super()._apply_prepare(replace(command, expected_version=active_version))


class CountsEarlierProcesses(ConfigStore):
    """Counts an acknowledgement of an earlier process of a node for its current process."""

    def missing_acknowledgements(self, document: Document) -> list[str]:
        """Return the processes of nodes of which no process has acknowledged the change."""
        missing = super().missing_acknowledgements(document)
        pending = document.prepared
        acknowledged_nodes = (
            {process_name.partition("/")[0] for process_name in pending.acknowledgements}
            if pending is not None
            else set()
        )
        return [
            process_name
            for process_name in missing
            if process_name.partition("/")[0] not in acknowledged_nodes
        ]


class AcknowledgesBeforeSuspending(ConfigFollower):
    """Acknowledges a change of a strict document but continues to act on the previous version."""

    def _reach_version(
        self, now: datetime, document: Any, version: int, digest: str, prepared_version: int
    ) -> list[Any]:
        return super()._reach_version(now, document, version, digest, 0)

    def _prepare(self, now: datetime, document: Any, target: Any) -> list[Any]:
        state = document.state
        actions = super()._prepare(now, document, target)
        document.state = state
        return [action for action in actions if not isinstance(action, SuspendDocument)]


class ActsOnStoredVersions(ConfigFollower):
    """Acts on the version from before its restart until the group reports another one."""

    def tick(self, now: datetime, time_left: timedelta) -> list[Any]:
        """Act on the time only after the group has reported a version."""
        has_target = any(document.target is not None for document in self.documents.values())
        return super().tick(now, time_left) if has_target else []


class ActsOnOutdatedVersion(ConfigFollower):
    """Continues with an old version after it lost and regained its lease, until it has fetched the new one."""

    def _reach_version(
        self, now: datetime, document: Any, version: int, digest: str, prepared_version: int
    ) -> list[Any]:
        state = document.state
        actions = super()._reach_version(now, document, version, digest, prepared_version)
        if document.state is FollowerState.CATCHING_UP:
            document.state = state
        return [
            action
            for action in actions
            if not (isinstance(action, SuspendDocument) and "not here yet" in action.reason)
        ]


class NeverDetectsDegradation(RolloutMonitor):
    """Never regards the canaries of a staged rollout as degraded, however many of their requests fail."""

    def is_degraded(
        self, canaries: RequestCounts, controls: RequestCounts, max_degradation: float, min_requests: int
    ) -> bool:
        """Return False for every rollout."""
        return False


class FreesQuotaImmediately(QuotaTable):
    """Frees a quota share as soon as its holder is asked to give it up, before the holder has done so."""

    def apply(self, command: CommandJson) -> ResultJson:
        """Apply a command; a share that is asked back is free at once."""
        result = super().apply(command)
        if command["do"] == "shrink" and "part" in result:
            self.tenants[command["tenant"]][result["holder"]] = QuotaShare(result["part"], result["part"])
        return result


class KeepsIncarnation(MembershipState):
    """Refutes a suspicion without raising its incarnation."""

    def _refute(self, now: datetime, record: MemberRecord) -> None:
        local_record = self.members.local
        super()._refute(now, record)
        if record.process_id == local_record.process_id:
            self.members.local = local_record


class AcceptsAnyProcess(MembershipState):
    """Accepts the last record received for a node, whichever of its processes that is from."""

    def merge_record(self, now: datetime, record: MemberRecord, reason: str) -> bool:
        """Merge a record even if it is of an earlier process of the node."""
        member = self.members.others.get(record.node)
        if (
            member is not None
            and record.process_id != member.record.process_id
            and record.precedence <= member.record.precedence
        ):
            member.record = replace(record, generation=member.record.generation)
            self._restart_suspicion(member)
            return True
        return super().merge_record(now, record, reason)


def unchanged_settings(settings: LeaseSettings) -> LeaseSettings:
    """Return the settings unchanged."""
    return settings


def without_drift_margin(settings: LeaseSettings) -> LeaseSettings:
    """Return the settings without a margin for clock drift."""
    return replace(settings, drift=0.0)


@dataclass(slots=True, frozen=True)
class Mutation:
    """A deliberate defect, together with the conditions under which a drill detects it.

    Attributes:
        name: The name by which a drill selects it; empty for the unchanged product.
        classes: The mutated classes, each of which replaces its base class in the product.
        settings: Returns the settings of leases to use instead of the given ones.
        sends_before_sync: A voter sends its messages before the state that they depend on is synced.
        trusts_restored_stores: A voter keeps its identity when its store was restored from an old copy.
        ignores_capabilities: A process also performs acts that its partition state forbids.
        loss: The share of messages that are lost; some mutations are detected only on a lossy network.
        delay_us: The longest delay of a message, in microseconds.
        stuck_share: The share of requests that are stuck in a queue on their way to the task server.
        max_entries_per_message: The most log entries in one message.
        shape: What the random plans of the drill are drawn from.
        within: The number of seeds of which at least one must detect the mutation.
    """

    name: str = ""
    classes: tuple[type, ...] = ()
    settings: Callable[[LeaseSettings], LeaseSettings] = unchanged_settings
    sends_before_sync: bool = False
    trusts_restored_stores: bool = False
    ignores_capabilities: bool = False
    loss: float = 0.01
    delay_us: int = 12_000
    stuck_share: float = 0.02
    max_entries_per_message: int = MAX_ENTRIES_PER_MESSAGE
    shape: PlanSettings = field(
        default_factory=lambda: PlanSettings(fault_types=RANDOM_FAULT_TYPES, mean_interval_ms=700)
    )
    within: int = 300

    @property
    def runs_on_processes(self) -> bool:
        """Whether real processes can run it, which only replace classes and ignore capabilities."""
        replaces_only_classes = (
            self.settings is unchanged_settings
            and not self.sends_before_sync
            and not self.trusts_restored_stores
        )
        return replaces_only_classes and bool(self.classes or self.ignores_capabilities)

    def apply_to(self, part: object) -> None:
        """Change an object of the product to its mutated class, if there is one."""
        for mutated_class in self.classes:
            if type(part) is mutated_class.__base__:
                part.__class__ = mutated_class

    def apply_to_replica(self, voter: Replica) -> None:
        """Apply the mutation to the parts of a voter."""
        for part in (voter.raft, voter.leases, voter.lease_manager, voter.rollout):
            self.apply_to(part)


_FOR_LEASES = (
    Mutation(
        "no-drift-margin",
        settings=without_drift_margin,
        shape=PlanSettings(drift=0.1, fault_types=("isolate", "kill", "one way", "stop")),
    ),
    Mutation(
        "vote-not-synced",
        sends_before_sync=True,
        shape=PlanSettings(
            fault_types=("crash at", "isolate", "kill", "restart all", "slow disk"), mean_interval_ms=500
        ),
    ),
    Mutation("counted-from-answer", (CountsLeaseFromResponse,)),
    Mutation(
        "old-term-commit",
        (CommitsEntriesOfEarlierTerms,),
        loss=0.05,
        max_entries_per_message=1,
        delay_us=150_000,
        shape=PlanSettings(
            nodes=3, fault_types=("isolate", "kill", "one way"), mean_interval_ms=350, max_duration_ms=1_500
        ),
    ),
    Mutation("token-reused", (ReusesTokens,)),
    Mutation(
        "store-copy-trusted",
        trusts_restored_stores=True,
        shape=PlanSettings(fault_types=("old store", "isolate", "kill"), mean_interval_ms=600),
    ),
    Mutation(
        "renewal-unconfirmed",
        (ConfirmsRenewalsWithoutQuorum, NeverStepsDown),
        shape=PlanSettings(fault_types=("isolate", "cut", "kill"), mean_interval_ms=1_500),
    ),
    Mutation("no-wait-at-election", (ShortensLeasesAfterElection,)),
    Mutation(
        "no-fence",
        (SkipsFencing,),
        stuck_share=0.3,
        shape=PlanSettings(fault_types=("stop", "isolate", "kill"), mean_interval_ms=700),
        within=600,
    ),
    Mutation(
        "any-vote",
        (GrantsEveryVote,),
        shape=PlanSettings(fault_types=("isolate", "kill", "cut"), mean_interval_ms=400),
    ),
)
LEASE_MUTATIONS = {one.name: one for one in _FOR_LEASES}
_FOR_DOCUMENTS = (
    Mutation("acts-before-all-said-so", (IgnoresMissingAcknowledgements,)),
    Mutation(
        "rules-counted-from-answer",
        (CountsLeaseFromResponse,),
        shape=PlanSettings(fault_types=("isolate", "slow", "cut", "kill")),
    ),
    Mutation(
        "version-from-disk",
        (ActsOnStoredVersions,),
        shape=PlanSettings(fault_types=("kill", "restart all"), mean_interval_ms=600),
    ),
    Mutation("any-version", (IgnoresExpectedVersion,)),
    Mutation(
        "earlier-lives-count",
        (CountsEarlierProcesses,),
        shape=PlanSettings(fault_types=("kill",), mean_interval_ms=400, max_duration_ms=300),
    ),
    Mutation("says-before-it-stops", (AcknowledgesBeforeSuspending,)),
    Mutation("acts-while-behind", (ActsOnOutdatedVersion,)),  # detected by the model checker
    Mutation("part-given-at-once", (FreesQuotaImmediately,)),
    Mutation(
        "stage-not-looked-at",
        (NeverDetectsDegradation,),
        shape=PlanSettings(fault_types=("crash at", "cut"), steps=DOCUMENT_STEPS),
    ),
)
_FOR_MEMBERSHIP = (
    Mutation("incarnation-not-raised", (KeepsIncarnation,)),
    Mutation("old-boot-taken", (AcceptsAnyProcess,)),
    Mutation(
        "acts-in-any-situation", (KeepsExpiredLeases, BypassesRunLog), ignores_capabilities=True
    ),  # processes only
)
MEMBERSHIP_MUTATIONS = {one.name: one for one in _FOR_MEMBERSHIP}
DOCUMENT_MUTATIONS = {one.name: one for one in _FOR_DOCUMENTS}
