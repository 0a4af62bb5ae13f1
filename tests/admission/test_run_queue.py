"""Tests of the start, preemption and order of runs."""

from __future__ import annotations

from marlstep.admission.events import CallNeeded, Outcome
from marlstep.admission.settings import LoadSignal
from tests.support.helpers import MS, START, ControllerDriver, request_class


def test_an_arrival_starts_while_fewer_run_than_the_limit() -> None:
    server = ControllerDriver()
    assert server.arrive("a") == [("Run", "a")]
    assert server.arrive("b") == [("Run", "b")]
    assert server.arrive("c") == []


def test_an_arrival_of_higher_priority_preempts_the_lowest_and_latest_run() -> None:
    server = ControllerDriver()
    server.arrive("old")
    server.arrive("new")
    assert server.arrive("top", "high") == [("Preempt", "new"), ("Run", "top")]


def test_an_arrival_does_not_preempt_its_own_class() -> None:
    server = ControllerDriver()
    for id in ("a", "b", "c"):
        server.arrive(id, "high")
    assert ("Preempt", "a") not in server.actions and ("Run", "c") not in server.actions


def test_queued_requests_start_by_priority_weight_then_by_age() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("run", "high")
    for id, class_name in (("low1", "low"), ("high1", "high"), ("low2", "low"), ("high2", "high")):
        server.arrive(id, class_name, after_ms=1)
    order = []
    running = "run"
    for _ in range(4):
        [(_, running)] = server.end(running, after_ms=1)
        order.append(running)
    assert order == ["high1", "high2", "low1", "low2"]


def test_a_paused_run_resumes_ahead_of_queued_requests_of_its_class() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("paused")
    server.arrive("queued", after_ms=1)
    server.arrive("top", "high", after_ms=1)
    server.end("paused", Outcome.CANCELLED, after_ms=5)
    assert server.end("top", after_ms=10) == [("Run", "paused")]


def test_a_paused_run_waits_while_a_higher_class_waits() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("paused")
    server.arrive("top1", "high", after_ms=1)
    server.arrive("top2", "high", after_ms=1)
    server.end("paused", Outcome.CANCELLED, after_ms=5)
    assert server.end("top1", after_ms=10) == [("Run", "top2")]


def test_a_run_that_did_not_stop_after_preemption_counts_as_running_again() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("low")
    server.arrive("top", "high", after_ms=1)
    server.tick(after_ms=200)
    assert server.end("top", after_ms=1) == []  # "low" never stopped, so there is nothing to resume


def test_a_request_at_a_call_frees_its_core_for_another_request() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("a")
    server.arrive("b")
    assert server.step(CallNeeded("a"), after_ms=1) == [("Call", "a"), ("Run", "b")]


def test_a_request_past_its_objective_is_not_started() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("run", "high")
    server.arrive("late")
    server.tick(after_ms=2001)
    assert server.end("run") == []
    assert server.arrive("fresh") == [("Run", "fresh")]


def rejected_arrivals(marks_retries: bool, run_ms: int) -> list[str]:
    server = ControllerDriver(cores=1, marks_retries=marks_retries)
    for index in range(4):
        server.arrive(f"done{index}")
        server.end(f"done{index}", after_ms=run_ms)
    for index in range(8):
        server.arrive(f"r{index}")
    return [id for action, id in server.actions if action == "Reject"]


def test_an_arrival_that_would_wait_past_its_objective_is_rejected_at_once() -> None:
    rejected = rejected_arrivals(True, 500)
    assert rejected and "r1" not in rejected and "r7" in rejected


def test_an_arrival_may_use_only_a_part_of_its_objective_if_retries_are_not_marked() -> None:
    # Guards against retries that finish within their own objective, but too late for a caller that has waited before.
    # Only 0.6 s of the objective of 2 s may be used, including the run.
    assert rejected_arrivals(False, 200) == ["r4", "r5", "r6", "r7"]
    assert rejected_arrivals(True, 200) == []


def test_a_keyed_run_continues_after_its_response_and_its_retry_is_attached() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("k", "keyed", caller_deadline_at=START + 500 * MS)
    assert server.tick(after_ms=450) == [("Fail", "k")]  # but no preemption
    assert server.arrive("again", "keyed", prior="k", after_ms=10) == [("Attach", "again")]


def test_runs_that_were_cut_short_raise_the_mean_run_time() -> None:
    server = ControllerDriver(cores=1)
    server.arrive("quick")
    server.end("quick", after_ms=100)
    for index in range(20):
        server.arrive(f"r{index}")
        server.tick(after_ms=4_000)  # the request fails at its deadline, and its run is stopped
        server.end(f"r{index}", Outcome.CANCELLED)
    assert server.controller.state.statistics.mean_run_us["low"] > 2_000 * MS


def test_among_classes_of_equal_weight_the_earlier_objective_starts_first() -> None:
    slow, quick = (
        request_class("slow", latency_objective_us=3_500 * MS),
        request_class("quick", latency_objective_us=1_500 * MS),
    )
    server = ControllerDriver(cores=1, classes=(slow, quick, request_class("high", priority_weight=3.0)))
    for index, name in enumerate(("high", "slow", "quick")):
        server.arrive(str(index), name, after_ms=1)
    assert server.end("0") == [("Run", "2")]


def test_a_request_unlikely_to_be_in_time_starts_only_on_an_idle_core() -> None:
    server = ControllerDriver(cores=2)
    server.arrive("done")
    server.end("done", after_ms=1_000)
    assert server.arrive("unlikely", caller_deadline_at=server.now + 400 * MS) == [("Run", "unlikely")]
    server.arrive("likely")
    assert server.arrive("another", caller_deadline_at=server.now + 400 * MS) == []


def test_a_run_that_never_began_does_not_change_the_run_statistics() -> None:
    server = ControllerDriver(cores=1, load_signal=LoadSignal.CREDIT)
    server.arrive("real")
    server.end("real", after_ms=400)
    us_per_run = server.controller.state.statistics.us_per_run()
    for index in range(50):
        server.arrive(f"odd{index}", caller=7)
        server.end(f"odd{index}", Outcome.NOT_STARTED, after_ms=1)
    assert (
        server.controller.state.statistics.us_per_run() == us_per_run
        and server.controller.advisor.count_callers() == 1
    )
