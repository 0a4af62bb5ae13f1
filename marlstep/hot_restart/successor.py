"""State machine of this process as the successor, from its start until it serves in place of its predecessor.

Every process of a node starts in this state machine. Without a predecessor it serves as soon as its backend is ready.
With one it stands by until it has the predecessor's keys and a share of the capacity. It then accepts connections in
parallel with the predecessor, and sends SuccessorReady to it. It reports that it can serve once the predecessor has
acknowledged this message or has ended, or after `ACKNOWLEDGE_TIMEOUT`. `TRANSITIONS` defines the complete state
machine; docs/operations.md shows it for operators. The module does no I/O and reads no clock: callers pass in messages
and the current time.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.hot_restart.key_exchange import (
    KeyAuthority,
    OpenClaims,
    PredecessorEnd,
    key_authority,
    outcomes_unknown_until,
    result_of_open_claims,
)
from marlstep.hot_restart.messages import (
    CapacityGrant,
    ClaimRequest,
    ClaimResponse,
    Hello,
    KeyReleased,
    KeyStatus,
    Message,
    PredecessorDone,
    ServingStateChanged,
    SnapshotComplete,
    SuccessorReady,
)
from marlstep.hot_restart.resource_sharing import ResourceSharing
from marlstep.units import SECOND

if TYPE_CHECKING:
    from marlstep.hot_restart.interfaces import Host, Peer
    from marlstep.hot_restart.timeouts import LostProcessTimeouts

log = logging.getLogger(__name__)

# Limit on the time from the connection until the predecessor has sent its keys and a capacity grant.
INITIAL_SYNC_TIMEOUT = 1 * SECOND
ACKNOWLEDGE_TIMEOUT = 3 * SECOND  # for the predecessor to acknowledge SuccessorReady


class State(enum.Enum):
    """The stage of this process's startup."""

    STARTING = "starting"  # no predecessor is connected and the backend is not ready
    STANDBY = "standby"  # a predecessor serves; this process accepts no connections
    ACCEPTING = "accepting"  # accepts connections; the predecessor has not acknowledged this yet
    SERVING = "serving"  # health checks report that this process can serve


class Event(enum.Enum):
    """An event that may change the state."""

    PREDECESSOR_CONNECTED = "predecessor connected"
    PREDECESSOR_ENDED = "predecessor ended"
    MAY_ACCEPT = "may accept connections"  # `may_accept_connections` returned True
    READY_ACKNOWLEDGED = "ready acknowledged"
    ACKNOWLEDGE_TIMED_OUT = "acknowledge timed out"


class Effect(enum.Enum):
    """The action of a transition."""

    NONE = "nothing"
    ACCEPT_AND_ANNOUNCE = "accept connections, send SuccessorReady"
    ACCEPT_AND_MARK_READY = "accept connections, report ready"
    MARK_READY = "report ready"


@dataclass(slots=True, frozen=True)
class Transition:
    """The state after an event and the action to take."""

    next_state: State
    effect: Effect = Effect.NONE


# Events that are not listed for a state, such as a late acknowledgement, are ignored in it.
TRANSITIONS: Mapping[State, Mapping[Event, Transition]] = {
    State.STARTING: {
        Event.PREDECESSOR_CONNECTED: Transition(State.STANDBY),
        Event.MAY_ACCEPT: Transition(State.SERVING, Effect.ACCEPT_AND_MARK_READY),
    },
    State.STANDBY: {
        Event.PREDECESSOR_ENDED: Transition(State.STARTING),
        Event.MAY_ACCEPT: Transition(State.ACCEPTING, Effect.ACCEPT_AND_ANNOUNCE),
    },
    State.ACCEPTING: {
        Event.READY_ACKNOWLEDGED: Transition(State.SERVING, Effect.MARK_READY),
        Event.ACKNOWLEDGE_TIMED_OUT: Transition(State.SERVING, Effect.MARK_READY),
        Event.PREDECESSOR_ENDED: Transition(State.SERVING, Effect.MARK_READY),
    },
    State.SERVING: {},
}


def may_accept_connections(
    *,
    backend_ready: bool,
    predecessor_connected: bool,
    snapshot_complete: bool,
    capacity_share: float,
    initial_sync_timed_out: bool,
) -> bool:
    """Return whether a process that does not accept connections yet may start to.

    Rule: its backend is ready, and it has all keys of the predecessor and a share of the node's capacity. Exception:
    without a predecessor, or after `INITIAL_SYNC_TIMEOUT`, a ready backend is enough: a predecessor that hangs must not
    keep the node from serving.

    Args:
        backend_ready: whether the backend's connection is up, so that this process can start runs.
        predecessor_connected: whether an older process of this node is connected and has not ended.
        snapshot_complete: whether all keys that the predecessor knew when the connection opened have been received.
        capacity_share: this process's limit, 0 to 1 of the node's capacity.
        initial_sync_timed_out: whether `INITIAL_SYNC_TIMEOUT` has passed since the predecessor connected.
    """
    if not backend_ready:
        return False
    need_not_wait = not predecessor_connected or initial_sync_timed_out
    initial_sync_complete = snapshot_complete and capacity_share > 0
    return need_not_wait or initial_sync_complete


def has_passed(deadline: datetime | None, now: datetime) -> bool:
    """Return whether a deadline is set and has passed."""
    return deadline is not None and deadline <= now


class Successor:
    """The side of this process that takes over from its predecessor, if one is connected."""

    def __init__(
        self,
        host: Host,
        sharing: ResourceSharing,
        timeouts: LostProcessTimeouts,
        apply_capacity_limit: Callable[[], None],
    ) -> None:
        """Initialize the state machine without a predecessor.

        Args:
            host: this process.
            sharing: this process's part of the node's capacity.
            timeouts: timeouts that apply after the predecessor is lost.
            apply_capacity_limit: limits this process to the share that `sharing` allows.
        """
        self._host, self._sharing, self._apply_capacity_limit = host, sharing, apply_capacity_limit
        self.timeouts = timeouts
        self.state = State.STARTING
        self._predecessor: Peer | None = None
        self._predecessor_generation = 0  # 0: unknown
        self._backend_ready = self._snapshot_complete = False
        self._initial_sync_deadline: datetime | None = None
        self._acknowledge_deadline: datetime | None = None
        self._outcomes_unknown_until: datetime | None = None
        self._claims = OpenClaims()

    @property
    def has_predecessor(self) -> bool:
        """Whether an older process of this node is connected and has not ended."""
        return self._predecessor is not None

    @property
    def is_standby(self) -> bool:
        """Whether a predecessor serves and this process does not accept connections yet."""
        return self.state is State.STANDBY

    @property
    def is_serving(self) -> bool:
        """Whether health checks report that this process can serve."""
        return self.state is State.SERVING

    def send(self, message: Message) -> None:
        """Send a message to the predecessor, if there is one."""
        if self._predecessor is not None:
            self._predecessor.send_message(message)

    def backend_became_ready(self, now: datetime) -> None:
        """Record that the backend's connection is up."""
        self._backend_ready = True
        self.advance(now)

    def predecessor_connected(self, peer: Peer, hello: Hello, now: datetime) -> None:
        """Send Hello to the predecessor and start the initial sync."""
        self._predecessor, self._initial_sync_deadline = peer, now + INITIAL_SYNC_TIMEOUT
        self._sharing.predecessor_connected()
        peer.send_message(hello)
        self._apply_capacity_limit()
        self._apply(Event.PREDECESSOR_CONNECTED, now)
        if self.state in (State.ACCEPTING, State.SERVING):  # it was redirected here after it began to accept
            self._announce_ready(now)

    def predecessor_lost(self, now: datetime) -> None:
        """Handle a connection to the predecessor that was closed or carried corrupt data."""
        if self._predecessor is None:
            return
        log.warning(
            "predecessor exited: generation=%d reason=%s keyed_requests_fail_s=%.1f",
            self._predecessor_generation,
            PredecessorEnd.CONNECTION_LOST.value,
            self.timeouts.retry_window.total_seconds(),
        )
        self._sharing.predecessor_lost(now, self.timeouts.termination)
        self._predecessor_ended(PredecessorEnd.CONNECTION_LOST, now)
        self.advance(now)

    def predecessor_unreachable(self, now: datetime) -> None:
        """Handle an older process that did not answer: it may be alive and run requests with keys."""
        log.warning(
            "predecessor unreachable: keyed_requests_fail_s=%.1f",
            self.timeouts.retry_window.total_seconds(),
        )
        self._outcomes_unknown_until = outcomes_unknown_until(
            PredecessorEnd.UNREACHABLE, now, self.timeouts.retry_window
        )
        if not self.has_predecessor:
            self._sharing.predecessor_unreachable(now, self.timeouts.termination)
            self._apply_capacity_limit()

    def handle(self, message: Message, now: datetime) -> None:
        """Handle a message from the predecessor; the caller then calls `advance`."""
        match message:
            case Hello():
                self._predecessor_generation = message.generation
                self._host.set_wants_traffic(message.wants_traffic)
                self._host.adopt_measurements(message.measurements)
                log.info("predecessor connected: pid=%d generation=%d", message.pid, message.generation)
            case KeyStatus():
                self._host.adopt_key(message)
            case KeyReleased():
                self._host.release_key(message)
            case SnapshotComplete():
                self._snapshot_complete = True
            case CapacityGrant(capacity_share):
                self._sharing.receive(capacity_share)
            case ClaimResponse(number, granted):
                self._claims.decide(number, granted)
            case SuccessorReady():
                self._apply(Event.READY_ACKNOWLEDGED, now)
            case ServingStateChanged(wants_traffic):
                self._host.set_wants_traffic(wants_traffic)
            case PredecessorDone():
                log.info(
                    "predecessor exited: generation=%d reason=%s",
                    self._predecessor_generation,
                    PredecessorEnd.HANDOVER_COMPLETE.value,
                )
                self._sharing.predecessor_done()
                self._predecessor_ended(PredecessorEnd.HANDOVER_COMPLETE, now)

    def _predecessor_ended(self, end: PredecessorEnd, now: datetime) -> None:
        self._predecessor = None
        unknown_until = outcomes_unknown_until(end, now, self.timeouts.retry_window)
        if unknown_until is not None:
            self._outcomes_unknown_until = unknown_until
        # After a complete hot restart this expires the predecessor's unfinished entries, so that none stays unknown.
        self._host.mark_outcomes_unknown(unknown_until or now)
        self._claims.decide_all(result_of_open_claims(end))
        self._apply_capacity_limit()
        self._apply(Event.PREDECESSOR_ENDED, now)

    def claim(
        self,
        request_class: str,
        idempotency_key: str,
        request_label: str,
        now: datetime,
        on_decided: ClaimCallback,
    ) -> bool:
        """Claim a key before its request runs.

        Returns:
            False if this process decides; `on_decided` is not called then.
        """
        match self.key_authority(now):
            case KeyAuthority.THIS_PROCESS:
                return False
            case KeyAuthority.NOBODY:
                on_decided(ClaimResult.UNSURE)
            case KeyAuthority.PREDECESSOR:
                number = self._claims.add(on_decided)
                self.send(ClaimRequest(number, request_class, idempotency_key, request_label))
        return True

    def key_authority(self, now: datetime) -> KeyAuthority:
        """Return which process decides now whether a request with an idempotency key may run here."""
        return key_authority(
            predecessor_connected=self.has_predecessor,
            unknown_until=self._outcomes_unknown_until,
            now=now,
        )

    def advance(self, now: datetime) -> None:
        """Take the transitions that are due. Called after every message and on every tick."""
        self._apply_capacity_limit()
        if may_accept_connections(
            backend_ready=self._backend_ready,
            predecessor_connected=self.has_predecessor,
            snapshot_complete=self._snapshot_complete,
            capacity_share=self._sharing.limit,
            initial_sync_timed_out=has_passed(self._initial_sync_deadline, now),
        ):
            self._apply(Event.MAY_ACCEPT, now)
        if has_passed(self._acknowledge_deadline, now):
            self._apply(Event.ACKNOWLEDGE_TIMED_OUT, now)

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
            case Effect.ACCEPT_AND_ANNOUNCE:
                self._host.accept_connections()
                self._announce_ready(now)
            case Effect.ACCEPT_AND_MARK_READY:
                self._host.accept_connections()
                self._host.mark_ready()
            case Effect.MARK_READY:
                self._host.mark_ready()
            case Effect.NONE:
                pass

    def _announce_ready(self, now: datetime) -> None:
        self._acknowledge_deadline = now + ACKNOWLEDGE_TIMEOUT
        if self._predecessor is not None:
            self._predecessor.require_prompt_reads()
            self._predecessor.send_message(SuccessorReady())
