"""Bytes to lines and lines to cells; pure.

A record is one line. None of the formats has a line break inside a cell, so a quote that is still open at the
end of its line costs that line alone, and what was read always adds up: each line is a row or a reject.
"""

from __future__ import annotations

import csv

from marlstep.traces.rows import BadRowError, Reason

MAX_LINE_BYTES = 64 * 1024  # bytes; the longest line of a format, 1,440 counts, has about 10 KiB
BOM = "\ufeff"


class LineCutter:
    """Cuts a stream into lines, and keeps no more of one than a limit.

    Attributes:
        max_line_bytes: a line that is longer comes as None, once.
    """

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        """Start at the beginning of a line."""
        self.max_line_bytes = max_line_bytes
        self._rest = b""
        self._skipping = False  # inside a line whose start was given up

    def feed(self, data: bytes) -> list[bytes | None]:
        """Return the lines that are complete, without their line breaks."""
        lines: list[bytes | None] = list((self._rest + data).split(b"\n"))
        self._rest = lines.pop() or b""
        if self._skipping and lines:  # the end of the line that was given up
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
        """Return what stands behind the last line break; None where nothing does."""
        rest, self._rest = self._rest, b""
        skipped, self._skipping = self._skipping, False
        return rest if rest and not skipped else None


def split_plain_lines(lines: list[bytes | None]) -> list[str] | None:
    """Return all lines as text where none needs a closer look, as nearly all that is read; else None."""
    if None in lines:
        return None
    block = b"\n".join(lines)  # type: ignore[arg-type]
    if b'"' in block or b"\0" in block or b"\r" in block or not block.isascii():
        return None
    return block.decode("ascii").split("\n") if lines else []


def split_cells(line: bytes | None) -> list[str]:
    """Return the cells of any line. Raises BadRowError."""
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
        still_open = "unexpected end of data" in str(error)
        raise BadRowError(Reason.OPEN_QUOTE if still_open else Reason.BAD_QUOTE, text=text) from None
    except ValueError:  # a bare carriage return inside the line
        raise BadRowError(Reason.BAD_QUOTE, text=text) from None
    return row
