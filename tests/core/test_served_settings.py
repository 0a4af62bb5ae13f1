"""The classes and tenants that are accepted after a change of settings, and the quotas in force."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from marlstep.admission.settings import Settings, TenantSettings
from marlstep.core.served_settings import RETIRED_CLASS_GRACE, ServedSettings
from marlstep.simulator.configuration import read_settings
from marlstep.units import MILLISECOND, SECOND
from tests.support.node import SETTINGS, START

CLASS = "temp-history"
NORTH, SOUTH = TenantSettings("north", 0.6, 40.0), TenantSettings("south", 0.4, 20.0)


def settings_of(**changes: Any) -> Settings:
    return replace(read_settings(SETTINGS), **changes)


def without_class(settings: Settings) -> Settings:
    return replace(
        settings,
        classes=tuple(class_settings for class_settings in settings.classes if class_settings.name != CLASS),
    )


def test_a_removed_class_is_accepted_until_its_grace_ends() -> None:
    settings = settings_of()
    served = ServedSettings(settings)
    change = served.change(without_class(settings), START)
    assert [retired.name for retired in change.retired] == [CLASS]
    assert served.accepted_class(CLASS, START + RETIRED_CLASS_GRACE) is not None
    assert served.accepted_class(CLASS, START + RETIRED_CLASS_GRACE + MILLISECOND) is None


def test_a_removed_class_that_returns_is_accepted_without_a_time_limit() -> None:
    settings = settings_of()
    served = ServedSettings(settings)
    served.change(without_class(settings), START)
    assert served.change(settings, START + SECOND).retired == ()
    assert served.accepted_class(CLASS, START + 100 * SECOND) is not None


def test_a_removed_tenant_is_accepted_until_its_grace_ends_and_an_unknown_one_never() -> None:
    served = ServedSettings(settings_of(tenants=(NORTH, SOUTH)))
    served.change(settings_of(tenants=(NORTH,)), START)
    assert served.accepts_tenant("south", START + RETIRED_CLASS_GRACE)
    assert not served.accepts_tenant("south", START + RETIRED_CLASS_GRACE + MILLISECOND)
    assert not served.accepts_tenant("west", START)


def test_any_tenant_is_accepted_if_the_settings_name_none_and_the_empty_one_always() -> None:
    assert ServedSettings(settings_of(tenants=())).accepts_tenant("west", START)
    assert ServedSettings(settings_of(tenants=(NORTH,))).accepts_tenant("", START)


def test_a_quota_changed_at_run_time_stays_until_the_settings_change_that_tenant() -> None:
    served = ServedSettings(settings_of(tenants=(NORTH, SOUTH)))
    served.set_quota("north", 7.0)
    served.set_quota("south", 7.0)
    served.change(settings_of(tenants=(NORTH, replace(SOUTH, quota_per_s=21.0))), START)
    assert {name: tenant.quota_per_s for name, tenant in served.tenants.items()} == {
        "north": 7.0,
        "south": 21.0,
    }
