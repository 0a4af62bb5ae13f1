"""Applies replicated documents to the node's configuration, in the same way as a reload at SIGHUP."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from marlstep.config import ConfigError
from marlstep.config.document_overrides import DocumentOverrides, local_content
from marlstep.leases.messages import RequestCounts

if TYPE_CHECKING:
    from marlstep.components.host import GovernedConfig
    from marlstep.core.engine import Core

log = logging.getLogger("marlstep")

MIN_QUOTA_CHANGE = 1 / 10_000  # as a share of the quota of all servers; smaller changes are not applied


class NodeConfigDocuments:
    """Checks documents against the node's configuration and puts them in force."""

    def __init__(self, governed_config: GovernedConfig, core: Core) -> None:
        """Initialize with no documents in force, and register the overrides with `governed_config`."""
        self._config, self._core = governed_config, core
        self._overrides = governed_config.governed = DocumentOverrides()
        self._file_config = governed_config.config  # as in the configuration files
        self._versions: dict[str, int] = {}
        # By tenant, the lowest of all versions that were in force on this node.
        self._lowest_quotas_per_s: dict[str, float] = {}

    def local_content(self, kind: str) -> object:
        """Return the content of the node's own configuration files for a kind of document, as JSON."""
        return local_content(self._file_config, kind)

    def check(self, kind: str, content: str) -> str:
        """Return the reason why the content is invalid together with the configuration in force; empty if it is valid.

        Documents are checked by the same code as configuration files.
        """
        try:
            self._overrides.apply_to(self._config.config, **{kind: json.loads(content)})
        except (ConfigError, ValueError, KeyError, TypeError, AttributeError) as error:
            return str(error) or repr(error)
        return ""

    def activate(self, kind: str, version: int, content: str) -> None:
        """Put a version in force.

        Raises:
            ValueError: the content is not a valid configuration.
        """
        document = json.loads(content)
        try:
            self._config.apply_config(self._overrides.apply_to(self._config.config, **{kind: document}))
        except ConfigError as error:
            raise ValueError(str(error)) from error
        self._record_lowest_quotas()
        self._overrides.put(kind, document)
        self._versions[kind] = version
        self._core.config_versions = ",".join(
            f"{name}={number}" for name, number in sorted(self._versions.items())
        )

    def _record_lowest_quotas(self) -> None:
        quotas_per_s = {name: tenant.quota_per_s for name, tenant in self._core.tenants.items()}
        lowest = {
            name: min(quota_per_s, quotas_per_s.get(name, quota_per_s))
            for name, quota_per_s in self._lowest_quotas_per_s.items()
        }
        self._lowest_quotas_per_s = {**quotas_per_s, **lowest}

    def request_counts(self) -> RequestCounts:
        """Return the numbers of requests accepted at intake, and of those: rejected, and failed or late."""
        return RequestCounts(*self._core.request_counts)

    def tenant_counts(self) -> dict[str, int]:
        """Return the number of requests accepted at intake of each tenant that has a quota."""
        core = self._core
        tenants_with_quota = [tenant.name for tenant in core.settings.tenants if tenant.quota_per_s]
        return {name: core.accepted_count(name) for name in tenants_with_quota}

    def set_quota_share(self, tenant: str, share: float) -> None:
        """Set a tenant's quota on this node to a share, from 0 to 1, of the quota of all servers.

        The admission controller divides a configured quota evenly among all servers, so the share is multiplied by
        their number.
        """
        core = self._core
        quotas_per_s = {settings.name: settings.quota_per_s for settings in core.settings.tenants}
        total_per_s = quotas_per_s.get(tenant, 0.0)
        per_s = total_per_s * share * core.settings.server_count
        if tenant not in core.tenants:
            return
        if abs(core.tenants[tenant].quota_per_s - per_s) > total_per_s * MIN_QUOTA_CHANGE:
            core.set_quota(tenant, per_s)

    def restrict(self) -> None:
        """Reduce the quota of each current tenant to the lowest of all versions that were in force on this node."""
        core = self._core
        for name, lowest in self._lowest_quotas_per_s.items():
            tenant = core.tenants.get(name)
            if tenant is not None and lowest < tenant.quota_per_s:
                log.warning("quota narrowed: tenant=%s quota_per_s=%g", name, lowest)
                core.set_quota(name, lowest)
