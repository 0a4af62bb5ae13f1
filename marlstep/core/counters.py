"""Counters of requests, in total and by tenant.

The counter names appear in the administration API and in the metrics, so they must not change.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from marlstep.core.interfaces import Request, ResponseStatus

ACCEPTED_COUNT = "read"  # requests that passed the intake checks and therefore get a response
RUN_COUNT = "runs"  # runs started on their backend; the resumption of a paused run is not counted
CALL_COUNT = "calls"  # downstream calls, each attempt counted
DISCONNECTED_COUNT = "gone"  # requests whose client disconnected before the response
NO_CONFIG_COUNT = "without rules"  # requests rejected because this node has no cluster configuration
NO_KEY_ROOM_COUNT = "no_key_room"  # requests rejected because the memory for idempotency keys is full


class RequestCounters:
    """Counts requests by what happened to them. No other object keeps these counts.

    Attributes:
        totals: counts by name, over all requests. Responses are counted under their status.
        by_tenant: the same counts for each tenant of the settings in force.
    """

    def __init__(self, tenants: Iterable[str]) -> None:
        """Initialize all counts to zero, for these tenant names."""
        self.totals: Counter[str] = Counter()
        self.by_tenant: dict[str, Counter[str]] = {name: Counter() for name in tenants}

    def count(self, request: Request, name: str) -> None:
        """Increment a counter, in total and for the request's tenant if the settings define that tenant."""
        self.totals[name] += 1
        tenant_counts = self.by_tenant.get(request.inbound.tenant or "")
        if tenant_counts is not None:
            tenant_counts[name] += 1

    def set_tenants(self, tenants: Iterable[str]) -> None:
        """Replace the set of counted tenants. Tenants in both sets keep their counts; the others lose them."""
        self.by_tenant = {name: self.by_tenant.get(name, Counter()) for name in tenants}

    def accepted_rejected_failed(self) -> tuple[int, int, int]:
        """Return how many requests were accepted at intake, how many of those were rejected, and how many failed.

        Expired requests count as failed.
        """
        failed = self.totals[ResponseStatus.FAILED.value] + self.totals[ResponseStatus.EXPIRED.value]
        return self.totals[ACCEPTED_COUNT], self.totals[ResponseStatus.REJECTED.value], failed
