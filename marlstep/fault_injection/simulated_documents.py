"""Replicated documents on the simulated network: nodes follow their versions while clients change them under faults.

The simulation observes which version every node would act on at the same simulated time. For a strict document all
nodes must agree. For other documents the time in which nodes differ is measured and bounded, except during staged
rollouts, in which they differ on purpose. Eight clients read and change the documents; the history of their calls must
be linearizable.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import Any

from marlstep.consensus.replica import ReplicaSettings
from marlstep.consensus.state_machine import StoredCommand
from marlstep.fault_injection.errors import InvariantViolationError
from marlstep.fault_injection.linearizability import Call, CallOutcome, linearizability_violation
from marlstep.fault_injection.mutations import Mutation
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.simulated_cluster import SimulatedCluster, violation_of
from marlstep.fault_injection.simulated_node import SimulatedNode
from marlstep.leases.holder import HeartbeatReport
from marlstep.leases.messages import RequestCounts, TenantDemand
from marlstep.leases.settings import CONFIG_LEASE_PREFIX
from marlstep.membership.quota_lease import QuotaLease
from marlstep.membership.quota_table import FULL_QUOTA, QuotaTable
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, Kind, content_digest
from marlstep.replicated_config.followed_document import FollowerState
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import (
    AcknowledgeVersion,
    ActivateVersion,
    CheckVersion,
    ProposeFirstVersion,
    SuspendDocument,
)
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.replicated_config.store import ConfigStore
from marlstep.scheduled_tasks.run_log import RunLog
from marlstep.units import MILLISECOND, span_us

DOCUMENTS = (
    DocumentDefinition("plain", Kind.SETTINGS, False, DisconnectPolicy.STOP),
    DocumentDefinition("strict", Kind.TENANTS, True, DisconnectPolicy.STOP),
)
TERM = 1_500 * MILLISECOND
CLIENTS = 8
THINKS_US = 1_500_000  # the mean time of a client between two calls
PATIENCE_US = 5_000_000  # after which a client gives up waiting for a response
CANT = "poison"  # in contents that the last node rejects, as an older program would
SICK = "sick"  # in contents with which a node refuses most requests; they are only put as staged changes
TENANT, ALLOWANCE = "t", 100.0
BIG = 9_000  # characters of a document that is uploaded in several chunks


@dataclass(slots=True)
class DocumentObservation:
    """What the simulation observes of one document.

    Attributes:
        differ_since: Since when nodes act on different versions, in microseconds of simulated time; None if they agree.
        longest_us: The longest time in which they differed, in microseconds.
        acted: The digest of the content of each version that any node acted on.
    """

    differ_since: int | None = None
    longest_us: int = 0
    acted: dict[int, str] = field(default_factory=dict)


class SimulatedDocumentCluster(SimulatedCluster):
    """A simulated cluster whose nodes also follow documents and divide the allowance of a tenant.

    Attributes:
        followers: The follower of the documents in each node's current process.
        seen: What was observed of each document.
        clients: The clients that read and change the documents.
        using: The quota shares of each node's current process.
        most_used: The largest part of the tenant's allowance that all nodes could use at the same time.
    """

    def __init__(self, plan: Plan, mutation: Mutation | None = None) -> None:
        """Create the nodes of a plan and the clients, which start when the plan is run."""
        super().__init__(plan, mutation)
        self.settings = type(self.settings)(
            self.settings.term,
            self.settings.drift,
            0,
            self.mutation.settings(self.settings).config_term or TERM,
        )
        self.followers: dict[str, ConfigFollower] = {}
        self.seen = {one.name: DocumentObservation() for one in DOCUMENTS}
        self.clients = [Client(self, number) for number in range(CLIENTS)]
        self.using: dict[str, QuotaLease] = {}
        # Pending commands by node, generation and number of the command.
        self._given: dict[tuple[str, int, int], str] = {}  # tenants of which a share is returned
        self.most_used = 0
        self._acks: dict[tuple[str, int, int], tuple[str, int]] = {}  # documents and acknowledged versions
        self._uploads = 0
        self._figures: dict[str, list[int]] = {}  # the request counts of each process
        self._staged: dict[str, tuple[int, list[str]]] = {}  # version and nodes of each rollout, by document
        self._seen_at = 0  # the index of the log entry up to which `_staged` is current

    def machines(self, table: Any) -> dict[str, Any]:
        return {"tasks": RunLog(table), "rules": ConfigStore(table), "shares": QuotaTable(table)}

    def voter_settings(self) -> ReplicaSettings:
        return replace(super().voter_settings(), quotas=True)

    @staticmethod
    def lease(node: SimulatedNode) -> str:
        """Return the name of the lease under which the node's process acts on documents."""
        return CONFIG_LEASE_PREFIX + node.participant.holder.name

    def extra_leases(self, node: SimulatedNode) -> list[str]:
        return [self.lease(node)]

    def node_started(self, node: SimulatedNode) -> None:
        follower = ConfigFollower(DOCUMENTS, node.name)
        self.mutation.apply_to(follower)
        node.participant.holder.report = lambda now: self._report(node, follower, now)
        self.using[node.name] = QuotaLease()
        if node.voter is not None and node.voter.config_store is not None:
            self.mutation.apply_to(node.voter.config_store)
        if node.voter is not None and node.voter.quotas is not None:
            self.mutation.apply_to(node.voter.quotas)
        before = self.followers.get(node.name)
        self.followers[node.name] = follower
        if self.mutation.name == "version-from-disk" and before is not None:
            for (
                name,
                one,
            ) in before.documents.items():  # act on the previous versions without asking the group
                if one.version:
                    kept = follower.documents[name]
                    kept.version, kept.content, kept.state = one.version, one.content, FollowerState.ACTIVE
        follower.start()

    def _report(self, node: SimulatedNode, follower: ConfigFollower, now: Any) -> HeartbeatReport:
        """Return the report of a heartbeat: 20 more requests, most of them refused if a `SICK` content is active."""
        figures = self._figures.setdefault(node.participant.holder.name, [0, 0, 0])
        figures[0] += 20
        sick = any(
            one.state is FollowerState.ACTIVE and SICK in one.content for one in follower.documents.values()
        )
        figures[1] += 15 if sick else 1
        # Demand for the tenant's allowance moves from node to node, and sometimes exceeds the whole allowance.
        at = (self.true_us // 3_000_000 + self.plan.nodes.index(node.name)) % len(self.plan.nodes)
        demand = TenantDemand(TENANT, (150_000, 40_000, 0)[min(at, 2)])
        return HeartbeatReport(follower.document_states(now), RequestCounts(*figures), (demand,))

    # Events of nodes.

    def response_received(self, node: SimulatedNode) -> None:
        news, node.participant.holder.documents = node.participant.holder.documents, None
        using, now = self.using[node.name], node.now
        for tenant, to in using.update(node.participant.holder.quota_shares):
            told = {"m": "shares", "do": "gave", "tenant": tenant, "to": to}
            number = node.participant.propose(
                now, StoredCommand({**told, "holder": node.participant.holder.name})
            )
            if number is None:
                using.report_lost(tenant)
            else:
                self._given[node.name, node.generation, number] = tenant
        if news is not None:
            left = node.participant.holder.time_left(self.lease(node), node.now)
            self._carry_out(node, self.followers[node.name].handle_statuses(node.now, news, left))

    def message_received(self, node: SimulatedNode, message: Any) -> None:
        if isinstance(message, DocumentChunk):
            left = node.participant.holder.time_left(self.lease(node), node.now)
            self._carry_out(node, self.followers[node.name].handle_chunk(node.now, message, left))

    def node_driven(self, node: SimulatedNode) -> None:
        follower, participant = self.followers[node.name], node.participant
        for key in [key for key in self._acks if key[:2] == (node.name, node.generation)]:
            result = participant.take_result(key[2])
            if result is not None:
                name, version = self._acks.pop(key)
                if "refused" in result:
                    follower.acknowledgement_lost(name, version)
        for key in [key for key in self._given if key[:2] == (node.name, node.generation)]:
            result = participant.take_result(key[2])
            if result is not None:
                tenant = self._given.pop(key)
                if "refused" in result:
                    self.using[node.name].report_lost(tenant)
        for client in self.clients:
            client.look(node)
        left = participant.holder.time_left(self.lease(node), node.now)
        self._carry_out(node, follower.tick(node.now, left))
        self.watch()

    def _carry_out(self, node: SimulatedNode, done: list[Any]) -> None:
        """Perform the actions that the node's follower asks for.

        Raises:
            InvariantViolationError: A version has two contents.
        """
        follower, now = self.followers[node.name], node.now
        left = node.participant.holder.time_left(self.lease(node), now)
        while done:
            do = done.pop(0)
            match do:
                case CheckVersion():
                    bad = CANT in do.content and node.name == self.plan.nodes[-1]
                    why = "an older program" if bad else ""
                    done += follower.handle_check_result(now, do, why, left)
                case AcknowledgeVersion():
                    told = {
                        "m": "rules",
                        "do": "ack",
                        "doc": do.name,
                        "version": do.version,
                        "digest": do.digest,
                    }
                    told |= {"holder": node.participant.holder.name, "why": do.rejection}
                    number = node.participant.propose(now, StoredCommand(told))
                    if number is None:
                        follower.acknowledgement_lost(do.name, do.version)
                    else:
                        self._acks[node.name, node.generation, number] = (do.name, do.version)
                        if node.reached("said"):
                            return
                case FetchChunk():
                    self.send(node, node.participant.holder.name, node.participant.target, do)
                case ActivateVersion():
                    known = self.seen[do.name].acted.setdefault(do.version, content_digest(do.content))
                    if known != content_digest(do.content):
                        raise InvariantViolationError(f"version {do.version} of {do.name} is two contents")
                    self.counts["acts on a version"] += 1
                    if node.reached("following"):
                        return
                case ProposeFirstVersion():
                    self._put(node, do.name, 0, json.dumps({"first": 1}))
                case SuspendDocument():
                    self.counts["stops"] += 1
        self.watch()

    def _put(
        self,
        node: SimulatedNode,
        name: str,
        expect: int,
        content: str,
        stage: Any = None,
        hold_out: bool = False,
    ) -> int | None:
        """Upload a content in chunks and propose to put it as the next version of a document.

        Args:
            node: The node that a client uses.
            name: The name of the document.
            expect: The version that the new one is to replace.
            content: The content of the new version.
            stage: The conditions of a staged rollout, as in the command; None for none.
            hold_out: Whether nodes that reject the content may be excluded.

        Returns:
            The number of the command at the node; None if the node accepts no more commands or died at a step.
        """
        self._uploads += 1
        upload, now = f"u{self._uploads}", node.now
        for offset in range(0, len(content), 4_000):
            piece: dict[str, Any] = {"m": "rules", "do": "part", "upload": upload, "offset": offset}
            node.participant.propose(now, StoredCommand({**piece, "data": content[offset : offset + 4_000]}))
        kind = next(one for one in DOCUMENTS if one.name == name)
        put: dict[str, Any] = {"m": "rules", "do": "put", "doc": name, "kind": kind.kind.value}
        put |= {"strict": kind.strict, "upload": upload, "digest": content_digest(content), "expect": expect}
        put |= {"author": node.name, "note": ""}
        put |= {"at": "", "hold_out": hold_out, "stage": stage}
        if node.reached("uploading"):
            return None
        number = node.participant.propose(now, StoredCommand(put))
        node.drive()
        return None if node.reached("put") else number

    # Observations and invariants.

    def _see_stages(self) -> None:
        """Update the staged rollouts from the voter that has applied most of the log."""
        voters = [one.voter for one in self.nodes.values() if one.up and one.voter is not None]
        best = max(voters, key=lambda voter: voter.raft.last_applied, default=None)
        if best is not None and best.config_store is not None and best.raft.last_applied > self._seen_at:
            self._seen_at = best.raft.last_applied
            told = {name: one for name, one in best.config_store.active_rollouts() if one.rollout is not None}
            self.counts["stages"] += len(told.keys() - self._staged.keys())
            self._staged = {
                name: (one.version.number, one.rollout.nodes) for name, one in told.items() if one.rollout
            }

    def _see_shares(self) -> None:
        """Check what all nodes together may use of the tenant's allowance, each under its lease by its own clock.

        Raises:
            InvariantViolationError: It is more than the whole allowance.
        """
        used = {
            node.name: self.using[node.name].shares.get(TENANT, 0)
            for node in self.nodes.values()
            if node.up
            and node.name in self.using
            and node.name not in self._beyond_drift
            and node.participant.holder.time_left(self.lease(node), node.now)
        }
        self.most_used = max(self.most_used, sum(used.values()))
        if self.most_used > FULL_QUOTA:
            raise InvariantViolationError(
                f"{self.most_used / FULL_QUOTA:.1%} of an allowance at {self.true_us} us: {used}"
            )

    def watch(self) -> None:
        """Check which version of each document every node would act on now, by its own clock.

        Raises:
            InvariantViolationError: Two nodes act on different versions of a strict document, or differ on another
                document for longer than the term of its leases.
        """
        self._see_stages()
        self._see_shares()
        for named in DOCUMENTS:
            seen = self.seen[named.name]
            versions: dict[int, str] = {}
            for node in self.nodes.values():
                follower = self.followers.get(node.name)
                if not node.up or follower is None or node.name in self._beyond_drift:
                    continue
                one = follower.documents[named.name]
                held = node.participant.holder.time_left(self.lease(node), node.now)
                if self.mutation.name == "version-from-disk" and one.target is None:
                    held = TERM  # the mutation does not check its lease
                number, on = self._staged.get(named.name, (0, []))
                if one.version == number and node.name in on:
                    continue  # differs on purpose: the node is in a staged rollout
                if one.state is FollowerState.ACTIVE and held:
                    versions[one.version] = node.name
            if len(versions) > 1:
                if named.strict:
                    raise InvariantViolationError(f"two act on {named.name} at {self.true_us} us: {versions}")
                if seen.differ_since is None:
                    seen.differ_since = self.true_us
                seen.longest_us = max(seen.longest_us, self.true_us - seen.differ_since)
                if seen.longest_us > span_us(self.settings.config_term):
                    raise InvariantViolationError(
                        f"{named.name}: versions {versions} side by side for {seen.longest_us} us"
                    )
            else:
                seen.differ_since = None

    def _check_end(self) -> None:
        """Check the history of the clients' calls, and the versions that came into force."""
        super()._check_end()
        for named in DOCUMENTS:
            calls = [one for client in self.clients for one in client.calls[named.name]]
            by_version = {
                one.version: one for one in calls if one.came in (CallOutcome.DONE, CallOutcome.UNKNOWN)
            }
            given = [one.version for one in calls if one.came is CallOutcome.DONE]
            if len(set(given)) < len(given):
                raise InvariantViolationError(f"a version of {named.name} was given twice")
            # A node proposed the first version from its files: add that put, which no client made.
            if why := linearizability_violation([*calls, Call("a node", 0)]):
                raise InvariantViolationError(f"{named.name}: {why}")
            in_force = max(
                (
                    [one.number for one in node.voter.config_store.documents[named.name].versions]
                    for node in self.nodes.values()
                    if node.voter
                    and node.voter.config_store
                    and named.name in node.voter.config_store.documents
                ),
                key=len,
                default=[],
            )
            for before, version in pairwise([0, *in_force]):
                made = by_version.get(version)
                if made is not None and before and made.expect != before:
                    raise InvariantViolationError(
                        f"{named.name}: {version} took the place of {before}, not of {made.expect}"
                    )
            sick = [
                one.number
                for node in self.nodes.values()
                if node.voter and node.voter.config_store and named.name in node.voter.config_store.documents
                for one in node.voter.config_store.documents[named.name].versions
                if SICK in one.content
            ]
            if sick:
                raise InvariantViolationError(
                    f"{named.name}: version {sick[0]} went on from its stage, though it did worse"
                )
            if not self.seen[named.name].acted:
                raise InvariantViolationError(f"nobody ever acted on {named.name}")


class Client:
    """A client that reads and changes documents, one call at a time, each at a random running node.

    Attributes:
        calls: The calls with a known effect or outcome, by document.
    """

    def __init__(self, cluster: SimulatedDocumentCluster, number: int) -> None:
        self.cluster, self.name = cluster, f"c{number}"
        self.calls: dict[str, list[Call]] = {one.name: [] for one in DOCUMENTS}
        self._chance = random.Random(cluster.plan.seed * 31 + number)
        self._saw = {one.name: 0 for one in DOCUMENTS}
        self._call: tuple[str, Call] | None = None
        self._waits: tuple[SimulatedNode, int, int] | None = (
            None  # node, its generation, number of the command
        )
        self._looks_after = 0  # the version that a put created, until it is in force or rejected
        cluster.after(2_000_000 + self._chance.randrange(500_000), self._next)

    def _next(self) -> None:
        """Begin the next call, unless one is pending."""
        cluster, chance = self.cluster, self._chance
        up = [one for one in cluster.nodes.values() if one.up and cluster.true_us >= one.stopped_until]
        cluster.after(int(THINKS_US * (0.3 + chance.random())), self._next)
        if self._call is not None and cluster.true_us >= self._call[1].begun_us + PATIENCE_US:
            self._over(CallOutcome.UNKNOWN, self._call[1].version)
        if self._call is not None or not up:
            return
        node, name = chance.choice(up), chance.choice(DOCUMENTS).name
        call = Call(self.name, cluster.true_us, expect=self._saw[name])
        self._call, self._looks_after = (name, call), 0
        if not call.expect or chance.random() < 0.5:
            call.expect = -1  # marks a get
            self._ask(node, name)
            return
        text = CANT if chance.random() < 0.1 else "x" * chance.choice((3, 30, BIG))
        stage = None
        if name == "plain" and chance.random() < 0.35:
            stage = {"for_ms": chance.randrange(300, 1_500), "worse": 0.1, "least": 30, "share": 0.3}
            text = SICK if chance.random() < 0.5 else text
        tenants = {TENANT: {"share": 0.5, "allowance_per_s": ALLOWANCE}}
        content = json.dumps({"n": chance.randrange(1 << 30), "text": text, "tenants": tenants})
        hold_out = CANT in text and chance.random() < 0.5
        number = cluster._put(node, name, call.expect, content, stage, hold_out)
        if number is not None:
            self._waits = (node, node.generation, number)

    def _ask(self, node: SimulatedNode, name: str) -> None:
        """Read the current version of a document."""
        number = node.participant.propose(node.now, StoredCommand({"m": "rules", "do": "get", "doc": name}))
        if number is not None:
            self._waits = (node, node.generation, number)
            node.drive()

    def _over(self, came: CallOutcome, version: int = 0) -> None:
        """End the pending call with an outcome."""
        assert self._call is not None
        name, call = self._call
        self._call = self._waits = None
        call.ended_us, call.came, call.version = self.cluster.true_us, came, version
        if came is CallOutcome.UNKNOWN and call.expect < 0:
            return  # a get without a response adds nothing to the history
        if came in (CallOutcome.TOLD, CallOutcome.DONE, CallOutcome.STALE):
            self._saw[name] = version
        self.calls[name].append(call)
        self.cluster.counts[came.value] += 1

    def look(self, node: SimulatedNode) -> None:
        """Handle the result of the pending command, if the node has it."""
        if self._waits is None or self._call is None:
            return
        at, generation, number = self._waits
        if at is not node or generation != node.generation or not node.up:
            return
        result = node.participant.take_result(number)
        if result is None:
            return
        self._waits = None
        call = self._call[1]
        if "refused" in result or "error" in result:
            if call.expect >= 0 and "version" in result and "waits_for" not in result:
                self._over(CallOutcome.STALE, int(result["version"]))
            else:
                self._call = None  # it had no effect and returned no version
        elif "prepares" in result:
            call.version = self._looks_after = int(result["prepares"])
            self.cluster.after(60_000, lambda: self._again(call))
        elif call.expect < 0:
            self._over(CallOutcome.TOLD, int(result["version"]))
        elif any(row["version"] == self._looks_after for row in result["turned_down"]):
            self._call = None
            self.cluster.counts["turned down"] += 1
        elif result["version"] >= self._looks_after:
            self._over(CallOutcome.DONE, self._looks_after)
        else:
            self.cluster.after(60_000, lambda: self._again(call))

    def _again(self, call: Call) -> None:
        """Read the document again, to find out whether the put of this call is in force."""
        up = [
            one for one in self.cluster.nodes.values() if one.up and self.cluster.true_us >= one.stopped_until
        ]
        if self._call is not None and self._call[1] is call and up:
            self._ask(self._chance.choice(up), self._call[0])


def run_rules(plan: Plan, mutation: Mutation | None = None) -> tuple[SimulatedDocumentCluster, str]:
    """Run a plan on a new cluster; return the cluster, and what was violated or an empty text."""
    cluster = SimulatedDocumentCluster(plan, mutation)
    return cluster, violation_of(cluster)
