"""The settings in force, and recently removed classes and tenants, which are still accepted for a short time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime

from marlstep.admission.settings import ClassSettings, Settings, TenantSettings
from marlstep.units import EPOCH, SECOND

RETIRED_CLASS_GRACE = 3 * SECOND  # how long a removed class or tenant is still accepted


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """The consequences of a change of settings for the rest of the core."""

    effective: Settings  # the new settings, with the quotas in force
    retired: tuple[ClassSettings, ...]  # removed classes that are still accepted
    load_signal_changed: bool


def effective_tenants(
    old: Settings, in_force: dict[str, TenantSettings], new: Settings
) -> dict[str, TenantSettings]:
    """Return the tenants of the new settings by name, with the quotas to put in force.

    A quota changed at run time is kept, unless the new settings change any value of that tenant.

    Args:
        old: the settings in force until now.
        in_force: the tenants in force until now, with quotas changed at run time.
        new: the new settings.
    """
    configured = {tenant.name: tenant for tenant in old.tenants}
    return {
        tenant.name: in_force[tenant.name] if configured.get(tenant.name) == tenant else tenant
        for tenant in new.tenants
    }


class ServedSettings:
    """Holds the settings in force, and decides which classes and tenants are accepted.

    A class or tenant removed by new settings is accepted for another `RETIRED_CLASS_GRACE`, as clients learn of the
    change later than this node.

    Attributes:
        settings: the settings applied last, without quotas changed at run time.
        classes: the accepted classes by name, including retired ones.
        tenants: the tenants in force by name; empty if the settings define none.
    """

    def __init__(self, settings: Settings) -> None:
        """Initialize with the first settings, and no retired classes or tenants."""
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._retired_classes: dict[str, datetime] = {}  # by name, until when the class is accepted
        self._retired_tenants: dict[str, datetime] = {}  # by name, until when the tenant is accepted

    def accepted_class(self, name: str, now: datetime) -> ClassSettings | None:
        """Return the settings of the class; None if it is unknown or its grace period has ended."""
        settings = self.classes.get(name)
        return None if settings is None or self._retired_classes.get(name, now) < now else settings

    def accepts_tenant(self, name: str, now: datetime) -> bool:
        """Return whether requests of this tenant are accepted.

        Any name is accepted if the settings define no tenants, and the empty name (a request without a tenant) always
        is. Otherwise the tenant must be in the settings, or have been removed at most `RETIRED_CLASS_GRACE` ago.
        """
        if not self.tenants or not name or name in self.tenants:
            return True
        return self._retired_tenants.get(name, EPOCH) >= now

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Change a tenant's quota, in requests per second. Raises KeyError for a tenant that is not in force."""
        self.tenants[tenant] = replace(self.tenants[tenant], quota_per_s=per_s)

    def change(self, settings: Settings, now: datetime) -> SettingsChange:
        """Apply new settings and return the consequences. Requests in flight keep their class settings."""
        old = self.settings
        retired = self._retire_classes(old, settings, now)
        self._retire_tenants(old, settings, now)
        self.settings = settings
        return SettingsChange(
            replace(settings, tenants=tuple(self.tenants.values())),
            retired,
            settings.load_signal is not old.load_signal,
        )

    def _retire_classes(self, old: Settings, new: Settings, now: datetime) -> tuple[ClassSettings, ...]:
        names = {request_class.name for request_class in new.classes}
        removed = {old_class.name: old_class for old_class in old.classes if old_class.name not in names}
        still_accepted = {
            name: until for name, until in self._retired_classes.items() if until >= now and name not in names
        }
        retired = {name: self.classes[name] for name in still_accepted} | removed
        self._retired_classes = still_accepted | dict.fromkeys(removed, now + RETIRED_CLASS_GRACE)
        self.classes = retired | {request_class.name: request_class for request_class in new.classes}
        return tuple(retired.values())

    def _retire_tenants(self, old: Settings, new: Settings, now: datetime) -> None:
        self.tenants = effective_tenants(old, self.tenants, new)
        removed = {tenant.name for tenant in old.tenants} - self.tenants.keys()
        still_accepted = {name: until for name, until in self._retired_tenants.items() if until >= now}
        self._retired_tenants = still_accepted | dict.fromkeys(removed, now + RETIRED_CLASS_GRACE)
