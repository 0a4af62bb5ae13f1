"""Settings of the failure detector, named as in SWIM, Lifeguard and memberlist."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from marlstep.units import MILLISECOND, SECOND


@dataclass(slots=True, frozen=True)
class DetectorSettings:
    """Intervals, timeouts, and limits on fan-out and retransmission."""

    probe_interval: timedelta = 500 * MILLISECOND  # SWIM's protocol period
    # Time from a direct probe to the indirect probes, at a local health score of 0.
    probe_timeout: timedelta = 150 * MILLISECOND
    indirect_probes: int = 3  # number of members asked for an indirect probe: SWIM's k
    # The minimum suspicion timeout is this times the probe interval and the logarithm of the group size:
    # Lifeguard's alpha.
    suspicion_multiplier: float = 2.0
    # Suspicion timeout without confirmations, as a multiple of the minimum: Lifeguard's beta.
    max_suspicion_multiplier: float = 6.0
    # Number of confirmations that reduce the suspicion timeout to its minimum: Lifeguard's K.
    suspicion_confirmations: int = 3
    # Transmissions of one record, as a multiple of the logarithm of the group size: SWIM's lambda.
    retransmit_multiplier: float = 4.0
    exchange_interval: timedelta = 15 * SECOND  # mean time between full state exchanges
    reclaim_after: timedelta = 120 * SECOND  # time after which a node that failed or left is forgotten
    records_per_datagram: int = 12
    local_health_enabled: bool = True  # Lifeguard's local health; disabled only to measure its effect
