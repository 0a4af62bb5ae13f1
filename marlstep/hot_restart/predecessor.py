"""This process as the predecessor: from the successor's connection until nothing is left to hand over.

The state is what this process knows of its successor: whether there is one, whether it accepts connections, and whether
it drains. From it follows what SIGTERM means here and what the loss of the successor does. `TRANSITIONS` is the whole
state machine. docs/operations.md shows it for operators. There is no I/O and no clock: messages come in, and time is
passed in.
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
    """What this process knows of its successor."""

    NO_SUCCESSOR = "no successor"
    SUCCESSOR_STARTING = "successor starting"  # connected, and accepts no connections yet
    SUCCESSOR_ACCEPTING = "successor accepting"  # it serves beside this process
    SUCCESSOR_REPLACED = "successor replaced"  # it hands over, and its own successor serves
    SUCCESSOR_DRAINING = "successor draining"  # it drains, and no process is known here to serve in its place


class Event(enum.Enum):
    """What a successor does, and what is asked of this process."""

    SUCCESSOR_CONNECTED = "successor connected"
    SUCCESSOR_READY = "successor ready"
    SUCCESSOR_REPLACED = "successor draining, replaced"  # SuccessorDraining with a successor of its own
    SUCCESSOR_DRAINING = "successor draining, alone"  # SuccessorDraining without
    SUCCESSOR_LOST = "successor lost"
    SHUTDOWN_REQUESTED = "shutdown requested"  # SIGTERM, or an operator's drain


class Effect(enum.Enum):
    """What a transition has this process do."""

    NONE = "nothing"
    SEND_SNAPSHOT = "send keys, give capacity"
    ACKNOWLEDGE = "send SuccessorReady"
    REPORT_SUCCESSOR_DRAINING = "report that the node drains, if SIGTERM has come"
    # These two are carried out by `marlstep.drain.DrainController.drain`, by the result of `begin_shutdown`.
    HAND_OVER = "stop accepting, finish what is in flight"
    DRAIN = "start the graceful shutdown"
    RECLAIM_CAPACITY = "reclaim capacity after a wait"
    RECLAIM_CAPACITY_AND_REPORT_LOSS = "reclaim capacity after a wait; graceful shutdown if SIGTERM has come"


@dataclass(slots=True, frozen=True)
class Transition:
    """Where an event leads, and what is done on the way."""

    next_state: State
    effect: Effect = Effect.NONE


# An event that is missing at a state changes nothing. A second process is redirected to the successor that there is; it
# gets here, and replaces that one, only where that one gave no generation to be redirected to.
TRANSITIONS: Mapping[State, Mapping[Event, Transition]] = {
    State.NO_SUCCESSOR: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        Event.SHUTDOWN_REQUESTED: Transition(State.NO_SUCCESSOR, Effect.DRAIN),
    },
    State.SUCCESSOR_STARTING: {
        Event.SUCCESSOR_CONNECTED: Transition(State.SUCCESSOR_STARTING, Effect.SEND_SNAPSHOT),
        Event.SUCCESSOR_READY: Transition(State.SUCCESSOR_ACCEPTING, Effect.ACKNOWLEDGE),
        # From a successor that accepted connections before it was redirected here: it announced that to the process
        # that redirected it. Without its SuccessorReady this process counts on neither, and drains at SIGTERM.
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
        # Not sent by this version: SuccessorReady is sent on leaving standby, and a process in standby ends at SIGTERM
        # without SuccessorDraining. A process that says so all the same accepts connections, and is acknowledged.
        Event.SUCCESSOR_READY: Transition(State.SUCCESSOR_REPLACED, Effect.ACKNOWLEDGE),
        Event.SUCCESSOR_DRAINING: Transition(State.SUCCESSOR_DRAINING, Effect.REPORT_SUCCESSOR_DRAINING),
        Event.SUCCESSOR_LOST: Transition(State.NO_SUCCESSOR, Effect.RECLAIM_CAPACITY),
        Event.SHUTDOWN_REQUESTED: Transition(State.SUCCESSOR_DRAINING, Effect.DRAIN),
    },
}


def shutdown_hands_over(state: State) -> bool:
    """Decide whether SIGTERM means a hot restart, and no drain of the node.

    Rule: SIGTERM drains the node: health checks fail, the name service hears of it, and after a grace requests are
    rejected. Exception: while a successor accepts connections, or its own successor does in its place, the node goes
    on; this process stops accepting, finishes what is in flight, and does not report that it leaves. Its regular
    reports to the name service go on.
    """
    return TRANSITIONS[state][Event.SHUTDOWN_REQUESTED].effect is Effect.HAND_OVER


class Predecessor:
    """This process's connection to its successor, if there is one, and what is handed over to it."""

    def __init__(
        self,
        host: Host,
        sharing: ResourceSharing,
        timeouts: LostProcessTimeouts,
        apply_capacity_limit: Callable[[], None],
    ) -> None:
        """Begin without a successor.

        Args:
            host: this process.
            sharing: its part of the node's capacity.
            timeouts: how long the work of a lost successor matters.
            apply_capacity_limit: bounds this process to what `sharing` allows.
        """
        self._host, self._sharing, self._apply_capacity_limit = host, sharing, apply_capacity_limit
        self.timeouts = timeouts
        self.state = State.NO_SUCCESSOR
        self._successor: Peer | None = None
        self._snapshot: KeySnapshot | None = None
        self._successor_generation = 0
        self._handing_over = False  # SIGTERM has come, and the successor serves in this process's place

    @property
    def has_serving_successor(self) -> bool:
        """Whether SIGTERM would be a hot restart, and no drain of the node."""
        return shutdown_hands_over(self.state)

    @property
    def has_successor(self) -> bool:
        """Whether a successor is connected, serving or not."""
        return self._successor is not None

    @property
    def successor_generation(self) -> int:
        """The generation of the connected successor; 0 where there is none, or it gave none."""
        return 0 if self._successor is None else self._successor_generation

    def send(self, message: Message) -> None:
        """Send a message to the successor, if there is one."""
        if self._successor is not None:
            self._successor.send_message(message)

    def successor_connected(self, peer: Peer, hello: Hello, now: datetime) -> None:
        """Take the process at the other end as the successor of this one."""
        log.info("successor connected: pid=%d generation=%d", hello.pid, hello.generation)
        self._successor, self._successor_generation = peer, hello.generation
        self._apply(Event.SUCCESSOR_CONNECTED, now)

    def unknown_process_connected(self, now: datetime) -> None:
        """Keep to half of the capacity for a while: a process that can't be understood may serve as well."""
        if self._successor is None:
            self._sharing.unknown_process_connected(now, self.timeouts.termination)
            self._apply_capacity_limit()

    def handle(self, message: Message, now: datetime) -> None:
        """Act on a message of the successor."""
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
        """Handle the end of the connection, in order or not."""
        if self._successor is not None:
            self._apply(Event.SUCCESSOR_LOST, now)

    def begin_shutdown(self, now: datetime) -> bool:
        """Handle SIGTERM. Return whether this process hands over: a successor serves on; see `shutdown_hands_over`."""
        self._handing_over = self.has_serving_successor
        self._apply(Event.SHUTDOWN_REQUESTED, now)
        return self._handing_over

    def tick(self) -> None:
        """Send the next keys, and give away the capacity that is free."""
        if self._successor is None:
            return
        self._send_keys()
        in_use, needed = self._host.memory_and_concurrency_in_use()
        if self._handing_over:
            self._sharing.drain(needed)
        self._apply_capacity_limit()
        self._send_capacity_grant(self._sharing.grant(in_use))

    def finish(self) -> None:
        """Hand over all that is left: this process ends. Runs that no client waits for may go on in the backend."""
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

    def _successor_ended(self, now: datetime, reason: str) -> None:
        log.warning("successor exited: generation=%d reason=%s", self._successor_generation, reason)
        self._successor = self._snapshot = None
        self._handing_over = False
        self._sharing.successor_lost(now, self.timeouts.termination)
        self._host.mark_outcomes_unknown(now + self.timeouts.retry_window)
        self._apply_capacity_limit()
