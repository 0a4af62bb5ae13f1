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
CONFIG_LEASE_TERM = 1_500 * MILLISECOND
CLIENT_COUNT = 8
MEAN_CALL_INTERVAL_US = 1_500_000  # the mean time of a client between two calls
RESPONSE_TIMEOUT_US = 5_000_000  # after which a client gives up waiting for a response
REJECTED_CONTENT = "poison"  # in contents that the last node rejects, as an older program would
DEGRADING_CONTENT = (
    "sick"  # in contents with which a node refuses most requests; they are only put as staged changes
)
TENANT, ALLOWANCE = "t", 100.0
LARGE_CONTENT_LENGTH = 9_000  # characters of a document that is uploaded in several chunks


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
        quota_state: The quota shares of each node's current process.
        most_used: The largest part of the tenant's allowance that all nodes could use at the same time.
    """

    def __init__(self, plan: Plan, mutation: Mutation | None = None) -> None:
        """Create the nodes of a plan and the clients, which start when the plan is run."""
        super().__init__(plan, mutation)
        self.settings = type(self.settings)(
            self.settings.term,
            self.settings.drift,
            0,
            self.mutation.settings(self.settings).config_term or CONFIG_LEASE_TERM,
        )
        self.followers: dict[str, ConfigFollower] = {}
        self.seen = {document.name: DocumentObservation() for document in DOCUMENTS}
        self.clients = [Client(self, number) for number in range(CLIENT_COUNT)]
        self.quota_state: dict[str, QuotaLease] = {}
        # Both by node, generation and number of the pending command: the tenants of which a share is returned, and
        # the documents and versions that are acknowledged.
        self._pending_returns: dict[tuple[str, int, int], str] = {}
        self.most_used = 0
        self._pending_acknowledgements: dict[tuple[str, int, int], tuple[str, int]] = {}
        self._uploads = 0
        self._request_counts: dict[str, list[int]] = {}  # of each process, as in `RequestCounts`
        # The version and nodes of each rollout by document, and the index of the log entry up to which they are known.
        self._active_rollouts: dict[str, tuple[int, list[str]]] = {}
        self._rollouts_index = 0

    def machines(self, table: Any) -> dict[str, Any]:
        """Return the state machines of a voter, by name, on top of its table of leases."""
        return {"tasks": RunLog(table), "rules": ConfigStore(table), "shares": QuotaTable(table)}

    def voter_settings(self) -> ReplicaSettings:
        """Return the settings of every voter."""
        return replace(super().voter_settings(), quotas=True)

    @staticmethod
    def lease(node: SimulatedNode) -> str:
        """Return the name of the lease under which the node's process acts on documents."""
        return CONFIG_LEASE_PREFIX + node.participant.holder.name

    def extra_leases(self, node: SimulatedNode) -> list[str]:
        """Return the leases that a node wants in addition to those of the tasks."""
        return [self.lease(node)]

    def node_started(self, node: SimulatedNode) -> None:
        """Handle the start of a new generation of the node."""
        follower = ConfigFollower(DOCUMENTS, node.name)
        self.mutation.apply_to(follower)
        node.participant.holder.report = lambda now: self._report(node, follower, now)
        self.quota_state[node.name] = QuotaLease()
        if node.voter is not None and node.voter.config_store is not None:
            self.mutation.apply_to(node.voter.config_store)
        if node.voter is not None and node.voter.quotas is not None:
            self.mutation.apply_to(node.voter.quotas)
        previous = self.followers.get(node.name)
        self.followers[node.name] = follower
        if self.mutation.name == "version-from-disk" and previous is not None:
            # The mutation: act on the versions of the previous process without asking the group.
            for name, followed in previous.documents.items():
                if followed.version:
                    restored = follower.documents[name]
                    restored.version, restored.content, restored.state = (
                        followed.version,
                        followed.content,
                        FollowerState.ACTIVE,
                    )
        follower.start()

    def _report(self, node: SimulatedNode, follower: ConfigFollower, now: Any) -> HeartbeatReport:
        """Return the report of a heartbeat: 20 more requests, most of them refused under a `DEGRADING_CONTENT`."""
        counts = self._request_counts.setdefault(node.participant.holder.name, [0, 0, 0])
        counts[0] += 20
        is_degraded = any(
            followed.state is FollowerState.ACTIVE and DEGRADING_CONTENT in followed.content
            for followed in follower.documents.values()
        )
        counts[1] += 15 if is_degraded else 1
        # Demand for the tenant's allowance moves from node to node, and sometimes exceeds the whole allowance.
        position = (self.true_us // 3_000_000 + self.plan.nodes.index(node.name)) % len(self.plan.nodes)
        demand = TenantDemand(TENANT, (150_000, 40_000, 0)[min(position, 2)])
        return HeartbeatReport(follower.document_states(now), RequestCounts(*counts), (demand,))

    # Events of nodes.

    def response_received(self, node: SimulatedNode) -> None:
        """Handle that the node processed a response of the group."""
        statuses, node.participant.holder.documents = node.participant.holder.documents, None
        quota_state, now = self.quota_state[node.name], node.now
        for tenant, to in quota_state.update(node.participant.holder.quota_shares):
            command = {"m": "shares", "do": "gave", "tenant": tenant, "to": to}
            number = node.participant.propose(
                now, StoredCommand({**command, "holder": node.participant.holder.name})
            )
            if number is None:
                quota_state.report_lost(tenant)
            else:
                self._pending_returns[node.name, node.generation, number] = tenant
        if statuses is not None:
            left = node.participant.holder.time_left(self.lease(node), node.now)
            self._carry_out(node, self.followers[node.name].handle_statuses(node.now, statuses, left))

    def message_received(self, node: SimulatedNode, message: Any) -> None:
        """Handle a message to the node's process other than a response of the group."""
        if isinstance(message, DocumentChunk):
            left = node.participant.holder.time_left(self.lease(node), node.now)
            self._carry_out(node, self.followers[node.name].handle_chunk(node.now, message, left))

    def node_driven(self, node: SimulatedNode) -> None:
        """Handle that the node's cores were driven, after an event or a timer."""
        follower, participant = self.followers[node.name], node.participant
        for key in [key for key in self._pending_acknowledgements if key[:2] == (node.name, node.generation)]:
            result = participant.take_result(key[2])
            if result is not None:
                name, version = self._pending_acknowledgements.pop(key)
                if "refused" in result:
                    follower.acknowledgement_lost(name, version)
        for key in [key for key in self._pending_returns if key[:2] == (node.name, node.generation)]:
            result = participant.take_result(key[2])
            if result is not None:
                tenant = self._pending_returns.pop(key)
                if "refused" in result:
                    self.quota_state[node.name].report_lost(tenant)
        for client in self.clients:
            client.handle_result(node)
        left = participant.holder.time_left(self.lease(node), node.now)
        self._carry_out(node, follower.tick(node.now, left))
        self.check_versions()

    def _carry_out(self, node: SimulatedNode, actions: list[Any]) -> None:
        """Perform the actions that the node's follower asks for.

        Raises:
            InvariantViolationError: A version has two contents.
        """
        follower, now = self.followers[node.name], node.now
        left = node.participant.holder.time_left(self.lease(node), now)
        while actions:
            action = actions.pop(0)
            match action:
                case CheckVersion():
                    is_rejected = REJECTED_CONTENT in action.content and node.name == self.plan.nodes[-1]
                    reason = "an older program" if is_rejected else ""
                    actions += follower.handle_check_result(now, action, reason, left)
                case AcknowledgeVersion():
                    command = {
                        "m": "rules",
                        "do": "ack",
                        "doc": action.name,
                        "version": action.version,
                        "digest": action.digest,
                    }
                    command |= {"holder": node.participant.holder.name, "why": action.rejection}
                    number = node.participant.propose(now, StoredCommand(command))
                    if number is None:
                        follower.acknowledgement_lost(action.name, action.version)
                    else:
                        self._pending_acknowledgements[node.name, node.generation, number] = (
                            action.name,
                            action.version,
                        )
                        if node.reached("said"):
                            return
                case FetchChunk():
                    self.send(node, node.participant.holder.name, node.participant.target, action)
                case ActivateVersion():
                    known_digest = self.seen[action.name].acted.setdefault(
                        action.version, content_digest(action.content)
                    )
                    if known_digest != content_digest(action.content):
                        raise InvariantViolationError(
                            f"version {action.version} of {action.name} is two contents"
                        )
                    self.counts["acts on a version"] += 1
                    if node.reached("following"):
                        return
                case ProposeFirstVersion():
                    self._put(node, action.name, 0, json.dumps({"first": 1}))
                case SuspendDocument():
                    self.counts["stops"] += 1
        self.check_versions()

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
            chunk: dict[str, Any] = {"m": "rules", "do": "part", "upload": upload, "offset": offset}
            node.participant.propose(now, StoredCommand({**chunk, "data": content[offset : offset + 4_000]}))
        kind = next(document for document in DOCUMENTS if document.name == name)
        command: dict[str, Any] = {"m": "rules", "do": "put", "doc": name, "kind": kind.kind.value}
        command |= {
            "strict": kind.strict,
            "upload": upload,
            "digest": content_digest(content),
            "expect": expect,
        }
        command |= {"author": node.name, "note": ""}
        command |= {"at": "", "hold_out": hold_out, "stage": stage}
        if node.reached("uploading"):
            return None
        number = node.participant.propose(now, StoredCommand(command))
        node.drive()
        return None if node.reached("put") else number

    # Observations and invariants.

    def _update_rollouts(self) -> None:
        """Update the staged rollouts from the voter that has applied most of the log.

        A rollout counts as over as soon as any voter has applied its end.
        """
        voters = [entry.voter for entry in self.nodes.values() if entry.up and entry.voter is not None]
        most_advanced = max(voters, key=lambda voter: voter.raft.last_applied, default=None)
        if (
            most_advanced is not None
            and most_advanced.config_store is not None
            and most_advanced.raft.last_applied > self._rollouts_index
        ):
            self._rollouts_index = most_advanced.raft.last_applied
            rollouts = {
                name: entry
                for name, entry in most_advanced.config_store.active_rollouts()
                if entry.rollout is not None
            }
            self.counts["stages"] += len(rollouts.keys() - self._active_rollouts.keys())
            self._active_rollouts = {
                name: (entry.version.number, entry.rollout.nodes)
                for name, entry in rollouts.items()
                if entry.rollout
            }

    def _check_quota_shares(self) -> None:
        """Check what all nodes together may use of the tenant's allowance, each under its lease by its own clock.

        Raises:
            InvariantViolationError: It is more than the whole allowance.
        """
        used = {
            node.name: self.quota_state[node.name].shares.get(TENANT, 0)
            for node in self.nodes.values()
            if node.up
            and node.name in self.quota_state
            and node.name not in self._beyond_drift
            and node.participant.holder.time_left(self.lease(node), node.now)
        }
        self.most_used = max(self.most_used, sum(used.values()))
        if self.most_used > FULL_QUOTA:
            raise InvariantViolationError(
                f"{self.most_used / FULL_QUOTA:.1%} of an allowance at {self.true_us} us: {used}"
            )

    def check_versions(self) -> None:
        """Check which version of each document every node would act on now, by its own clock.

        Raises:
            InvariantViolationError: Two nodes act on different versions of a strict document, or differ on another
                document for longer than the duration of its leases.
        """
        self._update_rollouts()
        self._check_quota_shares()
        for definition in DOCUMENTS:
            seen = self.seen[definition.name]
            versions: dict[int, str] = {}
            for node in self.nodes.values():
                follower = self.followers.get(node.name)
                if not node.up or follower is None or node.name in self._beyond_drift:
                    continue
                followed = follower.documents[definition.name]
                lease_left = node.participant.holder.time_left(self.lease(node), node.now)
                if self.mutation.name == "version-from-disk" and followed.target is None:
                    lease_left = CONFIG_LEASE_TERM  # the mutation does not check its lease
                rollout_version, rollout_nodes = self._active_rollouts.get(definition.name, (0, []))
                if followed.version == rollout_version and node.name in rollout_nodes:
                    continue  # differs on purpose: the node is in a staged rollout
                if followed.state is FollowerState.ACTIVE and lease_left:
                    versions[followed.version] = node.name
            if len(versions) > 1:
                if definition.strict:
                    raise InvariantViolationError(
                        f"two act on {definition.name} at {self.true_us} us: {versions}"
                    )
                if seen.differ_since is None:
                    seen.differ_since = self.true_us
                seen.longest_us = max(seen.longest_us, self.true_us - seen.differ_since)
                if seen.longest_us > span_us(self.settings.config_term):
                    raise InvariantViolationError(
                        f"{definition.name}: versions {versions} side by side for {seen.longest_us} us"
                    )
            else:
                seen.differ_since = None

    def _check_end(self) -> None:
        """Check the history of the clients' calls, and the versions that came into force."""
        super()._check_end()
        for definition in DOCUMENTS:
            calls = [entry for client in self.clients for entry in client.calls[definition.name]]
            by_version = {
                entry.version: entry
                for entry in calls
                if entry.came in (CallOutcome.DONE, CallOutcome.UNKNOWN)
            }
            completed_versions = [entry.version for entry in calls if entry.came is CallOutcome.DONE]
            if len(set(completed_versions)) < len(completed_versions):
                raise InvariantViolationError(f"a version of {definition.name} was given twice")
            # A node proposed the first version from its files: add that put, which no client made.
            if violation := linearizability_violation([*calls, Call("a node", 0)]):
                raise InvariantViolationError(f"{definition.name}: {violation}")
            in_force = max(
                (
                    [entry.number for entry in node.voter.config_store.documents[definition.name].versions]
                    for node in self.nodes.values()
                    if node.voter
                    and node.voter.config_store
                    and definition.name in node.voter.config_store.documents
                ),
                key=len,
                default=[],
            )
            for previous, version in pairwise([0, *in_force]):
                call = by_version.get(version)
                if call is not None and previous and call.expect != previous:
                    raise InvariantViolationError(
                        f"{definition.name}: {version} took the place of {previous}, not of {call.expect}"
                    )
            degrading_versions = [
                entry.number
                for node in self.nodes.values()
                if node.voter
                and node.voter.config_store
                and definition.name in node.voter.config_store.documents
                for entry in node.voter.config_store.documents[definition.name].versions
                if DEGRADING_CONTENT in entry.content
            ]
            if degrading_versions:
                raise InvariantViolationError(
                    f"{definition.name}: version {degrading_versions[0]} went on from its stage, though it did worse"
                )
            if not self.seen[definition.name].acted:
                raise InvariantViolationError(f"nobody ever acted on {definition.name}")


class Client:
    """A client that reads and changes documents, one call at a time, each at a random running node.

    Attributes:
        calls: The ended calls by document, without those that had no effect and returned no version.
    """

    def __init__(self, cluster: SimulatedDocumentCluster, number: int) -> None:
        """Create a client whose random choices follow from the plan's seed and `number`."""
        self.cluster, self.name = cluster, f"c{number}"
        self.calls: dict[str, list[Call]] = {document.name: [] for document in DOCUMENTS}
        self._chance = random.Random(cluster.plan.seed * 31 + number)
        self._known_versions = {document.name: 0 for document in DOCUMENTS}
        self._pending_call: tuple[str, Call] | None = None
        # The node that received the pending command, the generation of the node, and the number of the command.
        self._pending_command: tuple[SimulatedNode, int, int] | None = None
        self._prepared_version = 0  # the version that a put created, until it is in force or rejected
        cluster.after(2_000_000 + self._chance.randrange(500_000), self._begin_call)

    def _begin_call(self) -> None:
        """Begin the next call, unless one is pending."""
        cluster, chance = self.cluster, self._chance
        up = [
            candidate
            for candidate in cluster.nodes.values()
            if candidate.up and cluster.true_us >= candidate.stopped_until
        ]
        cluster.after(int(MEAN_CALL_INTERVAL_US * (0.3 + chance.random())), self._begin_call)
        if (
            self._pending_call is not None
            and cluster.true_us >= self._pending_call[1].begun_us + RESPONSE_TIMEOUT_US
        ):
            self._end_call(CallOutcome.UNKNOWN, self._pending_call[1].version)
        if self._pending_call is not None or not up:
            return
        node, name = chance.choice(up), chance.choice(DOCUMENTS).name
        call = Call(self.name, cluster.true_us, expect=self._known_versions[name])
        self._pending_call, self._prepared_version = (name, call), 0
        if not call.expect or chance.random() < 0.5:
            call.expect = -1  # marks a get
            self._read_version(node, name)
            return
        text = (
            REJECTED_CONTENT if chance.random() < 0.1 else "x" * chance.choice((3, 30, LARGE_CONTENT_LENGTH))
        )
        stage = None
        if name == "plain" and chance.random() < 0.35:
            stage = {"for_ms": chance.randrange(300, 1_500), "worse": 0.1, "least": 30, "share": 0.3}
            text = DEGRADING_CONTENT if chance.random() < 0.5 else text
        tenants = {TENANT: {"share": 0.5, "allowance_per_s": ALLOWANCE}}
        content = json.dumps({"n": chance.randrange(1 << 30), "text": text, "tenants": tenants})
        hold_out = REJECTED_CONTENT in text and chance.random() < 0.5
        number = cluster._put(node, name, call.expect, content, stage, hold_out)
        if number is not None:
            self._pending_command = (node, node.generation, number)

    def _read_version(self, node: SimulatedNode, name: str) -> None:
        """Read the current version of a document."""
        number = node.participant.propose(node.now, StoredCommand({"m": "rules", "do": "get", "doc": name}))
        if number is not None:
            self._pending_command = (node, node.generation, number)
            node.drive()

    def _end_call(self, came: CallOutcome, version: int = 0) -> None:
        """End the pending call with an outcome."""
        assert self._pending_call is not None
        name, call = self._pending_call
        self._pending_call = self._pending_command = None
        call.ended_us, call.came, call.version = self.cluster.true_us, came, version
        if came is CallOutcome.UNKNOWN and call.expect < 0:
            return  # a get without a response adds nothing to the history
        if came in (CallOutcome.TOLD, CallOutcome.DONE, CallOutcome.STALE):
            self._known_versions[name] = version
        self.calls[name].append(call)
        self.cluster.counts[came.value] += 1

    def handle_result(self, node: SimulatedNode) -> None:
        """Handle the result of the pending command, if the node has it."""
        if self._pending_command is None or self._pending_call is None:
            return
        target, generation, number = self._pending_command
        if target is not node or generation != node.generation or not node.up:
            return
        result = node.participant.take_result(number)
        if result is None:
            return
        self._pending_command = None
        call = self._pending_call[1]
        if "refused" in result or "error" in result:
            if call.expect >= 0 and "version" in result and "waits_for" not in result:
                self._end_call(CallOutcome.STALE, int(result["version"]))
            else:
                self._pending_call = None  # it had no effect and returned no version
        elif "prepares" in result:
            call.version = self._prepared_version = int(result["prepares"])
            self.cluster.after(60_000, lambda: self._check_put(call))
        elif call.expect < 0:
            self._end_call(CallOutcome.TOLD, int(result["version"]))
        elif any(row["version"] == self._prepared_version for row in result["turned_down"]):
            self._pending_call = None
            self.cluster.counts["turned down"] += 1
        elif result["version"] >= self._prepared_version:
            self._end_call(CallOutcome.DONE, self._prepared_version)
        else:
            self.cluster.after(60_000, lambda: self._check_put(call))

    def _check_put(self, call: Call) -> None:
        """Read the document again, to find out whether the put of this call is in force."""
        up = [
            candidate
            for candidate in self.cluster.nodes.values()
            if candidate.up and self.cluster.true_us >= candidate.stopped_until
        ]
        if self._pending_call is not None and self._pending_call[1] is call and up:
            self._read_version(self._chance.choice(up), self._pending_call[0])


def run_rules(plan: Plan, mutation: Mutation | None = None) -> tuple[SimulatedDocumentCluster, str]:
    """Run a plan on a new cluster; return the cluster, and what was violated or an empty text."""
    cluster = SimulatedDocumentCluster(plan, mutation)
    return cluster, violation_of(cluster)
