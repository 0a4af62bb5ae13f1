"""What every format gives: arrivals, and what is wrong with the rows that are none.

Times are whole microseconds here, not `datetime`: a trace has millions of rows, and making a `timedelta` for
each costs a fifth of the time that reading one may take (figures in docs/traces.md).
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import NamedTuple

from marlstep.errors import MarlstepError

MAX_TIME_US = 1 << 62  # some 146,000 years
MAX_SHOWN_TEXT = 48  # characters of a faulty cell that a reject keeps


class Arrival(NamedTuple):
    """One arrival. The order of the fields is the order in which equal times are put.

    Attributes:
        at_us: microseconds on the trace's own clock.
        key: the sender; a sender stays complete when a trace is thinned.
        name: tells the arrival from others of its sender; equal time, key and name make a duplicate; "" where none.
        tenant: the tenant, as the trace names it.
        category: the trace's own class of the arrival.
        hint: the work, in the format's unit; 0 where the trace has none.
        line: where it stands, counted from 1 over all parts.
    """

    at_us: int
    key: str
    name: str
    tenant: str
    category: str
    hint: float
    line: int


class Reason(enum.StrEnum):
    """Why a row is bad."""

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
    TRUNCATED = "truncated"  # the compressed stream ends inside itself
    CORRUPT = "corrupt"  # it can't be decompressed from here on
    LATE = "late"  # out of order by more than the reorder window
    JUMP = "time-jump"  # far ahead of all before and after it
    TOO_MANY = "too-many"  # beyond a stated bound
    NO_HEADER = "no-header"  # a column that the format names is not in the header


@dataclass(slots=True, frozen=True)
class Reject:
    """One bad row.

    Attributes:
        line: where it stands, counted from 1 over all parts.
        column: the column at fault; "" where the row as a whole is bad.
        reason: what is wrong.
        text: the start of what stood there.
    """

    line: int
    column: str
    reason: Reason
    text: str

    def describe(self) -> str:
        """Return the reason, the column and the text, as far as they are known."""
        column = f" in column {self.column}" if self.column else ""
        text = f": {self.text!r}" if self.text else ""
        return f"{self.reason.value}{column}{text}"


class BadRowError(MarlstepError):
    """A row can't be read. Formats raise it; the reader of the trace adds the line.

    Attributes:
        reason: what is wrong.
        column: the column at fault; "" where the row as a whole is bad.
        text: the start of what stood there.
    """

    def __init__(self, reason: Reason, column: str = "", text: str = "") -> None:
        """Keep the start of the text."""
        super().__init__(reason)
        self.reason, self.column, self.text = reason, column, text[:MAX_SHOWN_TEXT]


def check_width(cells: list[str], width: int) -> None:
    """Check the number of cells. Raises BadRowError."""
    if len(cells) < width:
        raise BadRowError(Reason.MISSING, text=f"{len(cells)} of {width} columns")
    if len(cells) > width:
        raise BadRowError(Reason.SURPLUS, text=f"{len(cells)} in place of {width} columns")


def read_whole(text: str, column: str) -> int:
    """Read a whole number from 0 to MAX_TIME_US. Raises BadRowError."""
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
    """Read a finite number, 0 or more. Raises BadRowError."""
    try:
        value = float(text)
    except ValueError:
        raise number_error(text, column) from None
    if not 0 <= value <= MAX_TIME_US or "_" in text:
        raise number_error(text, column)
    return value


def read_instant_us(text: str, column: str, unit_us: float) -> int:
    """Read a time in units of `unit_us` microseconds, with or without a fraction. Raises BadRowError."""
    if text.isdigit() and unit_us == 1:
        return read_whole(text, column)
    value = read_decimal(text, column) * unit_us
    if value > MAX_TIME_US:
        raise BadRowError(Reason.OVERFLOW, column, text)
    return round(value)


def read_word(text: str, column: str) -> str:
    """Return the text of a cell that must not be empty. Raises BadRowError."""
    if not text:
        raise BadRowError(Reason.EMPTY, column)
    return text


def number_error(text: str, column: str) -> BadRowError:
    """Return the error that says why a cell is no number from 0 to MAX_TIME_US."""
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
        is_spelled = any(letter.isalpha() and letter not in "eE" for letter in text)
        return Reason.NOT_FINITE if is_spelled else Reason.OVERFLOW
    if value < 0:
        return Reason.NEGATIVE
    return Reason.OVERFLOW if value > MAX_TIME_US else Reason.NOT_A_NUMBER
