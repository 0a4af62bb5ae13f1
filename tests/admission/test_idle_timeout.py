"""Tests of the idle timeout of connections."""

from __future__ import annotations

from marlstep.admission.idle_timeout import adjusted_idle_timeout_us, connections_to_retain


def test_idle_connections_up_to_the_survivable_concurrency_are_kept_while_the_cores_are_not_busy() -> None:
    assert connections_to_retain(3, is_busy=False, cores=2, max_concurrency=16.0) == 19.0


def test_busy_cores_keep_about_as_many_idle_connections_as_are_in_use() -> None:
    assert connections_to_retain(3, is_busy=True, cores=2, max_concurrency=16.0) == 8


def test_the_timeout_changes_by_the_ratio_of_retained_to_open_connections() -> None:
    assert adjusted_idle_timeout_us(1_000, 16.0, 64.0, tick_us=10, max_us=5_000) == 250
    assert adjusted_idle_timeout_us(1_000, 16.0, 8.0, tick_us=10, max_us=5_000) == 2_000


def test_the_timeout_stays_between_a_tick_and_the_configured_timeout() -> None:
    assert adjusted_idle_timeout_us(1_000, 1.0, 900.0, tick_us=10, max_us=5_000) == 10
    assert adjusted_idle_timeout_us(1_000, 900.0, 1.0, tick_us=10, max_us=5_000) == 5_000
