"""Messages between two processes of a node keep their bytes, whatever classes and fields are called."""

from __future__ import annotations

from typing import get_args

import pytest

from marlstep.admission.events import Measurements
from marlstep.handover import wire
from tests.golden import checks
from tests.golden.conversation import classes_of, tags_of
from tests.golden.restart_messages import CONVERSATION, LEARNT, MESSAGES
from tests.support.elsewhere import Elsewhere

WRONG_TYPES = list(checks.wrong_type_cases(CONVERSATION))
each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_message_has_a_golden_entry() -> None:
    classes, seen = classes_of(wire.CODEC), {type(one) for one in MESSAGES.values()}
    assert classes == set(get_args(wire.Message))
    checks.check_coverage(CONVERSATION, classes, tags_of(wire.CODEC), seen)


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
def test_an_unknown_key_is_refused(name: str) -> None:
    checks.check_refused(CONVERSATION, checks.with_unknown_key(CONVERSATION, name))


def test_a_whole_number_is_taken_for_a_share() -> None:
    assert checks.read_json(CONVERSATION, ["Give", {"share": 1}]) == wire.Give(share=1)


def test_what_a_process_has_learnt_goes_over_under_the_stored_names() -> None:
    core = Elsewhere().core
    assert list(core.learnt()) == list(LEARNT)
    assert Measurements.from_mapping(LEARNT) == Measurements(
        limit=12.5,
        least_run_us=900.0,
        usual_call_us=9000.0,
        mean_call_us=9500.0,
        mean_run_us={"temp-history": 300000.0},
    )
