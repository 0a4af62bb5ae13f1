"""Idempotency windows of two processes that have read the settings at different moments."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marlstep.core.interfaces import ResponseStatus
from marlstep.units import SECOND, span_us
from tests.support.restart_pair import SimulatedProcess, serving_pair

CLASS = "schedule-save"
SHORT, LONG = 1 * SECOND, 20 * SECOND
RETRY_AFTER_MS = 3_000  # after the short window, within the long one


def set_window(process: SimulatedProcess, window_us: int) -> None:
    core = process.driver.core
    classes = tuple(
        replace(each, idempotency_window_us=window_us) if each.name == CLASS else each
        for each in core.settings.classes
    )
    core.apply_settings(replace(core.settings, classes=classes))


@pytest.mark.parametrize("long_at", ["predecessor", "successor"])
@pytest.mark.parametrize("first_at", ["predecessor", "successor"])
@pytest.mark.parametrize("changes_later", [False, True])
def test_a_retry_at_the_process_with_the_longer_window_does_not_run_the_work_again(
    long_at: str, first_at: str, changes_later: bool
) -> None:
    # Guards against a second run while one process has read new settings and the other has not.
    pair = serving_pair()
    processes = {"predecessor": pair.predecessor, "successor": pair.successor}
    for process in processes.values():
        set_window(process, span_us(SHORT))
    pair.run_for(10_000)  # the windows before are over
    if not changes_later:
        set_window(processes[long_at], span_us(LONG))
    first = pair.submit(processes[first_at], CLASS, "k")
    pair.exchange()
    processes[first_at].driver.end(first)
    pair.run_for(500)
    if changes_later:
        set_window(processes[long_at], span_us(LONG))
    pair.run_for(RETRY_AFTER_MS)
    retry = pair.submit(processes[long_at], CLASS, "k")
    pair.exchange()
    assert sum(pair.run_counts().values()) == 1
    assert processes[long_at].driver.statuses(retry) == [ResponseStatus.DONE]
