"""Tests of the reserve of call time."""

from __future__ import annotations

from marlstep.admission.call_reserve import CallReserve


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
