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

MAX_RESTART_DEADLINE = 3 * SECOND  # longest request deadline that a process with a successor waits for
RESTART_DEADLINE_MARGIN = 700 * MILLISECOND  # added to that deadline
DRAIN_POLL_INTERVAL = 20 * MILLISECOND  # between checks for the end of the drain
# The process exits by itself this long before the platform stops it. Last of three margins: by then the controller has
# responded to all requests (`admission.deadlines.DRAIN_LEAD_TICKS`), and then the core to any that were left
# (`core.drain.STOP_MARGIN`).
EXIT_MARGIN = 100 * MILLISECOND


class DrainController:
    """Decides how a process shuts down, and when it may exit."""

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
        """Initialize the controller, which polls once the core has stopped accepting.

        Args:
            config: returns the configuration in force.
            core: the request lifecycle, which drains or hands over.
            timeline: the node's timers.
            naming: sends the last report to the name service.
            frontends: counted for open connections, and told to accept again if the successor is lost.
            components: the node's components by name.
            on_drained: called once the process may exit.
        """
        self._config, self._core, self._timeline = config, core, timeline
        self._naming, self._frontends, self._components = naming, frontends, components
        self._on_drained = on_drained
        core.on_accepting_stopped = self._poll

    @property
    def restart_state(self) -> RestartState | None:
        """The state of the node's other processes; None if the platform passes no socket."""
        states = (component.restart_state for component in self._components.values())
        return next((state for state in states if state is not None), None)

    def handle_signals(self) -> None:
        """Install handlers that begin the graceful shutdown at SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()

        def handle_signal(*_: object) -> None:
            # Runs as soon as the signal arrives, even if the loop is blocked: the grace period counts from then.
            if not loop.is_closed():
                loop.call_soon_threadsafe(self.drain, self._timeline.now())

        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, handle_signal)

    def drain(self, noticed_at: datetime | None = None) -> None:
        """Begin the graceful shutdown that SIGTERM requests.

        A process in standby exits at once, because its predecessor still serves. If a successor serves, this process
        only finishes its requests. Otherwise the node drains: it runs requests that arrive within the grace
        period, and rejects later ones.

        Args:
            noticed_at: when the signal arrived, from which the grace period counts; now if None.
        """
        now = noticed_at or self._timeline.now()
        for component in self._components.values():
            component.drain()
        state = self.restart_state
        if state is not None and state.is_standby:
            self._on_drained()  # the predecessor keeps serving and reporting to the name service
        elif state is not None and state.begin_shutdown(now) is ShutdownMode.HAND_OVER:
            self._core.begin_hand_over(now + self.restart_timeout())
        else:
            self._core.drain(now + self._config().shutdown_timeout, now)
            # While the predecessor still runs, this process sends no last report: a predecessor that serves keeps
            # reporting, and one that has handed over sends the last report itself (`successor_draining`).
            self._naming.report_last(sends_last_report=state is None or not state.has_predecessor)

    def restart_timeout(self) -> timedelta:
        """Return the time from SIGTERM to the exit of a process whose successor serves.

        It is the longest deadline of all classes, at most `MAX_RESTART_DEADLINE`, plus a margin. A request with a later
        deadline that has not finished shortly before the exit is answered as expired, or as rejected if it never ran.
        """
        longest = max(span(request_class.deadline_us) for request_class in self._config().settings.classes)
        return min(longest, MAX_RESTART_DEADLINE) + RESTART_DEADLINE_MARGIN

    def successor_lost(self) -> None:
        """Drain if this process got SIGTERM: the successor that served in its place is gone."""
        if self._core.stops_at is not None and not self._core.is_draining:
            log.warning("successor lost during shutdown: action=drain")
            self._frontends.accept_again()
            self._naming.report_last()
            self._frontends.resume(self._config())
            self._core.drain(self._core.stops_at)

    def successor_serves(self) -> None:
        """Stop accepting if this process drains: the process that replaces it accepts connections."""
        if self._core.is_draining:
            log.info("successor serves during the drain: action=stop_accepting")
            self._core.stop_accepting()

    def successor_draining(self) -> None:
        """Send the last report to the name service: the draining successor sends none while this process runs."""
        if self._core.stops_at is not None:
            self._naming.report_last()

    def _poll(self) -> None:
        """End once all responses are sent, connections closed and components idle, or shortly before the stop time."""
        core, now = self._core, self._timeline.now()
        out_of_time = core.stops_at is not None and now >= core.stops_at - EXIT_MARGIN
        if out_of_time:
            core.respond_to_all()  # requests that were read after the core had responded to all others
        if out_of_time or not self._is_busy():
            self._on_drained()
        else:
            self._timeline.at(now + DRAIN_POLL_INTERVAL, self._poll)

    def _is_busy(self) -> bool:
        connections = self._frontends.connection_count()
        if (
            connections
            or self._frontends.accepting
            or any(component.busy for component in self._components.values())
        ):
            return True
        return bool(self._core.unanswered or self._core.in_grace)
