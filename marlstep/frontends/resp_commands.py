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
    tag = read_tag(words[TAG_WORD]) if len(words) > TAG_WORD else None
    if tag is None:
        raise MalformedFrameError(FrameFault.TAG, words[TAG_WORD] if len(words) > TAG_WORD else None)
    verb, count = words[0], len(words)
    if verb == b"EXEC" and count in (4, 5):  # the hot path comes first
        return ExecCommand(tag, words[2], words[3], words[4] if count == 5 else b"")
    if verb == b"ALIVE" and count in (2, 3):
        return AliveCommand(tag)
    if verb == b"FORGET" and count == 2:
        return ForgetCommand(tag)
    return UnknownCommand(tag)
