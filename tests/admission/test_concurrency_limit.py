"""The limit on runs at once."""

from __future__ import annotations

from tests.support.helpers import MS, ControllerDriver


def test_the_limit_grows_by_two_a_second_while_the_cores_have_time() -> None:
    server = ControllerDriver(cores=2)
    for index in range(10):
        server.arrive(f"r{index}")
    assert sum(action == "Run" for action, _ in server.done) == 2
    server.tick(after_ms=1000, cpu=0.5)
    assert sum(action == "Run" for action, _ in server.done) == 4


def test_the_limit_falls_back_to_the_cores_when_latency_grows() -> None:
    server = ControllerDriver(cores=2)
    server.arrive("quick")
    server.end("quick", after_ms=10)
    for index in range(12):
        server.arrive(f"r{index}")
    server.tick(after_ms=1000, cpu=0.5)
    for index in range(2):
        server.end(f"r{index}", after_ms=1)
    server.tick(after_ms=1000, cpu=1.0)  # runs took a second, the base latency is 10 ms
    assert server.controller.concurrency.limit < 3


def test_reading_that_lags_takes_cores_from_the_runs() -> None:
    server = ControllerDriver(cores=8, memory_kb=10_000.0)
    for index in range(20):
        server.arrive(f"r{index}", unread_us=1_500 * MS)
    assert len([1 for action, _ in server.done if action == "Run"]) < 8
