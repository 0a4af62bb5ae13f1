"""Durations on the command line: `20s`, `1.5h`, `250ms`."""

from __future__ import annotations

import re

import click

UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SPAN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m|h|d)")


class Span(click.ParamType[int]):
    """A duration with a unit, converted to microseconds."""

    name = "span"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Return the duration in microseconds; a default that is an int already is in microseconds, and is kept."""
        if isinstance(value, int):
            return value
        match = SPAN.fullmatch(str(value))
        if match is None:
            self.fail(f"{value!r} is no span: a number and us, ms, s, m, h or d, as 20s", param, ctx)
        return round(float(match[1]) * UNITS_US[match[2]])


SPAN_TYPE = Span()
