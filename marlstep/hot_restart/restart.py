"""The hot restart of one process: combines its takeover from a predecessor with its handover to a successor.

A process may have a predecessor, which it replaces, and a successor, which replaces it. The two state machines
`Successor` and `Predecessor` are named after the role of this process on that side. All other names, such as `PeerRole`
and `predecessor_lost`, refer to the role of the process at the other end. This module relays messages that concern both
sides. It does no I/O and reads no clock: callers pass in messages and the current time.
"""

from __future__ import annotations

from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.hot_restart.key_exchange import KeyAuthority, is_claim_granted
from marlstep.hot_restart.messages import (
    ClaimRequest,
    ClaimResponse,
    Hello,
    KeyReleased,
    KeyStatus,
    Message,
    ServingStateChanged,
    SuccessorDraining,
)
from marlstep.hot_restart.predecessor import Predecessor
from marlstep.hot_restart.resource_sharing import ResourceSharing
from marlstep.hot_restart.successor import Successor

if TYPE_CHECKING:
    from marlstep.hot_restart.interfaces import Host, Peer
    from marlstep.hot_restart.timeouts import LostProcessTimeouts

# These apply to the whole node, so they are relayed to the process on the other side.
RELAYED_MESSAGES = (KeyStatus, KeyReleased, ServingStateChanged)


class HotRestart:
    """The hot restart state of this process toward its predecessor and its successor."""

    def __init__(self, host: Host, generation: int, pid: int, timeouts: LostProcessTimeouts) -> None:
        """Initialize the state machines without a predecessor or successor.

        Args:
            host: this process.
            generation: the number of this process, counted per node from 1; 0 if the socket folder can't be read.
            pid: the id of this process, which the other processes log.
            timeouts: timeouts that apply after a process is lost.
        """
        self.generation = generation
        self._host, self._pid = host, pid
        self.sharing = ResourceSharing()
        self._applied_limit = self.sharing.limit
        self._toward_predecessor = Successor(host, self.sharing, timeouts, self._apply_capacity_limit)
        self._toward_successor = Predecessor(host, self.sharing, timeouts, self._apply_capacity_limit)

    @property
    def has_serving_successor(self) -> bool:
        """Whether a successor accepts connections, so that SIGTERM does not drain the node."""
        return self._toward_successor.has_serving_successor

    @property
    def is_idle(self) -> bool:
        """Whether this process serves alone and `tick` has nothing to do."""
        return self.sharing.is_sole_process and self._toward_predecessor.is_serving

    @property
    def has_predecessor(self) -> bool:
        """Whether an older process of this node is connected and has not ended."""
        return self._toward_predecessor.has_predecessor

    @property
    def is_standby(self) -> bool:
        """Whether a predecessor serves and this process does not accept connections yet."""
        return self._toward_predecessor.is_standby

    def set_timeouts(self, timeouts: LostProcessTimeouts) -> None:
        """Apply reloaded timeouts. Longer ones that were in force before stay in force."""
        extended = self._toward_predecessor.timeouts.extended_by(timeouts)
        self._toward_predecessor.timeouts = self._toward_successor.timeouts = extended

    # Events and messages of the predecessor's side.

    def predecessor_connected(self, peer: Peer, now: datetime) -> None:
        """Start to take over from the peer."""
        self._toward_predecessor.predecessor_connected(peer, Hello(self.generation, self._pid), now)

    def handle_predecessor_message(self, message: Message, now: datetime) -> None:
        """Handle a message from the predecessor, and relay it if it concerns the successor."""
        self._toward_predecessor.handle(message, now)
        if isinstance(message, RELAYED_MESSAGES):
            self._toward_successor.send(message)
        self._toward_predecessor.advance(now)

    def predecessor_lost(self, now: datetime) -> None:
        """Handle the loss of the predecessor's connection, closed or corrupt."""
        self._toward_predecessor.predecessor_lost(now)

    def predecessor_unreachable(self, now: datetime) -> None:
        """Handle an older process that did not answer but may be alive."""
        self._toward_predecessor.predecessor_unreachable(now)

    def backend_ready(self, now: datetime) -> None:
        """Record that the backend's connection is up."""
        self._toward_predecessor.backend_became_ready(now)

    # Events and messages of the successor's side.

    def unknown_process_connected(self, now: datetime) -> None:
        """Handle a connecting process that sent no valid Hello; it may run another version."""
        self._toward_successor.unknown_process_connected(now)

    def successor_connected(self, peer: Peer, hello: Hello, now: datetime) -> bool:
        """Answer a process that connected to take over. Return False if it is redirected to the existing successor."""
        existing_generation = self._toward_successor.successor_generation
        measurements = {} if existing_generation else self._host.measurements()
        wants_traffic = self._host.wants_traffic()
        peer.send_message(Hello(self.generation, self._pid, wants_traffic, existing_generation, measurements))
        if existing_generation:
            return False
        self._toward_successor.successor_connected(peer, hello, now)
        return True

    def handle_successor_message(self, message: Message, now: datetime) -> None:
        """Handle a message from the successor, and relay it if it concerns the predecessor."""
        if not self._toward_successor.has_successor:
            return
        if isinstance(message, ClaimRequest):
            self._handle_claim(message, now)
            return
        self._toward_successor.handle(message, now)
        if isinstance(message, RELAYED_MESSAGES):
            self._toward_predecessor.send(message)

    def successor_lost(self, now: datetime) -> None:
        """Handle the end of the successor's connection, whether the successor finished or failed."""
        self._toward_successor.successor_lost(now)

    def _handle_claim(self, claim: ClaimRequest, now: datetime) -> None:
        respond = partial(self._respond_to_claim, claim)
        if self._known_status(claim) is not None or not self.claim(
            claim.request_class, claim.idempotency_key, claim.request_label, now, respond
        ):
            # No predecessor has to be asked, so none rejects the claim. `_respond_to_claim` still rejects a known key.
            respond(ClaimResult.GRANTED)

    def _known_status(self, claim: ClaimRequest) -> KeyStatus | None:
        return self._host.find_key(claim.request_class, claim.idempotency_key, claim.request_label)

    def _respond_to_claim(self, claim: ClaimRequest, predecessor_result: ClaimResult) -> None:
        known_status = self._known_status(claim)
        granted = is_claim_granted(known_status, predecessor_result)
        if known_status is not None:
            self._toward_successor.send(known_status)  # the successor may not have received it yet
        elif granted:
            self._host.adopt_key(KeyStatus(claim.request_class, claim.idempotency_key, claim.request_label))
        self._toward_successor.send(ClaimResponse(claim.number, granted))

    # Operations that involve both sides.

    def key_authority(self, now: datetime) -> KeyAuthority:
        """Return which process decides now whether a request with an idempotency key may run here."""
        return self._toward_predecessor.key_authority(now)

    def claim(
        self,
        request_class: str,
        idempotency_key: str,
        request_label: str,
        now: datetime,
        on_decided: ClaimCallback,
    ) -> bool:
        """Claim a key before its request runs. Return False if no other process needs to be asked."""
        return self._toward_predecessor.claim(request_class, idempotency_key, request_label, now, on_decided)

    def key_changed(self, message: KeyStatus | KeyReleased) -> None:
        """Send a change of a key to both sides, so that they know it before the affected run begins."""
        self._broadcast(message)

    def serving_state_changed(self, wants_traffic: bool) -> None:
        """Send to both sides that an operator quiesced or resumed the node at this process."""
        self._broadcast(ServingStateChanged(wants_traffic))

    def _broadcast(self, message: Message) -> None:
        self._toward_predecessor.send(message)
        self._toward_successor.send(message)

    def begin_shutdown(self, now: datetime) -> bool:
        """Handle SIGTERM. Return whether this process hands over to a serving successor; see `shutdown_hands_over`."""
        hands_over = self._toward_successor.begin_shutdown(now)
        self._toward_predecessor.send(SuccessorDraining(hands_over))
        self.tick(now)
        return hands_over

    def tick(self, now: datetime) -> None:
        """Run periodic work and expired timeouts. Called every `TICK_INTERVAL` until `is_idle`."""
        self.sharing.reclaim_lost_shares(now)
        self._toward_successor.tick()
        self._toward_predecessor.advance(now)

    def finish(self) -> None:
        """Hand over everything that is left before this process exits."""
        self._toward_successor.finish()

    def _apply_capacity_limit(self) -> None:
        if self.sharing.limit != self._applied_limit:
            self._applied_limit = self.sharing.limit
            self._host.limit_capacity(self._applied_limit)
