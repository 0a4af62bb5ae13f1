"""The account of one reading of a trace: every line, and what became of it; pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from marlstep.traces.rows import Arrival

MAX_COUNTED_NAMES = 100_000  # tenants and categories that are told apart: memory stays bounded
OTHERS = "others"  # counts the names beyond that bound


@dataclass(slots=True)
class Account:
    """What was read, and what became of it.

    Each line is a header, blank or a row, and each row is good or bad. Of the good rows some are no arrivals, or
    duplicates; a format that holds counts gives many arrivals for a row.

    Attributes:
        lines: lines of all parts.
        headers: lines that are headers.
        blank: empty lines.
        rows: all other lines.
        bad: rows that can't be read or used.
        bad_by_reason: the same, by reason.
        skipped: rows that are no arrivals, by reason.
        notes: oddities that cost nothing, such as a byte order mark.
        arrivals: arrivals, in order of time.
        duplicates: arrivals that were left out, as another has the same time, sender and name.
        out_of_order: rows that came after a later one.
        first_us: time of the first arrival on the trace's own clock, in microseconds; None where there is none.
        last_us: time of the last arrival.
        tenants: arrivals by tenant.
        categories: arrivals by the trace's own class.
    """

    lines: int = 0
    headers: int = 0
    blank: int = 0
    rows: int = 0
    bad: int = 0
    bad_by_reason: Counter[str] = field(default_factory=Counter)
    skipped: Counter[str] = field(default_factory=Counter)
    notes: Counter[str] = field(default_factory=Counter)
    arrivals: int = 0
    duplicates: int = 0
    out_of_order: int = 0
    first_us: int | None = None
    last_us: int | None = None
    tenants: Counter[str] = field(default_factory=Counter)
    categories: Counter[str] = field(default_factory=Counter)

    @property
    def good(self) -> int:
        """Rows that could be read and used."""
        return self.rows - self.bad

    def add(self, rows: list[Arrival]) -> None:
        """Count arrivals, which come in order of time."""
        if not rows:
            return
        self.arrivals += len(rows)
        if self.first_us is None:
            self.first_us = rows[0].at_us
        self.last_us = rows[-1].at_us
        _count_names(self.tenants, [row.tenant for row in rows])
        _count_names(self.categories, [row.category for row in rows])


def _count_names(counts: Counter[str], names: list[str]) -> None:
    if len(counts) + len(names) <= MAX_COUNTED_NAMES:
        counts.update(names)
        return
    for name in names:
        is_counted = name in counts or len(counts) < MAX_COUNTED_NAMES
        counts[name if is_counted else OTHERS] += 1
