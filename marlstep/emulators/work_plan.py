"""The work plan that a request body holds for an emulated machine. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class WorkPlan(NamedTuple):
    """The work of one request: its core time and the number of its downstream calls."""

    number: int  # identifies the piece of work; the same for every attempt at it
    work_us: int  # core time in microseconds at speed 1
    calls: int = 0

    def to_body(self) -> bytes:
        """Return the request body, which `parse_work_plan` reads."""
        return b"n=%d work=%d calls=%d" % self


def parse_work_plan(body: bytes) -> WorkPlan | None:
    """Return the plan in a request body; None if the body is not in the format of `WorkPlan.to_body`."""
    try:
        parts = dict(part.split("=", 1) for part in body.decode("ascii").split(" "))
        return WorkPlan(int(parts["n"]), int(parts["work"]), int(parts["calls"]))
    except (ValueError, KeyError, UnicodeDecodeError):
        return None
