"""Settings of the failure detector, in the terms of SWIM, Lifeguard and memberlist."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.units import MILLISECOND, SECOND


@dataclass(slots=True, frozen=True)
class DetectorSettings:
    """Intervals, and limits on fan-out and retransmission."""

    probe_interval: timedelta = 500 * MILLISECOND  # SWIM's protocol period
    probe_timeout: timedelta = 150 * MILLISECOND  # until indirect probes, at a local health score of 0
    indirect_probes: int = 3  # members that are asked for an indirect probe: SWIM's k
    suspicion_multiplier: float = 2.0  # of the minimum suspicion timeout: Lifeguard's alpha
    max_suspicion_multiplier: float = 6.0  # times the minimum, without confirmations: Lifeguard's beta
    suspicion_confirmations: int = 3  # that shorten the timeout to its minimum: Lifeguard's K
    retransmit_multiplier: float = (
        4.0  # of one record, times the logarithm of the group's size: SWIM's lambda
    )
    exchange_interval: timedelta = 15 * SECOND
    reclaim_after: timedelta = 120 * SECOND  # until the name of a node that failed or left is forgotten
    records_per_datagram: int = 12
    local_health_enabled: bool = True  # Lifeguard; off only to measure its effect
