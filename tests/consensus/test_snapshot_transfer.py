"""Splitting a snapshot into chunks and assembling it from them."""

from __future__ import annotations

import pytest

from marlstep.consensus.log import Configuration, Snapshot
from marlstep.consensus.messages import MAX_CHARACTERS_PER_MESSAGE, InstallSnapshotChunk
from marlstep.consensus.snapshot_transfer import SnapshotAssembler, snapshot_chunk


def make_snapshot(index: int, length: int) -> Snapshot:
    return Snapshot(
        index, 2, Configuration(("a", "b"), ("c",)), "".join(chr(97 + n % 26) for n in range(length))
    )


def split_into_chunks(snapshot: Snapshot) -> list[InstallSnapshotChunk]:
    chunks = [snapshot_chunk(snapshot, 0, term=3, heartbeat_round=4)]
    while not chunks[-1].done:
        chunks.append(
            snapshot_chunk(snapshot, chunks[-1].offset + len(chunks[-1].data), term=3, heartbeat_round=4)
        )
    return chunks


@pytest.mark.parametrize(
    "length",
    [0, 1, MAX_CHARACTERS_PER_MESSAGE, MAX_CHARACTERS_PER_MESSAGE + 1, 3 * MAX_CHARACTERS_PER_MESSAGE],
)
def test_a_snapshot_of_any_length_is_assembled_from_its_chunks(length: int) -> None:
    sent = make_snapshot(9, length)
    assembler = SnapshotAssembler()
    received = [assembler.add(chunk) for chunk in split_into_chunks(sent)]
    assert received == [None] * (len(received) - 1) + [sent]
    assert assembler.received_characters == 0


def test_repeated_and_early_chunks_are_ignored_until_the_missing_one_arrives() -> None:
    sent = make_snapshot(9, 2 * MAX_CHARACTERS_PER_MESSAGE + 5)
    first, second, third = split_into_chunks(sent)
    assembler = SnapshotAssembler()
    assert [assembler.add(chunk) for chunk in (first, third, second, second)] == [None] * 4
    assert assembler.received_characters == 2 * MAX_CHARACTERS_PER_MESSAGE
    assert assembler.add(third) == sent


def test_a_chunk_of_another_snapshot_discards_the_received_chunks() -> None:
    older, newer = (
        make_snapshot(9, MAX_CHARACTERS_PER_MESSAGE + 1),
        make_snapshot(12, MAX_CHARACTERS_PER_MESSAGE + 1),
    )
    assembler = SnapshotAssembler()
    assembler.add(split_into_chunks(older)[0])
    assert assembler.add(split_into_chunks(newer)[1]) is None and assembler.received_characters == 0
    assert [assembler.add(chunk) for chunk in split_into_chunks(newer)] == [None, newer]
