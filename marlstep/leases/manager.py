"""The leader's side of leases: when each lease expires, and which process is granted it next.

This state is not in the log. A new leader counts a full term for every held lease, from the time at which it starts to
lead. A leader responds to a heartbeat only after a majority has confirmed its leadership since the heartbeat arrived.
So every later leader starts to count a lease's term only after the holder has sent that heartbeat.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.clock_drift import ClockDriftMonitor
from marlstep.leases.commands import EndLease, EndReason, GrantLease, LeaseCommand
from marlstep.leases.messages import DocumentStatus, Heartbeat, HeartbeatResponse, LeaseToken, QuotaShareRow
from marlstep.leases.names import ProcessName, is_config_lease, node_of
from marlstep.leases.settings import LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.units import instant


@dataclass(slots=True)
class HolderState:
    """State of one process, from its last heartbeat."""

    heartbeat: Heartbeat
    received_at: datetime
    wanted_since: dict[str, datetime]  # by lease: start of its current uninterrupted request


@dataclass(slots=True, frozen=True)
class PendingResponse:
    """A response that can be sent once a majority has confirmed the leader in `heartbeat_round` or a later one."""

    heartbeat: Heartbeat
    heartbeat_round: int
    is_push: bool = False  # the heartbeat already had a response, so this one renews no leases


def no_quota_shares(_holder: str) -> tuple[QuotaShareRow, ...]:
    """Return no quota shares; for a group that does not share quotas."""
    return ()


class LeaseManager:
    """Grants, renews and ends the leases of one table while this voter is the leader."""

    def __init__(self, table: LeaseTable, settings: LeaseSettings) -> None:
        """Initialize a manager that is not leading; `table` is this voter's replicated lease table."""
        self.table, self.settings = table, settings
        self._leader_since: datetime | None = None
        self._expiries: dict[str, datetime] = {}  # by lease, on this voter's clock
        self._ending_tokens: dict[str, int] = {}  # by lease: its end is proposed, so it is no longer renewed
        self._proposed_grants: dict[str, str] = {}  # holder by lease
        self._holders: dict[str, HolderState] = {}
        self._pending_responses: dict[str, PendingResponse] = {}  # by holder
        self._response_sequence = 0
        self._drift_monitor = ClockDriftMonitor(settings.drift)
        self._eligible_nodes: frozenset[str] | None = None  # nodes that may hold task leases; None: all
        # Holder and relative clock error; the caller reads and clears the list.
        self.detected_drifts: list[tuple[str, float]] = []
        self._grants_due = False  # something changed that may allow a grant

    # Leadership.

    def become_leader(self, now: datetime) -> None:
        """Start leading at `now`: each held lease gets a full term."""
        self._leader_since = now
        held = (name for name, lease in self.table.leases.items() if lease.holder)
        self._expiries = {name: self.settings.leader_expiry(now, name) for name in held}
        self._ending_tokens, self._proposed_grants = {}, {}
        self._holders, self._pending_responses = {}, {}
        self._drift_monitor.retain_only(set())
        self._grants_due = True

    def step_down(self) -> None:
        """Stop leading, and discard the pending responses."""
        self._leader_since = None
        self._pending_responses.clear()

    def set_eligible_nodes(self, nodes: frozenset[str] | None) -> None:
        """Restrict the grants and renewals of task leases to these nodes; None: no restriction."""
        if nodes != self._eligible_nodes:
            self._eligible_nodes, self._grants_due = nodes, True

    def _is_eligible(self, holder: str) -> bool:
        return self._eligible_nodes is None or node_of(holder) in self._eligible_nodes

    # Heartbeats.

    def heartbeats(self) -> Iterable[tuple[str, Heartbeat, datetime]]:
        """Return the last heartbeat of each process, with its holder name and time of arrival."""
        return ((holder, state.heartbeat, state.received_at) for holder, state in self._holders.items())

    def expiry_of(self, name: str) -> datetime | None:
        """Return when the lease expires by this voter's clock; None if it is not held."""
        return self._expiries.get(name)

    def handle_heartbeat(
        self, now: datetime, heartbeat: Heartbeat, heartbeat_round: int
    ) -> list[LeaseCommand]:
        """Handle a heartbeat, whose response waits until a majority has confirmed the leader in `heartbeat_round`.

        Returns the commands to propose.
        """
        holder = str(ProcessName(heartbeat.node, heartbeat.process_id))
        previous = self._holders.get(holder)
        if previous is not None and heartbeat.number < previous.heartbeat.number:
            return []  # a later heartbeat arrived before it
        self._record_holder(now, holder, heartbeat, previous)
        self._measure_drift(now, holder, heartbeat)
        self._pending_responses[holder] = PendingResponse(heartbeat, heartbeat_round)
        return self._propose_returns(holder, heartbeat.returned_leases)

    def _record_holder(
        self, now: datetime, holder: str, heartbeat: Heartbeat, previous: HolderState | None
    ) -> None:
        previously_wanted = previous.wanted_since if previous is not None else {}
        wanted_since = {name: previously_wanted.get(name, now) for name in heartbeat.wanted_leases}
        if previous is None or wanted_since.keys() != previously_wanted.keys():
            self._grants_due = True
        self._holders[holder] = HolderState(heartbeat, now, wanted_since)

    def _measure_drift(self, now: datetime, holder: str, heartbeat: Heartbeat) -> None:
        if not heartbeat.clock_us:
            return
        error = self._drift_monitor.observe(holder, instant(heartbeat.clock_us), now)
        if error is not None:
            self.detected_drifts.append((holder, error))

    def _propose_returns(self, holder: str, returned: Iterable[LeaseToken]) -> list[LeaseCommand]:
        commands: list[LeaseCommand] = []
        for name, token in returned:
            lease = self.table.leases.get(name)
            if lease is not None and lease.holder == holder and lease.token == token:
                commands += self._propose_end(name, token, EndReason.RETURNED)
        return commands

    def _propose_end(self, name: str, token: int, reason: EndReason) -> list[LeaseCommand]:
        if self._ending_tokens.get(name) == token:
            return []  # already proposed
        self._ending_tokens[name] = token
        return [EndLease(name, token, reason)]

    # Responses.

    def take_responses(
        self,
        now: datetime,
        confirmed_round: int,
        leader: str,
        term: int,
        documents: tuple[DocumentStatus, ...] = (),
        quota_shares: Callable[[str], tuple[QuotaShareRow, ...]] = no_quota_shares,
    ) -> list[tuple[str, HeartbeatResponse]]:
        """Return the responses that can be sent now, each with its holder.

        A response renews the leases that it names, unless it is a push.

        Args:
            now: time from which the renewed terms are counted.
            confirmed_round: last heartbeat round in which a majority has confirmed this leader.
            leader: node of this leader.
            term: consensus term of this leader.
            documents: status of the replicated documents, the same in each response.
            quota_shares: returns the quota shares of a holder.
        """
        responses = []
        for holder, pending in list(self._pending_responses.items()):
            if pending.heartbeat_round > confirmed_round:
                continue
            del self._pending_responses[holder]
            leases = tuple(self._active_leases(now, self._renewable(holder), renew=not pending.is_push))
            self._response_sequence += 1
            response = HeartbeatResponse(
                number=pending.heartbeat.number,
                from_leader=True,
                leader=leader,
                term=term,
                sequence=self._response_sequence,
                leases=leases,
                clock_drifts=self._drift_monitor.exceeds_bound(holder),
                documents=documents,
                quota_shares=quota_shares(holder),
            )
            responses.append((holder, response))
        return responses

    def _renewable(self, holder: str) -> list[LeaseToken]:
        """Return the leases to name in a response. The holder stops acting on the others, and they expire."""
        held = self.table.leases_of(holder)
        if self._is_eligible(holder):
            return held
        return [lease for lease in held if is_config_lease(lease.name)]

    def _active_leases(
        self, now: datetime, held: Iterable[LeaseToken], *, renew: bool
    ) -> Iterable[LeaseToken]:
        for lease in held:
            name, token = lease
            if self._ending_tokens.get(name) == token:
                continue
            if renew:
                self._expiries[name] = self.settings.leader_expiry(now, name)
            yield lease

    def push_to_all(self, heartbeat_round: int) -> None:
        """Push a response to each process with a configuration lease, to deliver changes before its next heartbeat."""
        for name, lease in self.table.leases.items():
            if is_config_lease(name) and lease.holder:
                self.push_to(lease.holder, heartbeat_round)

    def push_to(self, holder: str, heartbeat_round: int) -> None:
        """Push another response to the holder's last heartbeat, so that it gets changes before its next one."""
        state = self._holders.get(holder)
        if state is not None and holder not in self._pending_responses:
            self._pending_responses[holder] = PendingResponse(state.heartbeat, heartbeat_round, is_push=True)

    # Expiry.

    def next_due(self) -> datetime | None:
        """Return when `tick` must be called next; None if no expiry or grant is pending."""
        if self._leader_since is None:
            return None
        due = [min(self._expiries.values())] if self._expiries else []
        if self._grants_due and self._grants_start_at is not None:
            due.append(self._grants_start_at)
        return min(due, default=None)

    @property
    def _grants_start_at(self) -> datetime | None:
        """When a new leader starts to grant; earlier, the first processes to send a heartbeat would get all leases."""
        return None if self._leader_since is None else self._leader_since + self.settings.renewal_interval

    def tick(self, now: datetime) -> list[LeaseCommand]:
        """Return the commands to propose: those that end expired leases, and grants."""
        if self._leader_since is None:
            return []
        commands = self._propose_expiries(now)
        grants_allowed = self._grants_start_at is not None and now >= self._grants_start_at
        if self._grants_due and grants_allowed:
            self._grants_due = False
            commands += self._propose_grants(now)
        return commands

    def _propose_expiries(self, now: datetime) -> list[LeaseCommand]:
        commands: list[LeaseCommand] = []
        for name, expiry in list(self._expiries.items()):
            if now >= expiry:
                del self._expiries[name]
                commands += self._propose_end(name, self.table.leases[name].token, EndReason.EXPIRED)
        return commands

    # Grants.

    def _propose_grants(self, now: datetime) -> list[LeaseCommand]:
        self._forget_silent_holders(now)
        counts = self._held_counts()
        commands: list[LeaseCommand] = []
        for name, waiting in self._waiting_holders().items():
            candidates = [holder for holder in waiting if self._may_be_granted(name, holder, counts)]
            if not candidates:
                continue
            chosen = min(candidates, key=lambda holder: self._grant_priority(name, holder, counts))
            self._proposed_grants[name] = chosen
            if is_config_lease(name):
                commands.append(GrantLease(name, chosen, max_held=0))
                continue
            counts[chosen] += 1
            commands.append(GrantLease(name, chosen, self._holders[chosen].heartbeat.max_leases))
        return commands

    def _forget_silent_holders(self, now: datetime) -> None:
        oldest = now - self.settings.term
        for holder in [holder for holder, state in self._holders.items() if state.received_at < oldest]:
            del self._holders[holder]
        self._drift_monitor.retain_only(set(self._holders))

    def _held_counts(self) -> dict[str, int]:
        """Return how many task leases each process holds, plus the grants proposed to it."""
        counts = {holder: self.table.held_counts[holder] for holder in self._holders}
        for holder in self._proposed_grants.values():
            counts[holder] = counts.get(holder, 0) + 1
        return counts

    def _waiting_holders(self) -> dict[str, list[str]]:
        """Return the processes that want each free lease, by lease name."""
        waiting: dict[str, list[str]] = {}
        for holder, state in self._holders.items():
            for name in state.wanted_since:
                if not self.table.holder(name) and name not in self._proposed_grants:
                    waiting.setdefault(name, []).append(holder)
        return waiting

    def _may_be_granted(self, name: str, holder: str, counts: dict[str, int]) -> bool:
        if is_config_lease(name):
            return True
        limit = self._holders[holder].heartbeat.max_leases
        return self._is_eligible(holder) and (not limit or counts[holder] < limit)

    def _grant_priority(self, name: str, holder: str, counts: dict[str, int]) -> tuple[int, datetime, str]:
        """Return the sort key of a candidate: fewest leases first, then longest wait.

        A candidate on the node that last held the lease counts as holding one lease less.
        """
        lease = self.table.leases.get(name)
        held_last = lease is not None and lease.previous_node == node_of(holder)
        return counts[holder] - held_last, self._holders[holder].wanted_since[name], holder

    # Applied commands.

    def on_applied(
        self, now: datetime, command: CommandJson, result: ResultJson, heartbeat_round: int
    ) -> None:
        """Update the leader's state after a committed command, valid or not.

        `heartbeat_round` is one that starts after `now`; the response to a new holder waits for it.
        """
        if self._leader_since is None:
            return
        name = str(command.get("name"))
        match command.get("do"):
            case "grant":
                self._on_grant_applied(now, name, result.get("granted"), heartbeat_round)
            case EndReason.EXPIRED.value | EndReason.RETURNED.value:
                self._on_end_applied(name, command.get("token"), ended=bool(result.get("ended")))

    def _on_grant_applied(
        self, now: datetime, name: str, granted_to: str | None, heartbeat_round: int
    ) -> None:
        self._proposed_grants.pop(name, None)
        if granted_to is None:
            self._grants_due = True
            return
        self._expiries[name] = self.settings.leader_expiry(now, name)
        self.push_to(granted_to, heartbeat_round)

    def _on_end_applied(self, name: str, token: int | None, *, ended: bool) -> None:
        if self._ending_tokens.get(name) == token:
            self._ending_tokens.pop(name, None)
        if ended:
            self._expiries.pop(name, None)
            self._grants_due = True
