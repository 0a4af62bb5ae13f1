"""Probing of ejected servers, by one node for all."""

from __future__ import annotations

from datetime import timedelta

from marlstep.load_balancing.health_checks import PoolHealthChecks
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


def test_one_node_probes_and_the_others_wait_for_its_report_or_probe_alone() -> None:
    holder, other = PoolHealthChecks(6 * SECOND), PoolHealthChecks(6 * SECOND)
    out = {"s": NOW}
    assert holder.servers_to_check(out, NOW - MILLISECOND) == [] and holder.servers_to_check(out, NOW) == [
        "s"
    ]
    assert holder.servers_to_check(out, NOW + 500 * MILLISECOND) == []  # not all the time
    assert not holder.may_probe("s", NOW, NOW) and not other.may_probe("s", NOW, NOW)
    holder.check_finished("s", True)
    assert holder.may_probe("s", NOW, NOW) and holder.servers_to_check(out, NOW + 5 * SECOND) == []
    assert other.peer_reported_recovery("s", 5, out) and other.may_probe("s", NOW, NOW)
    assert not other.peer_reported_recovery("s", 4, out)  # from a holder that is no more
    assert not other.may_probe("s", NOW + SECOND, NOW + SECOND)  # ejected anew
    assert other.may_probe("s", NOW + SECOND, NOW + 7 * SECOND)  # nobody says anything
