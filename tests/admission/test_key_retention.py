"""Tests of the retention of idempotency keys."""

from __future__ import annotations

from marlstep.admission.key_retention import key_expires_at, recognised_until


def test_a_key_is_kept_for_its_window_from_the_arrival() -> None:
    assert key_expires_at(1_000, 8_000, now=1_500, timer_precision_us=5) == 9_005


def test_a_key_outlives_the_turn_in_which_its_request_is_read_after_the_window() -> None:
    assert key_expires_at(1_000, 8_000, now=20_000, timer_precision_us=5) == 20_005


def test_a_repeat_is_recognised_up_to_a_deadline_past_the_window() -> None:
    assert recognised_until(1_000, 8_000, deadline_us=4_000) == 13_000
