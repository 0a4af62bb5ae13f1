"""The serving state of this process: the one place that remembers whether it starts, serves or leaves."""

from __future__ import annotations

import enum


class ServingPhase(enum.Enum):
    """What operators see as the state of the process; the values are those of the status JSON."""

    STARTING = "starting"  # not marked ready yet: its backend is not up, or a predecessor still serves
    SERVING = "serving"
    QUIESCED = "quiesced"  # by an operator: health checks of the protocol fail, and what arrives is served
    HANDING_OVER = "handing over"  # a successor process takes what is new; what is here is finished
    LEAVING = "leaving"  # graceful shutdown has begun, and there is no way back


class ServingState:
    """Four facts about the process, and the phase that follows from them.

    A later fact hides an earlier one: a process that drains is LEAVING whatever an operator asked for before, and
    one that hands over is HANDING_OVER even if it is quiesced. Quiescing is remembered while it is hidden, and can
    be undone until the drain begins.
    """

    def __init__(self) -> None:
        """Begin as STARTING."""
        self._ready = self._quiesced = self._is_handing_over = self._is_draining = False

    @property
    def phase(self) -> ServingPhase:
        """The state that operators see."""
        if self._is_draining:
            return ServingPhase.LEAVING
        if self._is_handing_over:
            return ServingPhase.HANDING_OVER
        if not self._ready:
            return ServingPhase.STARTING
        return ServingPhase.QUIESCED if self._quiesced else ServingPhase.SERVING

    @property
    def can_serve(self) -> bool:
        """Whether the process reports itself able to serve: it was marked ready, and no drain has begun.

        Requests that arrive within the grace of a drain still run, although this is False then.
        """
        return self._ready and not self._is_draining

    @property
    def wants_traffic(self) -> bool:
        """Whether the process wants new requests: it neither drains nor is quiesced.

        Health checks of the protocol follow it (`Core.healthy`); `/admin/health` follows `can_serve`.
        """
        return not (self._is_draining or self._quiesced)

    def mark_ready(self) -> None:
        """Note that the backend is up and connections are accepted."""
        self._ready = True

    def quiesce(self) -> bool:
        """Empty the process of traffic. Returns False, and changes nothing, once it drains."""
        return self._set_quiesced(True)

    def resume(self) -> bool:
        """Undo `quiesce`. Returns False, and changes nothing, once the process drains."""
        return self._set_quiesced(False)

    def _set_quiesced(self, quiesced: bool) -> bool:
        if not self._is_draining:
            self._quiesced = quiesced
        return not self._is_draining

    def begin_hand_over(self) -> None:
        """Note that a successor serves: the node goes on, and this process ends."""
        self._is_handing_over = True

    def begin_drain(self) -> bool:
        """Note that graceful shutdown has begun. Returns False where it had begun before."""
        newly_begun, self._is_draining = not self._is_draining, True
        return newly_begun
