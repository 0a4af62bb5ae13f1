"""What holds of every conversation's golden messages; the test files name the cases."""

from __future__ import annotations

import copy
from collections.abc import Iterable, Iterator
from typing import Any

import orjson
import pytest

from marlstep.net.framing import CorruptError
from tests.golden.conversation import Conversation, Golden
from tests.golden.mutations import Path, replaced, wrong_types

Case = tuple[str, Path, object]  # a message's name, a place in its JSON, and a wrong value for it


def names(conversation: Conversation) -> list[str]:
    return list(conversation.samples)


def keys(conversation: Conversation, optional: bool) -> list[tuple[str, str]]:
    """Each message with each key that has a default, or each that has none."""
    stored = conversation.load().items()
    return [(name, key) for name, one in stored for key in (one.optional if optional else one.required)]


def wrong_type_cases(conversation: Conversation) -> Iterator[Case]:
    """Of the messages with all fields set."""
    for name, one in conversation.load().items():
        if name.endswith("/full"):
            for path, wrong in wrong_types(orjson.loads(one.body)):
                yield name, path, wrong


def case_ids(cases: Iterable[Case]) -> list[str]:
    return [f"{name}.{'.'.join(map(str, path))}={wrong!r}" for name, path, wrong in cases]


def message_of(conversation: Conversation, one: Golden) -> tuple[Any, Any]:
    """A body's JSON, and within it the pair of the message's tag and fields."""
    told = orjson.loads(one.body)
    return told, conversation.message_in(told)


def read_json(conversation: Conversation, told: object) -> object:
    """Reads a changed message out of a sound frame."""
    return conversation.read_frame(conversation.framing.write(orjson.dumps(told)))


def check_refused(conversation: Conversation, told: object) -> None:
    with pytest.raises(CorruptError):
        read_json(conversation, told)


def check_coverage(conversation: Conversation, classes: set[type], tags: set[str], seen: set[type]) -> None:
    """Each class has an entry with all fields set, and one with its defaults where it has any."""
    stored = conversation.load()
    assert set(stored) == set(conversation.samples)
    assert seen == classes
    assert {name.partition("/")[0] for name in stored} == tags
    for name, one in stored.items():
        tag = name.partition("/")[0]
        assert message_of(conversation, one)[1][0] == tag
        assert f"{tag}/full" in stored
        assert not one.optional or f"{tag}/defaults" in stored


def check_full(conversation: Conversation) -> None:
    """A "full" entry differs from the "defaults" one in every key that has a default."""
    stored = conversation.load()
    for name, one in stored.items():
        if name.endswith("/full") and one.optional:
            full = message_of(conversation, one)[1][1]
            plain = message_of(conversation, stored[name.replace("/full", "/defaults")])[1][1]
            assert [key for key in one.optional if full[key] == plain[key]] == []


def check_written(conversation: Conversation, name: str) -> None:
    one, sample = conversation.load()[name], conversation.samples[name]
    assert conversation.write(sample.written).decode() == one.body
    assert conversation.write_frame(sample.written).hex() == one.frame.hex()


def check_read(conversation: Conversation, name: str) -> None:
    one, expected = conversation.load()[name], conversation.samples[name].expected
    assert conversation.read(one.body.encode()) == expected
    assert conversation.read_frame(one.frame) == expected


def check_damaged(conversation: Conversation, name: str) -> None:
    """A frame with another last byte."""
    frame = conversation.load()[name].frame
    with pytest.raises(CorruptError):
        conversation.read_frame(frame[:-1] + bytes([frame[-1] ^ 1]))


def check_keys(conversation: Conversation, name: str) -> None:
    """The stored lists of keys are all keys of the stored message."""
    one = conversation.load()[name]
    assert sorted(one.required + one.optional) == sorted(message_of(conversation, one)[1][1])


def check_left_out_required(conversation: Conversation, name: str, key: str) -> None:
    told, message = message_of(conversation, conversation.load()[name])
    del message[1][key]
    check_refused(conversation, told)


def check_left_out_optional(conversation: Conversation, name: str, key: str) -> None:
    """It reads as if the default had been written; the other keys keep what they have."""
    stored = conversation.load()
    told, message = message_of(conversation, stored[name])
    _, defaults = message_of(conversation, stored[name.partition("/")[0] + "/defaults"])
    filled = copy.deepcopy(told)
    conversation.message_in(filled)[1][key] = defaults[1][key]
    del message[1][key]
    assert read_json(conversation, told) == read_json(conversation, filled)


def check_all_optional_left_out(conversation: Conversation, name: str) -> None:
    one = conversation.load()[name]
    told, message = message_of(conversation, one)
    for key in one.optional:
        del message[1][key]
    assert read_json(conversation, told) == conversation.samples[name].expected


def with_unknown_key(conversation: Conversation, name: str) -> object:
    told, message = message_of(conversation, conversation.load()[name])
    message[1]["of_a_newer_program"] = 1
    return told


def check_unknown_tag(conversation: Conversation, name: str) -> None:
    told, message = message_of(conversation, conversation.load()[name])
    message[0] = "OfANewerProgram"
    check_refused(conversation, told)


def check_further_element(conversation: Conversation, name: str) -> None:
    """One more element beside a message's tag and fields, and one more in what it stands in."""
    told, message = message_of(conversation, conversation.load()[name])
    check_refused(conversation, [*told, 1])
    message.append(1)
    check_refused(conversation, told)


def check_wrong_type(conversation: Conversation, case: Case) -> None:
    name, path, wrong = case
    told = orjson.loads(conversation.load()[name].body)
    check_refused(conversation, replaced(told, path, wrong))
