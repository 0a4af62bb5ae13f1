"""The node, as documents of its fleet govern it: through the path that SIGHUP takes."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

from marlstep.config import ConfigError
from marlstep.config.governed import Governed, part_of

if TYPE_CHECKING:
    from marlstep.node import Node

log = logging.getLogger("marlstep")


class NodeConfigDocuments:
    def __init__(self, node: Node) -> None:
        self._node = node
        self._governed = node.governed = Governed()
        self._own = node.config  # as its files have it
        self._versions: dict[str, int] = {}
        self._allowances: dict[str, float] = {}  # the least that any version in force here gave

    def local_content(self, kind: str) -> Any:
        return part_of(self._own, kind)

    def check(self, kind: str, content: str) -> str:
        """By the same code as a file, and against all else that is in force."""
        try:
            self._governed.put_on(self._node.config, **{kind: json.loads(content)})
        except (ConfigError, ValueError, KeyError, TypeError, AttributeError) as fault:
            return str(fault) or repr(fault)
        return ""

    def activate(self, kind: str, version: int, content: str) -> None:
        """Raises ValueError."""
        told = json.loads(content)
        try:
            self._node.apply_config(self._governed.put_on(self._node.config, **{kind: told}))
        except ConfigError as fault:
            raise ValueError(str(fault)) from fault
        before = {name: one.allowance_per_s for name, one in self._node.core.tenants.items()}
        self._allowances = {
            name: min(least, before.get(name, least)) for name, least in self._allowances.items()
        }
        self._allowances |= {name: least for name, least in before.items() if name not in self._allowances}
        self._governed.keep(kind, told)
        self._versions[kind] = version
        self._node.core.rules = ",".join(
            f"{name}={number}" for name, number in sorted(self._versions.items())
        )

    def request_counts(self) -> tuple[int, int, int]:
        return self._node.core.figures

    def tenant_counts(self) -> dict[str, int]:
        core = self._node.core
        limited = [one.name for one in core.settings.tenants if one.allowance_per_s]
        return {name: core.tenant_counts[name]["read"] for name in limited}

    def set_quota_share(self, tenant: str, part: float) -> None:
        """The module takes an allowance for that of all peers, and its own part for an equal one."""
        core = self._node.core
        whole = {one.name: one.allowance_per_s for one in core.settings.tenants}.get(tenant, 0.0)
        per_s = whole * part * core.settings.peers
        if tenant in core.tenants and abs(core.tenants[tenant].allowance_per_s - per_s) > whole / 10_000:
            core.allow(tenant, per_s)

    def restrict(self) -> None:
        """The least allowance that any version gave, for each tenant that is still there."""
        core = self._node.core
        for name, least in self._allowances.items():
            tenant = core.tenants.get(name)
            if tenant is not None and least < tenant.allowance_per_s:
                log.warning("tenant %s: allowance narrowed to %g a second", name, least)
                core.allow(name, least)
