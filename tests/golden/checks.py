"""Checks that apply to the golden messages of every conversation. The test files parametrize them."""

from __future__ import annotations

import copy
from collections.abc import Iterable, Iterator
from typing import Any

import orjson
import pytest

from marlstep.net.framing import CorruptError
from tests.golden.conversation import Conversation, Golden
from tests.golden.mutations import Path, replaced, wrong_types

Case = tuple[str, Path, object]  # a message's name, a path in its JSON, and a value of a wrong type for it


def names(conversation: Conversation) -> list[str]:
    return list(conversation.samples)


def keys(conversation: Conversation, optional: bool) -> list[tuple[str, str]]:
    """Return pairs of message name and key, for all optional or all required keys."""
    entries = conversation.load().items()
    return [
        (name, key) for name, entry in entries for key in (entry.optional if optional else entry.required)
    ]


def wrong_type_cases(conversation: Conversation) -> Iterator[Case]:
    """Yield a case for each value of a wrong type at each path of the messages with all fields set."""
    for name, entry in conversation.load().items():
        if name.endswith("/full"):
            for path, value in wrong_types(orjson.loads(entry.body)):
                yield name, path, value


def case_ids(cases: Iterable[Case]) -> list[str]:
    return [f"{name}.{'.'.join(map(str, path))}={value!r}" for name, path, value in cases]


def decode_body(conversation: Conversation, entry: Golden) -> tuple[Any, Any]:
    """Return the JSON of a body, and within it the pair of the message's tag and fields."""
    document = orjson.loads(entry.body)
    return document, conversation.message_in(document)


def read_json(conversation: Conversation, document: object) -> object:
    """Write the JSON of a changed message into a valid frame, and read the message from it."""
    return conversation.read_frame(conversation.framing.write(orjson.dumps(document)))


def check_refused(conversation: Conversation, document: object) -> None:
    with pytest.raises(CorruptError):
        read_json(conversation, document)


def check_coverage(conversation: Conversation, classes: set[type], tags: set[str], seen: set[type]) -> None:
    """Check that each class has an entry with all fields set, and one with the defaults if it has optional keys."""
    entries = conversation.load()
    assert set(entries) == set(conversation.samples)
    assert seen == classes
    assert {name.partition("/")[0] for name in entries} == tags
    for name, entry in entries.items():
        tag = name.partition("/")[0]
        assert decode_body(conversation, entry)[1][0] == tag
        assert f"{tag}/full" in entries
        assert not entry.optional or f"{tag}/defaults" in entries


def check_full(conversation: Conversation) -> None:
    """Check that each "full" entry differs from the "defaults" entry in every optional key."""
    entries = conversation.load()
    for name, entry in entries.items():
        if name.endswith("/full") and entry.optional:
            full = decode_body(conversation, entry)[1][1]
            defaults = decode_body(conversation, entries[name.replace("/full", "/defaults")])[1][1]
            assert [key for key in entry.optional if full[key] == defaults[key]] == []


def check_written(conversation: Conversation, name: str) -> None:
    entry, sample = conversation.load()[name], conversation.samples[name]
    assert conversation.write(sample.written).decode() == entry.body
    assert conversation.write_frame(sample.written).hex() == entry.frame.hex()


def check_read(conversation: Conversation, name: str) -> None:
    entry, expected = conversation.load()[name], conversation.samples[name].expected
    assert conversation.read(entry.body.encode()) == expected
    assert conversation.read_frame(entry.frame) == expected


def check_corrupted_frame(conversation: Conversation, name: str) -> None:
    """Check that a frame whose last byte was changed is refused."""
    frame = conversation.load()[name].frame
    with pytest.raises(CorruptError):
        conversation.read_frame(frame[:-1] + bytes([frame[-1] ^ 1]))


def check_keys(conversation: Conversation, name: str) -> None:
    """Check that the stored lists of required and optional keys are all keys of the stored message."""
    entry = conversation.load()[name]
    assert sorted(entry.required + entry.optional) == sorted(decode_body(conversation, entry)[1][1])


def check_missing_required_key(conversation: Conversation, name: str, key: str) -> None:
    document, message = decode_body(conversation, conversation.load()[name])
    del message[1][key]
    check_refused(conversation, document)


def check_missing_optional_key(conversation: Conversation, name: str, key: str) -> None:
    """Check that a message without the key is read like one with the default; the other keys keep their values."""
    entries = conversation.load()
    document, message = decode_body(conversation, entries[name])
    _, defaults = decode_body(conversation, entries[name.partition("/")[0] + "/defaults"])
    filled = copy.deepcopy(document)
    conversation.message_in(filled)[1][key] = defaults[1][key]
    del message[1][key]
    assert read_json(conversation, document) == read_json(conversation, filled)


def check_all_optional_keys_missing(conversation: Conversation, name: str) -> None:
    entry = conversation.load()[name]
    document, message = decode_body(conversation, entry)
    for key in entry.optional:
        del message[1][key]
    assert read_json(conversation, document) == conversation.samples[name].expected


def with_unknown_key(conversation: Conversation, name: str) -> object:
    document, message = decode_body(conversation, conversation.load()[name])
    message[1]["of_a_newer_program"] = 1
    return document


def check_unknown_tag(conversation: Conversation, name: str) -> None:
    document, message = decode_body(conversation, conversation.load()[name])
    message[0] = "OfANewerProgram"
    check_refused(conversation, document)


def check_extra_element(conversation: Conversation, name: str) -> None:
    """Check that an extra element is refused, both after the fields of the message and in the enclosing list."""
    document, message = decode_body(conversation, conversation.load()[name])
    check_refused(conversation, [*document, 1])
    message.append(1)
    check_refused(conversation, document)


def check_wrong_type(conversation: Conversation, case: Case) -> None:
    name, path, value = case
    document = orjson.loads(conversation.load()[name].body)
    check_refused(conversation, replaced(document, path, value))
