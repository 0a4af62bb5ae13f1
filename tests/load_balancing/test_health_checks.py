"""Tests of the health checks of ejected servers, which one node performs for all."""

from __future__ import annotations

from datetime import timedelta

from marlstep.load_balancing.health_checks import (
    CHECK_RETRY_INTERVAL,
    EjectedServer,
    PoolHealthChecks,
    check_is_due,
)
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


def test_a_check_is_due_after_the_ejection_until_one_succeeds() -> None:
    assert not check_is_due(EjectedServer(NOW), NOW - MILLISECOND)
    assert check_is_due(EjectedServer(NOW), NOW)
    assert not check_is_due(EjectedServer(NOW, recovered=True), NOW)


def test_a_check_is_repeated_at_a_bounded_rate() -> None:
    checked = EjectedServer(NOW, last_check_at=NOW)
    assert not check_is_due(checked, NOW + CHECK_RETRY_INTERVAL - MILLISECOND)
    assert check_is_due(checked, NOW + CHECK_RETRY_INTERVAL)


def test_one_node_checks_and_the_others_wait_for_its_notification_or_probe_by_themselves() -> None:
    holder, other = PoolHealthChecks(6 * SECOND), PoolHealthChecks(6 * SECOND)
    ejected = {"s": NOW}
    assert holder.servers_to_check(ejected, NOW - MILLISECOND) == []
    assert holder.servers_to_check(ejected, NOW) == ["s"]
    assert holder.servers_to_check(ejected, NOW + 500 * MILLISECOND) == []  # within the retry interval
    assert not holder.may_probe("s", NOW, NOW) and not other.may_probe("s", NOW, NOW)
    holder.check_finished("s", True)
    assert holder.may_probe("s", NOW, NOW) and holder.servers_to_check(ejected, NOW + 5 * SECOND) == []
    assert other.peer_reported_recovery("s", 5, ejected) and other.may_probe("s", NOW, NOW)
    assert not other.peer_reported_recovery("s", 4, ejected)  # from an earlier lease holder
    assert not other.may_probe("s", NOW + SECOND, NOW + SECOND)  # ejected again, and not recovered since
    assert other.may_probe("s", NOW + SECOND, NOW + 7 * SECOND)  # no notification within the fallback time
