"""The transfer of a snapshot to a member that lags behind the leader's log, in chunks (section 7 of the Raft paper)."""

from __future__ import annotations

from marlstep.consensus.log import Snapshot
from marlstep.consensus.messages import MAX_CHARACTERS_PER_MESSAGE, InstallSnapshotChunk


def snapshot_chunk(snapshot: Snapshot, offset: int, term: int, heartbeat_round: int) -> InstallSnapshotChunk:
    """Return the chunk that starts at character `offset` of the snapshot's data, with the leader's term and round."""
    data = snapshot.data[offset : offset + MAX_CHARACTERS_PER_MESSAGE]
    return InstallSnapshotChunk(
        term=term,
        heartbeat_round=heartbeat_round,
        last_included_index=snapshot.index,
        last_included_term=snapshot.term,
        configuration=snapshot.configuration,
        offset=offset,
        data=data,
        done=offset + len(data) >= len(snapshot.data),
    )


class SnapshotAssembler:
    """Assembles a snapshot from the chunks that a follower receives."""

    def __init__(self) -> None:
        """Initialize the assembler without chunks."""
        self._chunks: list[str] = []
        self._last_included = (0, 0)  # index and term of the snapshot that is being received

    @property
    def received_characters(self) -> int:
        """The number of characters received, which is the offset of the next chunk."""
        return sum(map(len, self._chunks))

    def add(self, chunk: InstallSnapshotChunk) -> Snapshot | None:
        """Add a chunk; return the snapshot if it is now complete.

        A chunk at offset 0 or of another snapshot discards the chunks received so far. A chunk whose offset is not
        `received_characters` is ignored.
        """
        last_included = (chunk.last_included_index, chunk.last_included_term)
        if self._last_included != last_included or chunk.offset == 0:
            self._chunks, self._last_included = [], last_included
        if chunk.offset != self.received_characters:
            return None
        self._chunks.append(chunk.data)
        if not chunk.done:
            return None
        data = "".join(self._chunks)
        self._chunks, self._last_included = [], (0, 0)
        return Snapshot(chunk.last_included_index, chunk.last_included_term, chunk.configuration, data)
