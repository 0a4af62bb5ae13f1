"""Replicated documents on a node: carries out the actions of the follower, between two turns of the core."""

from __future__ import annotations

import json
import logging
from datetime import datetime, timedelta

from marlstep.cluster.config_quotas import QuotaDriver
from marlstep.cluster.config_uploads import ConfigUploads
from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import ConfigDocuments, LeaderRequester, Step, TurnRequester
from marlstep.cluster.order_tracker import OrderResults, OrderTracker
from marlstep.config.cluster_settings import ReplicatedConfigSettings
from marlstep.leases.holder import HeartbeatReport
from marlstep.leases.names import CONFIG_LEASE_PREFIX
from marlstep.membership.quota_table import quota_limit_violation
from marlstep.replicated_config.commands import RecordAcknowledgement
from marlstep.replicated_config.comparison import differences
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, Kind, canonical_json
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import (
    AcknowledgeVersion,
    ActivateVersion,
    CheckVersion,
    FollowerAction,
    ProposeFirstVersion,
    ReportOlderVersion,
    SuspendDocument,
)
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk

log = logging.getLogger(__name__)

MAX_ORDER_RESULTS = 64  # results of orders that operators can still fetch
MAX_DIFFERENCES = 20  # lines shown to operators when two contents are compared
DISCONNECT_EFFECTS = {  # shown to operators in the event history
    DisconnectPolicy.STOP: "new work is refused",
    DisconnectPolicy.NARROW: "the lesser of what is known counts",
    DisconnectPolicy.KEEP: "goes on, and may contradict the others",
}


class ConfigDriver:
    """Follows the documents of the cluster on this node, under a lease of its own."""

    def __init__(
        self,
        context: NodeContext,
        turns: TurnRequester,
        leader: LeaderRequester,
        config: ReplicatedConfigSettings,
        documents: ConfigDocuments,
        results: OrderResults,
    ) -> None:
        """Initialize the follower of the documents and carry out its first actions.

        `documents` applies contents to this node; `results` is shared with the tracker of other orders.
        """
        self._context, self._leader = context, leader
        self.settings, self._documents = config, documents
        self.follower = ConfigFollower(config.documents, context.config.node)
        self.definitions = {definition.name: definition for definition in config.documents}
        self.lease = CONFIG_LEASE_PREFIX + context.process_name
        self.orders = OrderTracker(context.client, results, MAX_ORDER_RESULTS)
        self.uploads = ConfigUploads(context, turns, self.orders)
        self.quotas = QuotaDriver(context, documents) if config.quotas_shared else None
        self._acknowledgements: dict[int, AcknowledgeVersion] = {}  # by command number
        context.client.holder.report = self._heartbeat_report
        self._execute_all(self.follower.start(), context.steady.now())

    def lease_time_left(self, now: datetime) -> timedelta:
        """Return for how long the lease still permits acting on documents."""
        return self._context.client.holder.time_left(self.lease, now)

    def accepts_work(self) -> bool:
        """Return whether a new request may be admitted.

        The lease is compared with the clock for each request: a process that was stopped for a time may not have
        handled the expiry of its lease yet.
        """
        return self.follower.accepts_work(self.lease_time_left(self._context.steady.now()))

    def _heartbeat_report(self, now: datetime) -> HeartbeatReport:
        """Return the document states, request counts and demand that a heartbeat reports."""
        demand = () if self.quotas is None else self.quotas.estimate_demand(now)
        counts = self._documents.request_counts()
        return HeartbeatReport(self.follower.document_states(now), counts, demand)

    # Handling of events.

    def handle_heartbeat_response(self, now: datetime) -> None:
        """Apply the quota shares and document statuses of the latest heartbeat response."""
        holder = self._context.client.holder
        statuses, holder.documents = holder.documents, None
        if self.quotas is not None:
            self.quotas.handle_heartbeat_response(now)
        if statuses is not None:
            actions = self.follower.handle_statuses(now, statuses, self.lease_time_left(now))
            self._execute_all(actions, now)

    def handle_chunk(self, now: datetime, chunk: DocumentChunk) -> None:
        """Handle a chunk of a document that was requested from the leader."""
        self._execute_all(self.follower.handle_chunk(now, chunk, self.lease_time_left(now)), now)

    def tick(self, now: datetime) -> None:
        """Handle command results and run due work. Called in every turn, so also when the lease expires."""
        self._collect_acknowledgements()
        if self.quotas is not None:
            self.quotas.collect_results()
        self.orders.collect()
        self.uploads.tick(now)
        self._execute_all(self.follower.tick(now, self.lease_time_left(now)), now)

    def _collect_acknowledgements(self) -> None:
        for number in list(self._acknowledgements):
            if (result := self._context.client.take_result(number)) is not None:
                acknowledged = self._acknowledgements.pop(number)
                if "refused" in result:
                    self.follower.acknowledgement_lost(acknowledged.name, acknowledged.version)

    # Actions of the follower.

    def _execute_all(self, actions: list[FollowerAction], now: datetime) -> None:
        queue = list(actions)
        while queue:
            queue += self._execute(queue.pop(0), now)

    def _execute(self, action: FollowerAction, now: datetime) -> list[FollowerAction]:
        """Carry out one action and return the actions that it leads to."""
        match action:
            case CheckVersion():
                return self._check_version(action, now)
            case AcknowledgeVersion():
                self._acknowledge(action, now)
            case FetchChunk():
                self._leader.request_leader(action)
            case ActivateVersion():
                self._activate(action)
            case SuspendDocument():
                self._suspend(action)
            case ProposeFirstVersion():
                self._propose_first_version(action)
            case ReportOlderVersion():
                self._report_older_version(action)
        return []

    def _check_version(self, action: CheckVersion, now: datetime) -> list[FollowerAction]:
        rejection = self.rejection_of(self.definitions[action.name], action.content)
        if rejection:
            log.error(
                "fleet: version rejected document=%s version=%d reason=%r",
                action.name,
                action.version,
                rejection,
            )
        return self.follower.handle_check_result(now, action, rejection, self.lease_time_left(now))

    def _acknowledge(self, action: AcknowledgeVersion, now: datetime) -> None:
        command = RecordAcknowledgement(
            action.name, action.version, action.digest, self._context.process_name, action.rejection
        )
        number = self._context.client.propose(now, command)
        if number is None:
            self.follower.acknowledgement_lost(action.name, action.version)
        else:
            self._acknowledgements[number] = action
            self._context.observer.reached(Step.VERSION_ACKNOWLEDGED)

    def _propose_first_version(self, action: ProposeFirstVersion) -> None:
        if not self._context.capabilities.proposes_documents:
            return
        content = self._documents.local_content(self.definitions[action.name].kind.value)
        log.info("fleet: proposing first version from local file document=%s", action.name)
        node = self._context.config.node
        self.put(action.name, canonical_json(content), 0, node, "from the files of this node")

    def _activate(self, action: ActivateVersion) -> None:
        definition = self.definitions[action.name]
        try:
            self._documents.activate(definition.kind.value, action.version, action.content)
        except ValueError:  # the content was checked before, so this is a bug
            log.exception("fleet: activation failed document=%s version=%d", action.name, action.version)
            return
        if self.quotas is not None and definition.kind is Kind.TENANTS:
            self.quotas.apply_all()
        self._context.observer.reached(Step.VERSION_ACTIVATED)
        log.info("fleet: version activated document=%s version=%d", action.name, action.version)
        self._context.record_event(f"acts on version {action.version} of {action.name}", "it is in force")

    def _report_older_version(self, action: ReportOlderVersion) -> None:
        log.error(
            "fleet: group went back to an older version document=%s version=%d newest_version=%d",
            action.name,
            action.version,
            action.newest_version,
        )
        reason = (
            f"version {action.version} is in force in the group, which had version {action.newest_version}"
        )
        self._context.record_event(f"the group went back to an older version of {action.name}", reason)

    def _suspend(self, action: SuspendDocument) -> None:
        effect = DISCONNECT_EFFECTS[action.policy]
        log.warning(
            "fleet: document lease lost document=%s policy=%s reason=%r",
            action.name,
            action.policy.value,
            action.reason,
        )
        self._context.record_event(f"no lease on {action.name}: {effect}", action.reason)
        self._context.counts["rules stopped"] += 1
        if action.policy is DisconnectPolicy.NARROW:
            self._documents.restrict()

    # Calls for operators' orders and status.

    def put(self, document: str, content: str, expected_version: int, author: str, note: str) -> None:
        """Start the upload of a new version that is to follow `expected_version`."""
        self.uploads.put(self.definitions[document], content, expected_version, author, note)

    def rejection_of(self, definition: DocumentDefinition, content: str) -> str:
        """Return the reason why this node can't act on the content, or an empty string if it can."""
        rejection = self._documents.check(definition.kind.value, content)
        if not rejection and self.quotas is not None and definition.kind is Kind.TENANTS:
            return quota_limit_violation(json.loads(content).get("tenants", {}))
        return rejection

    def pin(self, now: datetime, document: str, content: str) -> None:
        """Act on the given content on this node only, until the document is unpinned."""
        self._execute_all(self.follower.pin(now, document, content), now)

    def unpin(self, now: datetime, document: str) -> None:
        """Act on the group's version of the document again."""
        self._execute_all(self.follower.unpin(document), now)

    def differences_from_group(self, document: str) -> list[str] | None:
        """Return how the group's active version differs from the one in force here; None if the former is unknown."""
        group_content = self.follower.group_content(document)
        if group_content is None:
            return None
        content = self.follower.documents[document].content
        return list(differences(json.loads(content), json.loads(group_content)))[:MAX_DIFFERENCES]

    def differences_from_files(self, definition: DocumentDefinition, content: str) -> list[str]:
        """Return how the configuration files of this node differ from the content."""
        local = self._documents.local_content(definition.kind.value)
        return list(differences(json.loads(content), local))[:MAX_DIFFERENCES]
