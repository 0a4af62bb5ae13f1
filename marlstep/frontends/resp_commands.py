"""The commands of the platform's wire as types, out of the words of a frame. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from marlstep.frontends.errors import FrameFault, MalformedFrameError
from marlstep.frontends.resp_wire import TAG_WORD, read_tag


@dataclass(slots=True)
class ExecCommand:
    """Run a request and respond on its tag. Its parts are not checked yet."""

    tag: int
    request_class: bytes
    fields: bytes
    body: bytes


@dataclass(slots=True)
class AliveCommand:
    """Respond on the tag whether this node is healthy."""

    tag: int


@dataclass(slots=True)
class ForgetCommand:
    """Cancel the request with this tag: its client stopped waiting. The tag is no new one."""

    tag: int


@dataclass(slots=True)
class UnknownCommand:
    """A command that this frontend does not know, or one with too few or too many words."""

    tag: int


Command = ExecCommand | AliveCommand | ForgetCommand | UnknownCommand


def parse_command(words: list[bytes]) -> Command:
    """Return the command of a frame.

    Raises:
        MalformedFrameError: the frame has no tag, so that nothing can be responded to it.
    """
    count = len(words)
    tag_word = words[TAG_WORD] if count > TAG_WORD else None
    tag = None if tag_word is None else read_tag(tag_word)
    if tag is None:
        raise MalformedFrameError(FrameFault.TAG, tag_word)
    verb = words[0]
    if verb == b"EXEC" and count in (4, 5):  # the hot path comes first
        return ExecCommand(tag, words[2], words[3], words[4] if count == 5 else b"")
    if verb == b"ALIVE" and count in (2, 3):
        return AliveCommand(tag)
    if verb == b"FORGET" and count == 2:
        return ForgetCommand(tag)
    return UnknownCommand(tag)
