"""Lifeguard's local health score."""

from __future__ import annotations

from marlstep.membership.local_health import MAX_LOCAL_HEALTH, LocalHealth


def test_the_score_saturates_and_lengthens_timeouts() -> None:
    health = LocalHealth(enabled=True)
    for _ in range(MAX_LOCAL_HEALTH + 3):
        health.degrade()
    assert health.score == MAX_LOCAL_HEALTH and health.timeout_factor == 1 + MAX_LOCAL_HEALTH


def test_acknowledged_probes_halve_the_score_down_to_zero() -> None:
    health = LocalHealth(enabled=True)
    for _ in range(8):
        health.degrade()
    scores = []
    for _ in range(5):
        health.recover()
        scores.append(health.score)
    assert scores == [4, 2, 1, 0, 0]


def test_the_score_stays_zero_if_local_health_is_disabled() -> None:
    health = LocalHealth(enabled=False)
    health.degrade()
    assert health.score == 0 and health.timeout_factor == 1
