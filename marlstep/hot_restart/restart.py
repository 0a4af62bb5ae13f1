"""The hot restart of one process: its way to serving, and what it hands over, side by side.

Each process may have a predecessor, whose place it takes, and a successor, which takes its place. `Successor` and
`Predecessor` are the two state machines, each named for what this process is on that side. All other names, such as
`PeerRole` and `predecessor_lost`, say what the process at the other end is. What comes from one side and concerns the
other is passed on here. There is no I/O and no clock: messages come in, and time is passed in.
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

RELAYED_MESSAGES = (KeyStatus, KeyReleased, ServingStateChanged)  # true of the node: passed along the chain


class HotRestart:
    """This process among the processes of its node."""

    def __init__(self, host: Host, generation: int, pid: int, timeouts: LostProcessTimeouts) -> None:
        """Begin without another process.

        Args:
            host: this process.
            generation: its number among the node's processes, from 1; 0 where their folder can't be read.
            pid: its process id, for the logs of the others.
            timeouts: how long the work of a lost process matters.
        """
        self.generation = generation
        self._host, self._pid = host, pid
        self.sharing = ResourceSharing()
        self._applied_limit = self.sharing.limit
        self._toward_predecessor = Successor(host, self.sharing, timeouts, self._apply_capacity_limit)
        self._toward_successor = Predecessor(host, self.sharing, timeouts, self._apply_capacity_limit)

    @property
    def has_serving_successor(self) -> bool:
        """Whether a successor accepts connections: SIGTERM is then no drain of the node."""
        return self._toward_successor.has_serving_successor

    @property
    def is_idle(self) -> bool:
        """Whether there is no other process, and nothing to wait for."""
        return self.sharing.is_sole_process and self._toward_predecessor.is_serving

    @property
    def has_predecessor(self) -> bool:
        """Whether an older process of this node is connected and has not ended."""
        return self._toward_predecessor.has_predecessor

    @property
    def is_standby(self) -> bool:
        """Whether a predecessor serves, and this process does not accept connections yet."""
        return self._toward_predecessor.is_standby

    def set_timeouts(self, timeouts: LostProcessTimeouts) -> None:
        """Take over new settings. What ran under longer timeouts keeps them."""
        extended = self._toward_predecessor.timeouts.extended_by(timeouts)
        self._toward_predecessor.timeouts = self._toward_successor.timeouts = extended

    # The predecessor of this process.

    def predecessor_connected(self, peer: Peer, now: datetime) -> None:
        """Begin to take over from the process at the other end."""
        self._toward_predecessor.predecessor_connected(peer, Hello(self.generation, self._pid), now)

    def handle_predecessor_message(self, message: Message, now: datetime) -> None:
        """Act on a message of the predecessor, and pass on what concerns the successor."""
        self._toward_predecessor.handle(message, now)
        if isinstance(message, RELAYED_MESSAGES):
            self._toward_successor.send(message)
        self._toward_predecessor.advance(now)

    def predecessor_lost(self, now: datetime) -> None:
        """Handle a connection to the predecessor that is cut or corrupt."""
        self._toward_predecessor.predecessor_lost(now)

    def predecessor_unreachable(self, now: datetime) -> None:
        """Handle a process that listens and did not answer."""
        self._toward_predecessor.predecessor_unreachable(now)

    def backend_ready(self, now: datetime) -> None:
        """Note that the backend's connection is up."""
        self._toward_predecessor.backend_became_ready(now)

    # The successor of this process.

    def unknown_process_connected(self, now: datetime) -> None:
        """Handle a process that can't be understood; it may be of another version."""
        self._toward_successor.unknown_process_connected(now)

    def successor_connected(self, peer: Peer, hello: Hello, now: datetime) -> bool:
        """Answer a process that came to take over. False where it is redirected to the successor that there is."""
        existing_generation = self._toward_successor.successor_generation
        measurements = {} if existing_generation else self._host.measurements()
        wants_traffic = self._host.wants_traffic()
        peer.send_message(Hello(self.generation, self._pid, wants_traffic, existing_generation, measurements))
        if existing_generation:
            return False
        self._toward_successor.successor_connected(peer, hello, now)
        return True

    def handle_successor_message(self, message: Message, now: datetime) -> None:
        """Act on a message of the successor, and pass on what concerns the predecessor."""
        if not self._toward_successor.has_successor:
            return
        if isinstance(message, ClaimRequest):
            self._handle_claim(message, now)
            return
        self._toward_successor.handle(message, now)
        if isinstance(message, RELAYED_MESSAGES):
            self._toward_predecessor.send(message)

    def successor_lost(self, now: datetime) -> None:
        """Handle the end of the connection to the successor, in order or not."""
        self._toward_successor.successor_lost(now)

    def _handle_claim(self, claim: ClaimRequest, now: datetime) -> None:
        respond = partial(self._respond_to_claim, claim)
        already_known = self._host.find_key(claim.request_class, claim.idempotency_key) is not None
        if already_known or not self.claim(
            claim.request_class, claim.idempotency_key, claim.request_label, now, respond
        ):
            # No predecessor has to be asked, so none is against it. `_respond_to_claim` still rejects a known key.
            respond(ClaimResult.GRANTED)

    def _respond_to_claim(self, claim: ClaimRequest, predecessor_result: ClaimResult) -> None:
        known_status = self._host.find_key(claim.request_class, claim.idempotency_key)
        granted = is_claim_granted(known_status, predecessor_result)
        if known_status is not None:
            self._toward_successor.send(known_status)  # it may not have come to the successor yet
        elif granted:
            self._host.adopt_key(KeyStatus(claim.request_class, claim.idempotency_key, claim.request_label))
        self._toward_successor.send(ClaimResponse(claim.number, granted))

    # Both.

    def key_authority(self, now: datetime) -> KeyAuthority:
        """Return who decides now whether a request with an idempotency key may run here."""
        return self._toward_predecessor.key_authority(now)

    def claim(
        self,
        request_class: str,
        idempotency_key: str,
        request_label: str,
        now: datetime,
        on_decided: ClaimCallback,
    ) -> bool:
        """Ask whether a request may run. False where nobody has to be asked."""
        return self._toward_predecessor.claim(request_class, idempotency_key, request_label, now, on_decided)

    def key_changed(self, message: KeyStatus | KeyReleased) -> None:
        """Send what has changed of a key here: the others know it before the run concerned begins."""
        self._broadcast(message)

    def serving_state_changed(self, wants_traffic: bool) -> None:
        """Send that an operator quiesced or resumed the node at this process."""
        self._broadcast(ServingStateChanged(wants_traffic))

    def _broadcast(self, message: Message) -> None:
        self._toward_predecessor.send(message)
        self._toward_successor.send(message)

    def begin_shutdown(self, now: datetime) -> bool:
        """Handle SIGTERM. Return whether this process hands over: a successor serves on; see `shutdown_hands_over`."""
        hands_over = self._toward_successor.begin_shutdown(now)
        self._toward_predecessor.send(SuccessorDraining(hands_over))
        self.tick(now)
        return hands_over

    def tick(self, now: datetime) -> None:
        """Do what is due. Called every `TICK_INTERVAL` while there is another process."""
        self.sharing.reclaim_lost_shares(now)
        self._toward_successor.tick()
        self._toward_predecessor.advance(now)

    def finish(self) -> None:
        """Hand over all that is left: this process ends."""
        self._toward_successor.finish()

    def _apply_capacity_limit(self) -> None:
        if self.sharing.limit != self._applied_limit:
            self._applied_limit = self.sharing.limit
            self._host.limit_capacity(self._applied_limit)
