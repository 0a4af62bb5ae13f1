"""Tests that settings keep their stored keys, and that errors name them."""

from __future__ import annotations

import dataclasses

import pytest

from marlstep.admission.settings import (
    ClassSettings,
    InvalidSettingError,
    Settings,
    TenantSettings,
    stored_key,
)
from tests.support import helpers

CLASS_KEYS = "name effect aim_us deadline_us window_us worth late_share calls skip_worth"
TENANT_KEYS = "name portion allowance_per_s"
SETTINGS_KEYS = """
    classes tenants over_share_worth cores memory_kb run_factor key_kb fresh_us peers callers cold cold_share
    warm_after_us fall_multiple fall_us drain_grace_us answer_slack_us tick_us halt say heeded_us below calls_out
    calls_over_us linger_us idle_us list_follows_health deep_checks retry_after max_retry_after_us marks_retry
"""


def stored(item: Settings | ClassSettings | TenantSettings) -> dict[str, object]:
    """Return settings as plain values by stored key."""
    plain: dict[str, object] = {}
    for part in dataclasses.fields(item):
        value = getattr(item, part.name)
        plain[stored_key(part)] = [stored(row) for row in value] if isinstance(value, tuple) else value
    return plain


@pytest.mark.parametrize(
    ("owner", "keys"),
    [(ClassSettings, CLASS_KEYS), (TenantSettings, TENANT_KEYS), (Settings, SETTINGS_KEYS)],
)
def test_stored_settings_keep_their_keys_in_their_order(
    owner: type[Settings] | type[ClassSettings] | type[TenantSettings], keys: str
) -> None:
    assert [stored_key(part) for part in dataclasses.fields(owner)] == keys.split()


def test_settings_are_read_back_from_their_stored_form() -> None:
    settings = helpers.settings(tenants=(TenantSettings("riad", 0.5, 12.0),))
    assert Settings.from_mapping(stored(settings)) == settings


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("fall_multiple", 0.5, "fall_multiple must be at least 1"),
        ("heeded_us", -1, "heeded_us must be a finite number, 0 or more"),
        ("say", "loud", "say must be one of none, level, credit, weight"),
        ("run_factor", "four", "run_factor must be of type float"),
        ("marks_retry", None, "marks_retry must be of type bool"),
    ],
)
def test_an_error_names_the_stored_key(key: str, value: object, message: str) -> None:
    with pytest.raises(InvalidSettingError) as caught:
        Settings.from_mapping({**stored(helpers.settings()), key: value})
    assert str(caught.value) == message


def test_a_missing_setting_is_named_by_its_stored_key() -> None:
    plain = stored(helpers.settings())
    del plain["linger_us"]
    with pytest.raises(InvalidSettingError) as caught:
        Settings.from_mapping(plain)
    assert str(caught.value) == "linger_us is missing"
