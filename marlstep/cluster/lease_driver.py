"""The leases of this process: selects those to request, sends heartbeats, and records lease changes."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from datetime import datetime

from marlstep.cluster import wire
from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import MessageSender, TurnRequester
from marlstep.consensus.replica_messages import CommandResponse
from marlstep.leases.holder import LeaseEvent
from marlstep.leases.messages import HeartbeatResponse

log = logging.getLogger(__name__)


class LeaseDriver:
    """Drives the group client, which sends heartbeats and commands and handles their responses."""

    def __init__(
        self,
        context: NodeContext,
        turns: TurnRequester,
        sender: MessageSender,
        work_leases: Callable[[], Iterable[str]],
        config_lease: str | None,
    ) -> None:
        """Initialize the driver with no requested leases.

        Args:
            context: The shared state of the node.
            turns: Schedules a turn of the node.
            sender: Sends heartbeats and commands.
            work_leases: Returns the names of the leases for tasks and pools.
            config_lease: The name of the configuration lease; None if the node follows no documents.

        """
        self._context, self._turns, self._sender = context, turns, sender
        self._work_leases = work_leases
        self._config_leases: Sequence[str] = () if config_lease is None else (config_lease,)
        self.clock_drifts = False

    def update_wanted(self) -> None:
        """Request the leases that this process may hold now; a draining process requests no new ones."""
        process, holder = self._context.process, self._context.client.holder
        if process.drain_deadline is not None:
            return
        names: list[str] = []
        if process.relay_port is None:  # else the predecessor still runs tasks and health checks
            names += self._work_leases()
        if not self._context.capabilities.requests_leases:
            names = [name for name in names if name in holder.held]
        self._record_all(holder.set_wanted([*names, *self._config_leases]))

    def capabilities_changed(self) -> None:
        """Handle a change of the capabilities of this node in its partition state."""
        self.update_wanted()
        self._turns.schedule()

    def handle_response(
        self, now: datetime, envelope: wire.Envelope, message: HeartbeatResponse | CommandResponse
    ) -> bool:
        """Handle a response; return whether it was addressed to this process."""
        if envelope.to != self._context.process_name:
            return False
        self._record_all(self._context.client.handle_response(now, envelope.sender, message))
        self._check_clock_drift()
        return True

    def tick(self, now: datetime) -> None:
        """Expire leases, and send the heartbeats and commands that are due."""
        sends, events = self._context.client.tick(now)
        self._record_all(events)
        for recipient, message in sends:
            self._sender.send(self._context.process_name, recipient, message)

    def next_due(self, now: datetime) -> datetime:
        """Return when the client next needs a turn."""
        return self._context.client.next_due(now)

    def release(self, now: datetime, keep: Sequence[str]) -> None:
        """Release all leases except those in `keep` while this process drains.

        The configuration lease is not released but expires, because requests that arrive during the grace period
        after the drain notice still run.
        """
        client, holder = self._context.client, self._context.client.holder
        wanted_before = len(holder.wanted)
        self._record_all(holder.set_wanted([*keep, *self._config_leases]))
        if not keep and not holder.leaving:
            client.release_leases(now, self._config_leases)
        if len(holder.wanted) != wanted_before:
            client.schedule_heartbeat(now)
            self._turns.schedule()

    def _record_all(self, events: Iterable[LeaseEvent]) -> None:
        for event in events:
            log.info(
                "fleet: lease %s name=%s token=%d reason=%r",
                event.event,
                event.name,
                event.token,
                event.reason,
            )
            self._context.record_event(
                f"lease {event.name} {event.event}", f"token {event.token}: {event.reason}"
            )
            self._context.counts[f"leases {event.event}"] += 1

    def _check_clock_drift(self) -> None:
        if self._context.client.holder.clock_drifts == self.clock_drifts:
            return
        self.clock_drifts = not self.clock_drifts
        if self.clock_drifts:
            self._context.counts["drifts"] += 1
            log.error("fleet: clock drift exceeds the configured bound, as measured by the leader")
