"""Tests of writing and reading compiled schedules, and of detecting corrupt ones."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.traces.mapping import PlannedRequest
from marlstep.traces.schedule import BLOCK_ROWS, Schedule, ScheduleError, ScheduleWriter
from tests.frontends.test_parsers import FIXED
from tests.traces.support import KINDS, PLANNED, read_back, written


@FIXED
@given(st.lists(PLANNED, max_size=40))
def test_a_schedule_reads_back_what_was_written(
    tmp_path_factory: pytest.TempPathFactory, rows: list[PlannedRequest]
) -> None:
    rows.sort()
    path = written(tmp_path_factory.mktemp("s") / "a.sched", rows, seed=3)
    with Schedule(str(path)) as schedule:
        assert schedule.head == {"seed": 3}
        assert list(schedule.rows()) == rows == list(schedule.rows())


def test_many_blocks_are_read_one_at_a_time(tmp_path: Path) -> None:
    rows = [
        PlannedRequest(at, KINDS[at % 3], f"t{at % 50}", 1000 + at, at) for at in range(2 * BLOCK_ROWS + 5)
    ]
    assert read_back(written(tmp_path / "a.sched", rows)) == rows


def test_a_schedule_that_is_truncated_or_changed_anywhere_is_rejected(tmp_path: Path) -> None:
    rows = [PlannedRequest(at * 1000, KINDS[at % 3], "t", 1000, at) for at in range(50)]
    whole = written(tmp_path / "a.sched", rows).read_bytes()
    path = tmp_path / "b.sched"
    for size in [*range(0, 40, 3), *range(4000, len(whole), 17)]:
        path.write_bytes(whole[:size])
        with pytest.raises(ScheduleError, match=r"b\.sched: (cut short|not a compiled)"):
            read_back(path)
    for at in [*range(0, 40, 3), *range(len(whole) - 700, len(whole), 13)]:
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :])
        with pytest.raises(ScheduleError, match=r"b\.sched: "):
            read_back(path)
    path.write_bytes(whole + b"x")
    with pytest.raises(ScheduleError, match="expected no data after the end record"):
        read_back(path)
    path.write_bytes(whole[:8] + b"\x63\x00" + whole[10:])
    with pytest.raises(ScheduleError, match="version 99, written by a newer marlstep"):
        read_back(path)


def test_a_failed_write_leaves_the_old_file_unchanged(tmp_path: Path) -> None:
    path = written(tmp_path / "a.sched", [PlannedRequest(1, "a", "b", 1, 1)])
    before = path.read_bytes()
    with pytest.raises(ScheduleError, match="order"), ScheduleWriter(str(path), {}) as writer:
        writer.add([PlannedRequest(5, "a", "b", 1, 1), PlannedRequest(4, "a", "b", 1, 1)])
    assert path.read_bytes() == before and list(tmp_path.iterdir()) == [path]
