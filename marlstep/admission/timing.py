"""Constants for times on the controller's clock, in microseconds."""

from __future__ import annotations

SECOND_US = 1_000_000
NEVER = 1 << 62  # later than any time on the clock
