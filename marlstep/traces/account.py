"""Counts of the lines, rows and arrivals of one reading of a trace. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from marlstep.traces.rows import Arrival

MAX_COUNTED_NAMES = 100_000  # distinct tenants, and distinct categories; bounds the memory
OTHERS = "others"  # the key under which names beyond that bound are counted


@dataclass(slots=True)
class Account:
    """Counts of one reading of a trace.

    Each line is a header, blank or a row, and each row is good or bad. Some good rows are skipped or are duplicates.
    In a format whose rows hold counts, one row yields many arrivals.

    Attributes:
        lines: Number of lines in all parts.
        headers: Number of header lines.
        blank: Number of empty lines.
        rows: Number of all other lines.
        bad: Number of rows that can't be read or used.
        bad_by_reason: Number of bad rows by reason.
        skipped: Number of valid rows that are not arrivals, by reason.
        notes: Number of harmless irregularities, such as a byte order mark, by name.
        arrivals: Number of arrivals.
        duplicates: Number of arrivals left out because another has the same time, sender and name.
        out_of_order: Number of rows whose time is earlier than that of a preceding row.
        first_us: Time of the first arrival on the trace's own clock, in microseconds; None if there is none.
        last_us: Time of the last arrival on the trace's own clock, in microseconds; None if there is none.
        tenants: Number of arrivals by tenant.
        categories: Number of arrivals by the trace's own category.
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
        """Number of rows that could be read and used."""
        return self.rows - self.bad

    def add(self, rows: list[Arrival]) -> None:
        """Count arrivals; `rows` are in order of time, also across calls."""
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
