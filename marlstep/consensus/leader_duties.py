"""The leader's controllers for the cluster's nodes: leases, configuration documents, the roster and quotas.

They decide from the reports in the processes' heartbeats and propose commands, whose results they receive when the log
entries are applied. Their own state is not replicated: a new leader starts without it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Final

import orjson

from marlstep.consensus.raft import Raft
from marlstep.consensus.replica_settings import ReplicaSettings, node_of
from marlstep.consensus.replica_status import ProcessStanding, ReplicaEvent
from marlstep.consensus.state_machine import Command, CommandJson, ResultJson, StateMachines
from marlstep.leases.manager import LeaseManager, no_quota_shares
from marlstep.leases.messages import Heartbeat, HeartbeatResponse
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.leases.table import LeaseTable
from marlstep.membership.quota_balancer import QuotaBalancer
from marlstep.membership.quota_table import QuotaTable
from marlstep.membership.roster import Roster
from marlstep.membership.roster_controller import FailureReport, RosterController, RosterSettings
from marlstep.replicated_config.commands import CommitVersion
from marlstep.replicated_config.rollout import ReceivedHeartbeat, RolloutDecision, RolloutMonitor
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import MILLISECOND

TENANT_DEMAND_SCALE = 1000  # heartbeats report the demand of a tenant in requests per 1000 s


class MachineName:
    """The names of the state machines in the key `m` of commands and in the keys of snapshots."""

    LEASES: Final = "leases"
    CONFIG_STORE: Final = "rules"
    ROSTER: Final = "members"
    QUOTAS: Final = "shares"


@dataclass(slots=True, frozen=True)
class ReplicatedState:
    """The state machines that the duties read; None if the group has no such machine."""

    leases: LeaseTable
    config_store: ConfigStore | None
    roster: Roster | None
    quotas: QuotaTable | None

    @staticmethod
    def from_machines(leases: LeaseTable, machines: StateMachines) -> ReplicatedState:
        """Return the state machines in `machines` by their names, with the lease table."""
        config_store = machines.machines.get(MachineName.CONFIG_STORE)
        roster = machines.machines.get(MachineName.ROSTER)
        quotas = machines.machines.get(MachineName.QUOTAS)
        return ReplicatedState(
            leases,
            config_store if isinstance(config_store, ConfigStore) else None,
            roster if isinstance(roster, Roster) else None,
            quotas if isinstance(quotas, QuotaTable) else None,
        )


class LeaderDuties:
    """The leader's controllers, driven by timers, heartbeats and applied commands."""

    def __init__(
        self,
        node: str,
        raft: Raft,
        state: ReplicatedState,
        settings: ReplicaSettings,
        events: deque[ReplicaEvent],
    ) -> None:
        """Initialize inactive duties that propose commands to `raft` and report to operators in `events`."""
        self._node = node
        self._raft = raft
        self._state = state
        self._settings = settings
        self._events = events
        self._term = 0  # the term in which these duties were started; 0 while they are inactive
        self.lease_manager = LeaseManager(state.leases, settings.leases)
        self.rollout = RolloutMonitor()
        self.roster_controller = RosterController(settings.roster or RosterSettings())
        self.quota_balancer = QuotaBalancer()
        self.proposed_decisions: set[tuple[str, int]] = set()  # document and version, until applied

    # Start and end of a term

    @property
    def is_active(self) -> bool:
        """Whether the duties were started and not stopped since."""
        return self._term > 0

    @property
    def is_current(self) -> bool:
        """Whether the duties were started in the current term."""
        return self._term == self._raft.term

    def start_term(self, now: datetime) -> None:
        """Start the duties as the established leader of the current term."""
        self._term = self._raft.term
        self.lease_manager.become_leader(now)
        self.rollout.become_leader()
        self.roster_controller.become_leader(now)
        self.quota_balancer.become_leader()
        self._update_eligible_nodes()
        self.proposed_decisions.clear()

    def step_down(self) -> None:
        """Stop the duties after the leadership was lost."""
        self._term = 0
        self.lease_manager.step_down()

    # Leases and heartbeats

    def next_due(self) -> datetime | None:
        """Return the time at which `expire_and_grant_leases` should be called next; None if no lease timer is set."""
        return self.lease_manager.next_due()

    def handle_heartbeat(self, now: datetime, heartbeat: Heartbeat) -> None:
        """Handle a process's heartbeat; the response follows once a majority has confirmed this leader."""
        commands = self.lease_manager.handle_heartbeat(now, heartbeat, self._raft.heartbeat_round + 1)
        self._propose_all(commands)

    def expire_and_grant_leases(self, now: datetime) -> None:
        """Propose to end expired leases and to grant free leases to processes that want them."""
        self._propose_all(self.lease_manager.tick(now))

    def take_heartbeat_responses(self, now: datetime) -> list[tuple[str, HeartbeatResponse]]:
        """Return and remove the responses for which a majority has confirmed this leader, each with its process."""
        statuses = () if self._state.config_store is None else self._state.config_store.statuses()
        shares_of = no_quota_shares if self._state.quotas is None else self._state.quotas.shares_of
        return self.lease_manager.take_responses(
            now, self._raft.confirmed_round, self._node, self._raft.term, statuses, shares_of
        )

    def report_drifting_clocks(self) -> int:
        """Append an event for each clock newly found to drift; return their number."""
        drifts = self.lease_manager.detected_drifts
        for holder, error in drifts:
            summary = f"the clock of {holder} errs by {error:+.1%} against this one"
            reason = "beyond the stated drift: only tokens protect from it"
            self._events.append(ReplicaEvent(summary, reason))
        count = len(drifts)
        drifts.clear()
        return count

    def process_standings(self, now: datetime) -> list[ProcessStanding]:
        """Return the last report of each process, sorted by process name."""
        standings = [
            ProcessStanding(
                process=holder,
                heartbeat_age_ms=(now - received_at) // MILLISECOND,
                lease_remaining_ms=self._lease_remaining_ms(now, CONFIG_LEASE_PREFIX + holder),
                document_states=[list(row) for row in heartbeat.document_states],
                request_counts=list(heartbeat.request_counts),
            )
            for holder, heartbeat, received_at in self.lease_manager.heartbeats()
        ]
        return sorted(standings, key=lambda standing: standing.process)

    def _lease_remaining_ms(self, now: datetime, lease: str) -> int:
        expiry = self.lease_manager.expiry_of(lease)
        return 0 if expiry is None else max(0, (expiry - now) // MILLISECOND)

    # Configuration documents

    def activate_config_versions(self, now: datetime) -> None:
        """Propose to commit versions that all processes acknowledged, and to promote or withdraw canary rollouts."""
        store = self._state.config_store
        if store is None:
            return
        for name, version in store.ready_to_commit():
            if self._mark_decided(name, version):
                self._propose(CommitVersion(name, version))
        if store.active_rollouts():
            self._evaluate_rollouts(now, store)

    def _evaluate_rollouts(self, now: datetime, store: ConfigStore) -> None:
        heartbeats = {
            holder: ReceivedHeartbeat(heartbeat, received_at)
            for holder, heartbeat, received_at in self.lease_manager.heartbeats()
        }
        lease_term = self._settings.leases.term_of(CONFIG_LEASE_PREFIX)
        for decision in self.rollout.evaluate(now, store, heartbeats, lease_term):
            if self._mark_decided(decision.name, decision.version):
                self._propose_rollout_decision(decision)

    def _propose_rollout_decision(self, decision: RolloutDecision) -> None:
        self._propose(decision)
        outcome = "goes on to all" if decision.promote else "goes back"
        summary = f"staged version {decision.version} of {decision.name} {outcome}"
        self._events.append(ReplicaEvent(summary, decision.reason))

    def _mark_decided(self, name: str, version: int) -> bool:
        """Mark a version as decided; return False if a decision on it was already proposed."""
        if (name, version) in self.proposed_decisions:
            return False
        self.proposed_decisions.add((name, version))
        return True

    # Roster and quotas

    def reconcile_roster(self, now: datetime) -> None:
        """Propose to admit healthy nodes and to remove nodes that a majority reports as failed."""
        roster = self._state.roster
        if self._settings.roster is None or roster is None:
            return
        reports = {
            holder: FailureReport(node_of(holder), received_at, frozenset(heartbeat.failed_nodes))
            for holder, heartbeat, received_at in self.lease_manager.heartbeats()
        }
        lease_holders = frozenset(lease.node for lease in self._state.leases.leases.values() if lease.holder)
        longest_term = max(self._settings.leases.term, self._settings.leases.config_term)
        for command in self.roster_controller.reconcile(now, roster, reports, lease_holders, longest_term):
            stored = command.to_json()
            summary = f"{stored['do']} {stored['node']}"
            self._events.append(ReplicaEvent(summary, stored.get("why", "it is heard")))
            self._propose(command)

    def _update_eligible_nodes(self) -> None:
        """Restrict task leases to the nodes in the roster; allow all while it is empty, as the first join late."""
        if self._settings.roster is not None and self._state.roster is not None:
            self.lease_manager.set_eligible_nodes(self._state.roster.members() or None)

    def rebalance_quotas(self, now: datetime) -> None:
        """Propose to divide each tenant's allowance among the processes by their reported demand."""
        quotas, store = self._state.quotas, self._state.config_store
        if not self._settings.quotas or quotas is None or store is None:
            return
        demands = {
            holder: {tenant: demand / TENANT_DEMAND_SCALE for tenant, demand in heartbeat.tenant_demand}
            for holder, heartbeat, _ in self.lease_manager.heartbeats()
        }
        self._propose_all(self.quota_balancer.rebalance(now, quotas, store.allowances(), demands))

    # Applied commands and proposals

    def handle_applied(self, now: datetime, command: CommandJson, result: ResultJson) -> None:
        """Update the controller to which an applied command is relevant."""
        next_round = self._raft.heartbeat_round + 1
        match command.get("m"):
            case MachineName.LEASES if self.is_current:
                self.lease_manager.on_applied(now, command, result, next_round)
            case MachineName.CONFIG_STORE if command.get("do") != "part":
                self.proposed_decisions.discard((str(command.get("doc")), command.get("version", 0)))
                if self.is_current and "acked" not in result:
                    self.lease_manager.push_to_all(next_round)
            case MachineName.ROSTER:
                self._update_eligible_nodes()
            case MachineName.QUOTAS if self.is_current and "part" in result:
                self.lease_manager.push_to(result["holder"], next_round)

    def _propose_all(self, commands: Iterable[Command]) -> None:
        for command in commands:
            self._propose(command)

    def _propose(self, command: Command) -> None:
        self._raft.propose(orjson.dumps(command.to_json()).decode())
