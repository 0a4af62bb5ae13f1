"""The operator's tenants and priority weights, which override those of the platform."""

from __future__ import annotations

from dataclasses import replace

from marlstep.admission.settings import ClassSettings, Settings, TenantSettings
from marlstep.config.readers import ConfigError, Table, check_known_keys, read_number, read_table

OVERRIDE_KEYS = ("tenants", "classes", "over_share_worth")
MAX_PRIORITY_WEIGHT = 1e6
MAX_QUOTA_PER_S = 1e6
MAX_SUM_OF_PORTIONS = 1.001  # above 1 because the portions in the file may be rounded


def apply_overrides(settings: Settings, operator: Table) -> Settings:
    """Return the settings with the tenants, weights and factor that the operator's file overrides.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value.
    """
    if "over_share_worth" in operator:
        factor = read_number(operator, "over_share_worth", "over_share_worth", 0, 1)
        settings = replace(settings, over_quota_factor=factor)
    if "tenants" in operator:
        settings = replace(settings, tenants=_read_tenants(operator))
    weights = _read_priority_weights(operator, settings)
    return replace(
        settings, classes=tuple(_with_weight(each, weights.get(each.name)) for each in settings.classes)
    )


def _read_tenants(operator: Table) -> tuple[TenantSettings, ...]:
    rows = read_table(operator, "tenants", "tenants")
    tenants = tuple(_read_tenant(rows, name) for name in rows)
    if sum(tenant.portion for tenant in tenants) > MAX_SUM_OF_PORTIONS:
        raise ConfigError.found("tenants", "their shares come to more than 1")
    return tenants


def _read_tenant(rows: Table, name: str) -> TenantSettings:
    path = f"tenants.{name}"
    row = read_table(rows, name, path)
    check_known_keys(row, path, ("share", "allowance_per_s"))
    portion = read_number(row, "share", f"{path}.share", 0, 1)
    quota_per_s = read_number(row, "allowance_per_s", f"{path}.allowance_per_s", 0, MAX_QUOTA_PER_S)
    return TenantSettings(name, portion, quota_per_s)


def _read_priority_weights(operator: Table, settings: Settings) -> dict[str, float]:
    rows = read_table(operator, "classes", "classes", {})
    names = sorted(request_class.name for request_class in settings.classes)
    weights: dict[str, float] = {}
    for name in rows:
        path = f"classes.{name}"
        if name not in names:
            raise ConfigError.unmet(path, f"must be one of {', '.join(names)}")
        row = read_table(rows, name, path)
        check_known_keys(row, path, ("worth",))
        weights[name] = read_number(row, "worth", f"{path}.worth", 0, MAX_PRIORITY_WEIGHT)
    return weights


def _with_weight(request_class: ClassSettings, weight: float | None) -> ClassSettings:
    return request_class if weight is None else replace(request_class, priority_weight=weight)
