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

each_message = pytest.mark.parametrize("name", checks.names(CONVERSATION))


def test_every_message_has_a_golden_entry() -> None:
    classes, tags = (
        classes_of(wire.CODEC),
        tags_of(wire.CODEC),
    )
    seen = {type(one) for one in MESSAGES.values()}
    assert classes == {*VOTER_MESSAGES, wire.ExchangeMessage}
    checks.check_coverage(CONVERSATION, classes, tags, seen)


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
