"""Output of commands: JSON and text tables."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from inspect import cleandoc
from typing import Any, TypeVar

import click

JsonObject = dict[str, Any]
Row = Sequence[object]
Command = TypeVar("Command", bound=Callable[..., object])

EMPTY_CELL = "-"
COLUMN_GAP = "  "


def print_json(value: object) -> None:
    """Print one JSON value on a line of its own."""
    click.echo(json.dumps(value))


def render_table(headers: Sequence[str], rows: Sequence[Row]) -> str:
    """Render a text table with each column as wide as its widest cell; None and an empty text are shown as `-`."""
    cells = [list(headers), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headers))]
    return "\n".join(_render_row(row, widths) for row in cells)


def _cell(value: object) -> str:
    return EMPTY_CELL if value in (None, "") else str(value)


def _render_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()


def unwrapped_help(*lines: str) -> Callable[[Command], Command]:
    r"""Append lines to a command's help text that click does not wrap.

    Click does not wrap a paragraph that begins with a backspace (`\b`) alone on a line. The decorator adds it, since
    a docstring with that character is hard to read.
    """

    def append(command: Command) -> Command:
        paragraph = "\n".join(("\b", *lines))
        command.__doc__ = f"{cleandoc(command.__doc__ or '')}\n\n{paragraph}"
        return command

    return append
