"""How senders behave after a refusal."""

from __future__ import annotations

import enum


class Retries(enum.StrEnum):
    NONE = "none"
    POLITE = "polite"  # after the time that the refusal told, at least BACKOFF; three tries
    HASTY = "hasty"  # at once and without limit, while the client waits
