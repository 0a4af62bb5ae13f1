"""Google cluster traces, version 3 (2019): instance_events and collection_events, exported as CSV with header.

Source: "Google cluster-usage traces v3" (Wilkes), tables InstanceEvents and CollectionEvents. Times are
microseconds, from 600 s before the trace; 0 and 2^63 - 1 as in 2011. An arrival is a SUBMIT event, written as
0 or by name. The sender is the collection, the kind the scheduling class, and the work hint the requested share
of a core (resource_request.cpus). Only collection_events name the user; instances of collections that were read
before get their user as tenant, and others the tenant `unknown`.
"""

from __future__ import annotations

from marlstep.traces.formats.base import PlainReader, Skip, places
from marlstep.traces.rows import Arrival, BadRow, Reason, decimal, whole, width, word

COLUMNS = (
    "time",
    "type",
    "collection_id",
    "scheduling_class",
    "instance_index",
    "user",
    "resource_request.cpus",
)
NAMES = {
    "time": ("time",),
    "type": ("type",),
    "collection": ("collection_id",),
    "class": ("scheduling_class",),
    "index": ("instance_index",),
    "user": ("user",),
    "cpus": ("resource_request.cpus", "resource_request_cpus", "resource_request__cpus"),
}
NEEDED = ("time", "type", "collection", "class")
EVENTS = {
    "SUBMIT", "QUEUE", "ENABLE", "SCHEDULE", "EVICT", "FAIL", "FINISH", "KILL", "LOST", "UPDATE_PENDING",
    "UPDATE_RUNNING",
} | {str(number) for number in range(11)}  # fmt: skip
BEFORE, AFTER = "0", str((1 << 63) - 1)
MOST_USERS = 200_000  # collections whose user is kept


class Reader(PlainReader):
    def __init__(self) -> None:
        self._at: dict[str, int] = {}
        self._width = 0
        self._users: dict[str, str] = {}

    def header(self, cells: list[str]) -> bool:
        self._width = 0
        self._at = places(cells, NAMES, NEEDED)
        self._width = len(cells)
        return True

    def parse(self, cells: list[str], line: int) -> Arrival | Skip:
        if not self._width:
            raise BadRow(Reason.NO_HEADER)
        width(cells, self._width)
        at = self._at
        time, event = cells[at["time"]], cells[at["type"]]
        collection = word(cells[at["collection"]], "collection_id")
        if "index" not in at and "user" in at and len(self._users) < MOST_USERS:
            self._users.setdefault(collection, cells[at["user"]])
        if time == BEFORE:
            return "before-the-trace"
        if time == AFTER:
            return "after-the-trace"
        when = whole(time, "time")
        if event not in EVENTS:
            raise BadRow(Reason.NOT_A_NUMBER if event else Reason.EMPTY, "type", event)
        if event not in ("0", "SUBMIT"):
            return "not-a-submission"
        kind = word(cells[at["class"]], "scheduling_class")
        user = cells[at["user"]] if "user" in at else self._users.get(collection, "")
        index = "i" + cells[at["index"]] if "index" in at else "c"
        cpus = cells[at["cpus"]] if "cpus" in at else ""
        hint = decimal(cpus, "resource_request.cpus") if cpus else 0.0
        return Arrival(when, collection, index, user or "unknown", kind, hint, line)


class Google2019:
    name = "google-2019"
    columns = COLUMNS

    def make(self, seed: int) -> Reader:
        return Reader()


FORMAT = Google2019()
