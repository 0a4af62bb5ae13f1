"""Quota shares on a node: the group divides the quota of each tenant among the nodes by demand."""

from __future__ import annotations

from datetime import datetime

from marlstep.cluster.context import NodeContext
from marlstep.cluster.interfaces import ConfigDocuments
from marlstep.leases.messages import TenantDemand
from marlstep.membership.quota_commands import ConfirmShrink
from marlstep.membership.quota_lease import DemandEstimator, QuotaLease


class QuotaDriver:
    """Applies the shares received in heartbeat responses, and reports each reduction once it is applied."""

    def __init__(self, context: NodeContext, documents: ConfigDocuments) -> None:
        """Initialize the driver with no shares; `documents` applies shares to the limits of this node."""
        self._context, self._documents = context, documents
        self._lease = QuotaLease()
        self._demand = DemandEstimator()
        self._reports: dict[int, str] = {}  # tenant by number of the command that reports its reduction

    @property
    def shares(self) -> dict[str, int]:
        """The shares that this node uses, by tenant name."""
        return self._lease.shares

    def estimate_demand(self, now: datetime) -> tuple[TenantDemand, ...]:
        """Return the demand of each tenant for the next heartbeat."""
        return self._demand.estimate(now, self._documents.tenant_counts())

    def handle_heartbeat_response(self, now: datetime) -> None:
        """Apply the shares of the latest heartbeat response and report reductions."""
        holder = self._context.client.holder
        for tenant, reduced_to in self._lease.update(holder.quota_shares):
            self._apply(tenant)  # before the report: afterwards another node may use the released portion
            self._report_reduction(now, tenant, holder.name, reduced_to)
        for tenant in self._lease.shares:
            self._apply(tenant)

    def apply_all(self) -> None:
        """Apply the shares of all tenants again after their limits were replaced."""
        for tenant in self._documents.tenant_counts():
            self._apply(tenant)

    def collect_results(self) -> None:
        """Handle command results, so that a reduction whose report was rejected is reported again."""
        for number in list(self._reports):
            if (result := self._context.client.take_result(number)) is not None:
                tenant = self._reports.pop(number)
                if "refused" in result:
                    self._lease.report_lost(tenant)

    def _report_reduction(self, now: datetime, tenant: str, holder: str, reduced_to: int) -> None:
        number = self._context.client.propose(now, ConfirmShrink(tenant, holder, reduced_to))
        if number is None:
            self._lease.report_lost(tenant)
        else:
            self._reports[number] = tenant

    def _apply(self, tenant: str) -> None:
        self._documents.set_quota_share(tenant, self._lease.share_of(tenant))
