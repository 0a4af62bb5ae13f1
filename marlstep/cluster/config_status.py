"""Status of replicated documents for operators, and its JSON with the keys of the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from marlstep.cluster.config_documents import ConfigDriver
from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import ReplicaHolder
from marlstep.net.codec import write_fields
from marlstep.replicated_config.documents import Document, DocumentDefinition
from marlstep.replicated_config.followed_document import FollowedDocument, FollowerState
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import MILLISECOND


@dataclass(slots=True, frozen=True)
class FollowedDocumentStatus:
    """The status of one document on this node."""

    definition: DocumentDefinition
    state: FollowerState
    version: int  # the version that this node acts on
    active_version: int | None  # the group's, as last reported to this node
    prepared_version: int | None
    differences_from_group: list[str] | None  # None if not pinned, or if the group's content is unknown
    differences_from_files: list[str]

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON."""
        return {
            "name": self.definition.name,
            "kind": self.definition.kind.value,
            "strict": self.definition.strict,
            "cut_off": self.definition.disconnect_policy.value,
            "state": self.state.description,
            "version": self.version,
            "in_force": self.active_version,
            "preparing": self.prepared_version,
            "against_group": self.differences_from_group,
            "differs": self.differences_from_files,
        }


@dataclass(slots=True, frozen=True)
class ConfigStatus:
    """The status of all documents on this node, and of the lease under which it acts on them."""

    node: str
    lease_time_left: timedelta
    agree_within: timedelta
    accepts_work: bool
    reported_states: list[list[object]]  # in the form that heartbeats report
    quota_shares: dict[str, int] | None
    documents: list[FollowedDocumentStatus]

    def to_json(self) -> dict[str, Any]:
        """Return the resource `fleet/rules`."""
        return {
            "node": self.node,
            "lease_ms": self.lease_time_left // MILLISECOND,
            "agree_within_ms": self.agree_within // MILLISECOND,
            "takes_work": self.accepts_work,
            "acts": self.reported_states,
            "parts": self.quota_shares,
            "documents": [document.to_json() for document in self.documents],
        }


class ConfigStatusReporter:
    """Builds the status from the driver and the replica without changing them."""

    def __init__(self, context: NodeContext, replica_holder: ReplicaHolder, driver: ConfigDriver) -> None:
        """Initialize the reporter with the parts of one node."""
        self._context, self._replica_holder, self._driver = context, replica_holder, driver

    def overview(self) -> ConfigStatus:
        """Return the status of all documents on this node."""
        driver, now = self._driver, self._context.steady.now()
        return ConfigStatus(
            self._context.config.node,
            driver.lease_time_left(now),
            driver.settings.agree_within,
            driver.accepts_work(),
            [list(state) for state in driver.follower.document_states(now)],
            None if driver.quotas is None else driver.quotas.shares,
            [self._document(followed) for followed in driver.follower.documents.values()],
        )

    def _document(self, followed: FollowedDocument) -> FollowedDocumentStatus:
        definition, target, driver = followed.definition, followed.target, self._driver
        is_pinned = followed.state is FollowerState.PINNED
        return FollowedDocumentStatus(
            definition,
            followed.state,
            followed.version,
            None if target is None else target.version,
            None if target is None else target.prepared_version or None,
            driver.differences_from_group(definition.name) if is_pinned else None,
            driver.differences_from_files(definition, followed.content) if followed.content else [],
        )

    def versions(self, document: str) -> dict[str, Any] | None:
        """Return the resource `fleet/rules/NAME`, or None if there is no document of this name.

        A voter returns the versions in the replicated log; any other node returns the version that it acts on.
        """
        if document not in self._driver.definitions:
            return None
        replica = self._replica_holder.replica
        store = None if replica is None else replica.config_store
        stored = None if store is None else store.documents.get(document)
        if store is not None and stored is not None:
            return stored_versions_json(document, stored, store)
        followed = self._driver.follower.documents[document]
        return {
            "name": document,
            "versions": [{"version": followed.version, "content": followed.content}],
        }


def stored_versions_json(name: str, document: Document, store: ConfigStore) -> dict[str, Any]:
    """Return a document of the replicated log and its versions as JSON."""
    prepared = document.prepared
    rollout = None if prepared is None else prepared.rollout
    return {
        "name": name,
        "in_force": document.active_number,
        "versions": [
            {
                "version": version.number,
                "author": version.author,
                "note": version.note,
                "at": version.at,
                "content": version.content,
            }
            for version in document.versions
        ],
        "preparing": None if prepared is None else prepared.version.number,
        "stage": None if rollout is None else write_fields(rollout),
        "waits_for": store.missing_acknowledgements(document),
        "held_out": document.excluded,
        "turned_down": document.rejected_versions,
    }
