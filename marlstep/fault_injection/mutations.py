"""Deliberate breakages: each takes one rule out of the code, and must be found by the drill. None is in the product."""

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


class CountsFromAnswer(LeaseHolder):
    """A lease is counted from the answer in the place of the question."""

    def handle_response(self, now: datetime, response: HeartbeatResponse) -> list[LeaseEvent]:
        if response.number in self._sent_heartbeats:
            self._sent_heartbeats[response.number] = now
        return super().handle_response(now, response)


class NeverLapses(LeaseHolder):
    """What it once had it acts on, however long the group is silent."""

    def time_left(self, name: str, now: datetime) -> timedelta:
        return self.settings.term if name in self.held else ZERO

    def tick(self, now: datetime) -> list[LeaseEvent]:
        return []


class CommitsOldTerms(Raft):
    """What a majority has is committed, whatever its term: figure 8 of the paper."""

    def _advance_commit_index(self) -> None:
        index = self.replication.quorum_match_index(self._durable_index)
        if index > self.commit_index:
            self.commit_index = index
            self.replication.request_broadcast()


class ReusesTokens(LeaseTable):
    """A lease's next grant has the token of the one before."""

    def _grant(self, command: GrantLease) -> LeaseResult:
        before, holder = self.leases.get(command.name), command.holder
        if before is None or before.holder or not before.token:
            return super()._grant(command)
        self.held_counts[holder] += 1
        self.leases[command.name] = Lease(holder, before.token, before.previous_node, before.grant_count + 1)
        return LeaseGranted(holder, before.token)


class Unconfirmed(LeaseManager):
    """A renewal is answered without asking whether this voter still leads."""

    def take_responses(
        self,
        now: datetime,
        confirmed_round: int,
        leader: str,
        term: int,
        documents: tuple[DocumentStatus, ...] = (),
        quota_shares: Any = no_quota_shares,
    ) -> list[tuple[str, HeartbeatResponse]]:
        return super().take_responses(now, 1 << 60, leader, term, documents, quota_shares)


class NeverStepsDown(Raft):
    """One that leads goes on, whether a majority hears it or not."""

    def _hears_majority(self, now: datetime) -> bool:
        return True


class ShortAfterElection(LeaseManager):
    """A voter that comes to lead takes the terms of leases for nearly over."""

    def become_leader(self, now: datetime) -> None:
        super().become_leader(now)
        self._expiries = dict.fromkeys(self._expiries, now + 200 * MILLISECOND)


class NeverDoubts(TaskRunner):
    """A new holder acts at once, whatever may still be on its way from the one before."""

    def _handle_inspection(self, now: datetime, result: Any) -> None:
        super()._handle_inspection(now, result)
        if self.state is RunnerState.FENCING:
            self.state = RunnerState.RECORDING_FENCE


class BeginsAlone(TaskRunner):
    """A run is begun and ended without the log: whoever holds the lease, or thinks so, acts."""

    def next_action(self, now: datetime, wall: datetime, left: timedelta) -> RunnerAction | None:
        do = super().next_action(now, wall, left)
        while do is not None and do.kind in (ActionKind.BEGIN, ActionKind.END):
            self.handle_result(now, do, {"begun": do.run})
            do = super().next_action(now, wall, left)
        return do


class TrustsAnyVote(Raft):
    """A vote is given to whoever asks, also where its log is behind."""

    def _handle_request_vote(self, now: datetime, sender: str, ask: Any) -> None:
        super()._handle_request_vote(now, sender, replace(ask, last_log_index=1 << 40, last_log_term=1 << 40))


class CommitsAtOnce(ConfigStore):
    """A change comes into force without the word of those who act."""

    def missing_acknowledgements(self, document: Document) -> list[str]:
        return []


class AnyVersion(ConfigStore):
    """Compare-and-set without the compare."""

    def _apply_prepare(self, command: PrepareVersion) -> VersionPrepared:
        known = self.documents.get(command.document)
        number = known.active_number if known is not None else 0
        if known is not None and known.prepared is not None:
            known.prepared = None
        return super()._apply_prepare(replace(command, expected_version=number))


class CountsEarlierLives(ConfigStore):
    """The word of a node's earlier process counts for the one that came after it."""

    def missing_acknowledgements(self, document: Document) -> list[str]:
        waits = super().missing_acknowledgements(document)
        pending = document.prepared
        said = {one.partition("/")[0] for one in pending.acknowledgements} if pending is not None else set()
        return [one for one in waits if one.partition("/")[0] not in said]


class SaysBeforeItStops(ConfigFollower):
    """A strict document is still acted on after the node has said that it stopped."""

    def _reach_version(self, now: datetime, one: Any, version: int, digest: str, pending: int) -> list[Any]:
        return super()._reach_version(now, one, version, digest, 0)

    def _prepare(self, now: datetime, one: Any, target: Any) -> list[Any]:
        state = one.state
        done = super()._prepare(now, one, target)
        one.state = state
        return [do for do in done if not isinstance(do, SuspendDocument)]


class TrustsItsDisk(ConfigFollower):
    """What it acted on before its restart counts until the group says something else."""

    def tick(self, now: datetime, left: timedelta) -> list[Any]:
        heard = any(one.target is not None for one in self.documents.values())
        return super().tick(now, left) if heard else []


class ActsWhileBehind(ConfigFollower):
    """A lease that was lost and came again lets it go on with an old version until the new one is here."""

    def _reach_version(self, now: datetime, one: Any, version: int, digest: str, pending: int) -> list[Any]:
        state = one.state
        done = super()._reach_version(now, one, version, digest, pending)
        if one.state is FollowerState.CATCHING_UP:
            one.state = state
        return [do for do in done if not (isinstance(do, SuspendDocument) and "not here yet" in do.reason)]


class NeverLooks(RolloutMonitor):
    """A stage goes on after its time, however its nodes do."""

    def is_degraded(
        self, canaries: RequestCounts, controls: RequestCounts, max_degradation: float, min_requests: int
    ) -> bool:
        return False


class GivesAtOnce(QuotaTable):
    """A part that its process is asked to give up is another's at once."""

    def apply(self, command: CommandJson) -> ResultJson:
        result = super().apply(command)
        if command["do"] == "shrink" and "part" in result:
            self.tenants[command["tenant"]][result["holder"]] = QuotaShare(result["part"], result["part"])
        return result


class NeverRaises(MembershipState):
    """Who hears that it is suspected says only that it is there, with the incarnation that it had."""

    def _refute(self, now: datetime, record: MemberRecord) -> None:
        me = self.members.local
        super()._refute(now, record)
        if record.process_id == me.process_id:
            self.members.local = me


class TakesAnyLife(MembershipState):
    """What is heard last of a name counts, of whichever of its processes."""

    def merge_record(self, now: datetime, record: MemberRecord, reason: str) -> bool:
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


def same(settings: LeaseSettings) -> LeaseSettings:
    return settings


def no_margin(settings: LeaseSettings) -> LeaseSettings:
    return replace(settings, drift=0.0)


@dataclass(slots=True, frozen=True)
class Mutation:
    """By name; `classes` take the place of the product's, and the rest is of the world around."""

    name: str = ""
    classes: tuple[type, ...] = ()
    settings: Callable[[LeaseSettings], LeaseSettings] = same
    sends_before_sync: bool = False
    trusts_restored_stores: bool = False
    ignores_capabilities: bool = False  # a process does what its situation forbids
    loss: float = 0.01  # of messages: some breakages show only on a bad network
    delay_us: int = 12_000  # of a message, at the most
    stuck: float = 0.02  # share of acts that stick in a line on their way
    max_entries_per_message: int = MAX_ENTRIES_PER_MESSAGE  # of one message
    shape: PlanSettings = field(
        default_factory=lambda: PlanSettings(fault_types=RANDOM_FAULT_TYPES, mean_interval_ms=700)
    )
    within: int = 300  # seeds

    @property
    def runs_on_processes(self) -> bool:
        """It is all in classes of the product: nothing of it is in the virtual network or in what a node is told."""
        told = self.settings is same and not self.sends_before_sync and not self.trusts_restored_stores
        return told and bool(self.classes or self.ignores_capabilities)

    def apply_to(self, part: object) -> None:
        """Make one object of the product a broken one, where its class is among those that are broken."""
        for broken in self.classes:
            if type(part) is broken.__base__:
                part.__class__ = broken

    def apply_to_replica(self, voter: Replica) -> None:
        for part in (voter.raft, voter.leases, voter.lease_manager, voter.rollout):
            self.apply_to(part)


_ALL = (
    Mutation(
        "no-drift-margin",
        settings=no_margin,
        shape=PlanSettings(drift=0.1, fault_types=("isolate", "kill", "one way", "stop")),
    ),
    Mutation(
        "vote-not-synced",
        sends_before_sync=True,
        shape=PlanSettings(
            fault_types=("crash at", "isolate", "kill", "restart all", "slow disk"), mean_interval_ms=500
        ),
    ),
    Mutation("counted-from-answer", (CountsFromAnswer,)),
    Mutation(
        "old-term-commit",
        (CommitsOldTerms,),
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
        (Unconfirmed, NeverStepsDown),
        shape=PlanSettings(fault_types=("isolate", "cut", "kill"), mean_interval_ms=1_500),
    ),
    Mutation("no-wait-at-election", (ShortAfterElection,)),
    Mutation(
        "no-fence",
        (NeverDoubts,),
        stuck=0.3,
        shape=PlanSettings(fault_types=("stop", "isolate", "kill"), mean_interval_ms=700),
        within=600,
    ),
    Mutation(
        "any-vote",
        (TrustsAnyVote,),
        shape=PlanSettings(fault_types=("isolate", "kill", "cut"), mean_interval_ms=400),
    ),
)
LEASE_MUTATIONS = {one.name: one for one in _ALL}
_RULES = (
    Mutation("acts-before-all-said-so", (CommitsAtOnce,)),
    Mutation(
        "rules-counted-from-answer",
        (CountsFromAnswer,),
        shape=PlanSettings(fault_types=("isolate", "slow", "cut", "kill")),
    ),
    Mutation(
        "version-from-disk",
        (TrustsItsDisk,),
        shape=PlanSettings(fault_types=("kill", "restart all"), mean_interval_ms=600),
    ),
    Mutation("any-version", (AnyVersion,)),
    Mutation(
        "earlier-lives-count",
        (CountsEarlierLives,),
        shape=PlanSettings(fault_types=("kill",), mean_interval_ms=400, max_duration_ms=300),
    ),
    Mutation("says-before-it-stops", (SaysBeforeItStops,)),
    Mutation("acts-while-behind", (ActsWhileBehind,)),  # the walk finds it
    Mutation("part-given-at-once", (GivesAtOnce,)),
    Mutation(
        "stage-not-looked-at",
        (NeverLooks,),
        shape=PlanSettings(fault_types=("crash at", "cut"), steps=DOCUMENT_STEPS),
    ),
)
_MEMBERS = (
    Mutation("incarnation-not-raised", (NeverRaises,)),
    Mutation("old-boot-taken", (TakesAnyLife,)),
    Mutation("acts-in-any-situation", (NeverLapses, BeginsAlone), ignores_capabilities=True),  # on processes
)
MEMBERSHIP_MUTATIONS = {one.name: one for one in _MEMBERS}
DOCUMENT_MUTATIONS = {one.name: one for one in _RULES}
