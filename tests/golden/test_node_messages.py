"""Messages between nodes keep their bytes, whatever classes and fields are called."""

from __future__ import annotations

import orjson
import pytest

from marlstep.cluster import wire
from marlstep.consensus.replica_messages import MESSAGES as VOTER_MESSAGES
from tests.golden import checks
from tests.golden.conversation import classes_of, tags_of
from tests.golden.mutations import Path
from tests.golden.node_messages import CONVERSATION, MESSAGES

WRONG_TYPES = list(checks.wrong_type_cases(CONVERSATION))
each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_message_has_a_golden_entry() -> None:
    classes, tags = (
        classes_of(wire.CODEC),
        tags_of(wire.CODEC),
    )
    seen = {type(one) for one in MESSAGES.values()}
    assert classes == {*VOTER_MESSAGES, wire.ExchangeMessage}
    checks.check_coverage(CONVERSATION, classes, tags, seen)


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


NESTED = [
    ("Append/full", ("entries", 0), True),
    ("SnapshotPart/full", ("group",), True),
    ("Beaten/full", ("news", 0), False),
]


@pytest.mark.parametrize(("name", "path", "passed_over"), NESTED)
def test_an_unknown_key_of_a_nested_object(name: str, path: Path, passed_over: bool) -> None:
    told = orjson.loads(CONVERSATION.load()[name].body)
    place = CONVERSATION.message_in(told)[1]
    for step in path:
        place = place[step]
    place["of_a_newer_program"] = 1
    if passed_over:
        assert checks.read_json(CONVERSATION, told) == CONVERSATION.samples[name].expected
    else:
        checks.check_refused(CONVERSATION, told)


@pytest.mark.parametrize("key", ["pending", "pending_digest", "strict", "on"])
def test_news_without_a_key_that_has_a_default(key: str) -> None:
    stored = CONVERSATION.load()["Beaten/full"]
    told = orjson.loads(stored.body)
    del CONVERSATION.message_in(told)[1]["news"][1][key]  # the one that has the defaults
    assert checks.read_json(CONVERSATION, told) == CONVERSATION.samples["Beaten/full"].expected
