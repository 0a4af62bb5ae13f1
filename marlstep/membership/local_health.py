"""Lifeguard's local health multiplier (section IV-A).

A node that processes messages late lengthens its own timeouts before it suspects others.
"""

from __future__ import annotations

MAX_LOCAL_HEALTH = 8


class LocalHealth:
    """A score between 0 (healthy) and `MAX_LOCAL_HEALTH`.

    Each point lengthens the probe interval and timeout of this node by their base value.
    """

    def __init__(self, enabled: bool) -> None:
        """Initialize with the score 0, which stays 0 unless `enabled`."""
        self.score = 0
        self._enabled = enabled

    @property
    def timeout_factor(self) -> int:
        """The factor on the probe interval and on the probe timeout."""
        return 1 + self.score

    def degrade(self) -> None:
        """Raise the score by one, on a sign that this node is slow or cut off."""
        self._adjust(1)

    def recover(self) -> None:
        """Halve the score after an acknowledged probe, so that probing soon returns to its usual rate."""
        self._adjust(-max(1, self.score // 2))

    def _adjust(self, change: int) -> None:
        if self._enabled:
            self.score = min(MAX_LOCAL_HEALTH, max(0, self.score + change))
