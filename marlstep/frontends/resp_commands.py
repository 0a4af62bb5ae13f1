"""Parses the words of a RESP frame into typed commands. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.frontends.errors import FrameFault, MalformedFrameError
from marlstep.frontends.resp_wire import TAG_WORD, read_tag


@dataclass(slots=True)
class ExecCommand:
    """Run a request and respond on its tag. The other attributes are not validated yet."""

    tag: int
    request_class: bytes
    fields: bytes
    body: bytes


@dataclass(slots=True)
class AliveCommand:
    """Health check: respond on the tag whether this node is healthy."""

    tag: int


@dataclass(slots=True)
class ForgetCommand:
    """Cancel the request with this tag, for which the client no longer waits. The tag is one used before."""

    tag: int


@dataclass(slots=True)
class UnknownCommand:
    """A command with an unknown verb or a wrong number of words."""

    tag: int


Command = ExecCommand | AliveCommand | ForgetCommand | UnknownCommand


def parse_command(words: list[bytes]) -> Command:
    """Return the command of a frame.

    Raises:
        MalformedFrameError: the frame has no valid tag, so no response can be sent to it.
    """
    count = len(words)
    tag_word = words[TAG_WORD] if count > TAG_WORD else None
    tag = None if tag_word is None else read_tag(tag_word)
    if tag is None:
        raise MalformedFrameError(FrameFault.TAG, tag_word)
    verb = words[0]
    if verb == b"EXEC" and count in (4, 5):  # checked first because it is the hot path
        return ExecCommand(tag, words[2], words[3], words[4] if count == 5 else b"")
    if verb == b"ALIVE" and count in (2, 3):
        return AliveCommand(tag)
    if verb == b"FORGET" and count == 2:
        return ForgetCommand(tag)
    return UnknownCommand(tag)
