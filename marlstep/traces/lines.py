"""Splitting of bytes into lines and of lines into cells. No I/O.

A record is one line. No format has line breaks inside a cell, so an unterminated quote affects only its own line,
and every line is accounted for as a row or a reject.
"""

from __future__ import annotations

import csv

from marlstep.traces.rows import BadRowError, Reason

MAX_LINE_BYTES = 64 * 1024  # the longest line of any format (1,440 counts in azure-2019) has about 10 KiB
BOM = "\ufeff"


class LineSplitter:
    """Splits a byte stream into lines, with a limit on the bytes buffered for one line.

    Attributes:
        max_line_bytes: Maximum length of a line, in bytes; a longer line is returned as a single None.
    """

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        """Initialize the splitter with an empty buffer."""
        self.max_line_bytes = max_line_bytes
        self._rest = b""
        self._skipping = False  # inside an overlong line whose start was discarded

    def feed(self, data: bytes) -> list[bytes | None]:
        """Return the lines that `data` completes, without their line breaks."""
        lines: list[bytes | None] = list((self._rest + data).split(b"\n"))
        self._rest = lines.pop() or b""
        if self._skipping and lines:  # the end of the overlong line, already reported as None
            lines.pop(0)
            self._skipping = False
        elif self._skipping:
            self._rest = b""
        if lines and max(map(len, lines)) > self.max_line_bytes:  # type: ignore[arg-type]
            lines = [None if line is None or len(line) > self.max_line_bytes else line for line in lines]
        if len(self._rest) > self.max_line_bytes:
            lines.append(None)
            self._rest, self._skipping = b"", True
        return lines

    def end(self) -> bytes | None:
        """Return the bytes after the last line break; None if there are none."""
        rest, self._rest = self._rest, b""
        skipped, self._skipping = self._skipping, False
        return rest if rest and not skipped else None


def split_plain_lines(lines: list[bytes | None]) -> list[str] | None:
    """Return all lines as text if none has quotes, NUL, CR or non-ASCII bytes, which is the common case; else None."""
    if None in lines:
        return None
    block = b"\n".join(lines)  # type: ignore[arg-type]
    if b'"' in block or b"\0" in block or b"\r" in block or not block.isascii():
        return None
    return block.decode("ascii").split("\n") if lines else []


def split_cells(line: bytes | None) -> list[str]:
    """Return the cells of any line; None stands for an overlong line.

    Raises:
        BadRowError: The line is too long, is not UTF-8, contains NUL or has invalid quotes.
    """
    if line is None:
        raise BadRowError(Reason.TOO_LONG)
    if b"\0" in line:
        raise BadRowError(Reason.NUL, text=line.decode("utf-8", "replace"))
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError:
        raise BadRowError(Reason.NOT_UTF8, text=line.decode("utf-8", "replace")) from None
    text = text.removesuffix("\r")
    if '"' not in text:
        return text.split(",")
    try:
        [row] = csv.reader([text], strict=True)
    except csv.Error as error:
        is_unterminated = "unexpected end of data" in str(error)
        raise BadRowError(Reason.OPEN_QUOTE if is_unterminated else Reason.BAD_QUOTE, text=text) from None
    except ValueError:  # a bare carriage return inside the line
        raise BadRowError(Reason.BAD_QUOTE, text=text) from None
    return row
