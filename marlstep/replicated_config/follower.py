"""A node's side of versioned documents: which version it activates, until when, and what it does without a group.

A version is active only while the node holds its own configuration lease. The heartbeat response that renews the lease
also contains the number of the active version. So a node that renews its lease after a commit knows the new version,
and a node that does not renew it stops using the old version when the lease expires: no node uses an old version for
longer than the duration of the lease.
"""

from __future__ import annotations

from datetime import datetime, timedelta

from marlstep.leases.messages import DocumentState, DocumentStatus
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition
from marlstep.replicated_config.followed_document import FollowedDocument, FollowerState
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
from marlstep.units import MILLISECOND, ZERO

PROPOSE_RETRY_INTERVAL = 3_000 * MILLISECOND  # a first version that is not prepared by then is proposed again
PINNED_VERSION = -1  # stands for the version number of a pinned content

_STATES_UNDER_LEASE = (FollowerState.ACTIVE, FollowerState.SUSPENDED, FollowerState.CATCHING_UP)


class ConfigFollower:
    """All documents that a node follows. Its methods return actions that the driver carries out in order."""

    def __init__(self, definitions: tuple[DocumentDefinition, ...], node: str = "") -> None:
        """Initialize the follower with no version of any document.

        Args:
            definitions: The documents to follow.
            node: Name of this node, as the lists of nodes in canary rollouts contain it.
        """
        self.node = node
        self.documents = {definition.name: FollowedDocument(definition) for definition in definitions}

    def start(self) -> list[FollowerAction]:
        """Suspend all documents: none is active until a heartbeat response has named a version."""
        return [_suspend_by_policy(document, "not heard of yet") for document in self.documents.values()]

    # Heartbeat responses, chunks and results of actions.

    def handle_statuses(
        self, now: datetime, statuses: tuple[DocumentStatus, ...], lease_left: timedelta
    ) -> list[FollowerAction]:
        """Record the document statuses of a heartbeat response, and take the next step for each document.

        Args:
            now: This node's clock.
            statuses: The statuses in the response; a document that is missing there does not exist in the group.
            lease_left: Remaining time of the configuration lease after the response; zero or less if it expired.
        """
        status_by_name = {status.name: status for status in statuses}
        actions: list[FollowerAction] = []
        for name, document in self.documents.items():
            newest_version = document.newest_group_version
            if document.goes_back(status_by_name.get(name)):
                actions.append(ReportOlderVersion(name, document.newest_group_version, newest_version))
            if lease_left <= ZERO:
                continue
            if document.target is None:
                actions += self._propose_first_version(now, document)
            else:
                actions += self._follow(now, document)
        return actions

    def handle_chunk(
        self, now: datetime, chunk: DocumentChunk, lease_left: timedelta
    ) -> list[FollowerAction]:
        """Append a chunk to the content that is being fetched; a chunk that is not the next one is ignored."""
        document = self.documents.get(chunk.name)
        if document is None or not document.is_next_chunk(chunk):
            return []
        if not document.add_chunk(chunk):
            return [*document.fetch(now, chunk.version)]
        return self._follow_under_lease(now, document, lease_left)

    def handle_check_result(
        self, now: datetime, check: CheckVersion, rejection: str, lease_left: timedelta
    ) -> list[FollowerAction]:
        """Record the result of a validation; `rejection` is empty if the version can be activated."""
        document = self.documents[check.name]
        document.check_results[check.version] = rejection
        return self._follow_under_lease(now, document, lease_left)

    def acknowledgement_lost(self, name: str, version: int) -> None:
        """Acknowledge a prepared version again, as its acknowledgement could not be proposed or was rejected."""
        document = self.documents[name]
        if document.acknowledged_version == version:
            document.acknowledged_version = 0

    # Lease expiry and status.

    def tick(self, now: datetime, lease_left: timedelta) -> list[FollowerAction]:
        """Take the next steps for all documents: follow the group under the lease, suspend once it has expired."""
        actions: list[FollowerAction] = []
        for document in self.documents.values():
            if lease_left > ZERO:
                actions += self._follow_under_lease(now, document, lease_left)
            elif document.state in _STATES_UNDER_LEASE:
                document.state = FollowerState.LEASE_EXPIRED
                actions.append(_suspend_by_policy(document, "the lease on the rules has run out"))
        return actions

    def accepts_work(self, lease_left: timedelta) -> bool:
        """Return whether new work may start now; requests in flight always continue."""
        return all(document.accepts_work(lease_left) for document in self.documents.values())

    def document_states(self, now: datetime) -> tuple[DocumentState, ...]:
        """Return the state of each document on this node, for heartbeats and operators."""
        return tuple(document.report(now) for document in self.documents.values())

    def group_content(self, name: str) -> str | None:
        """Return the content that is active in the group, for comparison with a pinned one; None if it is not known."""
        document = self.documents[name]
        if document.target is None:
            return None
        return document.content_of(document.target.version, document.target.digest)

    # Operator commands.

    def pin(self, now: datetime, name: str, content: str) -> list[FollowerAction]:
        """Activate a content on an operator's order until `unpin`, for use when the group has lost its majority."""
        document = self.documents[name]
        document.state, document.content = FollowerState.PINNED, content
        document.version, document.active_since = PINNED_VERSION, now
        return [ActivateVersion(name, PINNED_VERSION, content)]

    def unpin(self, name: str) -> list[FollowerAction]:
        """Suspend a pinned document until the group's active version is activated."""
        document = self.documents[name]
        if document.state is not FollowerState.PINNED:
            return []
        document.state, document.version = FollowerState.UNKNOWN, 0
        return [_suspend_by_policy(document, "the fixed version was taken back")]

    # Steps towards activating the version that is active in the group.

    @staticmethod
    def _propose_first_version(now: datetime, document: FollowedDocument) -> list[FollowerAction]:
        if document.state is FollowerState.PINNED:
            return []
        if document.proposed_at is not None and now < document.proposed_at + PROPOSE_RETRY_INTERVAL:
            return []
        document.proposed_at = now
        return [ProposeFirstVersion(document.definition.name)]

    def _follow_under_lease(
        self, now: datetime, document: FollowedDocument, lease_left: timedelta
    ) -> list[FollowerAction]:
        if document.target is None or lease_left <= ZERO:
            return []
        return self._follow(now, document)

    def _follow(self, now: datetime, document: FollowedDocument) -> list[FollowerAction]:
        target = document.target
        assert target is not None
        if document.state is FollowerState.PINNED:
            return self._fetch_for_comparison(now, document, target)
        version, digest, prepared_version = target.version, target.digest, target.prepared_version
        if prepared_version and self.node in target.rollout_nodes:
            # This node takes part in the canary rollout, so the prepared version is the one to activate here.
            version, digest, prepared_version = target.prepared_version, target.prepared_digest, 0
        actions: list[FollowerAction] = []
        if version:
            actions += self._reach_version(now, document, version, digest, prepared_version)
        # One content is fetched or checked at a time: the active version first, then the prepared one.
        is_busy = 0 < document.fetching_version == version or any(
            isinstance(action, FetchChunk | CheckVersion) for action in actions
        )
        if target.prepared_version and not is_busy:
            actions += self._prepare(now, document, target)
        return actions

    @staticmethod
    def _fetch_for_comparison(
        now: datetime, document: FollowedDocument, target: DocumentStatus
    ) -> list[FollowerAction]:
        """Fetch the content that is active in the group, to show how a pinned one differs from it."""
        if not target.version or document.content_of(target.version, target.digest) is not None:
            return []
        return [*document.fetch(now, target.version)]

    def _reach_version(
        self, now: datetime, document: FollowedDocument, version: int, digest: str, prepared_version: int
    ) -> list[FollowerAction]:
        """Take the next step towards activating a version that the group has committed."""
        if (
            document.definition.strict
            and prepared_version
            and document.acknowledged_version == prepared_version
        ):
            # The acknowledgement promised that this node has stopped using the old version, so the document stays
            # suspended until the prepared version is committed or withdrawn.
            if document.state is not FollowerState.EXCLUDED:
                document.state = FollowerState.SUSPENDED
            return []
        if document.is_active_on(version):
            return []
        content = document.content_of(version, digest)
        if content is None:
            return self._catch_up(now, document, version)
        return self._activate_if_valid(now, document, version, content)

    @staticmethod
    def _catch_up(now: datetime, document: FollowedDocument, version: int) -> list[FollowerAction]:
        fetches = document.fetch(now, version)
        if document.state is not FollowerState.ACTIVE:
            return [*fetches]
        # This node's lease had expired, and the change was committed without its acknowledgement. With a new lease
        # it must not continue with the old version, however long it takes to fetch the new one.
        document.state = FollowerState.CATCHING_UP
        reason = f"version {version} is in force, and not here yet"
        return [_suspend_by_policy(document, reason), *fetches]

    @staticmethod
    def _activate_if_valid(
        now: datetime, document: FollowedDocument, version: int, content: str
    ) -> list[FollowerAction]:
        name = document.definition.name
        if version not in document.check_results:
            return [CheckVersion(name, version, content)]
        if rejection := document.check_results[version]:
            if document.state is FollowerState.EXCLUDED:
                return []
            document.state = FollowerState.EXCLUDED
            reason = f"version {version} can't be taken: {rejection}"
            return [SuspendDocument(name, DisconnectPolicy.STOP, reason)]
        document.activate(now, version, content)
        return [ActivateVersion(name, version, content)]

    def _prepare(
        self, now: datetime, document: FollowedDocument, target: DocumentStatus
    ) -> list[FollowerAction]:
        """Take the next step towards acknowledging or rejecting the prepared version.

        A strict document is suspended before the acknowledgement.
        """
        name, version = document.definition.name, target.prepared_version
        if document.acknowledged_version == version:
            return []
        content = document.content_of(version, target.prepared_digest)
        if content is None:
            return [*document.fetch(now, version)]
        if version not in document.check_results:
            return [CheckVersion(name, version, content)]
        document.acknowledged_version = version
        actions: list[FollowerAction] = []
        if document.definition.strict and document.state is FollowerState.ACTIVE:
            document.state = FollowerState.SUSPENDED
            reason = f"until version {version} is in force"
            actions.append(SuspendDocument(name, DisconnectPolicy.STOP, reason))
        acknowledgement = AcknowledgeVersion(
            name, version, target.prepared_digest, document.check_results[version]
        )
        return [*actions, acknowledgement]


def _suspend_by_policy(document: FollowedDocument, reason: str) -> SuspendDocument:
    definition = document.definition
    return SuspendDocument(definition.name, definition.disconnect_policy, reason)
