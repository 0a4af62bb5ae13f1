"""Datagrams keep their bytes, whatever classes and fields are called."""

from __future__ import annotations

import pytest

from marlstep.cluster import wire
from tests.golden import checks
from tests.golden.conversation import classes_of, tags_of
from tests.golden.datagrams import CONVERSATION, MANY, RECORDS_KEPT, Datagram

WRONG_TYPES = list(checks.wrong_type_cases(CONVERSATION))
each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_datagram_has_a_golden_entry() -> None:
    seen = {
        type(sample.written.message)
        for sample in CONVERSATION.samples.values()
        if isinstance(sample.written, Datagram)
    }
    checks.check_coverage(CONVERSATION, classes_of(wire.DATAGRAMS), tags_of(wire.DATAGRAMS), seen)


def test_full_messages_have_no_default_left() -> None:
    checks.check_full(CONVERSATION)


@each_message
def test_writing_gives_the_stored_bytes(name: str) -> None:
    checks.check_written(CONVERSATION, name)


@each_message
def test_reading_the_stored_bytes_gives_the_message(name: str) -> None:
    checks.check_read(CONVERSATION, name)


@each_message
def test_a_damaged_frame_is_refused(name: str) -> None:
    checks.check_damaged(CONVERSATION, name)


@each_message
def test_the_stored_keys_are_those_of_the_message(name: str) -> None:
    checks.check_keys(CONVERSATION, name)


@pytest.mark.parametrize(("name", "key"), checks.keys(CONVERSATION, optional=False))
def test_a_message_without_a_required_key_is_refused(name: str, key: str) -> None:
    checks.check_left_out_required(CONVERSATION, name, key)


@pytest.mark.parametrize(("name", "key"), checks.keys(CONVERSATION, optional=True))
def test_a_key_that_is_left_out_reads_as_its_default(name: str, key: str) -> None:
    checks.check_left_out_optional(CONVERSATION, name, key)


@pytest.mark.parametrize("name", [one for one in CONVERSATION.samples if one.endswith("/defaults")])
def test_all_defaults_may_be_left_out_at_once(name: str) -> None:
    checks.check_all_optional_left_out(CONVERSATION, name)


@each_message
def test_an_unknown_tag_is_refused(name: str) -> None:
    checks.check_unknown_tag(CONVERSATION, name)


@each_message
def test_a_further_element_is_refused(name: str) -> None:
    checks.check_further_element(CONVERSATION, name)


@pytest.mark.parametrize("case", WRONG_TYPES, ids=checks.case_ids(WRONG_TYPES))
def test_a_value_of_a_wrong_type_is_refused(case: checks.Case) -> None:
    checks.check_wrong_type(CONVERSATION, case)


@each_message
def test_an_unknown_key_is_passed_over(name: str) -> None:
    told = checks.with_unknown_key(CONVERSATION, name)
    assert checks.read_json(CONVERSATION, told) == CONVERSATION.samples[name].expected


def test_records_were_cut_to_fit() -> None:
    assert 0 < RECORDS_KEPT < len(MANY)
    cut = [one for name, one in CONVERSATION.load().items() if name.endswith("/cut")]
    assert len(cut) == 4 and all(len(one.frame) <= wire.MAX_DATAGRAM_BYTES for one in cut)
