"""The soak: short seeded runs on real processes, planted faults that it finds, and its checks on records."""

from __future__ import annotations

import json
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any

import pytest

from benchmarks.soak import play, summarize
from marlstep.fault_injection.soak.checks import (
    Limits,
    check_processes,
    check_requests,
    check_resources,
    check_runs,
)
from marlstep.fault_injection.soak.history import (
    Excuse,
    History,
    ProcessRecord,
    ReceivedResponse,
    RequestRecord,
    ResourceSample,
)
from marlstep.fault_injection.soak.mutated_node import MUTATIONS
from marlstep.fault_injection.soak.script import MAX_LENGTH_S, MIN_LENGTH_S, Action, draw_script

SEEDS = (2, 3, 4)
PLANTED = {"close-unread": "lost", "respond-twice": "answered twice", "run-again": "effect twice"}
MAX_SEEDS = 10  # within which each planted fault is found
PROCESSES = 3  # soaks that are played at once


def find_planted_fault(name: str, kind: str) -> int | None:
    """Return the first seed in which the soak finds a planted fault; None if it does in none of the first seeds."""
    return next((seed for seed in range(1, MAX_SEEDS + 1) if play(seed, name)["by_kind"].get(kind)), None)


@pytest.fixture(scope="module")
def pool() -> Iterator[ProcessPoolExecutor]:
    with ProcessPoolExecutor(PROCESSES) as executor:
        yield executor


@pytest.fixture(scope="module")
def planted(pool: ProcessPoolExecutor) -> dict[str, Future[int | None]]:
    return {name: pool.submit(find_planted_fault, name, kind) for name, kind in PLANTED.items()}


@pytest.fixture(scope="module")
def reports(pool: ProcessPoolExecutor, planted: object) -> dict[int, Future[dict[str, Any]]]:
    return {seed: pool.submit(play, seed) for seed in SEEDS}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found(name: str, planted: dict[str, Future[int | None]]) -> None:
    assert planted[name].result() is not None
    assert set(PLANTED) == set(MUTATIONS)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken(seed: int, reports: dict[int, Future[dict[str, Any]]]) -> None:
    report = reports[seed].result()
    assert not report["broken"], json.dumps(report)  # pytest abbreviates a dict
    assert report["requests"] > 200 and report["upgrades"] + report["kills"] > 0


def test_the_scripts_of_fifty_seeds_contain_every_action() -> None:
    scripts = [draw_script(seed) for seed in range(1, 51)]
    assert {step.action for script in scripts for step in script.steps} == set(Action)
    assert all(MIN_LENGTH_S <= script.length_s <= MAX_LENGTH_S for script in scripts)
    assert draw_script(7) == scripts[6]


def written_request(**values: Any) -> RequestRecord:
    record = RequestRecord(1, 1, "list", 1_000_000, "resp", 1, written_us=100, excuse=None)
    for name, value in values.items():
        setattr(record, name, value)
    return record


DONE = ReceivedResponse(200, "done", b"full 1")


@pytest.mark.parametrize(
    ("request_record", "kinds"),
    [
        (written_request(responses=[DONE]), []),
        (written_request(), ["lost"]),
        (written_request(excuse=Excuse.KILLED_EARLY), []),
        (written_request(responses=[DONE, DONE]), ["answered twice"]),
        (written_request(responses=[ReceivedResponse(1_110_100, "later", b"")]), []),
        (written_request(responses=[ReceivedResponse(1_110_101, "later", b"")]), ["late"]),
    ],
)
def test_a_request_is_owed_one_response_by_its_deadline(
    request_record: RequestRecord, kinds: list[str]
) -> None:
    history = History(requests=[request_record])
    assert [violation.kind for violation in check_requests(history)] == kinds


def test_a_response_is_not_late_by_the_time_in_which_the_soak_itself_did_not_run() -> None:
    history = History(requests=[written_request(responses=[ReceivedResponse(1_300_000, "later", b"")])])
    history.stalls.append((1_200_000, 250_000))
    assert not list(check_requests(history))


def test_work_with_an_effect_runs_once_and_results_are_those_of_runs() -> None:
    history = History(requests=[written_request(responses=[DONE])])
    effect_classes = frozenset({"list"})
    once, twice = {("list", 1): 1}, {("list", 1): 2}
    assert not list(check_runs(history, [once], effect_classes))
    for incarnations in ([twice], [{}, twice], [once, twice]):
        assert [item.kind for item in check_runs(history, incarnations, effect_classes)] == ["effect twice"]
    assert not list(check_runs(history, [once, once], effect_classes))  # the next incarnation knows no keys
    assert not list(check_runs(history, [twice], frozenset()))
    assert [item.kind for item in check_runs(history, [{}], effect_classes)] == ["result of no run"]


@pytest.mark.parametrize(
    ("process", "kinds"),
    [
        (ProcessRecord(0, 1, exit_code=0), []),
        (ProcessRecord(0, 1, exit_code=1), ["exit code"]),
        (ProcessRecord(0, 1, exit_code=-9, killed_early=True), []),
        (ProcessRecord(0, 1, exit_code=-9, killed_at_stop=True), ["not ended in time"]),
        (ProcessRecord(0, 1, exit_code=0, log_faults=["Traceback"]), ["error in a log"]),
    ],
)
def test_a_process_ends_in_time_without_an_unhandled_error(process: ProcessRecord, kinds: list[str]) -> None:
    assert [violation.kind for violation in check_processes(History(processes=[process]))] == kinds


def test_memory_and_descriptors_stay_under_the_limits_and_return_to_their_level() -> None:
    limits = Limits(memory_kb=1_000, descriptors=100)
    assert not list(check_resources(History(samples=[ResourceSample(0, 2, 1_000, 100)]), limits))
    for sample in (ResourceSample(0, 2, 1_001, 1), ResourceSample(0, 2, 1, 101)):
        [violation] = check_resources(History(samples=[sample]), limits)
        assert violation.kind == "over a limit"
    [violation] = check_resources(History(idle_descriptors=[20, 40]), limits)
    assert violation.kind == "descriptors kept"


def test_the_summary_counts_broken_seeds_and_violations() -> None:
    counts = {"requests": 5, "upgrades": 1, "kills": 2}
    reports = [{**counts, "broken": [], "by_kind": {}}, {**counts, "broken": [{}], "by_kind": {"lost": 1}}]
    summary = {"seeds": 2, "requests": 10, "upgrades": 2, "kills": 4, "broken": 1, "by_kind": {"lost": 1}}
    assert summarize(reports) == summary
