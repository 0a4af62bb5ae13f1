"""Tests of the concurrency that a process may use of its server."""

from __future__ import annotations

import pytest

from marlstep.admission.capacity import survivable_concurrency, warm_up_share


@pytest.mark.parametrize(("elapsed_us", "share"), [(0, 0.25), (500, 0.625), (1_000, 1.0), (9_000, 1.0)])
def test_capacity_grows_linearly_during_warm_up(elapsed_us: int, share: float) -> None:
    assert warm_up_share(elapsed_us, warm_up_us=1_000, initial_share=0.25) == share


def test_a_warm_server_survives_the_overload_factor_per_core() -> None:
    assert survivable_concurrency(4, 8.0, warm_share=1.0, portion=1.0) == 32.0


def test_a_server_without_warm_capacity_survives_one_request_per_core() -> None:
    assert survivable_concurrency(4, 8.0, warm_share=0.0, portion=1.0) == 4.0


def test_a_process_may_use_only_its_portion_of_the_server() -> None:
    assert survivable_concurrency(4, 8.0, warm_share=1.0, portion=0.25) == 8.0
