"""Graceful shutdown: from SIGTERM until all requests have responses, with or without a successor process."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

from marlstep.components.base import Component, RestartState, ShutdownMode
from marlstep.config import Config
from marlstep.core.engine import Core
from marlstep.frontend_group import FrontendGroup
from marlstep.platform.name_service import NameServiceClient
from marlstep.timer_queue import TimerQueue
from marlstep.units import MILLISECOND, SECOND, span

log = logging.getLogger("marlstep")

MAX_RESTART_DEADLINE = 3 * SECOND  # bound on the deadline that a process with a successor waits for
RESTART_DEADLINE_MARGIN = 700 * MILLISECOND
DRAIN_POLL_INTERVAL = 20 * MILLISECOND  # between checks whether the drain is done
# Before the platform stops the process, it ends by itself. Last of three margins: by then the controller has responded
# to all requests (`admission.deadlines.DRAIN_LEAD_TICKS`), and after it the core (`core.drain.STOP_MARGIN`).
EXIT_MARGIN = 100 * MILLISECOND


class DrainController:
    """Decides how a process shuts down, and when it has ended."""

    def __init__(
        self,
        config: Callable[[], Config],
        core: Core,
        timeline: TimerQueue,
        naming: NameServiceClient,
        frontends: FrontendGroup,
        components: Mapping[str, Component],
        on_drained: Callable[[], None],
    ) -> None:
        """Call `on_drained` once the process may end."""
        self._config, self._core, self._timeline = config, core, timeline
        self._naming, self._frontends, self._components = naming, frontends, components
        self._on_drained = on_drained
        core.on_accepting_stopped = self._poll

    @property
    def restart_state(self) -> RestartState | None:
        """What is known of the node's other processes; None where the platform passes no socket."""
        states = (component.restart_state for component in self._components.values())
        return next((state for state in states if state is not None), None)

    def handle_signals(self) -> None:
        """Drain at SIGTERM and SIGINT from now on."""
        loop = asyncio.get_running_loop()

        def notify(*_: object) -> None:
            # Called at once, also while the loop is busy with something long: the grace counts from here.
            if not loop.is_closed():
                loop.call_soon_threadsafe(self.drain, self._timeline.now())

        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, notify)

    def drain(self, noticed: datetime | None = None) -> None:
        """Begin the graceful shutdown, as SIGTERM asks for.

        A process in standby ends at once: the predecessor serves on. With a successor that serves, this process only
        finishes its requests. Otherwise the node drains: it runs what arrives within the grace, and rejects the rest.

        Args:
            noticed: when the signal came, from which the grace counts; now by default.
        """
        now = noticed or self._timeline.now()
        for component in self._components.values():
            component.drain()
        state = self.restart_state
        if state is not None and state.is_standby:
            self._on_drained()  # the predecessor goes on, and its reports to the name service with it
        elif state is not None and state.begin_shutdown(now) is ShutdownMode.HAND_OVER:
            self._core.begin_hand_over(now + self.restart_timeout())
        else:
            self._core.drain(now + self._config().shutdown_timeout, now)
            # With a predecessor still there, this process sends no last report: one that serves goes on reporting, and
            # one that handed over sends its own when it hears that this process drains (`successor_draining`).
            self._naming.report_last(sends_last_report=state is None or not state.has_predecessor)

    def restart_timeout(self) -> timedelta:
        """Return the time from SIGTERM to the end of a process whose successor serves.

        The longest deadline of the classes, up to a bound, and a margin. A request whose deadline is beyond the bound
        gets its response without an outcome shortly before that end.
        """
        longest = max(span(request_class.deadline_us) for request_class in self._config().settings.classes)
        return min(longest, MAX_RESTART_DEADLINE) + RESTART_DEADLINE_MARGIN

    def successor_lost(self) -> None:
        """Drain if SIGTERM has come: until now the successor served in the place of this process."""
        if self._core.stops_at is not None and not self._core.is_draining:
            log.warning("successor lost during shutdown: action=drain")
            self._frontends.accept_again()
            self._naming.report_last()
            self._frontends.resume(self._config())
            self._core.drain(self._core.stops_at)

    def successor_draining(self) -> None:
        """Send the last report: the successor has sent its own to the name service, and no request is to come here."""
        if self._core.stops_at is not None:
            self._naming.report_last()

    def _poll(self) -> None:
        """End once all requests have responses and all peers have closed, or when time is up."""
        core, now = self._core, self._timeline.now()
        out_of_time = core.stops_at is not None and now >= core.stops_at - EXIT_MARGIN
        if out_of_time or not self._is_busy():
            self._on_drained()
        else:
            self._timeline.at(now + DRAIN_POLL_INTERVAL, self._poll)

    def _is_busy(self) -> bool:
        connections = self._frontends.connection_count()
        if connections or any(component.busy for component in self._components.values()):
            return True
        return bool(self._core.unanswered or self._core.in_grace)
