"""Snapshots cut into chunks and put together again."""

from __future__ import annotations

import pytest

from marlstep.consensus.log import Configuration, Snapshot
from marlstep.consensus.messages import MAX_CHARACTERS_PER_MESSAGE, InstallSnapshotChunk
from marlstep.consensus.snapshot_transfer import SnapshotAssembler, snapshot_chunk


def snapshot(index: int, length: int) -> Snapshot:
    return Snapshot(
        index, 2, Configuration(("a", "b"), ("c",)), "".join(chr(97 + n % 26) for n in range(length))
    )


def chunks(of: Snapshot) -> list[InstallSnapshotChunk]:
    found = [snapshot_chunk(of, 0, term=3, heartbeat_round=4)]
    while not found[-1].done:
        found.append(snapshot_chunk(of, found[-1].offset + len(found[-1].data), term=3, heartbeat_round=4))
    return found


@pytest.mark.parametrize(
    "length",
    [0, 1, MAX_CHARACTERS_PER_MESSAGE, MAX_CHARACTERS_PER_MESSAGE + 1, 3 * MAX_CHARACTERS_PER_MESSAGE],
)
def test_a_snapshot_of_any_length_is_put_together_from_its_chunks(length: int) -> None:
    sent = snapshot(9, length)
    assembler = SnapshotAssembler()
    received = [assembler.add(chunk) for chunk in chunks(sent)]
    assert received == [None] * (len(received) - 1) + [sent]
    assert assembler.received_characters == 0


def test_a_repeated_chunk_is_ignored_and_a_missing_one_is_waited_for() -> None:
    sent = snapshot(9, 2 * MAX_CHARACTERS_PER_MESSAGE + 5)
    first, second, third = chunks(sent)
    assembler = SnapshotAssembler()
    assert [assembler.add(chunk) for chunk in (first, third, second, second)] == [None] * 4
    assert assembler.received_characters == 2 * MAX_CHARACTERS_PER_MESSAGE
    assert assembler.add(third) == sent


def test_a_chunk_of_another_snapshot_starts_anew() -> None:
    older, newer = snapshot(9, MAX_CHARACTERS_PER_MESSAGE + 1), snapshot(12, MAX_CHARACTERS_PER_MESSAGE + 1)
    assembler = SnapshotAssembler()
    assembler.add(chunks(older)[0])
    assert assembler.add(chunks(newer)[1]) is None and assembler.received_characters == 0
    assert [assembler.add(chunk) for chunk in chunks(newer)] == [None, newer]
