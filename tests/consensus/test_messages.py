"""Encoding of messages: round trips, and rejection of malformed messages."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marlstep.cluster.wire import CODEC, Envelope, read_envelope, write_envelope
from marlstep.consensus.log import EntryType, LogEntry
from marlstep.consensus.messages import (
    AppendEntries,
    RequestVote,
)
from marlstep.consensus.replica_messages import CommandResponse
from marlstep.net.framing import CorruptError

MESSAGES = st.one_of(
    st.builds(
        AppendEntries,
        *(st.integers(0, 1 << 40) for _ in range(5)),
        st.lists(
            st.builds(LogEntry, st.integers(1, 99), st.integers(0, 9), st.just(EntryType.COMMAND), st.text()),
            max_size=3,
        ).map(tuple),
    ),
    st.builds(
        RequestVote, st.integers(0, 99), st.booleans(), st.booleans(), st.integers(0, 99), st.integers(0, 99)
    ),
    st.builds(CommandResponse, st.integers(0, 99), st.booleans(), st.text(), st.text()),
)


@given(MESSAGES)
def test_a_message_survives_the_round_trip(message: object) -> None:
    envelope = Envelope("f", "1.a", "a#1", "b#1", message)  # type: ignore[arg-type]
    assert read_envelope(write_envelope(envelope)) == envelope


@given(MESSAGES, st.integers(0, 1 << 16), st.binary(min_size=1, max_size=4))
@settings(max_examples=150)
def test_a_damaged_message_is_rejected_as_corrupt_or_read_as_a_message(
    message: object, position: int, replacement: bytes
) -> None:
    body = write_envelope(Envelope("f", "1.a", "a#1", "b#1", message))  # type: ignore[arg-type]
    position %= len(body)
    with contextlib.suppress(CorruptError):
        read_envelope(body[:position] + replacement + body[position + 1 :])


@pytest.mark.parametrize(
    "dumped",
    [
        ["Append", {"term": 1}],
        [
            "Append",
            {"term": 1, "round": 1, "prev": 0, "prev_term": 0, "commit": 0, "entries": [{"index": 1}]},
        ],
        ["Append", {"term": True, "round": 1, "prev": 0, "prev_term": 0, "commit": 0, "entries": []}],
        ["Beat", {"node": "a", "boot": "b", "number": 1, "wants": [1]}],
        ["Beaten", {"number": 1, "good": True, "leader": "", "leases": [["a", "b"]]}],
        ["SnapshotPart", {"group": [1]}],
        ["Nothing", {}],
        {},
    ],
)
def test_a_malformed_message_is_corrupt(dumped: object) -> None:
    with pytest.raises(CorruptError):
        CODEC.load(dumped)
