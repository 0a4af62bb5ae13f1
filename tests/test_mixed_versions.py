"""The checks of the mixed-version benchmark: the failures that they have to find."""

from __future__ import annotations

import logging
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.mixed.cluster import STORE_IN_USE
from benchmarks.mixed.front_end import CLASS_BY_NAME, Attempt, Record, Response, judge
from benchmarks.mixed.scenario import Result
from benchmarks.mixed.server_process import read_log
from benchmarks.mixed.task_record import count_crossings, judge_acts
from marlstep.__main__ import LOG_FORMAT
from marlstep.cluster.store_errors import StoreRefusedError
from marlstep.fault_injection.effects import Effect

ROOT = Path(__file__).parent.parent
KILLED_AT = 100.0


def sent(record: Record, request_class: str, *statuses: str) -> list[Attempt]:
    """Record one piece of work with an attempt per status. An empty status stands for no response."""
    work = record.new_work(CLASS_BY_NAME[request_class])
    attempts = [record.new_attempt(work) for _ in statuses]
    for attempt, status in zip(attempts, statuses, strict=True):
        if status:
            attempt.responses.append(Response(status, b"full %d" % work.number if status == "done" else b""))
    return attempts


def runs(**counts: int) -> Counter[tuple[str, int]]:
    """Return the run counts of the first piece of work of each class; class names have underscores for hyphens."""
    return Counter({(name.replace("_", "-"), 1): count for name, count in counts.items()})


def test_a_load_without_a_fault_is_held() -> None:
    record = Record()
    sent(record, "setpoint-cmd", "done", "error")
    verdict = judge(record, runs(setpoint_cmd=1), None)
    assert verdict.failures == [] and verdict.counts["repeated_work"] == 1


@pytest.mark.parametrize("kind", ["setpoint-cmd", "meter-reading"])
def test_work_with_an_effect_that_ran_twice_is_found(kind: str) -> None:
    record = Record()
    sent(record, kind, "done", "done")
    assert judge(record, Counter({(kind, 1): 2}), None).failures == [f"{kind} 1 ran 2 times"]


def test_a_second_answer_and_an_answer_to_nothing_are_found() -> None:
    record = Record()
    [one] = sent(record, "schedule-save", "done")
    one.responses.append(one.responses[0])
    record.unexpected_responses.append("[b'9', b'done']")
    failures = judge(record, runs(schedule_save=1), None).failures
    assert len(failures) == 2 and "to no request" in failures[0] and "answered 2 times" in failures[1]


def test_the_result_of_other_work_and_a_result_of_no_run_are_found() -> None:
    record = Record()
    [one] = sent(record, "schedule-save", "done")
    one.responses[0] = Response("done", b"full 7")
    failures = judge(record, Counter(), None).failures
    assert any("result of other work" in fault for fault in failures)
    assert any("never ran" in fault for fault in failures)


def test_an_error_is_a_failure_but_for_a_repeat_whose_result_is_not_shared() -> None:
    for kind, words, failures in (
        ("temp-history", ("error",), 1),
        ("setpoint-cmd", ("error",), 1),
        ("setpoint-cmd", ("done", "error"), 0),
        ("meter-reading", ("done", "error"), 1),
    ):
        record = Record()
        sent(record, kind, *words)
        assert len(judge(record, Counter({(kind, 1): 1}), None).failures) == failures, kind


def test_a_lost_answer_is_a_failure_but_for_one_that_went_with_the_killed_process() -> None:
    for lost_at, killed_at, failures in (
        (KILLED_AT + 0.1, KILLED_AT, 0),
        (KILLED_AT + 0.1, None, 1),
        (KILLED_AT - 0.1, KILLED_AT, 1),
        (KILLED_AT + 5.0, KILLED_AT, 1),
        (None, KILLED_AT, 1),
    ):
        record = Record()
        [one] = sent(record, "temp-history", "")
        one.lost_at = lost_at
        assert len(judge(record, Counter(), killed_at).failures) == failures, (lost_at, killed_at)


def test_a_cancelled_request_is_owed_no_response_and_its_work_still_runs_once() -> None:
    for count, failures in ((1, 0), (2, 1)):
        record = Record()
        first, _ = sent(record, "meter-reading", "", "done")
        first.cancelled = True
        verdict = judge(record, runs(meter_reading=count), None)
        assert len(verdict.failures) == failures and verdict.counts["taken_back"] == 1


def test_too_many_rejections_are_a_failure_where_no_process_was_killed() -> None:
    record = Record()
    for _ in range(2):
        sent(record, "temp-history", "later")
    assert len(judge(record, Counter(), None).failures) == 1
    assert judge(record, Counter(), KILLED_AT).failures == []


def act(node: str, token: int, run: int, began: int, task: str = "report") -> Effect:
    return Effect(task, node, token, run, began, began + 10, True)


def test_acts_that_cross_the_versions_are_counted_and_held_where_tokens_grow() -> None:
    acts = [act("n1/a", 1, 1, 0), act("n2/b", 2, 2, 20), act("n1/a", 3, 3, 40)]
    assert judge_acts(acts, frozenset({"report"})) == []
    crossings = count_crossings(acts, {"n1/a": "old", "n2/b": "new"})
    assert crossings == {("report", "old to new"): 1, ("report", "new to old"): 1}


@pytest.mark.parametrize(
    "second",
    [
        act("n2/b", 1, 2, 20),  # the fencing token of another node
        act("n2/b", 2, 1, 20),  # a run that has been done before
        act("n2/b", 2, 2, 5),  # overlaps the first
        act("n1/a", 1, 1, 20),  # repeated under the same lease grant
    ],
)
def test_acts_that_must_not_be_are_found(second: Effect) -> None:
    assert judge_acts([act("n1/a", 1, 1, 0), second], frozenset({"report"}))


def test_errors_and_tracebacks_of_a_log_are_found_and_warnings_counted(tmp_path: Path) -> None:
    path = tmp_path / "node.log"
    path.write_text(
        "2026-01-01 00:00:00,000 INFO marlstep: serves\n"
        "2026-01-01 00:00:00,000 WARNING marlstep: late by 3 ms\n"
        "2026-01-01 00:00:00,000 WARNING marlstep: late by 4 ms\n"
        "2026-01-01 00:00:00,000 ERROR marlstep: the line is dropped\n"
        "Traceback (most recent call last):\n"
    )
    found = read_log(path)
    assert len(found.errors) == 2 and found.warnings == {"marlstep: late by N ms": 2}
    result = Result("name")
    result.check_processes([], {"node": found})
    assert not result.held and len(result.failures) == 2


STORE_IN_USE_BEFORE = "fleet: this node can't vote: /s/voter.sqlite is in use by another process"
STORE_IN_USE_NOW = (
    "fleet: store not opened, node can't vote retry_in=0:00:01 "
    "error=/s/voter.sqlite is in use by another process"
)


@pytest.mark.parametrize("text", [STORE_IN_USE_BEFORE, STORE_IN_USE_NOW])
def test_a_store_found_in_use_is_a_warning_only_where_it_is_expected(tmp_path: Path, text: str) -> None:
    path = tmp_path / "node.log"
    path.write_text(f"2026-01-01 00:00:00,000 ERROR marlstep.fleet.part: {text}\n")
    expected = read_log(path, STORE_IN_USE)
    assert expected.errors == [] and expected.warnings.total() == 1
    assert next(iter(expected.warnings)).endswith("voter.sqlite is in use by another process")
    unexpected = read_log(path)
    assert len(unexpected.errors) == 1 and not unexpected.warnings


def test_another_fault_of_the_store_is_an_error_also_where_a_store_in_use_is_expected(tmp_path: Path) -> None:
    path = tmp_path / "node.log"
    error = StoreRefusedError(Path("/s/voter.sqlite"), "has format 9, and this program reads up to 1")
    path.write_text(f"2026-01-01 00:00:00,000 ERROR marlstep.cluster: store not opened error={error}\n")
    assert len(read_log(path, STORE_IN_USE).errors) == 1


def test_a_line_in_the_layout_of_the_program_is_read(tmp_path: Path) -> None:
    error = StoreRefusedError(Path("/s/voter.sqlite"), "is in use by another process")
    arguments = ("marlstep.cluster", logging.ERROR, __file__, 1, "store not opened error=%s", (error,), None)
    path = tmp_path / "node.log"
    path.write_text(logging.Formatter(LOG_FORMAT).format(logging.LogRecord(*arguments)) + "\n")
    found = read_log(path, STORE_IN_USE)
    assert found.errors == [] and found.warnings.total() == 1


def test_a_folder_that_is_no_checkout_can_not_be_run(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "benchmarks.mixed_versions", "--old", str(tmp_path), "upgrade"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2 and '"could not run"' in done.stdout
