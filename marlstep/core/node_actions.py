"""The controller's actions about the node as a whole, and the signals that result from them."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass

from marlstep.admission.actions import Advertise, Health, IdleLimit, Log, SetTimer
from marlstep.core.gauge_timers import GaugeTimers
from marlstep.core.interfaces import Frontend
from marlstep.units import span

log = logging.getLogger(__name__)


@dataclass(slots=True)
class ControllerSignals:
    """The signals about the node as a whole that the controller set last.

    Attributes:
        advertised_value: the load signal value that every response carries; None if none is advertised.
        is_healthy: whether the controller considers the node healthy.
    """

    advertised_value: float | None = None
    is_healthy: bool = True


class NodeActions:
    """Carries out the actions about the node, with one method for each type of action.

    Attributes:
        signals: the signals in force after the actions so far.
    """

    def __init__(self, gauge_timers: GaugeTimers, frontends: Sequence[Frontend]) -> None:
        """Initialize with healthy signals and no load signal.

        Args:
            gauge_timers: sets the controller's timers.
            frontends: receive idle limits; frontends added to the list later are included.
        """
        self._gauge_timers, self._frontends = gauge_timers, frontends
        self.signals = ControllerSignals()

    def set_timer(self, action: SetTimer) -> None:
        """Set a timer of the controller."""
        self._gauge_timers.set_timer(span(action.after_us), action.tag)

    def advertise(self, action: Advertise) -> None:
        """Set the load signal value that responses carry."""
        self.signals.advertised_value = action.value

    def report_health(self, action: Health) -> None:
        """Set the health that health checks report."""
        self.signals.is_healthy = action.good

    def limit_idle_time(self, action: IdleLimit) -> None:
        """Pass an idle limit for connections to all frontends."""
        for frontend in self._frontends:
            frontend.limit_idle_time(span(action.after_us))

    def log_message(self, action: Log) -> None:
        """Log a message from the controller."""
        log.info("controller message: text=%s", action.text)
