"""Reading of a trace: yields the arrivals of all parts in order of time, and accounts for every line.

Each line that is neither a header nor empty is a row, and each row is good or bad: `rows == good + bad`. Some good
rows are not arrivals (`skipped`, by reason) or are duplicates. In formats whose rows hold counts (azure-2019), one
row yields many arrivals.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from marlstep.errors import MarlstepError
from marlstep.traces.account import Account
from marlstep.traces.formats import WINDOWS_US
from marlstep.traces.formats.base import Format, RowReader
from marlstep.traces.lines import BOM, MAX_LINE_BYTES, LineSplitter, split_cells, split_plain_lines
from marlstep.traces.reordering import WINDOW_US, Reorderer
from marlstep.traces.rows import MAX_SHOWN_TEXT, Arrival, BadRowError, Reason, Reject
from marlstep.traces.sources import STANDARD_INPUT, open_part, unpack

BATCH_SIZE = 4_096  # arrivals in one batch at the end of a part
BOM_BYTES = BOM.encode()
DUPLICATE = "duplicate"  # the reason with which formats skip repeated rows
WINDOW_FULL_NOTE = "reorder-window-full"


class StrictReadingError(MarlstepError):
    """A row is bad, and the reading is strict.

    Attributes:
        reject: The first bad row.
    """

    def __init__(self, reject: Reject, place: str) -> None:
        """Initialize the error for a bad row at `place`, given as `part:line`."""
        super().__init__(f"{place}: {reject.describe()}")
        self.reject = reject


def _ignore(_: object) -> None:
    """Do nothing; the default of the callbacks."""


@dataclass(slots=True)
class Reading:
    """One reading of a trace; `batches` may be called only once.

    Attributes:
        format: Format of the trace.
        parts: Paths of the parts; `-` is standard input.
        seed: Seed for values that the trace does not state, such as the times within a minute in azure-2019.
        window_us: How far out of order a row may be, in microseconds; None for the default of the format.
        is_strict: Whether the first bad row ends the reading.
        on_reject: Called with each bad row, in the order in which they are found.
        on_progress: Called with the number of bytes of each chunk, after decompression.
        on_raw: Called with each chunk of bytes before decompression; None if not needed.
        max_line_bytes: Maximum length of a line, in bytes; a longer line is a bad row.
        account: Counts of what was read so far.
    """

    format: Format
    parts: Sequence[str]
    seed: int = 0
    window_us: int | None = None
    is_strict: bool = False
    on_reject: Callable[[Reject], None] = _ignore
    on_progress: Callable[[int], None] = _ignore
    on_raw: Callable[[bytes], None] | None = None
    max_line_bytes: int = MAX_LINE_BYTES
    account: Account = field(default_factory=Account)
    # Number of the first line, and name, of each part.
    _part_starts: list[tuple[int, str]] = field(default_factory=list)
    _is_at_start: bool = True  # no header or row of the current part has been read yet

    def place(self, line: int) -> str:
        """Return `part:line` for a line number that counts over all parts."""
        name, start = "?", 0
        for first, part in self._part_starts:
            if first <= line:
                name, start = part, first
        return f"{name}:{line - start + 1}"

    def batches(self) -> Iterator[list[Arrival]]:
        """Yield arrivals in order of time, in batches of varying size.

        Raises:
            SourceError: A part can't be opened or read.
            StrictReadingError: A row is bad and the reading is strict.
        """
        window_us = self.window_us
        if window_us is None:
            window_us = WINDOWS_US.get(self.format.name, WINDOW_US)
        reorderer = Reorderer(window_us)
        reader = self.format.make(self.seed)
        try:
            for part in self.parts:
                for found in self._read_part(part, reader):
                    yield from self._reorder(reorderer, found)
            ready = reorderer.end()
            self.account.add(ready)
            if ready:
                yield ready
        finally:
            self._record_order_counts(reorderer)

    def _record_order_counts(self, reorderer: Reorderer) -> None:
        account = self.account
        account.out_of_order = reorderer.out_of_order
        account.duplicates = reorderer.duplicates + account.skipped[DUPLICATE]
        if reorderer.forced_releases:
            account.notes[WINDOW_FULL_NOTE] = reorderer.forced_releases

    def _reorder(self, reorderer: Reorderer, found: list[Arrival]) -> Iterator[list[Arrival]]:
        reordered = reorderer.push(found)
        for reason, rows in ((Reason.LATE, reordered.late), (Reason.JUMP, reordered.jumps)):
            for row in rows:
                self._reject(row.line, BadRowError(reason, text=f"{row.at_us} us"))
        self.account.add(reordered.ready)
        if reordered.ready:
            yield reordered.ready

    def _read_part(self, name: str, reader: RowReader) -> Iterator[list[Arrival]]:
        yield from self._read_lines(name, reader)
        batch: list[Arrival] = []
        for arrival in reader.end_of_part():
            batch.append(arrival)
            if len(batch) >= BATCH_SIZE:
                yield batch
                batch = []
        yield batch

    def _read_lines(self, name: str, reader: RowReader) -> Iterator[list[Arrival]]:
        account = self.account
        self._part_starts.append((account.lines + 1, name))
        self._is_at_start = True
        splitter = LineSplitter(self.max_line_bytes)
        stream = open_part(name)
        try:
            for data in unpack(stream, name, self.on_raw):
                self.on_progress(len(data))
                yield self._read_rows(self._after_header(splitter.feed(data), reader), reader)
            rest = splitter.end()
            if rest is not None:
                yield self._read_rows(self._after_header([rest], reader), reader)
        except BadRowError as error:  # the stream is truncated or corrupt; an incomplete line is dropped
            account.lines += 1
            account.rows += 1
            self._reject(account.lines, error)
        finally:
            if name != STANDARD_INPUT:
                stream.close()

    def _after_header(self, lines: list[bytes | None], reader: RowReader) -> list[bytes | None]:
        """Return the lines without the header of the part and without empty lines before it."""
        while self._is_at_start and lines:
            first = lines[0]
            if first is not None and first.startswith(BOM_BYTES):
                self.account.notes["bom"] += 1
                first = first[len(BOM_BYTES) :]
                lines = [first, *lines[1:]]
            if first is not None and not first.strip():
                self.account.lines += 1
                self.account.blank += 1
                lines = lines[1:]
                continue
            self._is_at_start = False
            if self._try_header(first, reader):
                return lines[1:]
        return lines

    def _try_header(self, line: bytes | None, reader: RowReader) -> bool:
        """Return whether the line needs no further processing: it is a header, or a header that was rejected."""
        account = self.account
        try:
            is_header = reader.header(split_cells(line))
        except BadRowError as error:
            account.lines += 1
            account.rows += 1
            self._reject(account.lines, error)
            return True
        if is_header:
            account.lines += 1
            account.headers += 1
        return is_header

    def _read_rows(self, lines: list[bytes | None], reader: RowReader) -> list[Arrival]:
        texts = split_plain_lines(lines)
        return self._read_general(lines, reader) if texts is None else self._read_plain(texts, reader)

    def _read_plain(self, texts: list[str], reader: RowReader) -> list[Arrival]:
        """Read lines that `split_plain_lines` has accepted; this is the fast path."""
        account = self.account
        found: list[Arrival] = []
        append, parse, skipped = found.append, reader.parse, account.skipped
        number = account.lines
        account.lines += len(texts)
        for text in texts:
            number += 1
            if not text:
                account.blank += 1
                continue
            try:
                row = parse(text.split(","), number)
            except BadRowError as error:
                self._reject(number, error)
                continue
            if row.__class__ is str:
                skipped[row] += 1
            else:
                append(row)  # type: ignore[arg-type]
        account.rows += len(texts) - sum(not text for text in texts)
        return found

    def _read_general(self, lines: list[bytes | None], reader: RowReader) -> list[Arrival]:
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
                row = reader.parse(split_cells(line), account.lines)
            except BadRowError as error:
                self._reject(account.lines, error)
                continue
            if isinstance(row, str):
                account.skipped[row] += 1
            else:
                found.append(row)
        return found

    def _reject(self, line: int, error: BadRowError) -> None:
        """Count and report a bad row.

        Raises:
            StrictReadingError: The reading is strict.
        """
        account = self.account
        account.bad += 1
        account.bad_by_reason[error.reason.value] += 1
        reject = Reject(line, error.column, error.reason, error.text[:MAX_SHOWN_TEXT])
        self.on_reject(reject)
        if self.is_strict:
            raise StrictReadingError(reject, self.place(line))
