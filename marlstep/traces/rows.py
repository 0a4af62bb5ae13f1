"""What every format gives: arrivals, and what is wrong with the rows that are none.

Times are whole microseconds here, not `datetime`: a trace has millions of rows, and making a `timedelta` for
each costs a fifth of the time that reading one may take (figures in docs/traces.md).
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import NamedTuple

MOST_US = 1 << 62  # a time beyond it is no time: some 146,000 years
SHOWN = 48  # characters of a faulty cell that a reject keeps


class Arrival(NamedTuple):
    """One arrival. The order of the fields is the order in which equal times are put."""

    at_us: int  # on the trace's own clock, until the start is taken off (`since_start`)
    key: str  # who sent it: a sender stays whole when a trace is thinned
    name: str  # tells it from the sender's others; equal key, name and time make a duplicate; "" where none
    tenant: str
    kind: str
    hint: float  # of the work, in the format's unit; 0 where the trace does not tell
    line: int  # where it stands, counted from 1 over all parts


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
    line: int  # counted from 1 over all parts
    column: str  # "" where the row as a whole is bad
    reason: Reason
    text: str  # the start of what stood there


class BadRow(Exception):
    """A row that can't be read. Formats raise it; the reader adds the line."""

    def __init__(self, reason: Reason, column: str = "", text: str = "") -> None:
        super().__init__(reason)
        self.reason, self.column, self.text = reason, column, text[:SHOWN]


def width(cells: list[str], wanted: int) -> None:
    if len(cells) < wanted:
        raise BadRow(Reason.MISSING, text=f"{len(cells)} of {wanted} columns")
    if len(cells) > wanted:
        raise BadRow(Reason.SURPLUS, text=f"{len(cells)} in place of {wanted} columns")


def whole(text: str, column: str) -> int:
    """A whole number from 0 to MOST_US."""
    if not text.isdigit():
        raise diagnosed(text, column)
    try:
        value = int(text)
    except ValueError:
        raise diagnosed(text, column) from None
    if value > MOST_US:
        raise BadRow(Reason.OVERFLOW, column, text)
    return value


def decimal(text: str, column: str) -> float:
    """A finite number, 0 or more."""
    try:
        value = float(text)
    except ValueError:
        raise diagnosed(text, column) from None
    if not 0 <= value <= MOST_US or "_" in text:
        raise diagnosed(text, column)
    return value


def instant_us(text: str, column: str, unit_us: float) -> int:
    """A time in units of `unit_us` microseconds, with or without a fraction."""
    if text.isdigit() and unit_us == 1:
        return whole(text, column)
    value = decimal(text, column) * unit_us
    if value > MOST_US:
        raise BadRow(Reason.OVERFLOW, column, text)
    return round(value)


def word(text: str, column: str) -> str:
    if not text:
        raise BadRow(Reason.EMPTY, column)
    return text


def diagnosed(text: str, column: str) -> BadRow:
    """Why a cell is no number from 0 up."""
    reason = Reason.NOT_A_NUMBER
    if not text.strip():
        reason = Reason.EMPTY
    elif "_" not in text:
        try:
            value = float(text)
        except ValueError:
            pass
        else:
            if math.isnan(value) or math.isinf(value):
                spelled = any(letter.isalpha() and letter not in "eE" for letter in text)
                reason = Reason.NOT_FINITE if spelled else Reason.OVERFLOW
            elif value < 0:
                reason = Reason.NEGATIVE
            elif value > MOST_US:
                reason = Reason.OVERFLOW
    return BadRow(reason, column, text)
