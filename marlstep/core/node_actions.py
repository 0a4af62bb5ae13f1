"""The controller's actions about the node as a whole, and what it last said of it."""

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
    """What the controller last said about the node as a whole.

    Attributes:
        advertised_value: the load signal that every response carries; None for none.
        is_healthy: what the controller would have health checks report.
    """

    advertised_value: float | None = None
    is_healthy: bool = True


class NodeActions:
    """Carries out the actions about the node, each by its own method.

    Attributes:
        signals: what the actions so far leave in force.
    """

    def __init__(self, gauge_timers: GaugeTimers, frontends: Sequence[Frontend]) -> None:
        """Set timers at `gauge_timers`; `frontends` may grow."""
        self._gauge_timers, self._frontends = gauge_timers, frontends
        self.signals = ControllerSignals()

    def set_timer(self, action: SetTimer) -> None:
        """Set a timer of the controller."""
        self._gauge_timers.set_timer(span(action.after_us), action.tag)

    def advertise(self, action: Advertise) -> None:
        """Let responses carry another load signal."""
        self.signals.advertised_value = action.value

    def report_health(self, action: Health) -> None:
        """Let health checks report another health."""
        self.signals.is_healthy = action.good

    def limit_idle_time(self, action: IdleLimit) -> None:
        """Let all frontends close connections that are idle for longer."""
        for frontend in self._frontends:
            frontend.limit_idle_time(span(action.after_us))

    def log_message(self, action: Log) -> None:
        """Log a message of the controller."""
        log.info("controller message: text=%s", action.text)
