"""Processor sharing: every run receives all of its work, at whatever times the model is advanced."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from marlstep.emulators.processor_sharing import ProcessorSharing
from tests.support.streams import FIXED

MAX_ROUNDING_US = 2  # largest difference between completion times, which are whole microseconds


def completion_times(jobs: list[tuple[int, int]], extra_advances: set[int]) -> dict[str, int]:
    """Run jobs on two cores, and return the time at which each ended by its index.

    Args:
        jobs: start time and work of each job, in microseconds.
        extra_advances: times to which the model is advanced in addition to the starts and completions.
    """
    sharing, ended, now = ProcessorSharing(2, knee=100), [], 0
    pending = sorted((start, number, work) for number, (start, work) in enumerate(jobs))
    while pending or len(sharing):
        next_start = pending[0][0] if pending else None
        due = [time for time in (sharing.next_completion_us(), next_start) if time is not None]
        now = max(now, min([*due, *(time for time in extra_advances if time > now)]))
        ended += [(run_id, now) for run_id in sharing.advance(now)]
        while pending and pending[0][0] <= now:
            _, number, work = pending.pop(0)
            sharing.add(str(number), work)
    assert abs(sharing.busy_us - sum(work for _, work in jobs)) < 1e-3 * len(jobs) + 1
    assert len(ended) == len(dict(ended))
    return dict(ended)


@FIXED
@given(
    st.lists(st.tuples(st.integers(0, 5_000), st.integers(1, 4_000)), min_size=1, max_size=12),
    st.lists(st.integers(1, 3_000), max_size=15),
)
def test_runs_receive_all_their_work_and_end_at_the_same_times_however_often_time_is_advanced(
    jobs: list[tuple[int, int]], gaps: list[int]
) -> None:
    total, extra_advances = 0, set()
    for gap in gaps:
        total += gap
        extra_advances.add(total)
    times, times_with_extra = completion_times(jobs, set()), completion_times(jobs, extra_advances)
    assert times.keys() == times_with_extra.keys() == {str(number) for number in range(len(jobs))}
    assert all(abs(times[run_id] - times_with_extra[run_id]) <= MAX_ROUNDING_US for run_id in times)
    assert all(times[str(number)] >= start + work for number, (start, work) in enumerate(jobs))
