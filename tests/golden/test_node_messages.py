"""Messages between nodes keep their bytes when classes and fields are renamed."""

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
    sample_classes = {type(message) for message in MESSAGES.values()}
    assert classes == {*VOTER_MESSAGES, wire.ExchangeMessage}
    checks.check_coverage(CONVERSATION, classes, tags, sample_classes)


@each_message
def test_an_unknown_key_is_ignored(name: str) -> None:
    document = checks.with_unknown_key(CONVERSATION, name)
    assert checks.read_json(CONVERSATION, document) == CONVERSATION.samples[name].expected


NESTED = [
    ("Append/full", ("entries", 0), True),
    ("SnapshotPart/full", ("group",), True),
    ("Beaten/full", ("news", 0), False),
]


@pytest.mark.parametrize(("name", "path", "passed_over"), NESTED)
def test_an_unknown_key_of_a_nested_object_is_ignored_or_refused(
    name: str, path: Path, passed_over: bool
) -> None:
    document = orjson.loads(CONVERSATION.load()[name].body)
    place = CONVERSATION.message_in(document)[1]
    for step in path:
        place = place[step]
    place["of_a_newer_program"] = 1
    if passed_over:
        assert checks.read_json(CONVERSATION, document) == CONVERSATION.samples[name].expected
    else:
        checks.check_refused(CONVERSATION, document)


@pytest.mark.parametrize("key", ["pending", "pending_digest", "strict", "on"])
def test_a_document_status_without_an_optional_key_reads_as_its_default(key: str) -> None:
    stored = CONVERSATION.load()["Beaten/full"]
    document = orjson.loads(stored.body)
    del CONVERSATION.message_in(document)[1]["news"][1][key]  # the entry that holds the default values
    assert checks.read_json(CONVERSATION, document) == CONVERSATION.samples["Beaten/full"].expected
