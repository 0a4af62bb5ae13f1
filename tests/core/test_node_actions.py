"""The controller's actions about the node as a whole."""

from __future__ import annotations

from datetime import timedelta

from marlstep.admission.actions import Advertise, Health, IdleLimit
from marlstep.core.gauge_timers import GaugeTimers
from marlstep.core.node_actions import ControllerSignals, NodeActions
from marlstep.units import SECOND
from tests.support.node import CoreDriver, ManualClock, RecordingBackend


class IdleLimitRecorder(CoreDriver):
    """A frontend that records the idle limits passed to it."""

    def __init__(self) -> None:
        super().__init__()
        self.idle_limits: list[timedelta] = []

    def limit_idle_time(self, after: timedelta) -> None:
        self.idle_limits.append(after)


def test_the_last_advertised_value_and_health_are_in_force() -> None:
    actions = NodeActions(GaugeTimers(ManualClock().timeline, RecordingBackend(), lambda event: None), [])
    assert actions.signals == ControllerSignals(advertised_value=None, is_healthy=True)
    for value, good in ((2.5, False), (1.0, True)):
        actions.advertise(Advertise(value))
        actions.report_health(Health(stored=True, good=good))
        assert actions.signals == ControllerSignals(value, good)


def test_an_idle_limit_reaches_all_frontends_also_those_added_later() -> None:
    frontends = [IdleLimitRecorder()]
    actions = NodeActions(
        GaugeTimers(ManualClock().timeline, RecordingBackend(), lambda event: None), frontends
    )
    frontends.append(IdleLimitRecorder())
    actions.limit_idle_time(IdleLimit(15_000_000))
    assert [frontend.idle_limits for frontend in frontends] == [[15 * SECOND]] * 2
