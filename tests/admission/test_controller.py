"""Tests of the controller's turn: health, timers, idle timeout and repeated request IDs."""

from __future__ import annotations

from marlstep.admission.actions import Health, IdleLimit, SetTimer
from marlstep.admission.controller import Controller
from marlstep.admission.events import Arrival, Event, TimerDue
from tests.support.helpers import MS, START, ControllerDriver, settings


def test_the_first_turn_reports_good_health_and_sets_no_timer() -> None:
    server = ControllerDriver()
    assert server.actions_of(Health) == [Health(stored=True, good=True)]
    assert server.actions_of(SetTimer) == []


def timers_in_a_second(*class_names: str) -> int:
    server = ControllerDriver(cores=2)
    asked = 0
    for name in class_names:
        server.arrive(name, name)
        asked += len(server.actions_of(SetTimer))
    for _ in range(200):
        server.now += 5 * MS
        if server.controller.timer.due_at <= server.now:
            server.tick()
            asked += len(server.actions_of(SetTimer))
    return asked


def test_timers_are_frequent_only_while_requests_wait() -> None:
    assert timers_in_a_second("low") <= 2
    assert timers_in_a_second("low", "high") <= 2
    assert timers_in_a_second("low", "high", "keyed") > 10


def test_the_idle_timeout_shrinks_while_more_connections_are_open_than_requests_could_run() -> None:
    server = ControllerDriver(overload_concurrency_factor=8.0)  # 16 runs on two cores
    server.step(TimerDue(0, {"cpu": 0.5, "conns": 12.0}), after_ms=1000)
    assert server.actions_of(IdleLimit) == [IdleLimit(30_000 * MS)]
    server.step(TimerDue(0, {"cpu": 0.5, "conns": 64.0}), after_ms=1000)
    assert server.actions_of(IdleLimit) == [IdleLimit(7_500 * MS)]
    server.step(TimerDue(0, {"cpu": 0.5, "conns": 2.0}), after_ms=1000)
    assert server.actions_of(IdleLimit) == [IdleLimit(30_000 * MS)]


def test_no_idle_timeout_is_set_without_a_connection_gauge_or_a_configured_timeout() -> None:
    for server in (ControllerDriver(), ControllerDriver(idle_timeout_us=0)):
        server.step(TimerDue(0, {}), after_ms=1000)
        assert server.actions_of(IdleLimit) == []


def test_an_arrival_with_a_known_id_replaces_the_earlier_request() -> None:
    # Guards against an entry that stays indexed by state but not by ID, so that it is never checked again.
    controller = Controller(settings(cores=1), seed=1)
    controller.decide(START, [])
    twice: list[Event] = [
        Arrival("a", "low", memory_kb=10.0, caller=1, unread_us=0),
        Arrival("b", "low", memory_kb=10.0, caller=1, unread_us=0),
    ]
    controller.decide(START, twice)
    controller.decide(START + MS, [Arrival("a", "high", memory_kb=10.0, caller=1, unread_us=0)])
    assert (
        controller.state.entries.count_in_flight() == 2
        and controller.state.entries.by_id["a"].request_class.name == "high"
    )
    for step in range(1, 10):
        controller.decide(START + step * 1_000 * MS, [])
    assert all(
        controller.state.entries.by_id.get(id) is entry
        for entries in controller.state.entries.by_state.values()
        for id, entry in entries.items()
    )
