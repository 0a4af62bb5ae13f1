"""Tests of writing and reading compiled schedules, and of detecting corrupt ones."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.schedule import BLOCK_ROWS, Schedule, ScheduleError, ScheduleWriter
from tests.frontends.test_parsers import FIXED
from tests.traces.support import PLANNED_REQUESTS, REQUEST_CLASSES, read_back, write_schedule


@FIXED
@given(st.lists(PLANNED_REQUESTS, max_size=40))
def test_a_schedule_reads_back_what_was_written(
    tmp_path_factory: pytest.TempPathFactory, rows: list[PlannedRequest]
) -> None:
    rows.sort()
    path = write_schedule(tmp_path_factory.mktemp("s") / "a.sched", rows, seed=3)
    with Schedule(str(path)) as schedule:
        assert schedule.header == {"seed": 3}
        assert list(schedule.rows()) == rows == list(schedule.rows())


def test_many_blocks_are_read_one_at_a_time(tmp_path: Path) -> None:
    rows = [
        PlannedRequest(at, REQUEST_CLASSES[at % 3], f"t{at % 50}", 1000 + at, at)
        for at in range(2 * BLOCK_ROWS + 5)
    ]
    assert read_back(write_schedule(tmp_path / "a.sched", rows)) == rows


def test_a_schedule_that_is_truncated_or_changed_anywhere_is_rejected(tmp_path: Path) -> None:
    rows = [PlannedRequest(at * 1000, REQUEST_CLASSES[at % 3], "t", 1000, at) for at in range(50)]
    content = write_schedule(tmp_path / "a.sched", rows).read_bytes()
    path = tmp_path / "b.sched"
    for size in [*range(0, 40, 3), *range(4000, len(content), 17)]:
        path.write_bytes(content[:size])
        with pytest.raises(ScheduleError, match=r"b\.sched: (cut short|not a compiled)"):
            read_back(path)
    for at in [*range(0, 40, 3), *range(len(content) - 700, len(content), 13)]:
        path.write_bytes(content[:at] + bytes([content[at] ^ 0x41]) + content[at + 1 :])
        with pytest.raises(ScheduleError, match=r"b\.sched: "):
            read_back(path)
    path.write_bytes(content + b"x")
    with pytest.raises(ScheduleError, match="expected no data after the end record"):
        read_back(path)
    path.write_bytes(content[:8] + b"\x63\x00" + content[10:])
    with pytest.raises(ScheduleError, match="version 99, written by a newer marlstep"):
        read_back(path)


def test_a_failed_write_leaves_the_old_file_unchanged(tmp_path: Path) -> None:
    path = write_schedule(tmp_path / "a.sched", [PlannedRequest(1, "a", "b", 1, 1)])
    before = path.read_bytes()
    with pytest.raises(ScheduleError, match="order"), ScheduleWriter(str(path), {}) as writer:
        writer.add([PlannedRequest(5, "a", "b", 1, 1), PlannedRequest(4, "a", "b", 1, 1)])
    assert path.read_bytes() == before and list(tmp_path.iterdir()) == [path]
