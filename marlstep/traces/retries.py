"""Retry behaviour of senders."""

from __future__ import annotations

import enum


class Retries(enum.StrEnum):
    """When a sender retries a request that was rejected, failed or expired.

    `replay/retry_rules.py` has the constants that are named here.
    """

    NONE = "none"
    POLITE = "polite"  # after the Retry-After, but at least MIN_POLITE_WAIT_US; MAX_POLITE_ATTEMPTS attempts in total
    HASTY = "hasty"  # after HASTY_WAIT_US, without a limit on attempts, until the latency objective
