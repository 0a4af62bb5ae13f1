"""The relay of a successor's messages through its predecessor."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from marlstep.cluster.relay import RelayAnnouncer
from marlstep.consensus.replica_messages import JoinRequest
from marlstep.leases.messages import RelayAnnouncement
from tests.cluster.support import NodeParts

SUCCESSOR = "n1/next"
JOIN = JoinRequest("n2", "n2#x")


def announce(parts: NodeParts, sender: str = SUCCESSOR, holder: str = SUCCESSOR, port: int = 7999) -> None:
    parts.deliver(parts.envelope(sender, "n1", RelayAnnouncement(holder, port)))


def test_messages_to_and_from_the_successor_are_forwarded(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        announce(parts)
        assert parts.relay.has_successor
        assert parts.transport.addresses == {SUCCESSOR: (parts.config.listen[0], 7999)}
        to_successor = parts.envelope("n2", SUCCESSOR, JOIN)
        from_successor = parts.envelope(SUCCESSOR, "n3", JOIN)
        parts.deliver(to_successor)
        parts.deliver(from_successor)
        assert parts.transport.sent == [(SUCCESSOR, to_successor), ("n3", from_successor)]

    asyncio.run(scenario())


@pytest.mark.parametrize(("sender", "holder"), [("n2/b", "n2/b"), ("n2/b", SUCCESSOR), (SUCCESSOR, "n2/b")])
def test_only_announcements_of_processes_of_this_node_about_themselves_are_accepted(
    sender: str, holder: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        announce(parts, sender, holder)
        assert not parts.relay.has_successor
        assert parts.transport.addresses == {}

    asyncio.run(scenario())


def test_a_later_successor_replaces_the_earlier_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        announce(parts)
        announce(parts, "n1/third", "n1/third", 7998)
        assert parts.transport.addresses == {"n1/third": (parts.config.listen[0], 7998)}

    asyncio.run(scenario())


def test_a_process_that_is_a_successor_itself_does_not_relay(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        announce(parts)
        parts.context.process.relay_port = 7000
        parts.deliver(parts.envelope("n2", SUCCESSOR, JOIN))
        assert parts.transport.sent == []

    asyncio.run(scenario())


def test_a_successor_repeats_its_announcement_while_it_listens_on_its_own_port(tmp_path: Path) -> None:
    async def scenario() -> None:
        parts = NodeParts(tmp_path)
        announcer = RelayAnnouncer(parts.context, parts.router)
        announcer.tick(parts.clock.now())
        assert parts.transport.sent == []
        assert announcer.next_due() is None
        parts.context.process.relay_port = 7999
        for _ in range(7):
            announcer.tick(parts.clock.now())
            parts.clock.advance(100)
        messages = [envelope.message for _, envelope in parts.transport.sent]
        assert messages == [RelayAnnouncement(parts.context.process_name, 7999)] * 3
        assert announcer.next_due() is not None

    asyncio.run(scenario())
