"""The decisions of a handover: who may serve, what a notice to leave means, who knows which work, who has which room.

No I/O and no clock: lines are told of, messages come in, time is passed in. Each process may have an elder, whose
place it takes, and a younger one, which takes its place.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.core.interfaces import ClaimCallback, ClaimResult
from marlstep.hot_restart.messages import (
    ClaimRequest,
    ClaimResponse,
    GrantShare,
    Hello,
    KeyReleased,
    KeyStatus,
    Message,
    PredecessorDone,
    ServingStateChanged,
    SnapshotComplete,
    SuccessorDraining,
    SuccessorReady,
)
from marlstep.hot_restart.resource_sharing import ResourceSharing
from marlstep.units import SECOND

log = logging.getLogger(__name__)

MEETING_TIMEOUT = 1 * SECOND  # for the elder to tell its names and to give a share
ACKNOWLEDGE_TIMEOUT = (
    3 * SECOND
)  # for it to hear that its younger takes connections: else SIGTERM is a drain to it
KEYS_PER_TURN = 64  # names told at a time, so that no pass of the loop is long


class PeerLink(Protocol):
    """One connection between two processes of the node."""

    def send(self, message: Message) -> None: ...

    def be_prompt(self) -> None:
        """From now on what is sent is out at once, or the line is cut."""

    def close(self) -> None: ...


class Host(Protocol):
    """What this process is, to its handover."""

    def wants_traffic(self) -> bool: ...

    def set_wants_traffic(self, wanted: bool) -> None: ...

    def memory_and_concurrency_in_use(self) -> tuple[float, float]:
        """Of the node's room: what is in use here, and what all that is in hand may come to use."""

    def limit_resources(self, share: float) -> None:
        """From now on this process has so much of the node's room."""

    def measurements(self) -> dict[str, object]: ...

    def adopt_measurements(self, learnt: dict[str, object]) -> None: ...

    def take_over(self) -> None:
        """Take connections from now on."""

    def serve(self) -> None:
        """Say yes to who asks whether this process can serve."""

    def successor_lost(self) -> None:
        """The younger one is gone."""

    def successor_draining(self) -> None:
        """The younger one was told to leave, and nobody comes after it."""

    def key_statuses(self) -> Iterator[KeyStatus]: ...

    def adopt(self, name: KeyStatus) -> None: ...

    def forget(self, gone: KeyReleased) -> None: ...

    def orphan(self, until: datetime) -> None:
        """Nobody will say how the other's work ended: it may have run."""

    def key_status(self, kind: str, once: str) -> KeyStatus | None: ...


@dataclass(slots=True)
class SuccessorState:
    line: PeerLink
    untold: Iterator[KeyStatus] | None  # of what was known when it came
    ready: bool = False
    leaves: bool = False  # it was told to: what it leaves behind is not this process's to take up again


class HotRestart:
    def __init__(self, owner: Host, generation: int, pid: int, wait: timedelta, window: timedelta) -> None:
        self.generation = generation
        self._owner, self._pid = owner, pid
        self._wait = wait  # after this a process that was lost must have ended, and its runs too
        self._window = window  # for so long a repeat may come of what it ran
        self.sharing = ResourceSharing()
        self._told_bound = self.sharing.limit
        self._predecessor: PeerLink | None = None
        self._met_by: datetime | None = None  # the elder has until then to say all
        self._whole = self._cores_up = self._open = self._serves = False
        self._acknowledged_by: datetime | None = None
        self._successor: SuccessorState | None = None
        self._successor_generation = 0
        self._draining = False
        self._unsure_until: datetime | None = None
        self._claims: dict[int, ClaimCallback] = {}
        self._claim_number = 0

    @property
    def has_successor(self) -> bool:
        """A younger one takes connections: SIGTERM here is no notice to the node."""
        return self._successor is not None and self._successor.ready

    @property
    def idle(self) -> bool:
        """There is nobody beside this process, and nothing to wait for."""
        return self.sharing.is_sole_process and self._serves

    @property
    def has_predecessor(self) -> bool:
        return self._predecessor is not None

    @property
    def is_standby(self) -> bool:
        """An elder serves, and this process takes no connections yet."""
        return self._predecessor is not None and not self._open

    def set_timeouts(self, wait: timedelta, window: timedelta) -> None:
        """The settings have changed. What ran under longer times still has them."""
        self._wait, self._window = max(wait, self._wait), max(window, self._window)

    # The elder, seen from the younger.

    def meet_predecessor(self, line: PeerLink, now: datetime) -> None:
        self._predecessor, self._met_by = line, now + MEETING_TIMEOUT
        self.sharing.predecessor_connected()
        line.send(Hello(self.generation, self._pid))
        self._announce_share()

    def handle_predecessor_message(self, message: Message, now: datetime) -> None:
        match message:
            case Hello():
                self._owner.set_wants_traffic(message.wants_traffic)
                self._owner.adopt_measurements(message.learned_state)
                log.info("takes over from process %d, generation %d", message.pid, message.generation)
            case KeyStatus():
                self._owner.adopt(message)
                self._send_to_successor(message)
            case KeyReleased():
                self._owner.forget(message)
                self._send_to_successor(message)
            case SnapshotComplete():
                self._whole = True
            case GrantShare(share):
                self.sharing.receive(share)
            case ClaimResponse(number, granted):
                if (told := self._claims.pop(number, None)) is not None:
                    told(ClaimResult.GRANTED if granted else ClaimResult.KNOWN)
            case SuccessorReady():
                self._announce_ready()
            case ServingStateChanged(wanted):
                self._owner.set_wants_traffic(wanted)
                self._send_to_successor(message)
            case PredecessorDone():
                log.info("the process before this one has left in order")
                self._predecessor = None
                self.sharing.predecessor_done()
                self._owner.orphan(now)
                for told in self._all_claims():  # all that it knew has been told
                    told(ClaimResult.GRANTED)
        self._go_on(now)

    def predecessor_lost(self, now: datetime) -> None:
        """The line is cut, or what came on it can't be trusted."""
        if self._predecessor is None:
            return
        log.warning("the process before this one is lost; what it may have run is not run again")
        self._predecessor = None
        self.sharing.predecessor_lost(now, self._wait)
        self._unsure_until = now + self._window
        self._owner.orphan(now + self._window)
        for told in self._all_claims():
            told(ClaimResult.UNSURE)
        self._go_on(now)

    def predecessor_unreachable(self, now: datetime) -> None:
        """Handle a process that listens and did not answer: it may live, and run requests with keys.

        Its keys are not known here, so requests with keys are rejected for as long as a retry of one may come, as after
        a connection that is lost.
        """
        log.warning("predecessor unreachable: keyed_requests_rejected_s=%.1f", self._window.total_seconds())
        self._unsure_until = now + self._window
        if self._predecessor is None:
            self.sharing.predecessor_connected()
            self.sharing.predecessor_lost(now, self._wait)
            self._announce_share()

    def _all_claims(self) -> list[ClaimCallback]:
        claims, self._claims = list(self._claims.values()), {}
        return claims

    def backend_ready(self, now: datetime) -> None:
        self._cores_up = True
        self._go_on(now)

    def _go_on(self, now: datetime) -> None:
        """Take connections when the cores are there and the elder has said all, or its time is over."""
        self._announce_share()
        late = self._predecessor is None or (self._met_by is not None and self._met_by <= now)
        if self._cores_up and not self._open and (late or (self._whole and self.sharing.limit > 0)):
            self._open = True
            self._owner.take_over()
            if self._predecessor is not None:
                self._acknowledged_by = now + ACKNOWLEDGE_TIMEOUT
                self._predecessor.be_prompt()
                self._predecessor.send(SuccessorReady())
        out_of_time = self._acknowledged_by is not None and self._acknowledged_by <= now
        if self._open and (self._predecessor is None or out_of_time):
            self._announce_ready()

    def _announce_ready(self) -> None:
        if self._open and not self._serves:
            self._serves = True
            self._owner.serve()

    # The younger, seen from the elder.

    def unknown_process_connected(self, now: datetime) -> None:
        """One came that can't be understood, of another version perhaps: each keeps to a half for a while."""
        if self._successor is None:
            self.sharing.successor_connected()
            self.sharing.successor_lost(now, self._wait)
            self._announce_share()

    def meet_successor(self, line: PeerLink, hello: Hello) -> bool:
        """One came. False where there is one already, which it is told to go to."""
        taken = self._successor_generation if self._successor is not None else 0
        wanted = self._owner.wants_traffic()
        line.send(
            Hello(self.generation, self._pid, wanted, taken, {} if taken else self._owner.measurements())
        )
        if taken:
            return False
        log.info("process %d, generation %d, is to take over", hello.pid, hello.generation)
        self._successor = SuccessorState(line, self._owner.key_statuses())
        self._successor_generation = hello.generation
        self.sharing.successor_connected()
        self._announce_share()
        return True

    def handle_successor_message(self, message: Message, now: datetime) -> None:
        if self._successor is None:
            return
        match message:
            case KeyStatus():
                self._owner.adopt(message)
                self._send_to_predecessor(message)
            case KeyReleased():
                self._owner.forget(message)
                self._send_to_predecessor(message)
            case ClaimRequest():
                self._handle_claim(message, now)
            case SuccessorReady():
                self._successor.ready = True
                self._successor.line.be_prompt()
                self._successor.line.send(SuccessorReady())
                log.info("the successor takes connections")
            case SuccessorDraining(succeeded):
                self._successor.leaves = True
                if not succeeded:
                    self._successor.ready = False
                    log.info("the successor is told to leave as well")
                    self._owner.successor_draining()
            case ServingStateChanged(wanted):
                self._owner.set_wants_traffic(wanted)
                self._send_to_predecessor(message)

    def _handle_claim(self, claim: ClaimRequest, now: datetime) -> None:
        def told(outcome: ClaimResult) -> None:
            if known := self._owner.key_status(claim.request_class, claim.idempotency_key):
                self._send_to_successor(known)  # it may not have come to it yet
            elif outcome is ClaimResult.GRANTED:
                self._owner.adopt(KeyStatus(claim.request_class, claim.idempotency_key, claim.request_id))
            self._send_to_successor(
                ClaimResponse(claim.number, known is None and outcome is ClaimResult.GRANTED)
            )

        known = self._owner.key_status(claim.request_class, claim.idempotency_key)
        if known or not self.claim(claim.request_class, claim.idempotency_key, claim.request_id, now, told):
            told(ClaimResult.GRANTED)

    def successor_lost(self, now: datetime) -> None:
        if self._successor is None:
            return
        left = self._successor.leaves
        log.warning("the successor %s", "has left" if left else "is lost")
        self._successor = None
        self._draining = False
        self.sharing.successor_lost(now, self._wait)
        self._owner.orphan(now + self._window)
        self._announce_share()
        if not left:
            self._owner.successor_lost()

    # Both.

    def unsure(self, now: datetime) -> bool:
        return self._unsure_until is not None and now < self._unsure_until

    def claim(self, kind: str, once: str, id: str, now: datetime, told: ClaimCallback) -> bool:
        """Ask whether this try may be held. False where nobody has to be asked."""
        if self.unsure(now):
            told(ClaimResult.UNSURE)
            return True
        if self._predecessor is None:
            return False
        self._claim_number += 1
        self._claims[self._claim_number] = told
        self._predecessor.send(ClaimRequest(self._claim_number, kind, once, id))
        return True

    def key_changed(self, message: KeyStatus | KeyReleased) -> None:
        """What is known here of a piece of work has changed: the others hear it before its run begins."""
        self._send_to_predecessor(message)
        self._send_to_successor(message)

    def serving_state_changed(self, wanted: bool) -> None:
        self._send_to_predecessor(ServingStateChanged(wanted))
        self._send_to_successor(ServingStateChanged(wanted))

    def _send_to_predecessor(self, message: Message) -> None:
        if self._predecessor is not None:
            self._predecessor.send(message)

    def _send_to_successor(self, message: Message) -> None:
        if self._successor is not None:
            self._successor.line.send(message)

    def drain(self, now: datetime) -> bool:
        """SIGTERM came. True where the successor takes what comes, and this process finishes what it has."""
        self._draining = self.has_successor
        self._send_to_predecessor(SuccessorDraining(self._draining))
        self.tick(now)
        return self._draining

    def tick(self, now: datetime) -> None:
        """Called every few milliseconds while there is somebody beside this process."""
        self.sharing.pass_time(now)
        if (younger := self._successor) is not None:
            self._send_keys(younger)
            used, need = self._owner.memory_and_concurrency_in_use()
            if self._draining:
                self.sharing.drain(need)
            self._announce_share()
            if share := self.sharing.give(used):
                self._send_to_successor(GrantShare(share))
        self._go_on(now)

    def _send_keys(self, younger: SuccessorState) -> None:
        if younger.untold is None:
            return
        for _ in range(KEYS_PER_TURN):
            name = next(younger.untold, None)
            if name is None:
                younger.untold = None
                younger.line.send(SnapshotComplete())
                return
            younger.line.send(name)

    def _announce_share(self) -> None:
        if self.sharing.limit != self._told_bound:
            self._told_bound = self.sharing.limit
            self._owner.limit_resources(self._told_bound)

    def done(self) -> None:
        """This process ends, and has nothing in hand: all that it had is the younger's."""
        if (younger := self._successor) is not None:
            while younger.untold is not None:
                self._send_keys(younger)
            if share := self.sharing.give(0.0, rest=True):
                self._send_to_successor(GrantShare(share))
            self._send_to_successor(PredecessorDone())
