"""The tables of docs/glossary.md agree with the code that maps the words."""

from __future__ import annotations

import inspect
import re
from dataclasses import fields
from pathlib import Path

import pytest

from marlstep.admission.settings import ClassSettings, Settings, TenantSettings, stored_key
from marlstep.config.schema import Config, config_key
from marlstep.frontends.resp_fields import REQUEST_FIELDS
from marlstep.hot_restart import messages
from marlstep.simulator import configuration

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "glossary.md").read_text("utf-8")


def rows_below(heading: str) -> list[list[str]]:
    """List the cells in backquotes of the table below a heading, row by row."""
    section = PAGE.split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    rows = [re.findall(r"`([^`]+)`", line) for line in section.splitlines() if line.startswith("| `")]
    assert rows
    return rows


def settings_rows() -> list[list[str]]:
    """List platform's key, stored key and field of each setting that the platform writes."""
    written = {
        ("Settings", key.field): f"{path}.{key.key}".removeprefix("conf.")
        for path, keys in configuration.SERVER_KEYS.items()
        for key in keys
    }
    written |= {("Settings", key.field): f"callers.{key.key}" for key in configuration.CALLER_KEYS}
    written |= {("ClassSettings", key.field): f"classes[].{key.key}" for key in configuration.CLASS_KEYS}
    written |= {("ClassSettings", key.field): f"familyInfo.{key.key}" for key in configuration.PER_CLASS_KEYS}
    written |= {("TenantSettings", key.field): f"realms[].{key.key}" for key in configuration.TENANT_KEYS}
    return [
        [written[owner.__name__, part.name], stored_key(part), f"{owner.__name__}.{part.name}"]
        for owner in (Settings, ClassSettings, TenantSettings)
        for part in fields(owner)
        if (owner.__name__, part.name) in written
    ]


def test_each_setting_stands_with_its_keys_and_its_field() -> None:
    assert rows_below("Settings of the admission controller") == settings_rows()


def test_each_renamed_key_of_the_configuration_stands_with_its_field() -> None:
    renamed = [[config_key(part), part.name] for part in fields(Config) if config_key(part) != part.name]
    assert rows_below("Configuration of a node") == renamed


def test_each_word_of_a_request_frame_stands_with_its_field() -> None:
    expected = [[row.wire_name, row.field] for row in REQUEST_FIELDS]
    assert rows_below("Frames of the platform's protocol") == expected


def test_each_tag_between_two_processes_stands_with_its_message() -> None:
    tags = [
        [value.wire_tag, name]
        for name, value in vars(messages).items()
        if inspect.isclass(value) and hasattr(value, "wire_tag")
    ]
    assert rows_below("Messages between two processes of a node") == tags


@pytest.mark.parametrize("path", sorted(set(re.findall(r"`([a-z_]+/[a-z_/]*\.py)`", PAGE))))
def test_each_module_that_the_page_names_exists(path: str) -> None:
    if path.startswith("tests/"):
        assert (ROOT / path).exists()
    else:
        assert (ROOT / "marlstep" / path).exists()
