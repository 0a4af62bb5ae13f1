"""What the node is on: starting, serving, quiesced, handing over or leaving. The one place that remembers it."""

from __future__ import annotations

import enum


class State(enum.Enum):
    STARTING = "starting"  # listens, but the cores have not said yet that they are there
    SERVING = "serving"
    QUIESCED = "quiesced"  # asked by an operator: health checks are bad, and all that comes is served
    HANDING_OVER = "handing over"  # another process takes what is new; what is here is finished
    LEAVING = "leaving"  # told to leave: there is no way back


class Duty:
    def __init__(self) -> None:
        self._ready = self._quiesced = self._handing_over = self._leaving = False

    @property
    def state(self) -> State:
        if self._leaving:
            return State.LEAVING
        if self._handing_over:
            return State.HANDING_OVER
        if not self._ready:
            return State.STARTING
        return State.QUIESCED if self._quiesced else State.SERVING

    @property
    def can_serve(self) -> bool:
        """Requests that come now are run."""
        return self._ready and not self._leaving

    @property
    def wanted(self) -> bool:
        """Nobody has asked that the node be emptied: health checks may be good."""
        return not (self._leaving or self._quiesced)

    def ready(self) -> None:
        """The cores are there, and connections are taken."""
        self._ready = True

    def quiesce(self) -> bool:
        """Empty the node. False where it leaves anyway."""
        return self._ask(True)

    def resume(self) -> bool:
        """Back to work. False where the node leaves: too late."""
        return self._ask(False)

    def _ask(self, quiesced: bool) -> bool:
        if not self._leaving:
            self._quiesced = quiesced
        return not self._leaving

    def hand_over(self) -> None:
        """A successor serves: the node goes on, and this process ends."""
        self._handing_over = True

    def leave(self) -> bool:
        """The notice to leave. False where it came before."""
        first, self._leaving = not self._leaving, True
        return first
