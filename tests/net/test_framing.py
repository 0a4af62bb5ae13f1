"""Framing: round trips of frames that arrive in pieces, and the error for each kind of corruption."""

from __future__ import annotations

import pytest

from marlstep.net.framing import (
    ChecksumError,
    CorruptError,
    FrameLengthError,
    FrameTooLargeError,
    Framing,
    UnknownMagicError,
    crc,
    keyed,
)
from marlstep.net.ring import Ring

MAX_BODY_BYTES = 100
FRAMING = Framing(b"TST1", MAX_BODY_BYTES, crc)


def ring_with(data: bytes) -> Ring:
    ring = Ring(1_024)
    assert ring.put(data) == len(data)
    return ring


def test_a_frame_has_magic_length_checksum_and_body() -> None:
    assert FRAMING.write(b"body") == b"TST1" + b"\0\0\0\x04" + crc(b"body") + b"body"


def test_frames_are_read_in_order_and_only_once_they_are_complete() -> None:
    ring = Ring(1_024)
    frames = FRAMING.write(b"first") + FRAMING.write(b"") + FRAMING.write(b"third")
    bodies = []
    for offset in range(len(frames)):
        ring.put(frames[offset : offset + 1])
        if (body := FRAMING.read(ring)) is not None:
            bodies.append(body)
    assert bodies == [b"first", b"", b"third"] and ring.used == 0


@pytest.mark.parametrize("data", [b"X", b"TSX", b"TST2"])
def test_another_magic_is_an_error_from_its_first_wrong_byte_on(data: bytes) -> None:
    with pytest.raises(UnknownMagicError):
        FRAMING.read(ring_with(data))


def test_a_length_over_the_limit_is_an_error_before_the_body_arrives() -> None:
    with pytest.raises(FrameLengthError, match="message of 101 bytes exceeds the limit of 100 bytes"):
        FRAMING.read(ring_with(b"TST1" + (101).to_bytes(4, "big")))


def test_a_damaged_body_and_one_under_another_key_have_a_wrong_checksum() -> None:
    frame = FRAMING.write(b"body")
    with pytest.raises(ChecksumError):
        FRAMING.read(ring_with(frame[:-1] + b"Y"))
    ours, theirs = (Framing(b"TST1", MAX_BODY_BYTES, keyed(key)) for key in (b"k", b"other"))
    with pytest.raises(ChecksumError):
        ours.read(ring_with(theirs.write(b"body")))


def test_all_read_errors_are_corrupt_errors() -> None:
    assert issubclass(UnknownMagicError, CorruptError)
    assert issubclass(FrameLengthError, CorruptError)
    assert issubclass(ChecksumError, CorruptError)


def test_a_body_over_the_limit_is_not_written() -> None:
    assert FRAMING.write(b"x" * MAX_BODY_BYTES)
    with pytest.raises(FrameTooLargeError):
        FRAMING.write(b"x" * (MAX_BODY_BYTES + 1))
