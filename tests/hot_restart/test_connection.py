"""The connection between two processes: messages are sent at once, and misbehaviour of a peer closes it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

from marlstep.hot_restart import connection, messages
from marlstep.hot_restart.connection import PeerConnection, PeerRole

STATUS = messages.KeyStatus("setpoint-cmd", "k", "r1", result="x" * 4096)


class RecordingHandler:
    def __init__(self) -> None:
        self.events: list[str] = []

    def message_received(self, peer: PeerConnection, message: messages.Message) -> None:
        if not peer.hello_received and not isinstance(message, messages.Hello):
            raise messages.HelloMissingError(message)
        peer.hello_received = True
        self.events.append(type(message).__name__)

    def unknown_process_connected(self, _peer: PeerConnection) -> None:
        self.events.append("unknown process")

    def connection_lost(self, _peer: PeerConnection) -> None:
        self.events.append("lost")


Scenario = Callable[[PeerConnection, socket.socket, RecordingHandler], Coroutine[Any, Any, None]]


def run_with_connection(scenario: Scenario) -> None:
    """Run a scenario with a PeerConnection at one end of a socket pair and a plain socket at the other."""

    async def run() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        handler = RecordingHandler()
        loop = asyncio.get_running_loop()
        _, peer = await loop.create_unix_connection(
            lambda: PeerConnection(handler, PeerRole.SUCCESSOR), sock=near
        )
        with far:
            far.settimeout(5)
            await scenario(peer, far, handler)
            peer.close()

    uvloop.run(asyncio.wait_for(run(), 10))


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0)


def send_until_blocked(peer: PeerConnection) -> None:
    """Send until the kernel's socket buffers are full."""
    while not peer._unsent and peer._socket is not None:
        peer.send_message(STATUS)


def test_a_message_can_be_read_by_the_peer_before_the_event_loop_runs_again() -> None:
    async def scenario(peer: PeerConnection, far: socket.socket, _: RecordingHandler) -> None:
        peer.send_message(messages.SuccessorReady())
        assert far.recv(1 << 16) == messages.write(messages.SuccessorReady())

    run_with_connection(scenario)


def test_messages_that_a_peer_does_not_read_are_buffered_and_sent_in_order() -> None:
    async def scenario(peer: PeerConnection, far: socket.socket, handler: RecordingHandler) -> None:
        send_until_blocked(peer)
        peer.send_message(messages.SuccessorReady())
        received = b""
        while not received.endswith(messages.write(messages.SuccessorReady())):
            received += far.recv(1 << 20)
            peer.flush_unsent()
        assert len(received) % len(messages.write(STATUS)) == len(messages.write(messages.SuccessorReady()))
        assert handler.events == []

    run_with_connection(scenario)


def test_a_peer_that_must_read_promptly_and_does_not_is_disconnected() -> None:
    async def scenario(peer: PeerConnection, _: socket.socket, handler: RecordingHandler) -> None:
        peer.require_prompt_reads()
        send_until_blocked(peer)
        await until(lambda: handler.events == ["lost"])

    run_with_connection(scenario)


def test_a_peer_with_too_many_unsent_bytes_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "MAX_UNSENT_BYTES", 20_000)

    async def scenario(peer: PeerConnection, _: socket.socket, handler: RecordingHandler) -> None:
        send_until_blocked(peer)
        for _number in range(5):
            peer.send_message(STATUS)
        await until(lambda: handler.events == ["lost"])

    run_with_connection(scenario)


@pytest.mark.parametrize("first", [b"GET / HTTP/1.1\r\n\r\n", messages.write(messages.SuccessorReady())])
def test_a_first_message_other_than_hello_reports_an_unknown_process(first: bytes) -> None:
    async def scenario(_: PeerConnection, far: socket.socket, handler: RecordingHandler) -> None:
        far.sendall(first)
        await until(lambda: handler.events == ["unknown process", "lost"])

    run_with_connection(scenario)


def test_a_corrupt_message_after_the_hello_only_closes_the_connection() -> None:
    async def scenario(_: PeerConnection, far: socket.socket, handler: RecordingHandler) -> None:
        far.sendall(messages.write(messages.Hello(2, 7)) + b"MSH2 and more")
        await until(lambda: handler.events == ["Hello", "lost"])

    run_with_connection(scenario)


def test_messages_sent_before_the_peer_closed_are_read_before_connection_lost() -> None:
    async def scenario(peer: PeerConnection, far: socket.socket, handler: RecordingHandler) -> None:
        far.sendall(messages.write(messages.Hello(1, 7)) + messages.write(messages.PredecessorDone()))
        far.close()
        peer.send_message(STATUS)  # can't be delivered, because the peer has closed
        await until(lambda: handler.events == ["Hello", "PredecessorDone", "lost"])

    run_with_connection(scenario)
