"""What the node is on: starting, serving, quiesced, handing over or leaving. The one place that remembers it."""

from __future__ import annotations

import enum


class ServingPhase(enum.Enum):
    STARTING = "starting"  # listens, but the cores have not said yet that they are there
    SERVING = "serving"
    QUIESCED = "quiesced"  # asked by an operator: health checks are bad, and all that comes is served
    HANDING_OVER = "handing over"  # another process takes what is new; what is here is finished
    LEAVING = "leaving"  # told to leave: there is no way back


class ServingState:
    def __init__(self) -> None:
        self._ready = self._quiesced = self._is_handing_over = self._is_draining = False

    @property
    def phase(self) -> ServingPhase:
        if self._is_draining:
            return ServingPhase.LEAVING
        if self._is_handing_over:
            return ServingPhase.HANDING_OVER
        if not self._ready:
            return ServingPhase.STARTING
        return ServingPhase.QUIESCED if self._quiesced else ServingPhase.SERVING

    @property
    def can_serve(self) -> bool:
        """Requests that come now are run."""
        return self._ready and not self._is_draining

    @property
    def wants_traffic(self) -> bool:
        """Nobody has asked that the node be emptied: health checks may be good."""
        return not (self._is_draining or self._quiesced)

    def mark_ready(self) -> None:
        """The cores are there, and connections are taken."""
        self._ready = True

    def quiesce(self) -> bool:
        """Empty the node. False where it leaves anyway."""
        return self._set_quiesced(True)

    def resume(self) -> bool:
        """Back to work. False where the node leaves: too late."""
        return self._set_quiesced(False)

    def _set_quiesced(self, quiesced: bool) -> bool:
        if not self._is_draining:
            self._quiesced = quiesced
        return not self._is_draining

    def begin_hand_over(self) -> None:
        """A successor serves: the node goes on, and this process ends."""
        self._is_handing_over = True

    def begin_drain(self) -> bool:
        """The notice to leave. False where it came before."""
        first, self._is_draining = not self._is_draining, True
        return first
