"""Arrivals: queued, attached or rejected."""

from __future__ import annotations

from tests.support.helpers import ControllerDriver


def test_an_arrival_beyond_the_queue_memory_is_rejected_at_once() -> None:
    server = ControllerDriver(
        cores=1, memory_kb=100.0
    )  # a run of 40 kB and four queued of 10 kB stay under 80 kB
    for index in range(5):
        assert ("Reject", f"r{index}") not in server.arrive(f"r{index}")
    assert server.arrive("over") == [("Reject", "over")]


def test_requests_past_their_objective_leave_a_full_queue_to_an_arrival() -> None:
    server = ControllerDriver(cores=1, memory_kb=100.0)
    for index in range(5):
        server.arrive(f"r{index}")
    server.tick(after_ms=2001)
    assert ("Reject", "new") not in server.arrive("new")


def test_a_request_that_could_never_run_is_rejected_at_once() -> None:
    # Guards against a client whose requests fill the queue, so that all others are rejected.
    server = ControllerDriver(cores=1, memory_kb=1_000.0, running_memory_factor=4.0)
    assert server.arrive("huge", memory_kb=300.0) == [("Reject", "huge")]
    assert server.arrive("large", memory_kb=200.0) == [("Run", "large")]
