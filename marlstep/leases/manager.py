"""The leader's side of leases: when one is over, and who gets the next.

Nothing of this is in the log: a voter that comes to lead counts all terms anew, in full, from the moment it leads. A
renewal is answered only after a majority has confirmed, after the beat came, that this voter leads: then no other can
have begun to count before the holder asked.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime

from marlstep.consensus.state_machine import CommandJson, ResultJson
from marlstep.leases.clock_drift import ClockDriftMonitor
from marlstep.leases.messages import DocumentStatus, Heartbeat, HeartbeatResponse, LeaseToken, QuotaShareRow
from marlstep.leases.names import is_config_lease
from marlstep.leases.settings import CONFIG_LEASE_PREFIX, LeaseSettings
from marlstep.leases.table import LeaseTable
from marlstep.units import instant


@dataclass(slots=True)
class HolderState:
    """One node, as its last beat has it."""

    heartbeat: Heartbeat
    received_at: datetime
    wanted_since: dict[str, datetime]  # it wants each of these since then


@dataclass(slots=True, frozen=True)
class PendingResponse:
    heartbeat: Heartbeat
    heartbeat_round: int
    is_push: bool = False  # the beat was answered before: it renews nothing again


def no_quota_shares(holder: str) -> tuple[QuotaShareRow, ...]:
    return ()


class LeaseManager:
    def __init__(self, table: LeaseTable, settings: LeaseSettings) -> None:
        self.table, self.settings = table, settings
        self._leader_since: datetime | None = None
        self._expiries: dict[str, datetime] = {}
        self._ending_tokens: dict[str, int] = {}  # proposed to end, by token: not renewed any more
        self._proposed_grants: dict[str, str] = {}
        self._holders: dict[str, HolderState] = {}
        self._pending_responses: dict[str, PendingResponse] = {}
        self._response_sequence = 0  # of answers
        self._drift_monitor = ClockDriftMonitor(settings.drift)
        self._eligible_nodes: frozenset[str] | None = None  # nodes that may have leases of tasks; None: all
        self.detected_drifts: list[
            tuple[str, float]
        ] = []  # clocks that were found to err, to be told and counted
        self._grants_due = False  # something changed that may allow a grant

    def become_leader(self, now: datetime) -> None:
        """This voter leads from now on."""
        self._leader_since = now
        held = (name for name, lease in self.table.leases.items() if lease.holder)
        self._expiries = {name: self.settings.leader_expiry(now, name) for name in held}
        self._ending_tokens, self._proposed_grants, self._holders, self._pending_responses = {}, {}, {}, {}
        self._drift_monitor.retain_only(set())
        self._grants_due = True

    def step_down(self) -> None:
        self._leader_since = None
        self._pending_responses.clear()

    def set_eligible_nodes(self, nodes: frozenset[str] | None) -> None:
        """Only these may have leases of tasks from now on: others get none, and none of theirs is renewed."""
        if nodes != self._eligible_nodes:
            self._eligible_nodes, self._grants_due = nodes, True

    def _is_eligible(self, holder: str) -> bool:
        return self._eligible_nodes is None or holder.partition("/")[0] in self._eligible_nodes

    # What nodes say.

    def heartbeats(self) -> Iterable[tuple[str, Heartbeat, datetime]]:
        """Each process's last beat, and when it came."""
        return ((holder, one.heartbeat, one.received_at) for holder, one in self._holders.items())

    def expiry_of(self, name: str) -> datetime | None:
        """When that lease is over, by this voter's clock; None where it is not held."""
        return self._expiries.get(name)

    def handle_heartbeat(self, now: datetime, beat: Heartbeat, round: int) -> list[CommandJson]:
        """A beat came; it is answered once a majority has answered `round`. Gives what is to be proposed."""
        holder = f"{beat.node}/{beat.process_id}"
        before = self._holders.get(holder)
        if before is not None and beat.number < before.heartbeat.number:
            return []  # overtaken by a later one
        since = before.wanted_since if before is not None else {}
        wants = {name: since.get(name, now) for name in beat.wanted_leases}
        if before is None or wants.keys() != since.keys():
            self._grants_due = True
        self._holders[holder] = HolderState(beat, now, wants)
        if (
            beat.clock_us
            and (error := self._drift_monitor.observe(holder, instant(beat.clock_us), now)) is not None
        ):
            self.detected_drifts.append((holder, error))
        self._pending_responses[holder] = PendingResponse(beat, round)
        returned = []
        for name, token in beat.returned_leases:
            lease = self.table.leases.get(name)
            if lease is not None and lease.holder == holder and lease.token == token:
                returned += self._propose_end(name, token, "return")
        return returned

    def _propose_end(self, name: str, token: int, what: str) -> list[CommandJson]:
        if self._ending_tokens.get(name) == token:
            return []
        self._ending_tokens[name] = token
        return [{"m": "leases", "do": what, "name": name, "token": token}]

    def take_responses(
        self,
        now: datetime,
        confirmed: int,
        leader: str,
        term: int,
        news: tuple[DocumentStatus, ...] = (),
        shares: Callable[[str], tuple[QuotaShareRow, ...]] = no_quota_shares,
    ) -> list[tuple[str, HeartbeatResponse]]:
        """The beats that can be answered now, by holder. The leases in an answer to a new beat are renewed."""
        found = []
        for holder, one in list(self._pending_responses.items()):
            if one.heartbeat_round > confirmed:
                continue
            del self._pending_responses[holder]
            held = self.table.leases_of(holder)
            if not self._is_eligible(holder):  # not named, so not acted on any more; it ends here by time
                held = [lease for lease in held if is_config_lease(lease.name)]
            leases = tuple(self._active_leases(now, held, renew=not one.is_push))
            self._response_sequence += 1
            drifts = self._drift_monitor.exceeds_bound(holder)
            mine = shares(holder)
            told = HeartbeatResponse(
                one.heartbeat.number, True, leader, term, self._response_sequence, leases, drifts, news, mine
            )
            found.append((holder, told))
        return found

    def _active_leases(self, now: datetime, held: Iterable[LeaseToken], renew: bool) -> Iterable[LeaseToken]:
        for name, token in held:
            if self._ending_tokens.get(name) == token:
                continue
            if renew:
                self._expiries[name] = self.settings.leader_expiry(now, name)
            yield LeaseToken(name, token)

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
        """Before that not all who wait have been heard, and the first would get all there is."""
        return None if self._leader_since is None else self._leader_since + self.settings.renewal_interval

    def tick(self, now: datetime) -> list[CommandJson]:
        """What is to be proposed."""
        if self._leader_since is None:
            return []
        commands: list[CommandJson] = []
        for name, until in list(self._expiries.items()):
            if now >= until:
                del self._expiries[name]
                commands += self._propose_end(name, self.table.leases[name].token, "expire")
        settled = self._grants_start_at is not None and now >= self._grants_start_at
        if self._grants_due and settled:
            self._grants_due = False
            commands += self._propose_grants(now)
        return commands

    def _propose_grants(self, now: datetime) -> list[CommandJson]:
        live = now - self.settings.term
        for holder in [one for one, waits in self._holders.items() if waits.received_at < live]:
            del self._holders[holder]
        self._drift_monitor.retain_only(set(self._holders))
        wanted: dict[str, list[str]] = {}
        for holder, waits in self._holders.items():
            for name in waits.wanted_since:
                if not self.table.holder(name) and name not in self._proposed_grants:
                    wanted.setdefault(name, []).append(holder)
        counts = {holder: self.table.held_counts[holder] for holder in self._holders}
        for holder in self._proposed_grants.values():
            counts[holder] = counts.get(holder, 0) + 1
        commands: list[CommandJson] = []
        for name, holders in wanted.items():
            free = [
                one
                for one in holders
                if name.startswith(CONFIG_LEASE_PREFIX)
                or (self._is_eligible(one) and self._below_limit(one, counts))
            ]
            if not free:
                continue
            chosen = min(free, key=lambda one: self._grant_priority(name, one, counts))
            self._proposed_grants[name] = chosen
            counts[chosen] = counts.get(chosen, 0) + (not name.startswith(CONFIG_LEASE_PREFIX))
            most = 0 if name.startswith(CONFIG_LEASE_PREFIX) else self._holders[chosen].heartbeat.max_leases
            commands.append({"m": "leases", "do": "grant", "name": name, "holder": chosen, "most": most})
        return commands

    def _below_limit(self, holder: str, counts: dict[str, int]) -> bool:
        most = self._holders[holder].heartbeat.max_leases
        return not most or counts.get(holder, 0) < most

    def _grant_priority(self, name: str, holder: str, counts: dict[str, int]) -> tuple[int, datetime, str]:
        """The least comes first: few leases, and then a long wait. Who had it last counts as having one less."""
        lease = self.table.leases.get(name)
        stays = lease is not None and lease.previous_node == holder.partition("/")[0]
        return counts.get(holder, 0) - stays, self._holders[holder].wanted_since[name], holder

    # What the log says.

    def on_applied(self, now: datetime, command: CommandJson, result: ResultJson, round: int) -> None:
        """A command of leases was committed. `round` is one whose answers will come after now."""
        if self._leader_since is None:
            return
        name = str(command.get("name"))
        match command.get("do"):
            case "grant":
                self._proposed_grants.pop(name, None)
                if "granted" in result:
                    self._expiries[name] = self.settings.leader_expiry(now, name)
                    self.push_to(result["granted"], round)
                else:
                    self._grants_due = True
            case "expire" | "return":
                if self._ending_tokens.get(name) == command.get("token"):
                    del self._ending_tokens[name]
                if result.get("ended"):
                    self._expiries.pop(name, None)
                    self._grants_due = True

    def push_to_all(self, round: int) -> None:
        """There is news for all who hold a lease on the rules."""
        for name, lease in self.table.leases.items():
            if name.startswith(CONFIG_LEASE_PREFIX) and lease.holder:
                self.push_to(lease.holder, round)

    def push_to(self, holder: str, round: int) -> None:
        """It need not wait for its next beat to hear of a grant."""
        waits = self._holders.get(holder)
        if waits is not None and holder not in self._pending_responses:
            self._pending_responses[holder] = PendingResponse(waits.heartbeat, round, is_push=True)
