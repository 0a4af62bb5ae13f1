"""How senders behave after a rejection."""

from __future__ import annotations

import enum


class Retries(enum.StrEnum):
    """When a sender retries a request that was rejected or failed."""

    NONE = "none"
    POLITE = (
        "polite"  # after the Retry-After of the rejection, or BACKOFF_US if that is longer; three attempts
    )
    HASTY = "hasty"  # at once and without limit, while the client waits
