"""Helpers of the tests of replicated configuration: a log, a follower with its driver, a rollout."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from marlstep.leases.messages import DocumentStatus, Heartbeat
from marlstep.leases.table import LeaseTable
from marlstep.replicated_config.documents import (
    DisconnectPolicy,
    DocumentDefinition,
    Kind,
    content_digest,
)
from marlstep.replicated_config.follower import ConfigFollower
from marlstep.replicated_config.follower_actions import (
    CheckVersion,
)
from marlstep.replicated_config.messages import DocumentChunk, FetchChunk
from marlstep.replicated_config.rollout import ReceivedHeartbeat, RolloutMonitor
from marlstep.replicated_config.store import ConfigStore
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


class Log:
    """A book whose commands are applied at once, and nodes with a lease on the rules."""

    def __init__(self, *nodes: str) -> None:
        self.table = LeaseTable()
        self.book = ConfigStore(self.table)
        self.uploads = 0
        for node in nodes:
            self.join(node)

    def join(self, holder: str) -> None:
        self.table.apply({"do": "grant", "name": f"rules/{holder}", "holder": holder, "most": 0})

    def gone(self, holder: str) -> None:
        token = self.table.leases[f"rules/{holder}"].token
        self.table.apply({"do": "expire", "name": f"rules/{holder}", "token": token})

    def put(self, content: str, expect: int, kind: str = "settings", **how: Any) -> dict[str, Any]:
        self.uploads += 1
        upload = f"u{self.uploads}"
        for at in range(0, len(content), 10):
            told = {"do": "part", "upload": upload, "offset": at, "data": content[at : at + 10]}
            assert "taken" in self.book.apply(told)
        put = {"do": "put", "doc": "d", "kind": kind, "strict": False, "upload": upload, "expect": expect}
        return self.book.apply(
            {**put, "digest": content_digest(content), "author": "me", "note": "", "at": "", **how}
        )

    def ack(self, holder: str, why: str = "") -> dict[str, Any]:
        pending = self.book.documents["d"].prepared
        version = pending.version if pending is not None else None
        told: dict[str, Any] = {"do": "ack", "doc": "d", "holder": holder, "why": why}
        told |= {"version": version.number if version else 0, "digest": version.digest if version else ""}
        return self.book.apply(told)

    def commit(self) -> list[dict[str, Any]]:
        return [
            self.book.apply({"do": "commit", "doc": name, "version": version})
            for name, version in self.book.ready_to_commit()
        ]

    @property
    def in_force(self) -> int:
        return self.book.documents["d"].active_number


PLAIN = DocumentDefinition("d", Kind.SETTINGS, False, DisconnectPolicy.STOP)
STRICT = DocumentDefinition("d", Kind.TENANTS, True, DisconnectPolicy.STOP)


class Node:
    """A follower whose contents come whole and are good."""

    def __init__(self, named: DocumentDefinition, why: str = "") -> None:
        self.follower = ConfigFollower((named,))
        self.contents = {1: "[1]", 2: "[2]", 3: "[3]"}
        self.why = why
        self.done: list[Any] = []

    @property
    def one(self) -> Any:
        return self.follower.documents["d"]

    def told(
        self, version: int, pending: int = 0, left: timedelta = SECOND, on: tuple[str, ...] = ()
    ) -> list[Any]:
        digest = content_digest(self.contents.get(version, ""))
        then = content_digest(self.contents.get(pending, ""))
        news = DocumentStatus("d", version, digest, pending, then, self.one.definition.strict, on)
        self.done = []
        self._go(self.follower.handle_statuses(NOW, (news,), left), left)
        return [type(do).__name__ for do in self.done]

    def _go(self, queue: list[Any], left: timedelta) -> None:
        while queue:
            do = queue.pop(0)
            match do:
                case FetchChunk():
                    content = self.contents[do.version]
                    half = len(content) // 2 + 1
                    data = content[do.offset : do.offset + half]
                    piece = DocumentChunk("d", do.version, do.offset, len(content), data)
                    queue += self.follower.handle_chunk(NOW, piece, left)
                case CheckVersion():
                    queue += self.follower.handle_check_result(
                        NOW, do, self.why if do.version > 1 else "", left
                    )
                case _:
                    self.done.append(do)


class Staged:
    """A stage on b, looked at by a leader, with what each process says of itself."""

    def __init__(self, least: int = 100) -> None:
        self.log = Log("a/1", "b/1", "c/1")
        self.log.put("[1]", 0)
        self._all_say_so()
        stage = {"for_ms": 2000, "worse": 0.02, "least": least, "nodes": ["b"]}
        self.log.put("[2]", 1, stage=stage)
        self._all_say_so()
        self.watch = RolloutMonitor()
        self.figures = {one: [0, 0, 0] for one in ("a/1", "b/1", "c/1")}
        self.now = NOW

    def _all_say_so(self) -> None:
        for one in self.log.book.live_processes():
            self.log.ack(one)
        self.log.commit()

    def look(self, after: int, acts: bool = True, **figures: tuple[int, int, int]) -> list[tuple[bool, str]]:
        """So many ms later, each has these more requests, refused ones, failed ones."""
        self.now += after * MILLISECOND
        beats = {}
        for holder, row in self.figures.items():
            more = figures.get(holder[0], (0, 0, 0))
            self.figures[holder] = row = [one + other for one, other in zip(row, more, strict=True)]
            version = 2 if holder == "b/1" and acts else 1
            told = (("d", version, "acting", 0, ""),)
            beat = Heartbeat(
                holder[0], "1", 1, (), document_states=told, request_counts=(row[0], row[1], row[2])
            )
            beats[holder] = ReceivedHeartbeat(beat, self.now)
        found = self.watch.evaluate(self.now, self.log.book, beats, SECOND)
        return [(one.promote, one.reason) for one in found]
