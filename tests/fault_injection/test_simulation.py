"""The simulation: simulated time, the event queue, and the injection of a plan's faults."""

from __future__ import annotations

import pytest

from marlstep.fault_injection.errors import EventStormError
from marlstep.fault_injection.faults import Fault
from marlstep.fault_injection.plan import Plan
from marlstep.fault_injection.simulation import RESTART_DELAY_US, Simulation

NODES = ("n1", "n2")


def simulation(*faults: Fault, length_ms: int = 10) -> Simulation:
    return Simulation(Plan(1, NODES, NODES, length_ms, (1.0, 1.0), faults), None, seed=1)


def test_events_run_in_order_of_time_and_then_of_scheduling() -> None:
    simulated, order = simulation(), list[str]()
    for name, delay_us in (("second", 5), ("third", 5), ("first", 4)):
        simulated.after(delay_us, lambda name=name: order.append(name))  # type: ignore[misc]
    simulated.run_events()
    assert order == ["first", "second", "third"]
    assert simulated.true_us == 5


def test_an_event_after_the_end_of_the_plan_does_not_run() -> None:
    simulated, order = simulation(), list[str]()
    simulated.after(10_000, lambda: order.append("at the end"))
    simulated.after(10_001, lambda: order.append("after it"))
    simulated.run_events()
    assert order == ["at the end"]


def test_more_events_than_allowed_are_an_error_with_their_number_and_time() -> None:
    simulated = simulation()

    def reschedule() -> None:
        simulated.after(1, reschedule)

    reschedule()
    with pytest.raises(EventStormError) as raised:
        simulated.run_events(max_events=3)
    assert (raised.value.event_count, raised.value.true_us) == (4, 3)


def test_a_fault_of_a_link_lasts_from_its_time_in_the_plan_for_its_duration() -> None:
    simulated = simulation(Fault(2, 5, "one way", "n1", "n2"), Fault(3, 1, "slow", "n2", "n1"))
    simulated.schedule_faults()
    simulated.run_events()
    assert simulated.link("n1", "n2").cut_until == 7_000
    assert simulated.link("n2", "n1").slow_until == 4_000
    assert simulated.link("n2", "n1").cut_until == 0
    assert simulated.counts == {"one way": 1, "slow": 1}


def test_the_same_seed_draws_the_same_restart_delays_within_bounds() -> None:
    first, second = simulation(), simulation()
    delays = [first.draw_restart_delay_us() for _ in range(50)]
    assert delays == [second.draw_restart_delay_us() for _ in range(50)]
    assert all(RESTART_DELAY_US[0] <= delay < RESTART_DELAY_US[1] for delay in delays)
