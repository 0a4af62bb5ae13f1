"""Messages of all three conversations keep their bytes when classes and fields are renamed.

The conversations are messages between nodes, datagrams between nodes, and messages between two processes of a node.
Tests of only one of them are in `test_node_messages.py`, `test_datagrams.py` and `test_restart_messages.py`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from tests.golden import checks, datagrams, node_messages, restart_messages
from tests.golden.conversation import Conversation

CONVERSATIONS = {
    "nodes": node_messages.CONVERSATION,
    "datagrams": datagrams.CONVERSATION,
    "restart": restart_messages.CONVERSATION,
}


def messages(ending: str = "") -> Iterator[Any]:
    for title, conversation in CONVERSATIONS.items():
        for name in checks.names(conversation):
            if name.endswith(ending):
                yield pytest.param(conversation, name, id=f"{title}-{name}")


def keys(optional: bool) -> Iterator[Any]:
    for title, conversation in CONVERSATIONS.items():
        for name, key in checks.keys(conversation, optional=optional):
            yield pytest.param(conversation, name, key, id=f"{title}-{name}-{key}")


def wrong_types() -> Iterator[Any]:
    for title, conversation in CONVERSATIONS.items():
        cases = list(checks.wrong_type_cases(conversation))
        for case, case_id in zip(cases, checks.case_ids(cases), strict=True):
            yield pytest.param(conversation, case, id=f"{title}-{case_id}")


each_message = pytest.mark.parametrize(("conversation", "name"), list(messages()))


@pytest.mark.parametrize("title", CONVERSATIONS)
def test_full_messages_hold_no_default_value(title: str) -> None:
    checks.check_full(CONVERSATIONS[title])


@each_message
def test_writing_gives_the_stored_bytes(conversation: Conversation, name: str) -> None:
    checks.check_written(conversation, name)


@each_message
def test_reading_the_stored_bytes_gives_the_message(conversation: Conversation, name: str) -> None:
    checks.check_read(conversation, name)


@each_message
def test_a_corrupted_frame_is_refused(conversation: Conversation, name: str) -> None:
    checks.check_corrupted_frame(conversation, name)


@each_message
def test_the_stored_keys_are_those_of_the_message(conversation: Conversation, name: str) -> None:
    checks.check_keys(conversation, name)


@pytest.mark.parametrize(("conversation", "name", "key"), list(keys(optional=False)))
def test_a_message_without_a_required_key_is_refused(conversation: Conversation, name: str, key: str) -> None:
    checks.check_missing_required_key(conversation, name, key)


@pytest.mark.parametrize(("conversation", "name", "key"), list(keys(optional=True)))
def test_a_missing_optional_key_reads_as_its_default(conversation: Conversation, name: str, key: str) -> None:
    checks.check_missing_optional_key(conversation, name, key)


@pytest.mark.parametrize(("conversation", "name"), list(messages("/defaults")))
def test_all_optional_keys_may_be_missing_at_once(conversation: Conversation, name: str) -> None:
    checks.check_all_optional_keys_missing(conversation, name)


@each_message
def test_an_unknown_tag_is_refused(conversation: Conversation, name: str) -> None:
    checks.check_unknown_tag(conversation, name)


@each_message
def test_an_extra_list_element_is_refused(conversation: Conversation, name: str) -> None:
    checks.check_extra_element(conversation, name)


@pytest.mark.parametrize(("conversation", "case"), list(wrong_types()))
def test_a_value_of_a_wrong_type_is_refused(conversation: Conversation, case: checks.Case) -> None:
    checks.check_wrong_type(conversation, case)
