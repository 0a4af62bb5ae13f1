"""Rows of all formats: arrivals, rejects, and the parsing of cells.

Times are integers in microseconds, not `datetime`: a trace has millions of rows, and creating a `timedelta` for each
takes a fifth of the time allowed for reading a row (see docs/traces.md).
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import NamedTuple

from marlstep.errors import MarlstepError

MAX_TIME_US = 1 << 62  # about 146,000 years
MAX_SHOWN_TEXT = 48  # characters of an invalid cell that a reject contains


class Arrival(NamedTuple):
    """One arrival. Arrivals sort by the fields in this order.

    Attributes:
        at_us: Time on the trace's own clock, in microseconds.
        key: Identifier of the sender; thinning keeps or drops all arrivals of a sender.
        name: Identifier among the sender's arrivals; "" if there is none. Arrivals with equal time, key and name are
            duplicates unless the name is "".
        tenant: Tenant as named in the trace.
        category: The trace's own class of the arrival.
        hint: Work in the format's unit; 0 if the trace does not state it.
        line: Line number, counted from 1 over all parts.
    """

    at_us: int
    key: str
    name: str
    tenant: str
    category: str
    hint: float
    line: int


class Reason(enum.StrEnum):
    """Reasons for which a row is bad."""

    MISSING = "missing-columns"
    SURPLUS = "surplus-columns"
    EMPTY = "empty"
    NOT_A_NUMBER = "not-a-number"
    NEGATIVE = "negative"
    NOT_FINITE = "not-finite"
    OVERFLOW = "overflow"
    END_BEFORE_START = "end-before-start"
    OPEN_QUOTE = "open-quote"
    BAD_QUOTE = "bad-quote"
    NUL = "nul"
    NOT_UTF8 = "not-utf8"
    TOO_LONG = "line-too-long"
    TRUNCATED = "truncated"  # the compressed stream ends before its end marker
    CORRUPT = "corrupt"  # the rest of the stream can't be decompressed
    LATE = "late"  # out of order by more than the reorder window
    JUMP = "time-jump"  # ahead of the rows before and after it by more than the gap
    TOO_MANY = "too-many"  # exceeds a limit of the format's reader
    NO_HEADER = "no-header"  # the header, or a required column of it, is missing


@dataclass(slots=True, frozen=True)
class Reject:
    """One bad row.

    Attributes:
        line: Line number, counted from 1 over all parts.
        column: Name of the invalid column; "" if the row as a whole is bad.
        reason: Why the row is bad.
        text: Start of the invalid text; "" if there is none.
    """

    line: int
    column: str
    reason: Reason
    text: str

    def describe(self) -> str:
        """Return the reason, with the column and the text if they are known."""
        column = f" in column {self.column}" if self.column else ""
        text = f": {self.text!r}" if self.text else ""
        return f"{self.reason.value}{column}{text}"


class BadRowError(MarlstepError):
    """A row can't be read. Raised by the readers of the formats; `Reading` adds the line number.

    Attributes:
        reason: Why the row is bad.
        column: Name of the invalid column; "" if the row as a whole is bad.
        text: The first MAX_SHOWN_TEXT characters of the invalid text.
    """

    def __init__(self, reason: Reason, column: str = "", text: str = "") -> None:
        """Initialize the error; `text` is truncated to MAX_SHOWN_TEXT characters."""
        super().__init__(reason)
        self.reason, self.column, self.text = reason, column, text[:MAX_SHOWN_TEXT]


def check_width(cells: list[str], width: int) -> None:
    """Check that a row has `width` cells.

    Raises:
        BadRowError: The row has fewer or more cells.
    """
    if len(cells) < width:
        raise BadRowError(Reason.MISSING, text=f"{len(cells)} of {width} columns")
    if len(cells) > width:
        raise BadRowError(Reason.SURPLUS, text=f"{len(cells)} in place of {width} columns")


def read_integer(text: str, column: str) -> int:
    """Parse an integer from 0 to MAX_TIME_US.

    Raises:
        BadRowError: The text is not such an integer.
    """
    if not text.isdigit():
        raise number_error(text, column)
    try:
        value = int(text)
    except ValueError:
        raise number_error(text, column) from None
    if value > MAX_TIME_US:
        raise BadRowError(Reason.OVERFLOW, column, text)
    return value


def read_decimal(text: str, column: str) -> float:
    """Parse a number from 0 to MAX_TIME_US, with or without a fraction.

    Raises:
        BadRowError: The text is not such a number.
    """
    try:
        value = float(text)
    except ValueError:
        raise number_error(text, column) from None
    if not 0 <= value <= MAX_TIME_US or "_" in text:
        raise number_error(text, column)
    return value


def read_instant_us(text: str, column: str, unit_us: float) -> int:
    """Parse a time in units of `unit_us` microseconds, with or without a fraction; return microseconds.

    Raises:
        BadRowError: The text is not a number, or the time is outside 0 to MAX_TIME_US.
    """
    if text.isdigit() and unit_us == 1:
        return read_integer(text, column)
    value = read_decimal(text, column) * unit_us
    if value > MAX_TIME_US:
        raise BadRowError(Reason.OVERFLOW, column, text)
    return round(value)


def read_nonempty(text: str, column: str) -> str:
    """Return the text of a cell that must not be empty.

    Raises:
        BadRowError: The cell is empty.
    """
    if not text:
        raise BadRowError(Reason.EMPTY, column)
    return text


def number_error(text: str, column: str) -> BadRowError:
    """Return the error for a cell that is not a number from 0 to MAX_TIME_US."""
    return BadRowError(_number_reason(text), column, text)


def _number_reason(text: str) -> Reason:
    if not text.strip():
        return Reason.EMPTY
    try:
        value = float(text)
    except ValueError:
        return Reason.NOT_A_NUMBER
    if "_" in text:
        return Reason.NOT_A_NUMBER
    if math.isnan(value) or math.isinf(value):
        is_literal = any(letter.isalpha() and letter not in "eE" for letter in text)
        return Reason.NOT_FINITE if is_literal else Reason.OVERFLOW
    if value < 0:
        return Reason.NEGATIVE
    return Reason.OVERFLOW if value > MAX_TIME_US else Reason.NOT_A_NUMBER
