"""Datagrams between nodes keep their bytes when classes and fields are renamed."""

from __future__ import annotations

import pytest

from marlstep.cluster import wire
from tests.golden import checks
from tests.golden.conversation import classes_of, tags_of
from tests.golden.datagrams import CONVERSATION, MANY, RECORDS_KEPT, Datagram

each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_datagram_has_a_golden_entry() -> None:
    sample_classes = {
        type(sample.written.message)
        for sample in CONVERSATION.samples.values()
        if isinstance(sample.written, Datagram)
    }
    checks.check_coverage(CONVERSATION, classes_of(wire.DATAGRAMS), tags_of(wire.DATAGRAMS), sample_classes)


@each_message
def test_an_unknown_key_is_ignored(name: str) -> None:
    document = checks.with_unknown_key(CONVERSATION, name)
    assert checks.read_json(CONVERSATION, document) == CONVERSATION.samples[name].expected


def test_a_datagram_is_truncated_to_the_records_that_fit() -> None:
    assert 0 < RECORDS_KEPT < len(MANY)
    cut = [entry for name, entry in CONVERSATION.load().items() if name.endswith("/cut")]
    assert len(cut) == 4 and all(len(entry.frame) <= wire.MAX_DATAGRAM_BYTES for entry in cut)
