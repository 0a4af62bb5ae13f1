"""Hot restart as a component: the node's other processes, where the platform passes a listening socket."""

from __future__ import annotations

import logging
import os
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, ClassVar

from marlstep.components.base import Component, StartPhase
from marlstep.config import Config
from marlstep.hot_restart.channel import RestartChannel
from marlstep.hot_restart.host_adapter import HostAdapter, HostHooks
from marlstep.hot_restart.restart import HotRestart
from marlstep.units import span

if TYPE_CHECKING:
    from marlstep.components.host import HotRestartHost

log = logging.getLogger("marlstep")


class HotRestartComponent(Component):
    """Meets the predecessor and the successor process in the folder that they have in common."""

    name: ClassVar[str] = "handover"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_CLIENTS

    def __init__(self, host: HotRestartHost) -> None:
        """Know of no other process before `open`."""
        self._host = host
        self._channel: RestartChannel | None = None
        self.has_predecessor_serving = False
        self.restart_state = self

    async def open(self, config: Config, _reuse_address: bool, /) -> None:
        """Meet the other processes; the one that serves, if any, is known from then on."""
        if config.runtime_directory is None:
            log.warning("hot restart is off: TMPDIR is not set")
            return
        core, timeline = self._host.core, self._host.timeline
        adapter = HostAdapter(core, timeline, self._hooks())

        def make_handover(generation: int) -> HotRestart:
            return HotRestart(adapter, generation, os.getpid(), *self._lost_process_times())

        channel = self._channel = RestartChannel(
            config.runtime_directory, config.name, timeline, make_handover
        )
        core.on_backend_ready = lambda: channel.handover.backend_ready(timeline.now())
        self.has_predecessor_serving = await channel.open()
        adapter.watch(channel.handover)

    def _hooks(self) -> HostHooks:
        host = self._host
        return HostHooks(
            take_over=host.take_over,
            successor_lost=host.drain_controller.successor_lost,
            successor_draining=host.drain_controller.successor_draining,
            limit_resources=host.limit_memory_share,
            connected=host.connection_share,
            serving_state_changed=host.report_serving_state,
        )

    def _lost_process_times(self) -> tuple[timedelta, timedelta]:
        """Give after which time a lost process has ended with its runs, and how long its requests are repeated."""
        classes = self._host.config.settings.classes
        longest = max(span(request_class.deadline_us) for request_class in classes)
        repeated = max(
            span(request_class.idempotency_window_us + request_class.deadline_us) for request_class in classes
        )
        return self._host.drain_controller.restart_timeout() + longest, repeated

    def reconfigure(self, _config: Config, /) -> None:
        """Take over the deadlines in force."""
        if self._channel is not None:
            self._channel.handover.set_timeouts(*self._lost_process_times())

    def serving_state_changed(self, ready: bool, /) -> None:
        """Tell the others that an operator quiesced or resumed the node at this process."""
        if self._channel is not None:
            self._channel.handover.serving_state_changed(ready)

    @property
    def has_predecessor(self) -> bool:
        """Another process of this node is older than this one."""
        return self._channel is not None and self._channel.handover.has_predecessor

    @property
    def is_standby(self) -> bool:
        """Another process serves, and this one does not yet."""
        return self._channel is not None and self._channel.handover.is_standby

    def hand_over_to_successor(self, now: datetime, /) -> bool:
        """Leave; whether another process serves in this one's place."""
        return self._channel is not None and self._channel.handover.drain(now)

    def stop(self) -> None:
        """Leave the meeting."""
        if self._channel is not None:
            self._channel.close()


def make(host: HotRestartHost) -> HotRestartComponent:
    """Make the component of a node whose configuration turns it on."""
    return HotRestartComponent(host)
