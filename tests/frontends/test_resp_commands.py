"""Parsing of the words of a frame into commands."""

from __future__ import annotations

import pytest

from marlstep.frontends.errors import FrameFault, MalformedFrameError
from marlstep.frontends.resp_commands import (
    AliveCommand,
    Command,
    ExecCommand,
    ForgetCommand,
    UnknownCommand,
    parse_command,
)


@pytest.mark.parametrize(
    ("words", "command"),
    [
        ([b"EXEC", b"7", b"class", b"id=1", b"body"], ExecCommand(7, b"class", b"id=1", b"body")),
        ([b"EXEC", b"7", b"class", b"id=1"], ExecCommand(7, b"class", b"id=1", b"")),
        ([b"EXEC", b"7", b"class"], UnknownCommand(7)),
        ([b"ALIVE", b"7"], AliveCommand(7)),
        ([b"ALIVE", b"7", b""], AliveCommand(7)),
        ([b"ALIVE", b"7", b"", b""], UnknownCommand(7)),
        ([b"FORGET", b"7"], ForgetCommand(7)),
        ([b"FORGET", b"7", b""], UnknownCommand(7)),
        ([b"WHAT", b"7"], UnknownCommand(7)),
    ],
)
def test_a_command_is_recognised_by_its_verb_and_its_number_of_words(
    words: list[bytes], command: Command
) -> None:
    assert parse_command(words) == command


@pytest.mark.parametrize("words", [[b"EXEC"], [b"ALIVE", b"0"], [b"ALIVE", b"07"], [b"ALIVE", b"x"]])
def test_a_frame_without_a_tag_is_malformed(words: list[bytes]) -> None:
    with pytest.raises(MalformedFrameError) as raised:
        parse_command(words)
    assert raised.value.fault is FrameFault.TAG and raised.value.tag is None
