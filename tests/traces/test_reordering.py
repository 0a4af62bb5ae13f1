"""Tests of sorting rows within a bounded window."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.traces.reordering import MIN_ROWS_AFTER_GAP, Reorderer
from marlstep.traces.rows import Arrival
from tests.frontends.test_parsers import FIXED


def arrival(at: int, name: str = "") -> Arrival:
    return Arrival(at, "job", name or str(at), "t", "0", 0.0, 0)


@FIXED
@given(
    st.lists(st.integers(0, 400), max_size=150), st.integers(0, 60), st.lists(st.integers(1, 30), max_size=20)
)
def test_rows_are_ordered_within_the_window_and_lateness_depends_on_the_rows_alone(
    times: list[int], window: int, cuts: list[int]
) -> None:
    rows = [arrival(at, f"n{number}") for number, at in enumerate(times)]
    latest = -1
    late: list[Arrival] = []
    kept: list[Arrival] = []
    for row in rows:
        (late if row.at_us < latest - window else kept).append(row)
        latest = max(latest, row.at_us)
    reorderer, found, found_late, at = Reorderer(window), [], [], 0
    for size in [*cuts, len(rows)]:
        reordered = reorderer.push(rows[at : at + size])
        found += reordered.ready
        found_late += reordered.late
        at += size
    found += reorderer.end()
    assert found == sorted(kept) and found_late == late


def test_one_row_beyond_the_gap_does_not_make_the_others_late() -> None:
    # Guards against a single wrong timestamp causing all following rows to be rejected as late.
    day = 86_400_000_000
    for position in (0, 5):
        times = [1_000 + number for number in range(100)]
        times.insert(position, 900 * day)
        reorderer = Reorderer(10)
        reordered = reorderer.push([arrival(at) for at in times])
        assert [row.at_us for row in reordered.jumps] == [900 * day]
        assert len(reordered.ready) + len(reorderer.end()) == 100 and reordered.late == []
    reorderer = Reorderer(10)  # a real gap, confirmed by enough consecutive rows
    times = [*range(5), *range(900 * day, 900 * day + MIN_ROWS_AFTER_GAP)]
    reordered = reorderer.push([arrival(at) for at in times])
    assert reordered.jumps == [] and len(reordered.ready) + len(reorderer.end()) == len(times)


def test_a_full_window_releases_its_older_half_early() -> None:
    reorderer = Reorderer(1_000_000, max_waiting_rows=10_000)
    ready = [
        row
        for start in range(0, 50_000, 500)
        for row in reorderer.push([arrival(at) for at in range(start, start + 500)]).ready
    ]
    assert reorderer.forced_releases > 0 and len(reorderer._waiting) <= 20_000
    assert len(ready + reorderer.end()) == 50_000
