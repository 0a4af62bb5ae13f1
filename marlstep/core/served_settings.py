"""The settings in force, and the classes and tenants that were removed from them a short time ago."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from marlstep.admission.settings import ClassSettings, Settings, TenantSettings
from marlstep.units import EPOCH, SECOND, span

RETIRED_CLASS_GRACE = 3 * SECOND  # for which a removed class or tenant is still accepted


@dataclass(slots=True, frozen=True)
class WindowExtension:
    """A class whose idempotency window has become longer."""

    request_class: str
    added: timedelta
    deadline: timedelta  # of the class: the longest that a request may lie unread and still be run


@dataclass(slots=True, frozen=True)
class SettingsChange:
    """What a change of settings means for the rest of the core."""

    effective: Settings  # with the quotas in force
    retired: tuple[ClassSettings, ...]  # removed classes that are still accepted
    window_extensions: tuple[WindowExtension, ...]
    load_signal_changed: bool


def longer_windows(old: Settings, new: Settings) -> tuple[WindowExtension, ...]:
    """List the classes whose idempotency window is longer in the new settings than in the old.

    A window that shrinks shortens nothing: clients were promised the longer one.
    """
    old_classes = {settings.name: settings for settings in old.classes}
    return tuple(
        WindowExtension(
            settings.name,
            span(settings.idempotency_window_us - old_class.idempotency_window_us),
            span(settings.deadline_us),
        )
        for settings in new.classes
        if (old_class := old_classes.get(settings.name)) is not None
        and settings.idempotency_window_us > old_class.idempotency_window_us
    )


def effective_tenants(
    old: Settings, in_force: dict[str, TenantSettings], new: Settings
) -> dict[str, TenantSettings]:
    """Return the tenants under new settings, with the quotas that hold from then on.

    A quota that was changed at run time stays, unless the settings' own row for the tenant has changed.
    """
    configured = {tenant.name: tenant for tenant in old.tenants}
    return {
        tenant.name: in_force[tenant.name] if configured.get(tenant.name) == tenant else tenant
        for tenant in new.tenants
    }


class ServedSettings:
    """Owns the settings, and with them which classes and tenants are accepted.

    A class or tenant that new settings remove is accepted for `RETIRED_CLASS_GRACE` more: clients learn of the
    change later than this node does.

    Attributes:
        settings: as they were given last, without quotas that were changed at run time.
        classes: the accepted classes by name, retired ones included.
        tenants: the tenants in force by name; empty where the settings name none.
    """

    def __init__(self, settings: Settings) -> None:
        """Begin with these settings and nothing retired."""
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._retired_classes: dict[str, datetime] = {}  # until when each is accepted
        self._retired_tenants: dict[str, datetime] = {}

    def accepted_class(self, name: str, now: datetime) -> ClassSettings | None:
        """Return the class of that name; None where it is unknown, or was removed too long ago."""
        class_settings = self.classes.get(name)
        return (
            None if class_settings is None or self._retired_classes.get(name, now) < now else class_settings
        )

    def accepts_tenant(self, name: str, now: datetime) -> bool:
        """Decide whether requests of this tenant are accepted.

        Every name is where the settings name no tenants, and so is a request without a tenant. Otherwise the
        settings must name it, or have named it until a short time ago.
        """
        if not self.tenants or not name or name in self.tenants:
            return True
        return self._retired_tenants.get(name, EPOCH) >= now

    def set_quota(self, tenant: str, per_s: float) -> None:
        """Change a tenant's quota, in requests a second. Raises KeyError for a tenant that is not in force."""
        self.tenants[tenant] = replace(self.tenants[tenant], quota_per_s=per_s)

    def change(self, settings: Settings, now: datetime) -> SettingsChange:
        """Put other settings in force, and say what follows from them. Requests in flight keep their class."""
        old = self.settings
        retired = self._retire_classes(old, settings, now)
        self._retire_tenants(old, settings, now)
        self.settings = settings
        return SettingsChange(
            replace(settings, tenants=tuple(self.tenants.values())),
            retired,
            longer_windows(old, settings),
            settings.load_signal is not old.load_signal,
        )

    def _retire_classes(self, old: Settings, new: Settings, now: datetime) -> tuple[ClassSettings, ...]:
        names = {request_class.name for request_class in new.classes}
        removed = {
            request_class.name: request_class
            for request_class in old.classes
            if request_class.name not in names
        }
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
