"""The serving state of this process: whether it is starting, serving or shutting down."""

from __future__ import annotations

import enum


class ServingPhase(enum.Enum):
    """The state of the process as operators see it. The values appear in the status JSON."""

    STARTING = "starting"  # not marked ready yet: the backend is not up, or a predecessor still serves
    SERVING = "serving"
    QUIESCED = "quiesced"  # by an operator: protocol health checks fail, but arriving requests are served
    HANDING_OVER = "handing over"  # a successor takes new requests; this process finishes those it has
    LEAVING = "leaving"  # a drain has begun, which can't be undone


class ServingState:
    """Four flags (ready, quiesced, handing over, draining), and the phase that follows from them.

    Draining takes precedence over all other flags, and handing over takes precedence over quiescing. The quiesced flag
    is kept while another flag hides it, and can be cleared until a drain begins.
    """

    def __init__(self) -> None:
        """Initialize the state as STARTING."""
        self._ready = self._quiesced = self._is_handing_over = self._is_draining = False

    @property
    def phase(self) -> ServingPhase:
        """The phase that is shown to operators."""
        if self._is_draining:
            return ServingPhase.LEAVING
        if self._is_handing_over:
            return ServingPhase.HANDING_OVER
        if not self._ready:
            return ServingPhase.STARTING
        return ServingPhase.QUIESCED if self._quiesced else ServingPhase.SERVING

    @property
    def can_serve(self) -> bool:
        """Whether the process reports that it can serve: it was marked ready, and no drain has begun.

        This is False during the grace period of a drain, although requests that arrive then still run.
        """
        return self._ready and not self._is_draining

    @property
    def wants_traffic(self) -> bool:
        """Whether the process should get new requests: it neither drains nor is quiesced.

        Protocol health checks depend on this property (`Core.healthy`), while `/admin/health` reports `can_serve`.
        """
        return not (self._is_draining or self._quiesced)

    @property
    def is_quiesced(self) -> bool:
        """Whether an operator has quiesced the node. A drain of this process leaves it as it is."""
        return self._quiesced

    def mark_ready(self) -> None:
        """Record that the backend is up and connections are accepted."""
        self._ready = True

    def quiesce(self) -> bool:
        """Quiesce the process: fail protocol health checks. Once it drains, do nothing and return False."""
        return self._set_quiesced(True)

    def resume(self) -> bool:
        """Undo `quiesce`. Once the process drains, do nothing and return False."""
        return self._set_quiesced(False)

    def _set_quiesced(self, quiesced: bool) -> bool:
        if not self._is_draining:
            self._quiesced = quiesced
        return not self._is_draining

    def begin_hand_over(self) -> None:
        """Record that a successor serves, and that this process will exit once it has finished its requests."""
        self._is_handing_over = True

    def begin_drain(self) -> bool:
        """Record that a drain has begun. Returns False if one had begun before."""
        newly_begun, self._is_draining = not self._is_draining, True
        return newly_begun
