"""Hot restart as a component, enabled if the platform passes a listening socket to the process."""

from __future__ import annotations

import logging
import os
from datetime import datetime
from typing import TYPE_CHECKING, ClassVar

from marlstep.components.base import Component, ShutdownMode, StartPhase
from marlstep.config import Config
from marlstep.hot_restart.channel import RestartChannel
from marlstep.hot_restart.host_adapter import HostAdapter
from marlstep.hot_restart.restart import HotRestart
from marlstep.hot_restart.timeouts import LostProcessTimeouts
from marlstep.units import span

if TYPE_CHECKING:
    from marlstep.components.host import HotRestartHost

log = logging.getLogger("marlstep")


class HotRestartCallbacks:
    """Implements `NodeCallbacks` by calling the node."""

    def __init__(self, host: HotRestartHost) -> None:
        """Bind the callbacks to methods of the node `host`."""
        self.accept_connections = host.accept_connections
        self.successor_lost = host.drain_controller.successor_lost
        self.successor_serves = host.drain_controller.successor_serves
        self.successor_draining = host.drain_controller.successor_draining
        self.limit_capacity = host.limit_capacity
        self.connection_share = host.connection_share
        self.serving_state_changed = host.report_serving_state


class HotRestartComponent(Component):
    """Connects this process with its predecessor and successor through the runtime folder that they share."""

    name: ClassVar[str] = "handover"  # as shown in the status
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_CLIENTS

    def __init__(self, host: HotRestartHost) -> None:
        """Create the component; `open` discovers other processes."""
        self._host = host
        self._channel: RestartChannel | None = None
        self.has_predecessor_serving = False
        self.restart_state = self

    async def open(self, config: Config, _reuse_address: bool, /) -> None:
        """Connect to the other processes, and determine whether one of them serves."""
        if config.runtime_directory is None:
            log.warning("hot restart disabled: reason=TMPDIR_not_set")
            return
        core, timeline = self._host.core, self._host.timeline
        adapter = HostAdapter(core, timeline, HotRestartCallbacks(self._host))

        def make_hot_restart(generation: int) -> HotRestart:
            return HotRestart(adapter, generation, os.getpid(), self._lost_process_timeouts())

        channel = self._channel = RestartChannel(
            config.runtime_directory, config.name, timeline, make_hot_restart
        )
        core.on_backend_ready = lambda: channel.hot_restart.backend_ready(timeline.now())
        self.has_predecessor_serving = await channel.open()
        adapter.watch(channel.hot_restart)

    def _lost_process_timeouts(self) -> LostProcessTimeouts:
        """Return how long this process must allow for the work of a lost one, with the settings in force.

        The lost process exits no later than if it had received SIGTERM at the time of the loss, and its runs end at
        most the longest deadline after its exit. A retry arrives within the idempotency window of its class, which
        starts at the deadline of the first request at the latest.
        """
        classes = self._host.config.settings.classes
        longest_deadline = max(span(request_class.deadline_us) for request_class in classes)
        retry_window = max(
            span(request_class.idempotency_window_us + request_class.deadline_us) for request_class in classes
        )
        termination = self._host.drain_controller.restart_timeout() + longest_deadline
        return LostProcessTimeouts(termination=termination, retry_window=retry_window)

    def reconfigure(self, _config: Config, /) -> None:
        """Apply the deadlines in force."""
        if self._channel is not None:
            self._channel.hot_restart.set_timeouts(self._lost_process_timeouts())

    def serving_state_changed(self, ready: bool, /) -> None:
        """Notify the other processes that an operator quiesced or resumed the node through this one."""
        if self._channel is not None:
            self._channel.hot_restart.serving_state_changed(ready)

    @property
    def has_predecessor(self) -> bool:
        """Whether an older process of this node is connected and has not exited."""
        return self._channel is not None and self._channel.hot_restart.has_predecessor

    @property
    def is_standby(self) -> bool:
        """Whether a predecessor serves and this process does not accept connections yet."""
        return self._channel is not None and self._channel.hot_restart.is_standby

    def begin_shutdown(self, now: datetime, /) -> ShutdownMode:
        """Notify the other processes that this one shuts down; return whether it drains or hands over."""
        hands_over = self._channel is not None and self._channel.hot_restart.begin_shutdown(now)
        return ShutdownMode.HAND_OVER if hands_over else ShutdownMode.DRAIN

    def stop(self) -> None:
        """Hand over the remaining resources and close the channel."""
        if self._channel is not None:
            self._channel.close()


def make(host: HotRestartHost) -> HotRestartComponent:
    """Create the component for a node whose configuration enables it."""
    return HotRestartComponent(host)
