"""The transfer of a snapshot to a member that lags behind the leader's log, in chunks (section 7 of the paper)."""

from __future__ import annotations

from marlstep.consensus.log import Snapshot
from marlstep.consensus.messages import MAX_CHARACTERS_PER_MESSAGE, InstallSnapshotChunk


def snapshot_chunk(snapshot: Snapshot, offset: int, term: int, heartbeat_round: int) -> InstallSnapshotChunk:
    """Return the chunk of the snapshot that starts at `offset`, for a leader of that term to send."""
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
    """Puts a snapshot together from the chunks that a follower receives."""

    def __init__(self) -> None:
        """Start with no chunk of any snapshot."""
        self._chunks: list[str] = []
        self._last_included = (0, 0)  # index and term of the snapshot that is being received

    @property
    def received_characters(self) -> int:
        """The offset of the next chunk that is needed."""
        return sum(map(len, self._chunks))

    def add(self, chunk: InstallSnapshotChunk) -> Snapshot | None:
        """Take in a chunk; return the whole snapshot with its last one.

        A chunk at offset 0 or of another snapshot starts anew; one that does not follow the last one is ignored.
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
