"""The node as documents of its cluster govern it, by the path that SIGHUP takes."""

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

MIN_ALLOWANCE_CHANGE = 1 / 10_000  # of the whole allowance: a lesser change is not worth a turn of the core


class NodeConfigDocuments:
    """Checks documents against the node's configuration, and puts them in force."""

    def __init__(self, governed_config: GovernedConfig, core: Core) -> None:
        """Govern the configuration from now on, without any document yet."""
        self._config, self._core = governed_config, core
        self._governed = governed_config.governed = DocumentOverrides()
        self._own = governed_config.config  # as its files have it
        self._versions: dict[str, int] = {}
        self._lowest_allowances: dict[str, float] = {}  # that any version in force here gave, by tenant

    def local_content(self, kind: str) -> object:
        """Give what the node's own files say of this kind."""
        return local_content(self._own, kind)

    def check(self, kind: str, content: str) -> str:
        """Give why the node can't act on this content, beside all else in force; empty where it can.

        A document is checked by the same code as a file.
        """
        try:
            self._governed.apply_to(self._config.config, **{kind: json.loads(content)})
        except (ConfigError, ValueError, KeyError, TypeError, AttributeError) as error:
            return str(error) or repr(error)
        return ""

    def activate(self, kind: str, version: int, content: str) -> None:
        """Put a version in force. Raises ValueError."""
        document = json.loads(content)
        try:
            self._config.apply_config(self._governed.apply_to(self._config.config, **{kind: document}))
        except ConfigError as error:
            raise ValueError(str(error)) from error
        self._note_allowances()
        self._governed.put(kind, document)
        self._versions[kind] = version
        self._core.config_versions = ",".join(
            f"{name}={number}" for name, number in sorted(self._versions.items())
        )

    def _note_allowances(self) -> None:
        allowances = {name: tenant.quota_per_s for name, tenant in self._core.tenants.items()}
        lowest = {
            name: min(allowance, allowances.get(name, allowance))
            for name, allowance in self._lowest_allowances.items()
        }
        self._lowest_allowances = {**allowances, **lowest}

    def request_counts(self) -> RequestCounts:
        """Count the requests that were read, of them rejected, and failed or late."""
        return RequestCounts(*self._core.request_counts)

    def tenant_counts(self) -> dict[str, int]:
        """Count the requests that were read of each tenant that has an allowance."""
        core = self._core
        limited = [tenant.name for tenant in core.settings.tenants if tenant.quota_per_s]
        return {name: core.tenant_counts[name]["read"] for name in limited}

    def set_quota_share(self, tenant: str, share: float) -> None:
        """Set a tenant's allowance here to a share of the whole.

        The decision module takes an allowance for that of all peers, and its own share for an equal one.
        """
        core = self._core
        allowances = {settings.name: settings.quota_per_s for settings in core.settings.tenants}
        whole = allowances.get(tenant, 0.0)
        per_s = whole * share * core.settings.server_count
        if tenant not in core.tenants:
            return
        if abs(core.tenants[tenant].quota_per_s - per_s) > whole * MIN_ALLOWANCE_CHANGE:
            core.set_quota(tenant, per_s)

    def restrict(self) -> None:
        """Narrow the allowance of each tenant that is still there to the lowest that any version gave."""
        core = self._core
        for name, lowest in self._lowest_allowances.items():
            tenant = core.tenants.get(name)
            if tenant is not None and lowest < tenant.quota_per_s:
                log.warning("allowance narrowed: tenant=%s allowance_per_s=%g", name, lowest)
                core.set_quota(name, lowest)
