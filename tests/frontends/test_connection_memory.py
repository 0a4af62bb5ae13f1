"""The memory of the objects that connections hold at their limits, by frontend."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest

from marlstep.frontends.resp_wire import write_frame
from marlstep.frontends.uwsgi_wire import write_packet
from marlstep.resource_budget import BUFFER_GROWTH_DIVISOR, CONNECTION_MEMORY, MAX_UWSGI_HEAD_BYTES
from tests.frontends.support import RespHarness, UwsgiHarness
from tests.support.node import FakeTransport

CONNECTIONS = 50
FAKE_TRANSPORT_BYTES = 2 * 1024  # of the test's own objects for a connection
UWSGI_DESCRIPTORS = 2  # of one uwsgi client, each with the memory of a connection


def bytes_held(feed_all: Callable[[], list[FakeTransport]]) -> float:
    """Return the bytes that one connection holds, of as many as `feed_all` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        connections = feed_all()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert not any(connection.closed for connection in connections)
    return (after - before) / len(connections)


def half_of_the_longest_frame() -> bytes:
    words = (b"EXEC", b"9" * 20, b"c" * 128, b"f" * 1024, b"b" * 2048)
    return write_frame(*words)[:-1024]


def health_checks_with_gaps(last_tag: int) -> bytes:
    return b"".join(write_frame(b"ALIVE", b"%d" % tag) for tag in range(10**19, 10**19 + last_tag, 2))


@pytest.mark.parametrize(
    "data",
    [
        half_of_the_longest_frame(),
        health_checks_with_gaps(1_000) + half_of_the_longest_frame(),
        half_of_the_longest_frame()[:1],
    ],
    ids=["half a frame", "tags with gaps and half a frame", "one byte"],
)
def test_a_resp_connection_with_an_incomplete_frame_holds_its_part_of_the_budget(data: bytes) -> None:
    # Guards against a process that outgrows its memory with hundreds of clients that write slowly or stop half way.
    harness = RespHarness(limit=8 * CONNECTIONS)
    harness.feed(harness.connect(), half_of_the_longest_frame())  # what is made once

    def feed_all() -> list[FakeTransport]:
        connections = [harness.connect() for _ in range(CONNECTIONS)]
        for connection in connections:
            harness.feed(connection, data)
            connection.written = bytearray()
        return connections

    assert bytes_held(feed_all) <= CONNECTION_MEMORY + FAKE_TRANSPORT_BYTES


def short_variables(body_size: int) -> dict[str, str]:
    return {"CONTENT_LENGTH": str(body_size)} | {f"{number:x}": "" for number in range(8_000)}


@pytest.mark.parametrize(
    "variables",
    [{"CONTENT_LENGTH": "100"}, short_variables(100), {"CONTENT_LENGTH": "100", "REQUEST_URI": "u" * 60_000}],
    ids=["few variables", "very many short variables", "one long variable"],
)
def test_a_uwsgi_connection_with_an_incomplete_packet_holds_little_more_than_it_reserves(
    variables: dict[str, Any],
) -> None:
    # Guards against a process that outgrows its memory with hundreds of gateways that stop half way.
    harness = UwsgiHarness(limit=8 * CONNECTIONS)
    packet = write_packet(variables, b"x" * 99)
    assert len(packet) < MAX_UWSGI_HEAD_BYTES

    def feed_all() -> list[FakeTransport]:
        connections = [harness.connect() for _ in range(CONNECTIONS)]
        for connection in connections:
            connection.feed(packet)
            harness.node.clock.settle()  # the scans of several packets take several iterations
        return connections

    held = bytes_held(feed_all)
    reserved = harness.frontend.packet_memory.reserved_bytes / CONNECTIONS
    assert reserved >= len(packet)
    buffers = reserved * (1 + 1 / BUFFER_GROWTH_DIVISOR)
    assert held <= buffers + UWSGI_DESCRIPTORS * CONNECTION_MEMORY + FAKE_TRANSPORT_BYTES
