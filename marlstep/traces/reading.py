"""A trace from its parts to arrivals in order, and the account of every line on the way.

Each line that is no header and not empty is a row, and each row is good or bad: `rows == good + bad`. Of the good
ones, some are no arrivals (`skipped`, by reason) or are duplicates; formats that count (azure-2019) give many
arrivals for a row.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from marlstep.traces.formats import WINDOWS_US
from marlstep.traces.formats.base import Format, RowReader
from marlstep.traces.lines import BOM, LINE_LIMIT, LineCutter, cells, plain
from marlstep.traces.order import WINDOW_US, Reorder
from marlstep.traces.rows import SHOWN, Arrival, BadRow, Reason, Reject
from marlstep.traces.sources import open_part, unpacked

MOST_NAMES = 100_000  # tenants and kinds that are told apart: memory stays bounded
OTHERS = "others"
BATCH = 4_096  # arrivals that a part's end gives at once


class Strict(Exception):
    """The first bad row, where none may be."""

    def __init__(self, reject: Reject, where: str) -> None:
        super().__init__(f"{where}: {described(reject)}")
        self.reject = reject


def described(reject: Reject) -> str:
    column = f" in column {reject.column}" if reject.column else ""
    text = f": {reject.text!r}" if reject.text else ""
    return f"{reject.reason.value}{column}{text}"


@dataclass(slots=True)
class Account:
    """What was read, and what became of it."""

    lines: int = 0
    headers: int = 0
    blank: int = 0
    rows: int = 0
    bad: int = 0
    bad_by_reason: Counter[str] = field(default_factory=Counter)
    skipped: Counter[str] = field(default_factory=Counter)  # rows that are no arrivals
    notes: Counter[str] = field(default_factory=Counter)  # oddities that cost nothing: bom, crlf
    arrivals: int = 0
    duplicates: int = 0
    out_of_order: int = 0
    first_us: int | None = None  # of the arrivals, on the trace's own clock
    last_us: int | None = None
    tenants: Counter[str] = field(default_factory=Counter)
    kinds: Counter[str] = field(default_factory=Counter)

    @property
    def good(self) -> int:
        return self.rows - self.bad

    def add(self, rows: list[Arrival]) -> None:
        if not rows:
            return
        self.arrivals += len(rows)
        if self.first_us is None:
            self.first_us = rows[0].at_us
        self.last_us = rows[-1].at_us
        _tally(self.tenants, [row[3] for row in rows])
        _tally(self.kinds, [row[4] for row in rows])


def _tally(counts: Counter[str], names: list[str]) -> None:
    if len(counts) + len(names) <= MOST_NAMES:
        counts.update(names)
        return
    for name in names:
        counts[name if name in counts or len(counts) < MOST_NAMES else OTHERS] += 1


@dataclass(slots=True)
class Reading:
    """One reading of a trace; `batches` may be used once.

    `on_reject` hears every reject, in the order in which they are found. `window_us` is the reorder window in
    microseconds; `line_limit` is in bytes.
    """

    format: Format
    parts: Sequence[str]
    seed: int = 0
    window_us: int | None = None  # None: what the format needs
    strict: bool = False
    on_reject: Callable[[Reject], None] = lambda reject: None
    on_progress: Callable[[int], None] = lambda size: None  # bytes that were read, after decompression
    on_raw: Callable[[bytes], None] | None = None  # the bytes as they lie in the parts
    line_limit: int = LINE_LIMIT
    account: Account = field(default_factory=Account)
    _starts: list[tuple[int, str]] = field(default_factory=list)  # the first line of each part, and its name
    _fresh: bool = True  # the part has shown no line yet

    def where(self, line: int) -> str:
        """`part:line` of a line that is counted over all parts."""
        name, start = "?", 0
        for first, part in self._starts:
            if first <= line:
                name, start = part, first
        return f"{name}:{line - start + 1}"

    def batches(self) -> Iterator[list[Arrival]]:
        """Arrivals in order of time, in batches of any size."""
        window = WINDOWS_US.get(self.format.name, WINDOW_US) if self.window_us is None else self.window_us
        order = Reorder(window)
        reader = self.format.make(self.seed)
        account = self.account
        try:
            for part in self.parts:
                for found in self._part(part, reader):
                    yield from self._ordered(order, found)
            ready = order.end()
            account.add(ready)
            if ready:
                yield ready
        finally:
            account.out_of_order = order.out_of_order
            account.duplicates = order.duplicates + account.skipped["duplicate"]
            if order.forced:
                account.notes["reorder-window-full"] = order.forced

    def _ordered(self, order: Reorder, found: list[Arrival]) -> Iterator[list[Arrival]]:
        told = order.push(found)
        for reason, rows in ((Reason.LATE, told.late), (Reason.JUMP, told.jumps)):
            for row in rows:
                self._reject(row.line, reason, "", f"{row.at_us} us", row=False)
        self.account.add(told.ready)
        if told.ready:
            yield told.ready

    def _part(self, name: str, reader: RowReader) -> Iterator[list[Arrival]]:
        account = self.account
        self._starts.append((account.lines + 1, name))
        cutter = LineCutter(self.line_limit)
        self._fresh = True
        stream = open_part(name)
        try:
            for data in unpacked(stream, name, self.on_raw):
                self.on_progress(len(data))
                yield self._rows(self._first(cutter.feed(data), reader), reader)
            rest = cutter.end()
            if rest is not None:
                yield self._rows(self._first([rest], reader), reader)
        except BadRow as fault:  # the stream is cut or spoilt; the line that was begun goes with it
            account.lines += 1
            self._reject(account.lines, fault.reason, fault.column, fault.text)
        finally:
            if name != "-":
                stream.close()
        batch: list[Arrival] = []
        for arrival in reader.end_of_part():
            batch.append(arrival)
            if len(batch) >= BATCH:
                yield batch
                batch = []
        yield batch

    def _first(self, lines: list[bytes | None], reader: RowReader) -> list[bytes | None]:
        """The first line of a part is taken off where it is a header; empty ones before it are passed over."""
        account = self.account
        while self._fresh and lines:
            first = lines[0]
            if first is not None and first.startswith(BOM.encode()):
                account.notes["bom"] += 1
                first = first[len(BOM.encode()) :]
                lines = [first, *lines[1:]]
            if first is not None and not first.strip():
                account.lines += 1
                account.blank += 1
                lines = lines[1:]
                continue
            self._fresh = False
            try:
                if reader.header(cells(first)):
                    account.lines += 1
                    account.headers += 1
                    return lines[1:]
            except BadRow as fault:
                account.lines += 1
                self._reject(account.lines, fault.reason, fault.column, fault.text)
                return lines[1:]
        return lines

    def _rows(self, lines: list[bytes | None], reader: RowReader) -> list[Arrival]:
        texts = plain(lines)
        return self._each(lines, reader) if texts is None else self._quick(texts, reader)

    def _quick(self, texts: list[str], reader: RowReader) -> list[Arrival]:
        """The short way, where no line needs a closer look."""
        account = self.account
        found: list[Arrival] = []
        keep, parse, skipped = found.append, reader.parse, account.skipped
        number = account.lines
        account.lines += len(texts)
        for text in texts:
            number += 1
            if not text:
                account.blank += 1
                continue
            try:
                row = parse(text.split(","), number)
            except BadRow as fault:
                self._reject(number, fault.reason, fault.column, fault.text, row=False)
                continue
            if row.__class__ is str:
                skipped[row] += 1
            else:
                keep(row)  # type: ignore[arg-type]
        account.rows += len(texts) - sum(not text for text in texts)
        return found

    def _each(self, lines: list[bytes | None], reader: RowReader) -> list[Arrival]:
        account = self.account
        found: list[Arrival] = []
        for line in lines:
            account.lines += 1
            if line is not None and not line.strip():
                account.blank += 1
                continue
            if line is not None and line.endswith(b"\r"):
                account.notes["crlf"] += 1
            account.rows += 1
            try:
                row = reader.parse(cells(line), account.lines)
            except BadRow as fault:
                self._reject(account.lines, fault.reason, fault.column, fault.text, row=False)
                continue
            if isinstance(row, str):
                account.skipped[row] += 1
            else:
                found.append(row)
        return found

    def _reject(self, line: int, reason: Reason, column: str, text: str, row: bool = True) -> None:
        """Every bad row passes here; `row` where it is not counted as a row yet."""
        account = self.account
        account.rows += row
        account.bad += 1
        account.bad_by_reason[reason.value] += 1
        reject = Reject(line, column, reason, text[:SHOWN])
        self.on_reject(reject)
        if self.strict:
            raise Strict(reject, self.where(line))
