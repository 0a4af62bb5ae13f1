"""Conversion of `conf`, as the simulator and the platform write it, to settings."""

from __future__ import annotations

import dataclasses
import json
import re
from typing import Any

import pytest

from marlstep.admission.settings import ClassSettings, InvalidSettingError, Settings, TenantSettings
from marlstep.simulator.configuration import (
    CALLER_KEYS,
    CLASS_KEYS,
    PER_CLASS_KEYS,
    SERVER_KEYS,
    TENANT_KEYS,
    WireKey,
    read_settings,
)
from tests.support.simulator_wire import CONF


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("familyInfo", "cpus"), None, "conf.familyInfo.cpus is missing"),
        (("familyInfo", "cpus"), 0, "conf.familyInfo.cpus must be at least 1"),
        (("familyInfo", "cpus"), "six", "conf.familyInfo.cpus must be of type int"),
        (("familyInfo", "halt"), "maybe", "conf.familyInfo.halt must be one of"),
        (("rules", "fallMultiple"), -1.0, "conf.rules.fallMultiple must be at least 1"),
        (("classes",), [], "conf.classes must name at least one class"),
        (("resolutionUs",), 0, "conf.resolutionUs must be at least 1"),
        (("classes", 0, "hardLimitUs"), 0, "conf.classes[0].hardLimitUs must be at least 1"),
        (("classes", 1, "lateShare"), 1.5, "conf.classes[1].lateShare must be at most 1"),
        (("classes", 1, "name"), "read", "conf.classes names one twice"),
        (("classes", 1, "semantics"), "twice", "conf.classes[1].semantics must be one of idempotent"),
        (("familyInfo", "degradedWorth"), [0.5, 2.0], "conf.familyInfo.degradedWorth[1] must be at most 1"),
        (("familyInfo", "callsByClass"), [True], "conf.familyInfo.callsByClass must have one value for each"),
        (("realms",), [{"name": "riad", "portion": 0.1}], "conf.realms[0].allowancePerS is missing"),
        (("caps", "retryAfter"), "yes", "conf.caps.retryAfter must be of type bool"),
        (("callers",), {"marksRetry": 1}, "conf.callers.marksRetry must be of type bool"),
        (("peersTotal",), "ten", "conf.peersTotal must be of type int"),
    ],
)
def test_the_error_for_an_invalid_setting_names_its_key_in_conf(
    path: tuple[str | int, ...], value: Any, expected: str
) -> None:
    conf = json.loads(json.dumps(CONF))
    table: Any = conf
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = value
    with pytest.raises(InvalidSettingError, match=f"^{re.escape(expected)}"):
        read_settings(conf)


def test_features_whose_options_are_absent_are_off() -> None:
    settings = read_settings(CONF)
    assert (
        settings.tenants == ()
        and settings.load_signal == "none"
        and settings.dependency == "none"
        and not settings.warms_up
    )


@pytest.mark.parametrize(
    ("owner", "keys", "rows"),
    [
        (
            Settings,
            [key for keys in SERVER_KEYS.values() for key in keys] + [*CALLER_KEYS],
            {"classes", "tenants"},
        ),
        (ClassSettings, [*CLASS_KEYS, *PER_CLASS_KEYS], set()),
        (TenantSettings, [*TENANT_KEYS], set()),
    ],
)
def test_every_field_has_one_wire_key(owner: type, keys: list[WireKey], rows: set[str]) -> None:
    field_names = [key.field for key in keys]
    assert len(set(field_names)) == len(field_names)
    assert {*field_names, *rows} == {field.name for field in dataclasses.fields(owner)}


def test_the_wire_names_of_setting_values_are_translated() -> None:
    conf = CONF | {"familyInfo": CONF["familyInfo"] | {"say": "window", "halt": "abort", "below": "tier"}}
    settings = read_settings(conf)
    assert (settings.load_signal, settings.preemption_mode, settings.dependency) == ("credit", "drop", "tier")
    assert [request_class.effect for request_class in settings.classes] == ["safe", "keyed"]


def test_a_class_duration_may_have_a_decimal_point() -> None:
    conf = json.loads(json.dumps(CONF))
    conf["classes"][0]["aimUs"] = 2_000_000.0
    assert read_settings(conf).classes[0].latency_objective_us == 2_000_000


def test_the_server_count_is_one_if_the_endpoint_list_is_empty() -> None:
    assert read_settings(CONF | {"peersTotal": 0}).server_count == 1
