"""What a request asks of an emulated machine, as the request's body carries it. Pure."""

from __future__ import annotations

from typing import NamedTuple


class WorkPlan(NamedTuple):
    """The work of one request: how much, and how many downstream calls divide it."""

    number: int  # identifies the piece of work; every attempt at it carries the same
    work_us: int  # processor time in microseconds on a core of speed 1
    calls: int = 0

    def to_body(self) -> bytes:
        """Return the request body that `parse_work_plan` reads."""
        return b"n=%d work=%d calls=%d" % self


def parse_work_plan(body: bytes) -> WorkPlan | None:
    """Return the plan that a request body holds; None if `WorkPlan.to_body` did not write it."""
    try:
        parts = dict(part.split("=", 1) for part in body.decode("ascii").split(" "))
        return WorkPlan(int(parts["n"]), int(parts["work"]), int(parts["calls"]))
    except (ValueError, KeyError, UnicodeDecodeError):
        return None
