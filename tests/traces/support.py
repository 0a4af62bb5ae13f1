"""Traces and schedules for tests, and the check of a reading's account."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from hypothesis import strategies as st

from marlstep.traces.formats import format_by_name
from marlstep.traces.formats.base import Format
from marlstep.traces.formats.generic import Columns, Generic
from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.reading import Reading
from marlstep.traces.rows import Arrival, Reject
from marlstep.traces.schedule import Schedule, ScheduleWriter

EXAMPLES = Path(__file__).parent.parent.parent / "examples" / "traces"


GENERIC = Generic(Columns("at_ms", 1_000, "site", "kind", "work_ms", "gateway"))


ROW_2011 = "{time},,6250000001,{index},,0,user-1,2,0,0.01,0.01,0.01,0"


def format_of(name: str) -> Format:
    return GENERIC if name == "generic" else format_by_name(name)


def read(path: Path, name: str = "google-2011", **other: Any) -> tuple[Reading, list[Arrival], list[Reject]]:
    rejects: list[Reject] = []
    reading = Reading(format_of(name), [str(path)], on_reject=rejects.append, **other)
    rows = [row for batch in reading.batches() for row in batch]
    return reading, rows, rejects


def read_rows(
    tmp_path: Path, *lines: str | bytes, **other: Any
) -> tuple[Reading, list[Arrival], list[Reject]]:
    path = tmp_path / "trace.csv"
    path.write_bytes(b"\n".join(line if isinstance(line, bytes) else line.encode() for line in lines))
    return read(path, **other)


def check_account(reading: Reading, rows: list[Arrival], rejects: list[Reject]) -> None:
    """Check that each line is a header, empty or a row, and that each row is good or has one reject."""
    account = reading.account
    assert account.lines == account.headers + account.blank + account.rows
    assert account.bad == len(rejects) == account.bad_by_reason.total()
    assert account.arrivals == len(rows) == account.tenants.total() == account.categories.total()
    assert [row.at_us for row in rows] == sorted(row.at_us for row in rows)
    if reading.format.name != "azure-2019":
        skipped = account.skipped.total() - account.skipped["duplicate"]
        assert account.good == account.arrivals + account.duplicates + skipped


REQUEST_CLASSES = ("temp-history", "schedule-save", "setpoint-cmd")


PLANNED_REQUESTS = st.builds(
    PlannedRequest,
    st.integers(0, 10**9),
    st.sampled_from(REQUEST_CLASSES),
    st.sampled_from(["ain-sebaa", "b" * 300, "é", ""]),
    st.integers(1, 2**32 - 1),
    st.integers(0, 2**64 - 1),
)


def write_schedule(path: Path, rows: list[PlannedRequest], **head: Any) -> Path:
    with ScheduleWriter(str(path), head) as writer:
        writer.add(rows)
        writer.finish(head)
    return path


def read_back(path: Path) -> list[PlannedRequest]:
    with Schedule(str(path)) as schedule:
        return list(schedule.rows())
