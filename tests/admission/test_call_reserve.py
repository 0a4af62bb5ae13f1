"""Tests of the reserve of call time."""

from __future__ import annotations

import random

import pytest

from marlstep.admission.call_reserve import CallReserve

RATE, CAPACITY_US = 0.5, 1_000.0  # of a server


def test_the_reserve_fills_up_to_its_capacity() -> None:
    reserve = CallReserve()
    reserve.configure(rate=0.5, capacity_us=1_000.0)
    reserve.take(800)
    reserve.refill(100)
    assert reserve.available_us == 250.0
    reserve.refill(1_000_000)
    assert reserve.available_us == 1_000.0


def test_an_ended_call_returns_only_the_reserved_time_that_it_did_not_use() -> None:
    reserve = CallReserve()
    reserve.configure(rate=0.5, capacity_us=1_000.0)
    reserve.take(800)
    reserve.return_unused(800, used_us=300)
    assert reserve.available_us == 700.0
    reserve.return_unused(100, used_us=400)
    assert reserve.available_us == 700.0


def test_reserved_time_stays_reserved_when_the_capacity_changes() -> None:
    reserve = CallReserve()
    reserve.configure(rate=0.5, capacity_us=1_000.0)
    reserve.take(800)
    reserve.configure(rate=0.5, capacity_us=500.0)
    assert reserve.available_us == -300.0


def test_a_larger_portion_is_only_refilled_and_a_smaller_one_taken_at_once() -> None:
    reserve = CallReserve()
    reserve.configure(rate=0.5, capacity_us=1_000.0)
    reserve.set_portion(rate=0.25, capacity_us=500.0)
    assert reserve.available_us == 500.0
    reserve.set_portion(rate=0.5, capacity_us=1_000.0)
    assert reserve.available_us == 500.0
    reserve.refill(100)
    assert reserve.available_us == 550.0


def process_reserve(portion: float) -> CallReserve:
    reserve = CallReserve()
    reserve.configure(RATE, CAPACITY_US)
    reserve.set_portion(RATE * portion, CAPACITY_US * portion)
    return reserve


@pytest.mark.parametrize("seed", range(20))
def test_the_reserves_of_two_processes_stay_within_that_of_their_server(seed: int) -> None:
    # Guards against an upgrade in which both processes call a shared dependency as if each were alone.
    source, server = random.Random(seed), process_reserve(1.0)
    portions = [1.0, 0.0]
    reserves = [process_reserve(portion) for portion in portions]
    in_flight: list[list[int]] = [[], []]  # reserved microseconds of each call
    for _ in range(2_000):
        number = source.randrange(2)
        other, reserve, calls = 1 - number, reserves[number], in_flight[number]
        match source.choice(("call", "end", "refill", "refill", "move", "move", "kill")):
            case "call" if reserve.available_us > 0:
                calls.append(int(source.uniform(0, reserve.available_us)))
                for each in (reserve, server):
                    each.take(calls[-1])
            case "end" if calls:
                reserved_us = calls.pop()
                used_us = source.randint(0, reserved_us)
                for each in (reserve, server):
                    each.return_unused(reserved_us, used_us)
            case "refill":
                elapsed_us = source.randrange(50)
                for each in (server, *reserves):
                    each.refill(elapsed_us)
            case "move":
                moved = source.uniform(0, portions[number])
                portions[number], portions[other] = portions[number] - moved, portions[other] + moved
                for each, portion in zip(reserves, portions, strict=True):
                    each.set_portion(RATE * portion, CAPACITY_US * portion)
            case "kill":  # its calls are used up, and another process takes its place
                reserves[number], in_flight[number] = process_reserve(0.0), []
                portions[number], portions[other] = 0.0, 1.0
                reserves[other].set_portion(RATE, CAPACITY_US)
        assert sum(each.available_us for each in reserves) <= server.available_us + 0.001
