"""The messages between two processes: read from any split of the stream, with corrupt data rejected."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.hot_restart import messages
from marlstep.hot_restart.resource_sharing import FULL_SHARE
from marlstep.net.ring import Ring
from tests.frontends.test_parsers import CUTS, FIXED, GARBAGE, pieces
from tests.support.restart_pair import TERMINATION_TIMEOUT, ProcessPair

MESSAGES = (
    messages.Hello(2, 77, False, 0, {"limit": 3.5, "means_us": {"a": 1}}),
    messages.KeyStatus("setpoint-cmd", "k", "id", 1_700_000_000_000_000, "r\u00ff\x00", True),
    messages.KeyReleased("a", "b", "c"),
    messages.SnapshotComplete(),
    messages.ClaimRequest(3, "a", "b", "c"),
    messages.ClaimResponse(3, True),
    messages.CapacityGrant(0.25),
    messages.SuccessorReady(),
    messages.ServingStateChanged(False),
    messages.SuccessorDraining(True),
    messages.PredecessorDone(),
)


@FIXED
@given(CUTS)
def test_messages_are_read_from_any_split_of_the_stream(cuts: list[int]) -> None:
    ring, received = Ring(4096), []
    for part in pieces(b"".join(messages.write(expected) for expected in MESSAGES), cuts):
        ring.put(part)
        while (message := messages.read(ring)) is not None:
            received.append(message)
    assert tuple(received) == MESSAGES and not ring.used


@FIXED
@given(GARBAGE, st.integers(0, 200), st.sampled_from(MESSAGES))
def test_garbage_and_single_wrong_bits_are_reported_as_corrupt(
    garbage: bytes, bit: int, message: messages.Message
) -> None:
    ring = Ring(8192)
    ring.put(garbage[:4000])
    with contextlib.suppress(messages.CorruptError):
        while messages.read(ring) is not None:
            pass
    data = bytearray(messages.write(message))
    data[bit // 8 % len(data)] ^= 1 << bit % 8
    ring = Ring(8192)
    ring.put(bytes(data))
    with contextlib.suppress(messages.CorruptError):
        assert messages.read(ring) is None  # the length field grew, so the message is incomplete


@pytest.mark.parametrize(
    "body",
    [b"[]", b"{}", b'["No", {}]', b'["Give", {}]', b'["Give", {"share": true}]', b'["Whole", {"x": 1}]'],
)
def test_a_message_with_a_valid_checksum_and_an_invalid_body_is_corrupt(body: bytes) -> None:
    ring = Ring(4096)
    ring.put(messages.FRAMING.write(body))
    with pytest.raises(messages.CorruptError):
        messages.read(ring)


def test_another_version_is_recognized_by_its_first_bytes() -> None:
    ring = Ring(4096)
    ring.put(b"MSH2")
    with pytest.raises(messages.CorruptError, match="no frame of this version"):
        messages.read(ring)
    pair = ProcessPair()
    pair.predecessor.hot_restart.unknown_process_connected(pair.clock.now())
    pair.successor.hot_restart.sharing.predecessor_connected()
    pair.successor.hot_restart.sharing.predecessor_lost(pair.clock.now(), TERMINATION_TIMEOUT)
    assert pair.predecessor.hot_restart.sharing.limit + pair.successor.hot_restart.sharing.limit == FULL_SHARE
