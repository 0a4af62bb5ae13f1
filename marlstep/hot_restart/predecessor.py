"""State machine of this process as the predecessor, from the successor's connection to the end of the handover.

The state records whether a successor is connected, whether it accepts connections and whether it drains. It determines
the effect of SIGTERM and of the loss of the successor. `TRANSITIONS` defines the complete state machine;
docs/operations.md shows it for operators. The module does no I/O and reads no clock: callers pass in messages and the
current time.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

from marlstep.hot_restart.key_exchange import KeySnapshot
from marlstep.hot_restart.messages import (
    CapacityGrant,
    Hello,
    KeyReleased,
    KeyStatus,
    Message,
    PredecessorDone,
    ServingStateChanged,
    SuccessorDraining,
    SuccessorReady,
)
from marlstep.hot_restart.resource_sharing import ResourceSharing

if TYPE_CHECKING:
    from marlstep.hot_restart.interfaces import Host, Peer
    from marlstep.hot_restart.timeouts import LostProcessTimeouts

log = logging.getLogger(__name__)


class State(enum.Enum):
    """The state of the successor as this process knows it."""

    NO_SUCCESSOR = "no successor"
    SUCCESSOR_STARTING = "successor starting"  # connected, but does not accept connections yet
    SUCCESSOR_ACCEPTING = "successor accepting"  # it serves in parallel with this process
    SUCCESSOR_REPLACED = "successor replaced"  # it hands over to its own successor, which serves
    SUCCESSOR_DRAINING = "successor draining"  # it drains, and this process knows of no other that serves


class Event(enum.Enum):
    """An event reported by the successor, or a shutdown request to this process."""

    SUCCESSOR_CONNECTED = "successor connected"
    SUCCESSOR_READY = "successor ready"
    SUCCESSOR_REPLACED = "successor draining, replaced"  # SuccessorDraining(has_successor=True)
    SUCCESSOR_DRAINING = "successor draining, alone"  # SuccessorDraining(has_successor=False)
    SUCCESSOR_LOST = "successor lost"
    SHUTDOWN_REQUESTED = "shutdown requested"  # SIGTERM, or an operator's drain


class Effect(enum.Enum):
    """The action of a transition."""

    NONE = "nothing"
    SEND_SNAPSHOT = "send keys, give capacity"
    ACKNOWLEDGE = "send SuccessorReady"
    REPORT_SUCCESSOR_DRAINING = "report that the node drains, if SIGTERM has come"
    # HAND_OVER and DRAIN are carried out by `marlstep.drain.DrainController.drain` from the result of `begin_shutdown`.
    HAND_OVER = "stop accepting, finish what is in flight"
    DRAIN = "start the graceful shutdown"
    RECLAIM_CAPACITY = "reclaim capacity after a wait"
    RECLAIM_CAPACITY_AND_REPORT_LOSS = "reclaim capacity after a wait; graceful shutdown if SIGTERM has come"


@dataclass(slots=True, frozen=True)
class Transition:
    """The state after an event and the action to take."""

    next_state: State
    effect: Effect = Effect.NONE


# Events that are not listed for a state are ignored in it. Another process that connects is normally redirected to the
# existing successor. It replaces that successor, by SUCCESSOR_CONNECTED, only if that one reported no generation.
TRANSITIONS: Mapping[State, Mapping[Event, Transition]] = {
    State.NO_SUCCESSOR: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        Event.SHUTDOWN_REQUESTED: Transition(State.NO_SUCCESSOR, Effect.DRAIN),
    },
    State.SUCCESSOR_STARTING: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        Event.SUCCESSOR_READY: Transition(State.SUCCESSOR_ACCEPTING, Effect.ACKNOWLEDGE),
        # Sent by a successor that accepted connections before it was redirected here: its SuccessorReady went to the
        # process that redirected it. Without that message this process relies on neither the successor nor the process
        # that replaced it, and drains at SIGTERM.
        Event.SUCCESSOR_REPLACED: Transition(State.SUCCESSOR_DRAINING),
        Event.SUCCESSOR_DRAINING: Transition(State.SUCCESSOR_DRAINING, Effect.REPORT_SUCCESSOR_DRAINING),
        Event.SUCCESSOR_LOST: Transition(State.NO_SUCCESSOR, Effect.RECLAIM_CAPACITY_AND_REPORT_LOSS),
        Event.SHUTDOWN_REQUESTED: Transition(State.SUCCESSOR_STARTING, Effect.DRAIN),
    },
    State.SUCCESSOR_ACCEPTING: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        Event.SUCCESSOR_READY: Transition(State.SUCCESSOR_ACCEPTING, Effect.ACKNOWLEDGE),
        Event.SUCCESSOR_REPLACED: Transition(State.SUCCESSOR_REPLACED),
        Event.SUCCESSOR_DRAINING: Transition(State.SUCCESSOR_DRAINING, Effect.REPORT_SUCCESSOR_DRAINING),
        Event.SUCCESSOR_LOST: Transition(State.NO_SUCCESSOR, Effect.RECLAIM_CAPACITY_AND_REPORT_LOSS),
        Event.SHUTDOWN_REQUESTED: Transition(State.SUCCESSOR_ACCEPTING, Effect.HAND_OVER),
    },
    State.SUCCESSOR_REPLACED: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        Event.SUCCESSOR_READY: Transition(State.SUCCESSOR_REPLACED, Effect.ACKNOWLEDGE),
        Event.SUCCESSOR_DRAINING: Transition(State.SUCCESSOR_DRAINING, Effect.REPORT_SUCCESSOR_DRAINING),
        Event.SUCCESSOR_LOST: Transition(State.NO_SUCCESSOR, Effect.RECLAIM_CAPACITY),
        Event.SHUTDOWN_REQUESTED: Transition(State.SUCCESSOR_REPLACED, Effect.HAND_OVER),
    },
    State.SUCCESSOR_DRAINING: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        # This version never sends SuccessorReady here: it sends it on leaving standby, and a process in standby exits
        # at SIGTERM without SuccessorDraining. A process of another version that does accepts connections, so it is
        # acknowledged.
        Event.SUCCESSOR_READY: Transition(State.SUCCESSOR_REPLACED, Effect.ACKNOWLEDGE),
        Event.SUCCESSOR_DRAINING: Transition(State.SUCCESSOR_DRAINING, Effect.REPORT_SUCCESSOR_DRAINING),
        Event.SUCCESSOR_LOST: Transition(State.NO_SUCCESSOR, Effect.RECLAIM_CAPACITY),
        Event.SHUTDOWN_REQUESTED: Transition(State.SUCCESSOR_DRAINING, Effect.DRAIN),
    },
}


def shutdown_hands_over(state: State) -> bool:
    """Return whether SIGTERM starts a handover to the successor instead of a drain of the node.

    Rule: SIGTERM drains the node: health checks fail, the drain is reported to the name service, and after a grace
    period requests are rejected. Exception: while a successor, or the successor that replaced it, accepts connections,
    the node keeps serving. This process then stops accepting connections, finishes the requests in flight and does not
    report a drain; its regular reports to the name service continue.
    """
    return TRANSITIONS[state][Event.SHUTDOWN_REQUESTED].effect is Effect.HAND_OVER


class Predecessor:
    """The side of this process that hands over to its successor, if one is connected."""

    def __init__(
        self,
        host: Host,
        sharing: ResourceSharing,
        timeouts: LostProcessTimeouts,
        apply_capacity_limit: Callable[[], None],
    ) -> None:
        """Initialize the state machine without a successor.

        Args:
            host: this process.
            sharing: this process's part of the node's capacity.
            timeouts: timeouts that apply after the successor is lost.
            apply_capacity_limit: limits this process to the share that `sharing` allows.
        """
        self._host, self._sharing, self._apply_capacity_limit = host, sharing, apply_capacity_limit
        self.timeouts = timeouts
        self.state = State.NO_SUCCESSOR
        self._successor: Peer | None = None
        self._snapshot: KeySnapshot | None = None
        self._successor_generation = 0
        self._handing_over = False  # SIGTERM was received while a successor served

    @property
    def has_serving_successor(self) -> bool:
        """Whether SIGTERM would start a handover instead of a drain of the node."""
        return shutdown_hands_over(self.state)

    @property
    def has_successor(self) -> bool:
        """Whether a successor is connected, whether or not it serves."""
        return self._successor is not None

    @property
    def successor_generation(self) -> int:
        """The generation of the connected successor; 0 if none is connected or it reported no generation."""
        return 0 if self._successor is None else self._successor_generation

    def send(self, message: Message) -> None:
        """Send a message to the successor, if there is one."""
        if self._successor is not None:
            self._successor.send_message(message)

    def successor_connected(self, peer: Peer, hello: Hello, now: datetime) -> None:
        """Accept the peer as the successor of this process."""
        log.info("successor connected: pid=%d generation=%d", hello.pid, hello.generation)
        self._successor, self._successor_generation = peer, hello.generation
        self._apply(Event.SUCCESSOR_CONNECTED, now)

    def unknown_process_connected(self, now: datetime) -> None:
        """Limit this process to half of the capacity for a time: a peer that sent no valid Hello may serve too."""
        if self._successor is None:
            self._sharing.unknown_process_connected(now, self.timeouts.termination)
            self._apply_capacity_limit()

    def handle(self, message: Message, now: datetime) -> None:
        """Handle a message from the successor."""
        match message:
            case KeyStatus():
                self._host.adopt_key(message)
            case KeyReleased():
                self._host.release_key(message)
            case SuccessorReady():
                self._apply(Event.SUCCESSOR_READY, now)
            case SuccessorDraining(has_successor):
                replaced, alone = Event.SUCCESSOR_REPLACED, Event.SUCCESSOR_DRAINING
                self._apply(replaced if has_successor else alone, now)
            case ServingStateChanged(wants_traffic):
                self._host.set_wants_traffic(wants_traffic)

    def successor_lost(self, now: datetime) -> None:
        """Handle the end of the connection, whether the successor finished or failed."""
        if self._successor is not None:
            self._apply(Event.SUCCESSOR_LOST, now)

    def begin_shutdown(self, now: datetime) -> bool:
        """Handle SIGTERM. Return whether this process hands over to a serving successor; see `shutdown_hands_over`."""
        self._handing_over = self.has_serving_successor
        self._apply(Event.SHUTDOWN_REQUESTED, now)
        return self._handing_over

    def tick(self) -> None:
        """Send the next batch of the snapshot and grant free capacity to the successor."""
        if self._successor is None:
            return
        self._send_keys()
        in_use, needed = self._host.memory_and_concurrency_in_use()
        if self._handing_over:
            self._sharing.hand_over(needed)
        self._apply_capacity_limit()
        self._send_capacity_grant(self._sharing.grant(in_use))

    def finish(self) -> None:
        """Hand over everything that is left before this process exits.

        Runs that no client waits for may continue in the backend.
        """
        if self._successor is None:
            return
        while self._snapshot is not None:
            self._send_keys()
        self._send_capacity_grant(self._sharing.grant(0.0, all_remaining=True))
        self.send(PredecessorDone())

    def _send_keys(self) -> None:
        if self._snapshot is None:
            return
        for message in self._snapshot.next_batch():
            self.send(message)
        if self._snapshot.complete:
            self._snapshot = None

    def _send_capacity_grant(self, capacity_share: float) -> None:
        if capacity_share:
            self.send(CapacityGrant(capacity_share))

    def _apply(self, event: Event, now: datetime) -> None:
        transition = TRANSITIONS[self.state].get(event)
        if transition is None:
            return
        log.debug(
            "state changed: from=%s to=%s event=%s",
            self.state.value,
            transition.next_state.value,
            event.value,
        )
        self.state = transition.next_state
        match transition.effect:
            case Effect.SEND_SNAPSHOT:
                self._snapshot = KeySnapshot(self._host.key_statuses())
                self._sharing.successor_connected()
                self._apply_capacity_limit()
            case Effect.ACKNOWLEDGE:
                self._acknowledge_ready()
            case Effect.REPORT_SUCCESSOR_DRAINING:
                log.info("successor draining: generation=%d", self._successor_generation)
                self._host.successor_draining()
            case Effect.RECLAIM_CAPACITY:
                self._successor_ended(now, reason="drained")
            case Effect.RECLAIM_CAPACITY_AND_REPORT_LOSS:
                self._successor_ended(now, reason="connection_lost")
                self._host.successor_lost()
            case Effect.HAND_OVER | Effect.DRAIN | Effect.NONE:
                pass

    def _acknowledge_ready(self) -> None:
        log.info("successor accepts connections: generation=%d", self._successor_generation)
        if self._successor is not None:
            self._successor.require_prompt_reads()
            self._successor.send_message(SuccessorReady())
            self._host.successor_serves()

    def _successor_ended(self, now: datetime, reason: str) -> None:
        log.warning("successor exited: generation=%d reason=%s", self._successor_generation, reason)
        self._successor = self._snapshot = None
        self._handing_over = False
        self._sharing.successor_lost(now, self.timeouts.termination)
        self._host.mark_outcomes_unknown(now + self.timeouts.retry_window)
        self._apply_capacity_limit()
