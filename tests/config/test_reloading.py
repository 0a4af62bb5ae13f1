"""Tests of reloads: a configuration is applied as a whole or not at all, and keys that need a restart are named."""

from __future__ import annotations

import copy
import json
import math
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from marlstep.config import Config, ConfigError, check, describe_changes, load, merge_reloaded
from marlstep.node import Node
from marlstep.units import MILLISECOND
from tests.support.node import SETTINGS, ManualClock, raw_config


def changed_settings(change: Callable[[dict[str, Any]], Any]) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def replace_setpoint_class(settings: dict[str, Any]) -> None:
    """Rename the class setpoint-cmd to boiler-cmd, with other times and another weight."""
    settings["classes"][2].update(name="boiler-cmd", aimUs=400_000, hardLimitUs=2_000_000.0, worth=5.0)


def with_value(path: str, value: Any) -> Callable[[dict[str, Any]], str]:
    """Return a function that writes the file with this value at the path, or without its key for MISSING."""

    def write_file(raw: dict[str, Any]) -> str:
        *parents, last = path.split(".")
        table: Any = raw
        for name in parents:
            table = table[int(name) if name.isdigit() else name]
        if value is MISSING:
            del table[last]
        else:
            table[last] = value
        return json.dumps(raw)

    return write_file


MISSING = object()

COMPLETE_FILE = json.dumps(raw_config(kernel="127.0.0.1:9"))

INVALID_TIMES: list[Any] = [0, -5, -0.0, math.nan, math.inf, "8600000", True, [], {}]

INVALID_FILES: list[tuple[Callable[[dict[str, Any]], str], str]] = [
    (lambda raw: "", "can't be read"),
    (lambda raw: COMPLETE_FILE[: len(COMPLETE_FILE) // 2], "can't be read"),
    (lambda raw: COMPLETE_FILE[:-1], "can't be read"),
    (lambda raw: "[]", "does not hold a table"),
    (lambda raw: "\x00" * 40, "can't be read"),
    *((with_value(key, MISSING), f"{key} is missing") for key in ("settings", "kernel", "db", "stop_ms", "seed")),
    (with_value("settings.classes", MISSING), "settings"),
    (with_value("settings.rules.fallUs", MISSING), "rules.fallUs is missing"),
    (with_value("settings.familyInfo.heededUs", MISSING), "settings.familyInfo.heededUs is missing"),
    (with_value("settings.classes.1.repeatWindowUs", MISSING), r"settings.classes\[1\].repeatWindowUs is missing"),
    (with_value("settings.classes.0.hardLimitUs", MISSING), r"classes\[0\].hardLimitUs is missing"),
    *(
        (with_value("settings.classes.0.hardLimitUs", value), r"settings.classes\[0\].hardLimitUs must be a number")
        for value in INVALID_TIMES
    ),
    (with_value("settings.classes.2.aimUs", math.nan), r"settings.classes\[2\].aimUs must be a number above 0"),
    (with_value("settings.classes.0.hardLimitUs", 0.5), "settings: classes"),
    (with_value("settings.classes", []), "one value for each class"),
    (with_value("settings.classes", "none"), "classes"),
    (with_value("settings.classes", [7]), "settings"),
    (with_value("settings.classes.1.name", "temp-history"), "names one twice"),
    (with_value("settings.familyInfo.ramKb", -1.0), "settings: familyInfo.ramKb must be above 0"),
]  # fmt: skip


@pytest.mark.parametrize(("write_file", "message"), INVALID_FILES)
def test_an_invalid_file_changes_nothing(
    write_file: Callable[[dict[str, Any]], str],
    message: str,
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against applying a part of an invalid file: the file also changes the kernel address, which must not apply.
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(db="127.0.0.1:5")))

    def read() -> Config:
        return load({"PROXY_CONFIG": str(path)})

    node = Node(read(), ManualClock().timeline, read)
    before, controller = node.config, node.core._controller
    path.write_text(write_file(copy.deepcopy(raw_config(db="127.0.0.1:5", kernel="127.0.0.1:9"))))
    node.config_reloader.reload()
    assert node.config is before and node.core.settings is before.settings
    assert controller.state.settings is before.settings and node.kernel._address == before.kernel
    [line] = [record.getMessage() for record in caplog.records if record.levelname == "ERROR"]
    assert str(path) in line and "the running one stays in force" in line
    with pytest.raises(ConfigError, match=message):
        merge_reloaded(before, read())


def test_changed_settings_are_described_and_the_server_count_is_kept(tmp_path: Path) -> None:
    running = check(raw_config())
    loaded = check(raw_config(settings={**changed_settings(replace_setpoint_class), "peersTotal": 7}))
    merged, restart_keys = merge_reloaded(running, loaded)
    assert restart_keys == [] and merged.settings.server_count == running.settings.server_count
    lines = describe_changes(running.settings, merged.settings)
    assert lines == ["class setpoint-cmd is gone", "class boiler-cmd is new"]
    changed = changed_settings(lambda settings: settings["classes"][0].update(aimUs=9))
    lines = describe_changes(running.settings, check(raw_config(settings=changed)).settings)
    assert lines == ["class temp-history: aim_us 2600000 is now 9"]


def test_changed_client_addresses_apply_and_a_changed_listen_address_needs_a_restart() -> None:
    running = check(raw_config(db="127.0.0.1:5"))
    changed = {
        "kernel": "127.0.0.1:2",
        "naming": "127.0.0.1:3",
        "db": "127.0.0.1:6",
        "listen": "127.0.0.1:77",
    }
    loaded = check(raw_config(**changed, stop_ms=900))
    merged, restart_keys = merge_reloaded(running, loaded)
    assert (merged.kernel[1], merged.name_service, merged.database) == (2, ("127.0.0.1", 3), ("127.0.0.1", 6))
    assert (
        merged.shutdown_timeout == 900 * MILLISECOND
        and merged.listen == running.listen
        and restart_keys == ["listen"]
    )
