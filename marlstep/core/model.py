"""What the core deals in, and the ports through which it meets the world."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from marlstep.admission.events import Outcome
from marlstep.admission.settings import ClassSettings
from marlstep.timer_queue import Deadline

Ticket = tuple[int, int]  # a front's own way to find where an answer goes


@dataclass(slots=True, frozen=True)
class Offer:
    """A request as a front has read it."""

    id: str
    kind: str
    body: bytes
    arrived: datetime
    kb: float
    caller: int = 0
    retry: bool = False
    cost: timedelta | None = None
    rank: float = 0.0
    tenant: str | None = None
    key: int | None = None
    pool: str = ""  # of servers that do the work, where the cores here do not
    once: str | None = None  # names the work of which this is one try, where the wire tells
    digest: str = ""  # of what all tries of that work have in common, where the wire promises any of that


class Claimant(enum.Enum):
    """What a claim of named work came to, where another process of this node had to be asked."""

    GRANTED = "granted"  # no process of this node has held it
    KNOWN = "known"  # it has been; what is known of it was told before
    UNSURE = "unsure"  # nobody can say


Told = Callable[[Claimant], None]


class Others(Protocol):
    """The other processes of this node, while one version takes over from another."""

    def claim(self, kind: str, once: str, id: str, now: datetime, told: Told) -> bool:
        """Ask whether this try may be held. False where nobody has to be asked."""


class Verdict(enum.Enum):
    DONE = "done"
    REFUSED = "refused"  # never ran
    FAILED = "failed"
    EXPIRED = "expired"  # failed, as its time ran out


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request."""

    verdict: Verdict
    body: bytes = b""
    after: timedelta = timedelta(0)  # on a refusal: how long to stay away
    last: bool = False  # on a refusal: the wish that no other node be tried


class Stage(enum.Enum):
    CLAIMING = "claiming"  # another process of this node may know the work
    HELD = "held"
    RUNNING = "running"
    PAUSED = "paused"
    AT_CALL = "at call"  # its call is not made yet
    CALLING = "calling"
    ATTACHED = "attached"  # waits for the result of another try
    OVER = "over"


class Front(Protocol):
    """Where requests come from and answers go."""

    def deliver(self, ticket: Ticket, answer: Answer) -> None: ...

    def limit_idle(self, after: timedelta) -> None:
        """Close connections that carry nothing for longer."""

    def stop_accepting(self) -> None:
        """Take nothing new; what was read is still answered."""


class Backend(Protocol):
    """What does the work."""

    def start(self, request: Request) -> None: ...

    def pause(self, request: Request) -> None:
        """Stop the run; where that takes effect, it ends as cancelled."""

    def resume(self, request: Request) -> None: ...

    def supply(self, request: Request, reply: bytes) -> None:
        """The reply to the call that the run waits for."""

    def skip(self, request: Request) -> None:
        """Go on without the call."""

    def abandon(self, request: Request) -> None:
        """The request was answered while its run goes on."""


class Store(Protocol):
    """What calls go to."""

    def call(self, request: Request, until: datetime) -> None: ...

    def give_up(self, request: Request) -> None: ...


class Gauges(Protocol):
    """Readings of the cores, memory and connections."""

    def ask(self) -> None:
        """The answer comes to `Core.gauges`."""


@dataclass(slots=True)
class Request:
    offer: Offer
    kind: ClassSettings
    front: Front
    ticket: Ticket
    backend: Backend
    due: datetime
    handle: int = 0
    stage: Stage = Stage.HELD
    started: bool = False  # a run has begun, or may have
    worked: bool = False  # a run is known to have begun
    halting: bool = False  # told to stop, and not yet known to have stopped
    faulty: bool = False  # its last attempt or call went wrong
    answered: bool = False
    deadline: Deadline | None = None  # of the final answer
    call_body: bytes = b""
    called_at: datetime | None = None
    waiting: list[str] = field(default_factory=list)  # repeats attached to this one
    rules: str = ""  # the versions of the documents that it came under, in a fleet
    key: tuple[str, str] | None = (
        None  # class and name of the work that has an effect, where the wire names it
    )

    @property
    def id(self) -> str:
        return self.offer.id


class Sink(Protocol):
    """What backends and stores tell the core."""

    def cores_up(self) -> None: ...

    def run_ended(self, id: str, outcome: Outcome, elapsed: timedelta, result: bytes = b"") -> None: ...

    def call_needed(self, id: str, body: bytes) -> None: ...

    def call_ended(self, id: str, outcome: Outcome, reply: bytes = b"") -> None: ...

    def gauges(self, values: Mapping[str, float]) -> None: ...

    def room(self, pool: str, most: int) -> None:
        """The servers of a pool take so many at once, from now on."""
