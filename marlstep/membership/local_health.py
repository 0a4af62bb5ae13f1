"""Lifeguard's local health multiplier: a node that processes messages late doubts itself first (section IV-A)."""

from __future__ import annotations

MAX_LOCAL_HEALTH = 8


class LocalHealth:
    """A saturating score. At 0 the node is healthy; each point lengthens its own timeouts by their base value."""

    def __init__(self, enabled: bool) -> None:
        """Start healthy; where it is not enabled the score stays 0."""
        self.score = 0
        self._enabled = enabled

    @property
    def timeout_factor(self) -> int:
        """The factor on the probe interval and on the probe timeout."""
        return 1 + self.score

    def degrade(self) -> None:
        """Count one sign that this node is slow or cut off."""
        self._adjust(1)

    def recover(self) -> None:
        """Count an acknowledged probe: the score is halved, so that probes return soon to their usual rate."""
        self._adjust(-max(1, self.score // 2))

    def _adjust(self, change: int) -> None:
        if self._enabled:
            self.score = min(MAX_LOCAL_HEALTH, max(0, self.score + change))
