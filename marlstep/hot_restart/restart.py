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

from marlstep.core.interfaces import Claimant, Told
from marlstep.hot_restart.messages import (
    Claim,
    Claimed,
    Done,
    Duty,
    Give,
    Gone,
    Hello,
    Leaves,
    Message,
    Name,
    Ready,
    Whole,
)
from marlstep.hot_restart.resource_sharing import Sharing
from marlstep.units import SECOND

log = logging.getLogger(__name__)

MEETING = 1 * SECOND  # for the elder to tell its names and to give a share
ACKNOWLEDGED = 3 * SECOND  # for it to hear that its younger takes connections: else SIGTERM is a drain to it
SNAPSHOT = 64  # names told at a time, so that no pass of the loop is long


class Line(Protocol):
    """One connection between two processes of the node."""

    def send(self, message: Message) -> None: ...

    def be_prompt(self) -> None:
        """From now on what is sent is out at once, or the line is cut."""

    def close(self) -> None: ...


class Owner(Protocol):
    """What this process is, to its handover."""

    def wanted(self) -> bool: ...

    def set_wanted(self, wanted: bool) -> None: ...

    def used(self) -> tuple[float, float]:
        """Of the node's room: what is in use here, and what all that is in hand may come to use."""

    def bound(self, share: float) -> None:
        """From now on this process has so much of the node's room."""

    def learnt(self) -> dict[str, object]: ...

    def learn(self, learnt: dict[str, object]) -> None: ...

    def take_over(self) -> None:
        """Take connections from now on."""

    def serve(self) -> None:
        """Say yes to who asks whether this process can serve."""

    def successor_lost(self) -> None:
        """The younger one is gone."""

    def successor_leaves(self) -> None:
        """The younger one was told to leave, and nobody comes after it."""

    def names(self) -> Iterator[Name]: ...

    def adopt(self, name: Name) -> None: ...

    def forget(self, gone: Gone) -> None: ...

    def orphan(self, until: datetime) -> None:
        """Nobody will say how the other's work ended: it may have run."""

    def name(self, kind: str, once: str) -> Name | None: ...


@dataclass(slots=True)
class _Younger:
    line: Line
    untold: Iterator[Name] | None  # of what was known when it came
    ready: bool = False
    leaves: bool = False  # it was told to: what it leaves behind is not this process's to take up again


class Handover:
    def __init__(self, owner: Owner, generation: int, pid: int, wait: timedelta, window: timedelta) -> None:
        self.generation = generation
        self._owner, self._pid = owner, pid
        self._wait = wait  # after this a process that was lost must have ended, and its runs too
        self._window = window  # for so long a repeat may come of what it ran
        self.sharing = Sharing()
        self._told_bound = self.sharing.bound
        self._elder: Line | None = None
        self._met_by: datetime | None = None  # the elder has until then to say all
        self._whole = self._cores_up = self._open = self._serves = False
        self._acknowledged_by: datetime | None = None
        self._younger: _Younger | None = None
        self._younger_generation = 0
        self._leaving = False
        self._unsure_until: datetime | None = None
        self._claims: dict[int, Told] = {}
        self._claim_number = 0

    @property
    def has_successor(self) -> bool:
        """A younger one takes connections: SIGTERM here is no notice to the node."""
        return self._younger is not None and self._younger.ready

    @property
    def idle(self) -> bool:
        """There is nobody beside this process, and nothing to wait for."""
        return self.sharing.alone and self._serves

    @property
    def has_elder(self) -> bool:
        return self._elder is not None

    @property
    def takes_nothing(self) -> bool:
        """An elder serves, and this process takes no connections yet."""
        return self._elder is not None and not self._open

    def renew(self, wait: timedelta, window: timedelta) -> None:
        """The settings have changed. What ran under longer times still has them."""
        self._wait, self._window = max(wait, self._wait), max(window, self._window)

    # The elder, seen from the younger.

    def meet_elder(self, line: Line, now: datetime) -> None:
        self._elder, self._met_by = line, now + MEETING
        self.sharing.elder_came()
        line.send(Hello(self.generation, self._pid))
        self._tell_bound()

    def from_elder(self, message: Message, now: datetime) -> None:
        match message:
            case Hello():
                self._owner.set_wanted(message.wanted)
                self._owner.learn(message.learnt)
                log.info("takes over from process %d, generation %d", message.pid, message.generation)
            case Name():
                self._owner.adopt(message)
                self._to_younger(message)
            case Gone():
                self._owner.forget(message)
                self._to_younger(message)
            case Whole():
                self._whole = True
            case Give(share):
                self.sharing.got(share)
            case Claimed(number, granted):
                if (told := self._claims.pop(number, None)) is not None:
                    told(Claimant.GRANTED if granted else Claimant.KNOWN)
            case Ready():
                self._say_yes()
            case Duty(wanted):
                self._owner.set_wanted(wanted)
                self._to_younger(message)
            case Done():
                log.info("the process before this one has left in order")
                self._elder = None
                self.sharing.elder_done()
                self._owner.orphan(now)
                for told in self._all_claims():  # all that it knew has been told
                    told(Claimant.GRANTED)
        self._go_on(now)

    def elder_lost(self, now: datetime) -> None:
        """The line is cut, or what came on it can't be trusted."""
        if self._elder is None:
            return
        log.warning("the process before this one is lost; what it may have run is not run again")
        self._elder = None
        self.sharing.elder_lost(now, self._wait)
        self._unsure_until = now + self._window
        self._owner.orphan(now + self._window)
        for told in self._all_claims():
            told(Claimant.UNSURE)
        self._go_on(now)

    def _all_claims(self) -> list[Told]:
        claims, self._claims = list(self._claims.values()), {}
        return claims

    def cores_up(self, now: datetime) -> None:
        self._cores_up = True
        self._go_on(now)

    def _go_on(self, now: datetime) -> None:
        """Take connections when the cores are there and the elder has said all, or its time is over."""
        self._tell_bound()
        late = self._elder is None or (self._met_by is not None and self._met_by <= now)
        if self._cores_up and not self._open and (late or (self._whole and self.sharing.bound > 0)):
            self._open = True
            self._owner.take_over()
            if self._elder is not None:
                self._acknowledged_by = now + ACKNOWLEDGED
                self._elder.be_prompt()
                self._elder.send(Ready())
        out_of_time = self._acknowledged_by is not None and self._acknowledged_by <= now
        if self._open and (self._elder is None or out_of_time):
            self._say_yes()

    def _say_yes(self) -> None:
        if self._open and not self._serves:
            self._serves = True
            self._owner.serve()

    # The younger, seen from the elder.

    def stranger_came(self, now: datetime) -> None:
        """One came that can't be understood, of another version perhaps: each keeps to a half for a while."""
        if self._younger is None:
            self.sharing.younger_came()
            self.sharing.younger_lost(now, self._wait)
            self._tell_bound()

    def meet_younger(self, line: Line, hello: Hello) -> bool:
        """One came. False where there is one already, which it is told to go to."""
        taken = self._younger_generation if self._younger is not None else 0
        wanted = self._owner.wanted()
        line.send(Hello(self.generation, self._pid, wanted, taken, {} if taken else self._owner.learnt()))
        if taken:
            return False
        log.info("process %d, generation %d, is to take over", hello.pid, hello.generation)
        self._younger = _Younger(line, self._owner.names())
        self._younger_generation = hello.generation
        self.sharing.younger_came()
        self._tell_bound()
        return True

    def from_younger(self, message: Message, now: datetime) -> None:
        if self._younger is None:
            return
        match message:
            case Name():
                self._owner.adopt(message)
                self._to_elder(message)
            case Gone():
                self._owner.forget(message)
                self._to_elder(message)
            case Claim():
                self._claimed_by_younger(message, now)
            case Ready():
                self._younger.ready = True
                self._younger.line.be_prompt()
                self._younger.line.send(Ready())
                log.info("the successor takes connections")
            case Leaves(succeeded):
                self._younger.leaves = True
                if not succeeded:
                    self._younger.ready = False
                    log.info("the successor is told to leave as well")
                    self._owner.successor_leaves()
            case Duty(wanted):
                self._owner.set_wanted(wanted)
                self._to_elder(message)

    def _claimed_by_younger(self, claim: Claim, now: datetime) -> None:
        def told(outcome: Claimant) -> None:
            if known := self._owner.name(claim.kind, claim.once):
                self._to_younger(known)  # it may not have come to it yet
            elif outcome is Claimant.GRANTED:
                self._owner.adopt(Name(claim.kind, claim.once, claim.id))
            self._to_younger(Claimed(claim.number, known is None and outcome is Claimant.GRANTED))

        known = self._owner.name(claim.kind, claim.once)
        if known or not self.claim(claim.kind, claim.once, claim.id, now, told):
            told(Claimant.GRANTED)

    def younger_lost(self, now: datetime) -> None:
        if self._younger is None:
            return
        left = self._younger.leaves
        log.warning("the successor %s", "has left" if left else "is lost")
        self._younger = None
        self._leaving = False
        self.sharing.younger_lost(now, self._wait)
        self._owner.orphan(now + self._window)
        self._tell_bound()
        if not left:
            self._owner.successor_lost()

    # Both.

    def unsure(self, now: datetime) -> bool:
        return self._unsure_until is not None and now < self._unsure_until

    def claim(self, kind: str, once: str, id: str, now: datetime, told: Told) -> bool:
        """Ask whether this try may be held. False where nobody has to be asked."""
        if self._elder is None:
            if unsure := self.unsure(now):
                told(Claimant.UNSURE)
            return unsure
        self._claim_number += 1
        self._claims[self._claim_number] = told
        self._elder.send(Claim(self._claim_number, kind, once, id))
        return True

    def changed(self, message: Name | Gone) -> None:
        """What is known here of a piece of work has changed: the others hear it before its run begins."""
        self._to_elder(message)
        self._to_younger(message)

    def duty_changed(self, wanted: bool) -> None:
        self._to_elder(Duty(wanted))
        self._to_younger(Duty(wanted))

    def _to_elder(self, message: Message) -> None:
        if self._elder is not None:
            self._elder.send(message)

    def _to_younger(self, message: Message) -> None:
        if self._younger is not None:
            self._younger.line.send(message)

    def leave(self, now: datetime) -> bool:
        """SIGTERM came. True where the successor takes what comes, and this process finishes what it has."""
        self._leaving = self.has_successor
        self._to_elder(Leaves(self._leaving))
        self.tick(now)
        return self._leaving

    def tick(self, now: datetime) -> None:
        """Called every few milliseconds while there is somebody beside this process."""
        self.sharing.pass_time(now)
        if (younger := self._younger) is not None:
            self._tell_names(younger)
            used, need = self._owner.used()
            if self._leaving:
                self.sharing.leave(need)
            self._tell_bound()
            if share := self.sharing.give(used):
                self._to_younger(Give(share))
        self._go_on(now)

    def _tell_names(self, younger: _Younger) -> None:
        if younger.untold is None:
            return
        for _ in range(SNAPSHOT):
            name = next(younger.untold, None)
            if name is None:
                younger.untold = None
                younger.line.send(Whole())
                return
            younger.line.send(name)

    def _tell_bound(self) -> None:
        if self.sharing.bound != self._told_bound:
            self._told_bound = self.sharing.bound
            self._owner.bound(self._told_bound)

    def done(self) -> None:
        """This process ends, and has nothing in hand: all that it had is the younger's."""
        if (younger := self._younger) is not None:
            while younger.untold is not None:
                self._tell_names(younger)
            if share := self.sharing.give(0.0, rest=True):
                self._to_younger(Give(share))
            self._to_younger(Done())
