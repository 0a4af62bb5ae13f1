"""Google cluster traces, version 3 (2019): instance_events and collection_events, exported as CSV with a header.

Source: "Google cluster-usage traces v3" (Wilkes), tables InstanceEvents and CollectionEvents. Times are
microseconds that count from 600 s before the trace; 0 and 2^63 - 1 have the same meaning as in the traces of 2011. An
arrival is a SUBMIT event, given as 0 or by name. The sender is the collection, the category the scheduling class, and
the work hint the requested share of a core (resource_request.cpus). The tenant is the user, which only
collection_events contain: an instance gets the user of its collection if that was read before, otherwise `unknown`.
"""

from __future__ import annotations

from marlstep.traces.formats.base import FixedFormat, RowReaderBase, SkipReason, find_columns
from marlstep.traces.rows import (
    Arrival,
    BadRowError,
    Reason,
    check_width,
    read_decimal,
    read_integer,
    read_nonempty,
)

COLUMNS = (
    "time",
    "type",
    "collection_id",
    "scheduling_class",
    "instance_index",
    "user",
    "resource_request.cpus",
)
SPELLINGS = {
    "time": ("time",),
    "type": ("type",),
    "collection": ("collection_id",),
    "class": ("scheduling_class",),
    "index": ("instance_index",),
    "user": ("user",),
    "cpus": ("resource_request.cpus", "resource_request_cpus", "resource_request__cpus"),
}
REQUIRED_COLUMNS = ("time", "type", "collection", "class")
EVENTS = {
    "SUBMIT", "QUEUE", "ENABLE", "SCHEDULE", "EVICT", "FAIL", "FINISH", "KILL", "LOST", "UPDATE_PENDING",
    "UPDATE_RUNNING",
} | {str(number) for number in range(11)}  # fmt: skip
BEFORE_TRACE, AFTER_TRACE = "0", str((1 << 63) - 1)
MAX_USERS = 200_000  # limit of the collections whose user is remembered


class Reader(RowReaderBase):
    """Reads the rows of one trace."""

    def __init__(self) -> None:
        """Initialize the reader; `header` must be called before `parse`."""
        self._indices: dict[str, int] = {}
        self._width = 0
        self._users: dict[str, str] = {}

    def header(self, cells: list[str]) -> bool:
        """Find the columns in the header; always returns True.

        Raises:
            BadRowError: A required column is missing.
        """
        self._width = 0
        self._indices = find_columns(cells, SPELLINGS, REQUIRED_COLUMNS)
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | SkipReason:
        """Parse one row; return its arrival, or the reason why it is skipped.

        Raises:
            BadRowError: The row is invalid.
        """
        if not self._width:
            raise BadRowError(Reason.NO_HEADER)
        check_width(cells, self._width)
        indices = self._indices
        time, event = cells[indices["time"]], cells[indices["type"]]
        collection = read_nonempty(cells[indices["collection"]], "collection_id")
        if "index" not in indices and "user" in indices and len(self._users) < MAX_USERS:
            self._users.setdefault(collection, cells[indices["user"]])
        if time == BEFORE_TRACE:
            return "before-the-trace"
        if time == AFTER_TRACE:
            return "after-the-trace"
        at_us = read_integer(time, "time")
        if event not in EVENTS:
            raise BadRowError(Reason.NOT_A_NUMBER if event else Reason.EMPTY, "type", event)
        if event not in ("0", "SUBMIT"):
            return "not-a-submission"
        category = read_nonempty(cells[indices["class"]], "scheduling_class")
        user = cells[indices["user"]] if "user" in indices else self._users.get(collection, "")
        index = "i" + cells[indices["index"]] if "index" in indices else "c"
        cpus = cells[indices["cpus"]] if "cpus" in indices else ""
        hint = read_decimal(cpus, "resource_request.cpus") if cpus else 0.0
        return Arrival(at_us, collection, index, user or "unknown", category, hint, line)


FORMAT = FixedFormat("google-2019", COLUMNS, Reader)
