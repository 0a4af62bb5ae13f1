"""Reads `settings` of the platform's file, for the admission controller and the client of the kernel."""

from __future__ import annotations

from collections.abc import Mapping

from marlstep.admission.settings import Settings
from marlstep.config.readers import ConfigError, Table, read_table
from marlstep.simulator.configuration import read_settings

MAX_CLASS_TIME_US = 1e12  # 11.6 days
CLASS_TIME_KEYS = ("aimUs", "hardLimitUs")
GAUGE_NAMES = {"cpu_busy": "cpu", "runnable": "runq", "mem_used": "memory", "sockets": "conns"}


def read_platform_settings(raw: Table) -> Settings:
    """Read the settings of the admission controller.

    Raises:
        ConfigError: a key is missing or has a wrong value.
    """
    _check_class_times(raw)
    try:
        return read_settings(raw)
    except ValueError as error:
        raise ConfigError.found("settings", str(error).removeprefix("conf.")) from error
    except (TypeError, AttributeError) as error:
        raise ConfigError.found("settings", f"a value of the wrong kind: {error}") from error


def _check_class_times(raw: Table) -> None:
    """Check that the configured times of each class are within their limits, as they are added to the clock."""
    rows = raw.get("classes")
    for index, row in enumerate(rows if isinstance(rows, list) else []):
        if not isinstance(row, Mapping):
            continue
        for key in CLASS_TIME_KEYS:
            value = row.get(key)
            if value is not None and not _is_time(value):
                path = f"settings.classes[{index}].{key}"
                raise ConfigError.unmet(path, f"must be a number above 0, not {value!r}")


def _is_time(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 < value < MAX_CLASS_TIME_US


def read_gauge_names(raw: Table) -> tuple[str, ...]:
    """Read the names of the kernel's gauges, in the order in which the kernel sends them.

    Raises:
        ConfigError: the names are not a list, or `familyInfo` is missing or not a table.
    """
    names = read_table(raw, "familyInfo", "settings.familyInfo").get("ownStats") or []
    if not isinstance(names, list):
        raise ConfigError.unmet("settings.familyInfo.ownStats", "must be a list")
    return tuple(GAUGE_NAMES.get(str(name), str(name)) for name in names)


def read_seed(value: object) -> int:
    """Read the seed of the node's random number generators; a string is parsed as hexadecimal.

    Raises:
        ConfigError: the value is not a number.
    """
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError as error:
        raise ConfigError.unmet("seed", "must be a hexadecimal number") from error
