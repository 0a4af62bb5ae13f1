"""The words of the kernel's wire, mapped once: commands as bytes, notices as types. Pure.

The kernel owns the cores. The words on its wire are those of its protocol; behind this module there are only
the functions that encode commands and the types of notices.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.admission.events import Outcome
from marlstep.net.lines import LineProtocolError, parse_length
from marlstep.units import MILLISECOND, ZERO

BODY_LIMIT = 64 * 1024  # bytes; the protocol names 4 KiB for results
MAX_ELAPSED_MS = 1e9  # of a run; more is read as this
MAX_SHOWN_CHARACTERS = 32  # of a wrong word, in the log
WORDS_BEFORE_BODY = {
    "REAP": 6,
    "IOREQ": 4,
}  # how many words such a line has; the last is its body's length


# The words of commands on the wire, by what they ask for.
START_RUN = "SCHED"
PAUSE_RUN = "PREEMPT"
RESUME_RUN = "RESCHED"
SUPPLY_REPLY = "IODONE"  # the reply to the call that a run waits for
SKIP_CALL = "NOIO"  # the run goes on without its call
REQUEST_GAUGES = "SYSINFO"
OPEN_CONNECTION = "OPEN"

RUN_OUTCOMES = {
    "complete": Outcome.OK,
    "error": Outcome.ERROR,
    "cancelled": Outcome.CANCELLED,
    "unknown": Outcome.NOT_STARTED,
}


class MalformedNoticeError(LineProtocolError):
    """A notice has the wrong number of words."""

    def __init__(self, words: list[str]) -> None:
        """`words` are those of the notice's line."""
        super().__init__(f"malformed {words[0]}")
        self.words = words


class InvalidNoticeNumberError(LineProtocolError):
    """A numbered notice has no number."""

    def __init__(self, word: str) -> None:
        """`word` stands in its place."""
        super().__init__(f"expected the number of a notice, got {word[:MAX_SHOWN_CHARACTERS]!r}")
        self.word = word


class MissingNoticesError(LineProtocolError):
    """Notices before this one were never read; the kernel repeats them on a new connection."""

    def __init__(self, last: int, number: int) -> None:
        """`last` is the number of the last notice that was read, `number` that of the one that came."""
        super().__init__(f"expected notice {last + 1}, got {number}")
        self.last, self.number = last, number


@dataclass(slots=True)
class KernelStarted:
    """The kernel responded to the opening of a connection."""

    state: str
    age_ms: str  # as the kernel wrote it


@dataclass(slots=True)
class GaugeReadings:
    """The gauges that were asked for under a tag."""

    tag: str
    readings: list[str]


@dataclass(slots=True)
class CommandRejected:
    """A command was not carried out."""

    verb: str  # of the command on the wire
    request_id: str


@dataclass(slots=True)
class RunEnded:
    """A run ended, or was paused."""

    number: int
    request_id: str
    outcome: Outcome
    elapsed_text: str  # in milliseconds


@dataclass(slots=True)
class CallNeeded:
    """A run waits for a downstream call; the notice's body is the call's."""

    number: int
    request_id: str


@dataclass(slots=True)
class KernelMessage:
    """A line for the log."""

    number: int
    text: str


@dataclass(slots=True)
class UnknownNotice:
    """A notice that this client does not know. It has no body."""

    words: list[str]


Notice = (
    KernelStarted | GaugeReadings | CommandRejected | RunEnded | CallNeeded | KernelMessage | UnknownNotice
)


def notice_body_length(words: list[str]) -> int | None:
    """Return the length in bytes of the body that follows a line; None where none does. Raises LineProtocolError."""
    count = WORDS_BEFORE_BODY.get(words[0])
    if count is None:
        return None
    if len(words) != count:
        raise MalformedNoticeError(words)
    return parse_length(words[-1], BODY_LIMIT)


def parse_notice(words: list[str]) -> Notice:
    """Return the notice of a line. Raises InvalidNoticeNumberError."""
    notice: Notice
    match words:
        case ["REAP", number, request_id, outcome_word, elapsed_text, _]:
            # An outcome of a later version of the kernel counts as an error: the run is over in any case.
            outcome = RUN_OUTCOMES.get(outcome_word, Outcome.ERROR)
            notice = RunEnded(_parse_notice_number(number), request_id, outcome, elapsed_text)
        case ["IOREQ", number, request_id, _]:
            notice = CallNeeded(_parse_notice_number(number), request_id)
        case ["INFO", tag, *readings]:
            notice = GaugeReadings(tag, readings)
        case ["EINVAL", verb, request_id]:
            notice = CommandRejected(verb, request_id)
        case ["BOOTED", state, age_ms]:
            notice = KernelStarted(state, age_ms)
        case ["DMESG", number, *text]:
            notice = KernelMessage(_parse_notice_number(number), " ".join(text))
        case _:
            notice = UnknownNotice(words)
    return notice


def _parse_notice_number(word: str) -> int:
    if not (word.isascii() and word.isdigit()):
        raise InvalidNoticeNumberError(word)
    return int(word)


def parse_elapsed(text: str) -> timedelta | None:
    """Return a run time that is written in milliseconds, at least 0; None where the text is no number.

    The figure only informs, so that one which can't be read is no reason to reject its notice.
    """
    try:
        return max(ZERO, min(float(text), MAX_ELAPSED_MS) * MILLISECOND)
    except (ValueError, OverflowError):
        return None


def encode_open(last_notice: int) -> bytes:
    """Return the first command on a connection: the kernel repeats the notices after this one."""
    return f"{OPEN_CONNECTION} {last_notice}\r\n".encode()


def encode_gauges_request(tag: str) -> bytes:
    """Return the command that asks for the gauges."""
    return f"{REQUEST_GAUGES} {tag}\r\n".encode()


def encode_start(request_id: str, request_class: str, body: bytes) -> bytes:
    """Return the command that starts a run."""
    head = f"{START_RUN} {request_id} {request_class} {len(body)}\r\n".encode()
    return head + body + b"\r\n"


def encode_pause(request_id: str) -> bytes:
    """Return the command that pauses a run."""
    return f"{PAUSE_RUN} {request_id}\r\n".encode()


def encode_resume(request_id: str) -> bytes:
    """Return the command that resumes a paused run."""
    return f"{RESUME_RUN} {request_id}\r\n".encode()


def encode_reply(request_id: str, reply: bytes) -> bytes:
    """Return the command that gives a run the reply to its call."""
    return f"{SUPPLY_REPLY} {request_id} {len(reply)}\r\n".encode() + reply + b"\r\n"


def encode_skip(request_id: str, call_notice_number: int) -> bytes:
    """Return the command that makes a run go on without the call that it asked for by the notice of this number."""
    return f"{SKIP_CALL} {request_id} {call_notice_number}\r\n".encode()
