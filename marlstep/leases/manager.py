"""The leader's side of leases: when one expires, and which process is granted it next.

None of this is in the log. A voter that becomes leader counts all terms anew, in full, from that moment. A renewal is
answered only after a majority has confirmed, after the heartbeat came, that this voter leads: then no other leader can
have begun to count before the holder sent its heartbeat.
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
    """One process, as its last heartbeat has it."""

    heartbeat: Heartbeat
    received_at: datetime
    wanted_since: dict[str, datetime]  # by lease: since when it has wanted each without a break


@dataclass(slots=True, frozen=True)
class PendingResponse:
    """A heartbeat to be answered once a majority has confirmed the leader in `heartbeat_round` or later."""

    heartbeat: Heartbeat
    heartbeat_round: int
    is_push: bool = False  # the heartbeat was answered before: it renews nothing again


def no_quota_shares(_holder: str) -> tuple[QuotaShareRow, ...]:
    """The quota shares of a process where quotas are not shared."""
    return ()


class LeaseManager:
    """Grants, renews and ends the leases of one table while its voter leads."""

    def __init__(self, table: LeaseTable, settings: LeaseSettings) -> None:
        """`table` is this voter's state machine of leases, as far as the log is applied to it."""
        self.table, self.settings = table, settings
        self._leader_since: datetime | None = None
        self._expiries: dict[str, datetime] = {}
        self._ending_tokens: dict[str, int] = {}  # of leases whose end is proposed: not renewed any more
        self._proposed_grants: dict[str, str] = {}  # holder by lease
        self._holders: dict[str, HolderState] = {}
        self._pending_responses: dict[str, PendingResponse] = {}  # by holder
        self._response_sequence = 0
        self._drift_monitor = ClockDriftMonitor(settings.drift)
        self._eligible_nodes: frozenset[str] | None = None  # that may hold leases of tasks; None: all
        self.detected_drifts: list[
            tuple[str, float]
        ] = []  # holder and error, for the caller to take and clear
        self._grants_due = False  # something changed that may allow a grant

    # Leadership.

    def become_leader(self, now: datetime) -> None:
        """Lead from now on: each held lease gets a whole term."""
        self._leader_since = now
        held = (name for name, lease in self.table.leases.items() if lease.holder)
        self._expiries = {name: self.settings.leader_expiry(now, name) for name in held}
        self._ending_tokens, self._proposed_grants = {}, {}
        self._holders, self._pending_responses = {}, {}
        self._drift_monitor.retain_only(set())
        self._grants_due = True

    def step_down(self) -> None:
        """Lead no longer."""
        self._leader_since = None
        self._pending_responses.clear()

    def set_eligible_nodes(self, nodes: frozenset[str] | None) -> None:
        """Grant and renew leases of tasks only to these nodes; None: to all."""
        if nodes != self._eligible_nodes:
            self._eligible_nodes, self._grants_due = nodes, True

    def _is_eligible(self, holder: str) -> bool:
        return self._eligible_nodes is None or node_of(holder) in self._eligible_nodes

    # Heartbeats.

    def heartbeats(self) -> Iterable[tuple[str, Heartbeat, datetime]]:
        """Each process's last heartbeat, and when it came."""
        return ((holder, state.heartbeat, state.received_at) for holder, state in self._holders.items())

    def expiry_of(self, name: str) -> datetime | None:
        """When that lease expires, by this voter's clock; None where it is not held."""
        return self._expiries.get(name)

    def handle_heartbeat(
        self, now: datetime, heartbeat: Heartbeat, heartbeat_round: int
    ) -> list[LeaseCommand]:
        """Take in a heartbeat, to be answered once a majority has confirmed the leader in `heartbeat_round`.

        Returns the commands to propose.
        """
        holder = str(ProcessName(heartbeat.node, heartbeat.process_id))
        previous = self._holders.get(holder)
        if previous is not None and heartbeat.number < previous.heartbeat.number:
            return []  # overtaken by a later one
        self._record_holder(now, holder, heartbeat, previous)
        self._measure_drift(now, holder, heartbeat)
        self._pending_responses[holder] = PendingResponse(heartbeat, heartbeat_round)
        return self._propose_returns(holder, heartbeat.returned_leases)

    def _record_holder(
        self, now: datetime, holder: str, heartbeat: Heartbeat, previous: HolderState | None
    ) -> None:
        since = previous.wanted_since if previous is not None else {}
        wanted_since = {name: since.get(name, now) for name in heartbeat.wanted_leases}
        if previous is None or wanted_since.keys() != since.keys():
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
            return []  # proposed already
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
        """Return the responses that can be given now, each with its holder.

        A majority has confirmed this leader up to `confirmed_round`. A response renews the leases in it, unless it is
        a push.
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
        """The leases to name to their holder. What is not named is not acted on, and ends by its term."""
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
        """Answer all processes under a config lease once more, as there is news for them."""
        for name, lease in self.table.leases.items():
            if is_config_lease(name) and lease.holder:
                self.push_to(lease.holder, heartbeat_round)

    def push_to(self, holder: str, heartbeat_round: int) -> None:
        """Answer that holder's last heartbeat once more, so that it need not wait for its next one."""
        state = self._holders.get(holder)
        if state is not None and holder not in self._pending_responses:
            self._pending_responses[holder] = PendingResponse(state.heartbeat, heartbeat_round, is_push=True)

    # Time.

    def next_due(self) -> datetime | None:
        """When `tick` has something to do; None where nothing is due by time alone."""
        if self._leader_since is None:
            return None
        due = [min(self._expiries.values())] if self._expiries else []
        if self._grants_due and self._grants_start_at is not None:
            due.append(self._grants_start_at)
        return min(due, default=None)

    @property
    def _grants_start_at(self) -> datetime | None:
        """Until then not all waiting processes have been heard, and the first would be granted everything."""
        return None if self._leader_since is None else self._leader_since + self.settings.renewal_interval

    def tick(self, now: datetime) -> list[LeaseCommand]:
        """Return the commands to propose: ends of expired leases, and grants."""
        if self._leader_since is None:
            return []
        commands = self._propose_expiries(now)
        settled = self._grants_start_at is not None and now >= self._grants_start_at
        if self._grants_due and settled:
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
        """How many leases each process holds or is about to be granted."""
        counts = {holder: self.table.held_counts[holder] for holder in self._holders}
        for holder in self._proposed_grants.values():
            counts[holder] = counts.get(holder, 0) + 1
        return counts

    def _waiting_holders(self) -> dict[str, list[str]]:
        """The processes that want each of the free leases."""
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
        """The least is granted first: fewest leases, then longest wait. The previous node counts as having one less."""
        lease = self.table.leases.get(name)
        had_it_last = lease is not None and lease.previous_node == node_of(holder)
        return counts[holder] - had_it_last, self._holders[holder].wanted_since[name], holder

    # Applied commands.

    def on_applied(
        self, now: datetime, command: CommandJson, result: ResultJson, heartbeat_round: int
    ) -> None:
        """Follow a committed command, valid or not. `heartbeat_round` is one that begins after now."""
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
