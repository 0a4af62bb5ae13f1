"""Validation of the settings of replicated configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from marlstep.config import ConfigError, check
from tests.support.node import SETTINGS, raw_config


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"agree_within_ms": 2000}, "agree_within_ms must be at least 2700"),
        ({"lease_ms": 500}, "lease_ms must be at least twice"),
        ({"documents": {"d": {"kind": "none"}}}, "documents.d"),
        ({"documents": {"d": {"kind": "servers"}}}, "servers needs"),
        ({"documents": {"d": {"kind": "settings", "cut_off": "narrow"}}}, "narrow is for tenants alone"),
        ({"documents": {"d": {"kind": "settings"}, "e": {"kind": "settings"}}}, "one document of a kind"),
    ],
)
def test_invalid_or_contradictory_settings_are_rejected(
    changes: dict[str, Any], message: str, tmp_path: Path
) -> None:
    (tmp_path / "key").write_text("k" * 32)
    rules = {"documents": {"d": {"kind": "settings"}}}
    fleet_section = {
        "name": "f",
        "voters": ["n1"],
        "nodes": {"n1": "127.0.0.1:1"},
        "key_file": str(tmp_path / "key"),
    }
    fleet_section |= {"store": str(tmp_path), "rules": rules}
    fleet = check(raw_config(settings=SETTINGS), {"fleet": fleet_section}).cluster
    assert fleet is not None and fleet.replicated_config is not None
    with pytest.raises(ConfigError, match=message):
        check(raw_config(settings=SETTINGS), {"fleet": {**fleet_section, "rules": {**rules, **changes}}})
