"""Routing of messages to handlers and to other nodes."""

from __future__ import annotations

import asyncio
from datetime import datetime
from pathlib import Path

from marlstep.cluster import wire
from marlstep.cluster.group_identity import GroupChange
from marlstep.consensus.replica_messages import JoinRequest, Message
from marlstep.leases.messages import ServerRecovered
from tests.cluster.support import NodeParts

RECOVERED = ServerRecovered("main", "127.0.0.1:1", 5)
JOIN = JoinRequest("n2", "n2#x")


class Handlers:
    """Records the messages and group changes that the router passes to handlers."""

    def __init__(self, parts: NodeParts, accepts_change: bool = True) -> None:
        self.recovered: list[ServerRecovered] = []
        self.others: list[Message] = []
        self.changes: list[GroupChange] = []
        self._accepts_change = accepts_change
        parts.router.handle(ServerRecovered, self._recovered)
        parts.router.handle_others(self._other, self._group_changed)

    def _recovered(self, now: datetime, envelope: wire.Envelope, message: ServerRecovered) -> None:
        self.recovered.append(message)

    def _other(self, now: datetime, envelope: wire.Envelope, message: Message) -> None:
        self.others.append(message)

    def _group_changed(self, change: GroupChange) -> bool:
        self.changes.append(change)
        return self._accepts_change


def test_a_message_is_passed_to_the_handler_of_its_type_or_to_the_default_handler(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        handlers = Handlers(parts)
        parts.deliver(parts.envelope("n2/b", "n1", RECOVERED))
        parts.deliver(parts.envelope("n2#x", "n1", JOIN))
        assert handlers.recovered == [RECOVERED]
        assert handlers.others == [JOIN]
        assert parts.context.counts["received"] == 2

    asyncio.run(scenario())


def test_a_message_of_another_cluster_is_dropped_and_counted(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        handlers = Handlers(parts)
        parts.deliver(parts.envelope("n2/b", "n1", RECOVERED, cluster="other"))
        assert handlers.recovered == []
        assert parts.transport.counts["another fleet"] == 1

    asyncio.run(scenario())


def test_a_message_of_another_group_is_handled_only_if_its_epoch_is_later(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        handlers = Handlers(parts)
        parts.group.name = "2.aa"
        parts.deliver(parts.envelope("n2/b", "n1", RECOVERED, group="2.bb"))
        parts.deliver(parts.envelope("n2/b", "n1", RECOVERED, group="1.bb"))
        assert (handlers.recovered, handlers.changes) == ([], [])
        assert parts.transport.counts["another group"] == 1
        parts.deliver(parts.envelope("n2/b", "n1", RECOVERED, group="3.bb"))
        assert (handlers.recovered, handlers.changes) == ([RECOVERED], [GroupChange.REPLACED])

    asyncio.run(scenario())


def test_a_message_is_not_handled_if_the_group_change_handler_returns_false(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        handlers = Handlers(parts, accepts_change=False)
        parts.deliver(parts.envelope("n2/b", "n1", RECOVERED, group="1.aa"))
        assert (handlers.recovered, handlers.changes) == ([], [GroupChange.ADOPTED])

    asyncio.run(scenario())


def test_a_message_to_this_node_is_handled_in_the_next_iteration_unless_the_process_is_closed(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        handlers = Handlers(parts)
        parts.router.send("n1#x", "n1", JOIN)
        assert handlers.others == []
        parts.clock.settle()
        assert handlers.others == [JOIN]
        parts.router.send("n1#x", "n1", JOIN)
        parts.context.process.is_closed = True
        parts.clock.settle()
        assert handlers.others == [JOIN]
        assert parts.transport.sent == []

    asyncio.run(scenario())


def test_a_broadcast_is_sent_to_each_other_node_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        parts.router.broadcast(RECOVERED)
        assert [node for node, _ in parts.transport.sent] == ["n2", "n3", "n4", "n5", "n6"]
        assert {envelope.sender for _, envelope in parts.transport.sent} == {parts.context.process_name}

    asyncio.run(scenario())


def test_a_successor_sends_everything_through_its_predecessor(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        parts.context.process.relay_port = 7999
        parts.router.send(parts.context.process_name, "n2", JOIN)
        [(node, envelope)] = parts.transport.sent
        assert (node, envelope.to) == ("n1", "n2")

    asyncio.run(scenario())
