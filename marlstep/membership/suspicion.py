"""Suspicion timeouts that shrink with independent confirmations (Lifeguard's LHA-Suspicion, section IV-B)."""

from __future__ import annotations

import math
from datetime import datetime, timedelta

from marlstep.membership.detector_settings import DetectorSettings
from marlstep.membership.member_list import Member, MemberList

# In a group of at most this size the minimum timeout applies, since too few members are left to confirm a suspicion.
MAX_UNCONFIRMABLE_SIZE = 3


class SuspicionTimeouts:
    """Computes how long a suspected member may take to refute, given the current group size and confirmations."""

    def __init__(self, members: MemberList, settings: DetectorSettings) -> None:
        """Initialize timeouts that scale with the current size of `members`."""
        self._members = members
        self._settings = settings

    def deadline(self, member: Member) -> datetime:
        """Return when a suspected member is declared failed, given the nodes that suspect it so far."""
        minimum = self._minimum_timeout()
        if self._members.size <= MAX_UNCONFIRMABLE_SIZE:
            return member.state_since + minimum
        maximum = minimum * self._settings.max_suspicion_multiplier
        needed = self._settings.suspicion_confirmations
        share = min(1.0, math.log(self._confirmations(member) + 1) / math.log(needed + 1))
        return member.state_since + (maximum - (maximum - minimum) * share)

    def _minimum_timeout(self) -> timedelta:
        settings = self._settings
        return settings.probe_interval * settings.suspicion_multiplier * self._members.log_size

    def _confirmations(self, member: Member) -> int:
        if not self._settings.local_health_enabled:
            return self._settings.suspicion_confirmations
        return len(member.suspected_by - {self._members.local.node})
