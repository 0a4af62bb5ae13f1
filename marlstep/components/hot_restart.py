"""The meeting with other processes of this node, as a part: only where a listening socket is passed."""

from __future__ import annotations

import logging
import os
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, ClassVar

from marlstep.components.base import Component, StartPhase
from marlstep.config import Config
from marlstep.handover.beside import Beside, Hooks
from marlstep.handover.meeting import Meeting
from marlstep.handover.peer import Handover
from marlstep.units import span

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class HotRestartComponent(Component):
    name: ClassVar[str] = "handover"
    start_phase: ClassVar[StartPhase] = StartPhase.WITH_CLIENTS

    def __init__(self, node: Node) -> None:
        self._node = node
        self._channel: Meeting | None = None
        self.has_predecessor_serving = False  # another process serves, whose place this one is to take

    async def open(self, config: Config, shared: bool) -> None:
        if config.folder is None:
            log.warning("TMPDIR is not set: an upgrade will not know this process")
            return
        node = self._node
        beside = Beside(
            node.core,
            node.timeline,
            Hooks(
                take_over=node.take_over,
                successor_lost=node.successor_lost,
                successor_leaves=node.successor_draining,
                bound=node.limit_memory_share,
                connected=lambda: len(node.resp.connections) / node.connection_budget(2)[1],
                duty_changed=lambda: node.naming.tell(node.core.duty.wanted),
            ),
        )

        def make(generation: int) -> Handover:
            return Handover(beside, generation, os.getpid(), *self._times())

        meeting = self._channel = Meeting(config.folder, config.name, node.timeline, make)
        node.core.on_cores_up = lambda: meeting.handover.cores_up(node.timeline.now())
        self.has_predecessor_serving = await meeting.open()
        beside.watch(meeting.handover)

    def _times(self) -> tuple[timedelta, timedelta]:
        """After which a process that was lost has ended, with its runs; and for how long repeats of them come."""
        kinds = self._node.config.settings.classes
        longest = max(span(kind.deadline_us) for kind in kinds)
        window = max(span(kind.window_us + kind.deadline_us) for kind in kinds)
        return self._node.restart_drain_timeout() + longest, window

    def reconfigure(self, config: Config) -> None:
        if self._channel is not None:
            self._channel.handover.renew(*self._times())

    def serving_state_changed(self, wanted: bool) -> None:
        """The node was quiesced, or resumed, at this process's door."""
        if self._channel is not None:
            self._channel.handover.duty_changed(wanted)

    @property
    def has_predecessor(self) -> bool:
        return self._channel is not None and self._channel.handover.has_elder

    @property
    def is_standby(self) -> bool:
        """Another process serves, and this one does not yet."""
        return self._channel is not None and self._channel.handover.takes_nothing

    def hand_over_to_successor(self, now: datetime) -> bool:
        """This process is told to leave: whether another serves in its place."""
        return self._channel is not None and self._channel.handover.leave(now)

    def stop(self) -> None:
        if self._channel is not None:
            self._channel.close()


def make(node: Node, room: int) -> HotRestartComponent:
    return HotRestartComponent(node)
