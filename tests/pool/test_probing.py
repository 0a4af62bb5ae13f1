"""Probing of ejected servers, by one node for all."""

from __future__ import annotations

from datetime import timedelta

from marlstep.pool.probing import Probing
from marlstep.units import EPOCH, MILLISECOND, SECOND

NOW = EPOCH + timedelta(days=9)


def test_one_node_probes_and_the_others_wait_for_its_report_or_probe_alone() -> None:
    holder, other = Probing(6 * SECOND), Probing(6 * SECOND)
    out = {"s": NOW}
    assert holder.to_dial(out, NOW - MILLISECOND) == [] and holder.to_dial(out, NOW) == ["s"]
    assert holder.to_dial(out, NOW + 500 * MILLISECOND) == []  # not all the time
    assert not holder.may_probe("s", NOW, NOW) and not other.may_probe("s", NOW, NOW)
    holder.dialled("s", True)
    assert holder.may_probe("s", NOW, NOW) and holder.to_dial(out, NOW + 5 * SECOND) == []
    assert other.told("s", 5, out) and other.may_probe("s", NOW, NOW)
    assert not other.told("s", 4, out)  # from a holder that is no more
    assert not other.may_probe("s", NOW + SECOND, NOW + SECOND)  # ejected anew
    assert other.may_probe("s", NOW + SECOND, NOW + 7 * SECOND)  # nobody says anything
