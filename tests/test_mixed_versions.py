"""The checks of the mixed-version benchmark find each kind of failure."""

from __future__ import annotations

import logging
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.mixed.cluster import STORE_IN_USE
from benchmarks.mixed.front_end import CLASS_BY_NAME, Attempt, Record, Response, check_record
from benchmarks.mixed.scenario import Result
from benchmarks.mixed.server_process import read_log
from benchmarks.mixed.task_record import check_effects, count_crossings
from marlstep.__main__ import LOG_FORMAT
from marlstep.cluster.store_errors import StoreRefusedError
from marlstep.fault_injection.effects import Effect

ROOT = Path(__file__).parent.parent
KILLED_AT = 100.0


def add_work(record: Record, request_class: str, *statuses: str) -> list[Attempt]:
    """Record a work item with one attempt per status; an empty status means that there is no response."""
    work = record.add_work_item(CLASS_BY_NAME[request_class])
    attempts = [record.add_attempt(work) for _ in statuses]
    for attempt, status in zip(attempts, statuses, strict=True):
        if status:
            attempt.responses.append(Response(status, b"full %d" % work.number if status == "done" else b""))
    return attempts


def count_runs(**counts: int) -> Counter[tuple[str, int]]:
    """Return run counts of the first work item of each class; class names have underscores for hyphens."""
    return Counter({(name.replace("_", "-"), 1): count for name, count in counts.items()})


def test_a_load_without_a_fault_has_no_failures() -> None:
    record = Record()
    add_work(record, "setpoint-cmd", "done", "error")
    verdict = check_record(record, count_runs(setpoint_cmd=1), None)
    assert verdict.failures == [] and verdict.counts["repeated_work"] == 1


@pytest.mark.parametrize("request_class", ["setpoint-cmd", "meter-reading"])
def test_work_with_an_effect_that_ran_twice_is_a_failure(request_class: str) -> None:
    record = Record()
    add_work(record, request_class, "done", "done")
    assert check_record(record, Counter({(request_class, 1): 2}), None).failures == [
        f"{request_class} 1 ran 2 times"
    ]


def test_a_second_response_and_a_response_to_no_request_are_failures() -> None:
    record = Record()
    [attempt] = add_work(record, "schedule-save", "done")
    attempt.responses.append(attempt.responses[0])
    record.unexpected_responses.append("[b'9', b'done']")
    failures = check_record(record, count_runs(schedule_save=1), None).failures
    assert len(failures) == 2 and "to no request" in failures[0] and "answered 2 times" in failures[1]


def test_a_result_of_other_work_and_a_result_without_a_run_are_failures() -> None:
    record = Record()
    [attempt] = add_work(record, "schedule-save", "done")
    attempt.responses[0] = Response("done", b"full 7")
    failures = check_record(record, Counter(), None).failures
    assert any("result of other work" in failure for failure in failures)
    assert any("never ran" in failure for failure in failures)


def test_an_error_is_a_failure_except_for_a_repeat_whose_result_is_not_shared() -> None:
    for request_class, statuses, failures in (
        ("temp-history", ("error",), 1),
        ("setpoint-cmd", ("error",), 1),
        ("setpoint-cmd", ("done", "error"), 0),
        ("meter-reading", ("done", "error"), 1),
    ):
        record = Record()
        add_work(record, request_class, *statuses)
        assert len(check_record(record, Counter({(request_class, 1): 1}), None).failures) == failures, (
            request_class
        )


def test_an_error_is_a_failure_except_for_work_with_an_effect_once_the_process_that_decides_was_killed() -> (
    None
):
    for request_class, sent_at, keys_lost_at, failures in (
        ("setpoint-cmd", KILLED_AT + 0.1, KILLED_AT, 0),
        ("setpoint-cmd", KILLED_AT - 2.0, KILLED_AT, 1),
        ("setpoint-cmd", KILLED_AT + 0.1, None, 1),
        ("temp-history", KILLED_AT + 0.1, KILLED_AT, 1),
    ):
        record = Record()
        [attempt] = add_work(record, request_class, "error")
        attempt.sent_at = sent_at
        verdict = check_record(record, Counter(), KILLED_AT, keys_lost_at)
        assert len(verdict.failures) == failures, (request_class, sent_at, keys_lost_at)


def test_a_lost_response_is_a_failure_unless_its_process_was_killed_just_before() -> None:
    for lost_at, killed_at, failures in (
        (KILLED_AT + 0.1, KILLED_AT, 0),
        (KILLED_AT + 0.1, None, 1),
        (KILLED_AT - 0.1, KILLED_AT, 1),
        (KILLED_AT + 5.0, KILLED_AT, 1),
        (None, KILLED_AT, 1),
    ):
        record = Record()
        [attempt] = add_work(record, "temp-history", "")
        attempt.lost_at = lost_at
        assert len(check_record(record, Counter(), killed_at).failures) == failures, (lost_at, killed_at)


def test_a_cancelled_request_needs_no_response_but_its_work_may_run_only_once() -> None:
    for count, failures in ((1, 0), (2, 1)):
        record = Record()
        first, _ = add_work(record, "meter-reading", "", "done")
        first.cancelled = True
        verdict = check_record(record, count_runs(meter_reading=count), None)
        assert len(verdict.failures) == failures and verdict.counts["taken_back"] == 1


def test_too_many_rejections_are_a_failure_where_no_process_was_killed() -> None:
    record = Record()
    for _ in range(2):
        add_work(record, "temp-history", "later")
    assert len(check_record(record, Counter(), None).failures) == 1
    assert check_record(record, Counter(), KILLED_AT).failures == []


def make_effect(node: str, token: int, run: int, began_us: int, task: str = "report") -> Effect:
    return Effect(task, node, token, run, began_us, began_us + 10, True)


def test_effects_across_versions_are_counted_and_accepted_if_tokens_increase() -> None:
    effects = [make_effect("n1/a", 1, 1, 0), make_effect("n2/b", 2, 2, 20), make_effect("n1/a", 3, 3, 40)]
    assert check_effects(effects, frozenset({"report"})) == []
    crossings = count_crossings(effects, {"n1/a": "old", "n2/b": "new"})
    assert crossings == {("report", "old to new"): 1, ("report", "new to old"): 1}


@pytest.mark.parametrize(
    "second",
    [
        make_effect("n2/b", 1, 2, 20),  # the fencing token of another node
        make_effect("n2/b", 2, 1, 20),  # a run that has been done before
        make_effect("n2/b", 2, 2, 5),  # overlaps the first
        make_effect("n1/a", 1, 1, 20),  # repeated under the same lease grant
    ],
)
def test_forbidden_effects_are_failures(second: Effect) -> None:
    assert check_effects([make_effect("n1/a", 1, 1, 0), second], frozenset({"report"}))


def test_errors_and_tracebacks_in_a_log_are_failures_and_warnings_are_counted(tmp_path: Path) -> None:
    path = tmp_path / "node.log"
    path.write_text(
        "2026-01-01 00:00:00,000 INFO marlstep: serves\n"
        "2026-01-01 00:00:00,000 WARNING marlstep: late by 3 ms\n"
        "2026-01-01 00:00:00,000 WARNING marlstep: late by 4 ms\n"
        "2026-01-01 00:00:00,000 ERROR marlstep: the line is dropped\n"
        "Traceback (most recent call last):\n"
    )
    findings = read_log(path)
    assert len(findings.errors) == 2 and findings.warnings == {"marlstep: late by N ms": 2}
    result = Result("name")
    result.check_processes([], {"node": findings})
    assert not result.held and len(result.failures) == 2


STORE_IN_USE_OLD_MESSAGE = "fleet: this node can't vote: /s/voter.sqlite is in use by another process"
STORE_IN_USE_MESSAGE = (
    "fleet: store not opened, node can't vote retry_in=0:00:01 "
    "error=/s/voter.sqlite is in use by another process"
)


@pytest.mark.parametrize("message", [STORE_IN_USE_OLD_MESSAGE, STORE_IN_USE_MESSAGE])
def test_a_store_in_use_is_a_warning_only_where_it_is_expected(tmp_path: Path, message: str) -> None:
    path = tmp_path / "node.log"
    path.write_text(f"2026-01-01 00:00:00,000 ERROR marlstep.fleet.part: {message}\n")
    expected = read_log(path, STORE_IN_USE)
    assert expected.errors == [] and expected.warnings.total() == 1
    assert next(iter(expected.warnings)).endswith("voter.sqlite is in use by another process")
    unexpected = read_log(path)
    assert len(unexpected.errors) == 1 and not unexpected.warnings


def test_another_store_error_is_an_error_even_where_a_store_in_use_is_expected(tmp_path: Path) -> None:
    path = tmp_path / "node.log"
    error = StoreRefusedError(Path("/s/voter.sqlite"), "has format 9, and this program reads up to 1")
    path.write_text(f"2026-01-01 00:00:00,000 ERROR marlstep.cluster: store not opened error={error}\n")
    assert len(read_log(path, STORE_IN_USE).errors) == 1


def test_a_log_line_in_the_program_format_is_parsed(tmp_path: Path) -> None:
    error = StoreRefusedError(Path("/s/voter.sqlite"), "is in use by another process")
    arguments = ("marlstep.cluster", logging.ERROR, __file__, 1, "store not opened error=%s", (error,), None)
    path = tmp_path / "node.log"
    path.write_text(logging.Formatter(LOG_FORMAT).format(logging.LogRecord(*arguments)) + "\n")
    findings = read_log(path, STORE_IN_USE)
    assert findings.errors == [] and findings.warnings.total() == 1


def test_a_folder_that_is_not_a_checkout_is_rejected(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "benchmarks.mixed_versions", "--old", str(tmp_path), "upgrade"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert completed.returncode == 2 and '"could not run"' in completed.stdout
