"""Datagrams keep their bytes, whatever classes and fields are called."""

from __future__ import annotations

import pytest

from marlstep.cluster import wire
from tests.golden import checks
from tests.golden.conversation import classes_of, tags_of
from tests.golden.datagrams import CONVERSATION, MANY, RECORDS_KEPT, Datagram

each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_datagram_has_a_golden_entry() -> None:
    seen = {
        type(sample.written.message)
        for sample in CONVERSATION.samples.values()
        if isinstance(sample.written, Datagram)
    }
    checks.check_coverage(CONVERSATION, classes_of(wire.DATAGRAMS), tags_of(wire.DATAGRAMS), seen)


@each_message
def test_an_unknown_key_is_passed_over(name: str) -> None:
    told = checks.with_unknown_key(CONVERSATION, name)
    assert checks.read_json(CONVERSATION, told) == CONVERSATION.samples[name].expected


def test_records_were_cut_to_fit() -> None:
    assert 0 < RECORDS_KEPT < len(MANY)
    cut = [one for name, one in CONVERSATION.load().items() if name.endswith("/cut")]
    assert len(cut) == 4 and all(len(one.frame) <= wire.MAX_DATAGRAM_BYTES for one in cut)
