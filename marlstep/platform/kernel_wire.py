"""The wire protocol of the kernel: encodes commands and parses notices. No I/O.

The kernel owns the cores. Only this module uses the words of its protocol; other modules call the functions that
encode commands and use the types of notices.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.admission.events import Outcome
from marlstep.net.lines import LineProtocolError, parse_length
from marlstep.units import MILLISECOND, ZERO

BODY_LIMIT = 64 * 1024  # bytes; the protocol specifies 4 KiB for results
MAX_ELAPSED_MS = 1e9  # longer durations are clamped to this
MAX_SHOWN_CHARACTERS = 32  # of an invalid word, in error messages
# Number of words in the line of each notice that has a body; the last word is the length of the body in bytes.
WORDS_BEFORE_BODY = {"REAP": 6, "IOREQ": 4}


# The verbs of commands on the wire.
START_RUN = "SCHED"
PAUSE_RUN = "PREEMPT"
RESUME_RUN = "RESCHED"
SUPPLY_REPLY = "IODONE"  # supplies the reply to the call that the run waits for
SKIP_CALL = "NOIO"  # resumes the run without a reply to its call
REQUEST_GAUGES = "SYSINFO"
OPEN_CONNECTION = "OPEN"

COLD_STATE = "chilly"  # of a kernel that starts with a part of its speed

RUN_OUTCOMES = {
    "complete": Outcome.OK,
    "error": Outcome.ERROR,
    "cancelled": Outcome.CANCELLED,
    "unknown": Outcome.NOT_STARTED,
}


class MalformedNoticeError(LineProtocolError):
    """A notice with a body has the wrong number of words."""

    def __init__(self, words: list[str]) -> None:
        """Initialize the error with the words of the line of the notice."""
        super().__init__(
            f"malformed {words[0]} notice: expected {WORDS_BEFORE_BODY.get(words[0])} words, got {len(words)}"
        )
        self.words = words


class InvalidNoticeNumberError(LineProtocolError):
    """The number of a numbered notice is not a decimal number."""

    def __init__(self, word: str) -> None:
        """Initialize the error with the word found in place of the number."""
        super().__init__(f"expected a decimal notice number, got {word[:MAX_SHOWN_CHARACTERS]!r}")
        self.word = word


class MissingNoticesError(LineProtocolError):
    """Notices before this one have not been read; the kernel repeats them on a new connection."""

    def __init__(self, last: int, number: int) -> None:
        """Initialize the error.

        Args:
            last: the number of the last notice that was read.
            number: the number of the notice that arrived.
        """
        super().__init__(f"expected notice number {last + 1}, got {number}")
        self.last, self.number = last, number


@dataclass(slots=True)
class KernelStarted:
    """The kernel's response to `OPEN_CONNECTION`."""

    state: str  # at the start of the kernel
    age_ms: str  # milliseconds since the start of the kernel; parsed by `parse_elapsed`

    @property
    def is_cold(self) -> bool:
        """Whether the kernel started with a part of its speed."""
        return self.state == COLD_STATE


@dataclass(slots=True)
class GaugeReadings:
    """The gauge readings for the request with this tag."""

    tag: str
    readings: list[str]


@dataclass(slots=True)
class CommandRejected:
    """The kernel did not execute a command."""

    verb: str  # of the command on the wire
    request_id: str


@dataclass(slots=True)
class RunEnded:
    """A run has ended or was paused."""

    number: int
    request_id: str
    outcome: Outcome
    elapsed_text: str  # in milliseconds; parsed by `parse_elapsed`


@dataclass(slots=True)
class CallNeeded:
    """A run waits for a downstream call, whose body is that of the notice."""

    number: int
    request_id: str


@dataclass(slots=True)
class KernelMessage:
    """A message from the kernel, to be logged."""

    number: int
    text: str


@dataclass(slots=True)
class UnknownNotice:
    """A notice of a type that this client does not know; it has no body."""

    words: list[str]


Notice = (
    KernelStarted | GaugeReadings | CommandRejected | RunEnded | CallNeeded | KernelMessage | UnknownNotice
)


def notice_body_length(words: list[str]) -> int | None:
    """Return the length in bytes of the body that follows a line, or None if the notice has no body.

    Raises:
        MalformedNoticeError: the line has the wrong number of words.
        InvalidLengthError: the length is not a decimal number or exceeds BODY_LIMIT.
    """
    count = WORDS_BEFORE_BODY.get(words[0])
    if count is None:
        return None
    if len(words) != count:
        raise MalformedNoticeError(words)
    return parse_length(words[-1], BODY_LIMIT)


def parse_notice(words: list[str]) -> Notice:
    """Return the notice that a line contains.

    Raises:
        InvalidNoticeNumberError: the number of a numbered notice is not a decimal number.
    """
    notice: Notice
    match words:
        case ["REAP", number, request_id, outcome_word, elapsed_text, _]:
            # An unknown outcome, as from a later version of the kernel, is an error: the run has ended either way.
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
    """Parse a duration in milliseconds, clamped to 0 to MAX_ELAPSED_MS; None if the text is not a number.

    A notice is not rejected if its duration cannot be parsed.
    """
    try:
        return max(ZERO, min(float(text), MAX_ELAPSED_MS) * MILLISECOND)
    except (ValueError, OverflowError):
        return None


def encode_open(last_notice: int) -> bytes:
    """Return the first command on a connection, which makes the kernel repeat the notices after `last_notice`."""
    return f"{OPEN_CONNECTION} {last_notice}\r\n".encode()


def encode_gauges_request(tag: str) -> bytes:
    """Return the command that requests the gauges; the readings carry the same tag."""
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
    """Return the command that supplies a run with the reply to its call."""
    return f"{SUPPLY_REPLY} {request_id} {len(reply)}\r\n".encode() + reply + b"\r\n"


def encode_skip(request_id: str, call_notice_number: int) -> bytes:
    """Return the command that resumes a run without the call requested in the notice with this number."""
    return f"{SKIP_CALL} {request_id} {call_notice_number}\r\n".encode()
