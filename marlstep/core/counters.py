"""Counters of requests, in total and by tenant.

The names are those of the administration API and of the metrics; they stay as operators know them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from marlstep.core.interfaces import Request, ResponseStatus

ACCEPTED_COUNT = "read"  # passed the intake checks, and is owed a response
RUN_COUNT = "runs"  # was started on its backend for the first time
CALL_COUNT = "calls"  # made a downstream call, each attempt counted
DISCONNECTED_COUNT = "gone"  # its client disconnected before the response
NO_CONFIG_COUNT = "without rules"  # rejected, as the cluster's configuration is not known here


class RequestCounters:
    """Counts what happens to requests; the only owner of these figures.

    Attributes:
        totals: counts by name, over all requests. Responses are counted under their status.
        by_tenant: the same for each tenant of the settings in force.
    """

    def __init__(self, tenants: Iterable[str]) -> None:
        """Start at zero for these tenants."""
        self.totals: Counter[str] = Counter()
        self.by_tenant: dict[str, Counter[str]] = {name: Counter() for name in tenants}

    def count(self, request: Request, name: str) -> None:
        """Add one under this name, also to the request's tenant where the settings know it."""
        self.totals[name] += 1
        tenant_counts = self.by_tenant.get(request.inbound.tenant or "")
        if tenant_counts is not None:
            tenant_counts[name] += 1

    def set_tenants(self, tenants: Iterable[str]) -> None:
        """Count for these tenants from now on. Those that stay keep their counts, the others lose them."""
        self.by_tenant = {name: self.by_tenant.get(name, Counter()) for name in tenants}

    def accepted_rejected_failed(self) -> tuple[int, int, int]:
        """Return the requests accepted at intake so far, of them those rejected, and those failed or expired."""
        failed = self.totals[ResponseStatus.FAILED.value] + self.totals[ResponseStatus.EXPIRED.value]
        return self.totals[ACCEPTED_COUNT], self.totals[ResponseStatus.REJECTED.value], failed
