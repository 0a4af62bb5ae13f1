"""This process as its handover sees it: the core, with names and times as the other process writes them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import datetime

from marlstep.core.engine import Core
from marlstep.core.idempotency import Key, Known, label, read_label
from marlstep.hot_restart.messages import Gone, Name
from marlstep.hot_restart.restart import Handover
from marlstep.timer_queue import TimerQueue
from marlstep.units import instant, instant_us

RESULT_LIMIT = 4 * 1024  # bytes, the most on the platform's wire; in JSON each may take six


@dataclass(slots=True)
class Hooks:
    """What the wiring of the node gives."""

    take_over: Callable[[], None]
    successor_lost: Callable[[], None]
    successor_leaves: Callable[[], None]
    bound: Callable[[float], None]
    connected: Callable[[], float]  # share of the node's connections that are in use here
    duty_changed: Callable[[], None]


class Beside:
    def __init__(self, core: Core, timeline: TimerQueue, hooks: Hooks) -> None:
        self._core, self._timeline, self._hooks = core, timeline, hooks
        self.take_over = hooks.take_over
        self.successor_lost = hooks.successor_lost
        self.successor_leaves = hooks.successor_leaves
        self.learn = core.learn
        self.learnt = core.learnt
        self.orphan = core.orphan
        self.serve = core.duty.ready

    def watch(self, handover: Handover) -> None:
        """From now on the others hear of each change, and are asked for what they know."""
        self._core.others = handover
        self._core.keys.changed = lambda key, known, gone: handover.changed(
            Gone(*key, label(known.id, known.digest)) if gone else written(key, known)
        )

    def wanted(self) -> bool:
        return self._core.duty.wanted

    def set_wanted(self, wanted: bool) -> None:
        if wanted is not self._core.duty.wanted:
            (self._core.duty.resume if wanted else self._core.duty.quiesce)()
            self._hooks.duty_changed()

    def used(self) -> tuple[float, float]:
        used, need = self._core.used()
        connected = self._hooks.connected()
        return max(used, connected), max(need, connected)

    def bound(self, share: float) -> None:
        self._hooks.bound(share)

    def names(self) -> Iterator[Name]:
        return (written(key, known) for key, known in self._core.keys)

    def name(self, kind: str, once: str) -> Name | None:
        known = self._core.keys.find((kind, once), self._timeline.now())
        return None if known is None else written((kind, once), known)

    def adopt(self, name: Name) -> None:
        result = None if name.result is None else name.result.encode("latin-1")
        until: datetime | None = instant(name.until_us) if name.until_us else None
        id, digest = read_label(name.id)
        self._core.adopt((name.kind, name.once), Known(id, until, result, name.over, digest=digest))

    def forget(self, gone: Gone) -> None:
        self._core.forget((gone.kind, gone.once), read_label(gone.id)[0])


def written(key: Key, known: Known) -> Name:
    """A result that no message holds is left out: a repeat then fails there, and does not run."""
    until = instant_us(known.until) if known.until else 0
    short = known.result is not None and len(known.result) <= RESULT_LIMIT
    result = known.result.decode("latin-1") if known.result is not None and short else None
    return Name(*key, label(known.id, known.digest), until, result, known.over)
