"""Helpers for the tests of replicated configuration: a log, a follower with its driver, and a rollout."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from marlstep.leases.messages import DocumentState, DocumentStatus, Heartbeat, RequestCounts
from marlstep.leases.table import LeaseTable
from marlstep.replicated_config.documents import (
    DisconnectPolicy,
    DocumentDefinition,
    Kind,
    content_digest,
)
from marlstep.replicated_config.followed_document import FollowedDocument
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import CheckVersion, FollowerAction
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.replicated_config.rollout import ReceivedHeartbeat, RolloutMonitor
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


class ConfigLog:
    """A store that applies each command immediately, and the lease table with the live processes."""

    def __init__(self, *processes: str) -> None:
        self.table = LeaseTable()
        self.store = ConfigStore(self.table)
        self.uploads = 0
        for process in processes:
            self.grant_lease(process)

    def grant_lease(self, process: str) -> None:
        self.table.apply({"do": "grant", "name": f"rules/{process}", "holder": process, "most": 0})

    def expire_lease(self, process: str) -> None:
        token = self.table.leases[f"rules/{process}"].token
        self.table.apply({"do": "expire", "name": f"rules/{process}", "token": token})

    def put(self, content: str, expect: int, kind: str = "settings", **options: Any) -> dict[str, Any]:
        self.uploads += 1
        upload = f"u{self.uploads}"
        for offset in range(0, len(content), 10):
            chunk = {"do": "part", "upload": upload, "offset": offset, "data": content[offset : offset + 10]}
            assert "taken" in self.store.apply(chunk)
        put = {"do": "put", "doc": "d", "kind": kind, "strict": False, "upload": upload, "expect": expect}
        put |= {"digest": content_digest(content), "author": "me", "note": "", "at": ""}
        return self.store.apply({**put, **options})

    def acknowledge(self, process: str, rejection: str = "") -> dict[str, Any]:
        prepared = self.store.documents["d"].prepared
        version = prepared.version if prepared is not None else None
        command: dict[str, Any] = {"do": "ack", "doc": "d", "holder": process, "why": rejection}
        command["version"] = version.number if version else 0
        command["digest"] = version.digest if version else ""
        return self.store.apply(command)

    def acknowledge_by_all(self) -> None:
        for process in self.store.live_processes():
            self.acknowledge(process)

    def commit(self) -> list[dict[str, Any]]:
        return [
            self.store.apply({"do": "commit", "doc": name, "version": version})
            for name, version in self.store.ready_to_commit()
        ]

    @property
    def active_version(self) -> int:
        return self.store.documents["d"].active_number


PLAIN = DocumentDefinition("d", Kind.SETTINGS, False, DisconnectPolicy.STOP)
STRICT = DocumentDefinition("d", Kind.TENANTS, True, DisconnectPolicy.STOP)


class FollowerHarness:
    """A follower whose fetches are answered immediately. Versions after the first fail validation with `rejection`."""

    def __init__(self, definition: DocumentDefinition, rejection: str = "") -> None:
        self.follower = ConfigFollower((definition,))
        self.contents = {1: "[1]", 2: "[2]", 3: "[3]"}
        self.rejection = rejection
        self.actions: list[Any] = []  # returned for the last status, without fetches and validations

    @property
    def document(self) -> FollowedDocument:
        return self.follower.documents["d"]

    def receive(
        self,
        version: int,
        prepared: int = 0,
        lease_left: timedelta = SECOND,
        rollout_nodes: tuple[str, ...] = (),
    ) -> list[str]:
        """Pass a status of the document to the follower, and return the names of its actions."""
        status = DocumentStatus(
            "d",
            version,
            content_digest(self.contents.get(version, "")),
            prepared,
            content_digest(self.contents.get(prepared, "")),
            self.document.definition.strict,
            rollout_nodes,
        )
        self.actions = []
        self._carry_out(self.follower.handle_statuses(NOW, (status,), lease_left), lease_left)
        return [type(action).__name__ for action in self.actions]

    def _carry_out(self, queue: list[FollowerAction], lease_left: timedelta) -> None:
        while queue:
            match action := queue.pop(0):
                case FetchChunk():
                    queue += self.follower.handle_chunk(NOW, self._chunk(action), lease_left)
                case CheckVersion():
                    rejection = self.rejection if action.version > 1 else ""
                    queue += self.follower.handle_check_result(NOW, action, rejection, lease_left)
                case _:
                    self.actions.append(action)

    def _chunk(self, fetch: FetchChunk) -> DocumentChunk:
        """Return about half of the content, so that fetching it takes two chunks."""
        content = self.contents[fetch.version]
        data = content[fetch.offset : fetch.offset + len(content) // 2 + 1]
        return DocumentChunk("d", fetch.version, fetch.offset, len(content), data)


class RolloutHarness:
    """A started rollout of version 2 on node b, and the leader's evaluation of the heartbeats of all processes."""

    def __init__(self, min_requests: int = 100) -> None:
        self.log = ConfigLog("a/1", "b/1", "c/1")
        self.log.put("[1]", 0)
        self._acknowledge_and_commit()
        stage = {"for_ms": 2000, "worse": 0.02, "least": min_requests, "nodes": ["b"]}
        self.log.put("[2]", 1, stage=stage)
        self._acknowledge_and_commit()
        self.monitor = RolloutMonitor()
        self.counts = {process: [0, 0, 0] for process in ("a/1", "b/1", "c/1")}
        self.now = NOW

    def _acknowledge_and_commit(self) -> None:
        self.log.acknowledge_by_all()
        self.log.commit()

    def evaluate(
        self, after_ms: int, adopted: bool = True, **new_counts: tuple[int, int, int]
    ) -> list[tuple[bool, str]]:
        """Advance the clock and evaluate the rollout.

        Args:
            after_ms: By how much to advance the clock, in milliseconds.
            adopted: Whether node b reports version 2 as active.
            **new_counts: By node, how many more requests it has read, rejected and failed.

        Returns:
            The decisions, as pairs of `promote` and the reason.
        """
        self.now += after_ms * MILLISECOND
        heartbeats = {}
        for process, counts in self.counts.items():
            node = process[0]
            added = new_counts.get(node, (0, 0, 0))
            self.counts[process] = counts = [old + new for old, new in zip(counts, added, strict=True)]
            version = 2 if process == "b/1" and adopted else 1
            heartbeat = Heartbeat(
                node,
                "1",
                1,
                (),
                document_states=(DocumentState("d", version, "acting", 0, ""),),
                request_counts=RequestCounts(*counts),
            )
            heartbeats[process] = ReceivedHeartbeat(heartbeat, self.now)
        decisions = self.monitor.evaluate(self.now, self.log.store, heartbeats, SECOND)
        return [(decision.promote, decision.reason) for decision in decisions]
