"""Reads `[trace]` of an operator's file: the mapping from rows of a trace to requests.

    [trace]
    format = "google-2011"
    rest = "temp-history"            # class of rows that match no rule; if absent, they are dropped
    [[trace.rules]]                  # the first rule that matches a row applies
    class = "setpoint-cmd"
    kinds = ["2", "3"]
    [trace.work.setpoint-cmd]
    least_ms = 120
    most_ms = 210

Absent keys have the defaults of the format.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from marlstep.config.readers import (
    ConfigError,
    Table,
    check_known_keys,
    read_file,
    read_number,
    read_table,
    read_value,
    read_word,
)
from marlstep.traces.default_mappings import CLASS_WORK, DEFAULT_MAPPINGS
from marlstep.traces.formats import MODULES
from marlstep.traces.formats.generic import UNITS, Columns
from marlstep.traces.mapping import HintScale, MappingSettings, Rule, TenantMode, WorkRange

GENERIC = "generic"
MAX_HINT = 1e18  # in the trace's unit
MIN_WORK_MS = 0.001
MAX_WORK_MS = 1e6
KEYS = ("format", "rest", "rules", "work", "scale", "tenants", "columns")
RULE_KEYS = ("class", "kinds", "tenants", "hint_from", "hint_under")
WORK_KEYS = ("least_ms", "most_ms")
SCALE_KEYS = ("low", "high")
TENANT_KEYS = ("mode", "names", "rest")
COLUMN_KEYS = ("time", "unit", "tenant", "kind", "hint", "key", "name", "header", "only")


@dataclass(slots=True, frozen=True)
class TraceConfig:
    """Settings with which a trace is read.

    Attributes:
        mapping: how rows are mapped to requests.
        columns: the columns of the format `generic`; None for other formats, whose columns are fixed.
    """

    mapping: MappingSettings
    columns: Columns | None


def load_trace(path: str | None, format_name: str) -> TraceConfig:
    """Read the section from a file, or return the defaults of the format without a path.

    Args:
        path: path of the operator's file; None for the defaults.
        format_name: the format of the trace.

    Raises:
        ConfigError: the file can't be read, or a key is unknown, missing or has a wrong value.
    """
    if path is None:
        return read_trace({}, format_name)
    document = read_file(path, "--map", tomllib.loads)
    try:
        return read_trace(read_table(document, "trace", "trace"), format_name)
    except ConfigError as error:
        raise ConfigError.found("--map", f"{path}: {error}") from error


def read_trace(section: Table, format_name: str) -> TraceConfig:
    """Read the section. Raises ConfigError if a key is unknown, missing or has a wrong value."""
    check_known_keys(section, "trace", KEYS)
    _check_format(section, format_name)
    mapping = DEFAULT_MAPPINGS[format_name]
    if "rules" in section:
        mapping = replace(mapping, rules=_read_rules(section), default_class=None)
    if "rest" in section:
        mapping = replace(mapping, default_class=_read_class(section, "rest", "trace.rest"))
    if "work" in section:
        mapping = replace(mapping, work={**CLASS_WORK, **_read_work(section)})
    if "scale" in section:
        mapping = replace(mapping, scale=_read_scale(section))
    if "tenants" in section:
        mapping = _with_tenants(section, mapping)
    return TraceConfig(mapping, _read_format_columns(section, format_name))


def _check_format(section: Table, format_name: str) -> None:
    configured_format = section.get("format", format_name)
    if not isinstance(configured_format, str) or configured_format not in MODULES:
        raise _not_one_of("trace.format", sorted(MODULES))
    if configured_format != format_name:
        raise ConfigError.unmet(
            "trace.format", f"is {configured_format}, but the trace is read as {format_name}"
        )


def _not_one_of(path: str, choices: Iterable[str]) -> ConfigError:
    return ConfigError.unmet(path, f"must be one of {', '.join(choices)}")


def _read_class(parent: Table, key: str, path: str) -> str:
    return _check_class(read_word(parent, key, path), path)


def _check_class(name: str, path: str) -> str:
    if name not in CLASS_WORK:
        raise _not_one_of(path, CLASS_WORK)
    return name


def _read_names(parent: Table, key: str, path: str) -> tuple[str, ...]:
    """Read a list of names; integers are accepted and converted."""
    names = read_value(parent, key, path, [])
    if not isinstance(names, list) or not all(isinstance(name, str | int) for name in names):
        raise ConfigError.unmet(path, "must be a list of words")
    return tuple(str(name) for name in names)


def _read_rules(section: Table) -> tuple[Rule, ...]:
    rows = section["rules"]
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise ConfigError.unmet("trace.rules", "must be a list of tables")
    rules: list[Rule] = []
    for index, row in enumerate(rows):
        path = f"trace.rules[{index}]"
        rule = _read_rule(row, path)
        if any(earlier.covers(rule) for earlier in rules):
            raise ConfigError.unmet(path, "is never reached: an earlier rule matches all its rows")
        rules.append(rule)
    return tuple(rules)


def _read_rule(row: Table, path: str) -> Rule:
    check_known_keys(row, path, RULE_KEYS)
    return Rule(
        request_class=_read_class(row, "class", f"{path}.class"),
        categories=frozenset(_read_names(row, "kinds", f"{path}.kinds")),
        tenants=frozenset(_read_names(row, "tenants", f"{path}.tenants")),
        min_hint=read_number(row, "hint_from", f"{path}.hint_from", 0, MAX_HINT, 0.0),
        max_hint=read_number(row, "hint_under", f"{path}.hint_under", 0, MAX_HINT, MAX_HINT),
    )


def _read_work(section: Table) -> dict[str, WorkRange]:
    rows = read_table(section, "work", "trace.work")
    return {name: _read_work_range(rows, name) for name in rows}


def _read_work_range(rows: Table, name: str) -> WorkRange:
    path = f"trace.work.{name}"
    _check_class(name, path)
    row = read_table(rows, name, path)
    check_known_keys(row, path, WORK_KEYS)
    min_ms = read_number(row, "least_ms", f"{path}.least_ms", MIN_WORK_MS, MAX_WORK_MS)
    max_ms = read_number(row, "most_ms", f"{path}.most_ms", MIN_WORK_MS, MAX_WORK_MS)
    if max_ms < min_ms:
        raise ConfigError.unmet(f"{path}.most_ms", f"must not be under {path}.least_ms")
    return WorkRange(round(min_ms * 1000), round(max_ms * 1000))


def _read_scale(section: Table) -> HintScale:
    row = read_table(section, "scale", "trace.scale")
    check_known_keys(row, "trace.scale", SCALE_KEYS)
    low = read_number(row, "low", "trace.scale.low", 0, MAX_HINT)
    high = read_number(row, "high", "trace.scale.high", 0, MAX_HINT)
    if high <= low:
        raise ConfigError.unmet("trace.scale.high", "must be above trace.scale.low")
    return HintScale(low, high)


def _with_tenants(section: Table, mapping: MappingSettings) -> MappingSettings:
    row = read_table(section, "tenants", "trace.tenants")
    check_known_keys(row, "trace.tenants", TENANT_KEYS)
    modes = [mode.value for mode in TenantMode]
    mode = row.get("mode", TenantMode.BUCKETS.value)
    if mode not in modes:
        raise _not_one_of("trace.tenants.mode", modes)
    return replace(
        mapping,
        tenant_mode=TenantMode(str(mode)),
        tenant_names=_read_names(row, "names", "trace.tenants.names") or mapping.tenant_names,
        default_tenant=read_word(row, "rest", "trace.tenants.rest", "others"),
    )


def _read_format_columns(section: Table, format_name: str) -> Columns | None:
    """Read the columns, which are required for the format `generic` and not allowed for any other."""
    columns = _read_columns(section) if "columns" in section else None
    if format_name == GENERIC and columns is None:
        raise ConfigError.unmet("trace.columns", "is missing: the format generic needs it")
    if format_name != GENERIC and columns is not None:
        raise ConfigError.unmet("trace.columns", f"is for the format generic; {format_name} has its own")
    return columns


def _read_columns(section: Table) -> Columns:
    row = read_table(section, "columns", "trace.columns")
    check_known_keys(row, "trace.columns", COLUMN_KEYS)
    time = _read_column(row, "time")
    if time is None:
        raise ConfigError.unmet("trace.columns.time", "is missing")
    unit = row.get("unit")
    if not isinstance(unit, str) or unit not in UNITS:
        raise _not_one_of("trace.columns.unit", UNITS)
    has_header = row.get("header", True)
    if not isinstance(has_header, bool):
        raise ConfigError.unmet("trace.columns.header", "must be true or false")
    selected = read_table(row, "only", "trace.columns.only", {})
    return Columns(
        time=time,
        unit_us=UNITS[str(unit)],
        tenant=_read_column(row, "tenant"),
        category=_read_column(row, "kind"),
        hint=_read_column(row, "hint"),
        key=_read_column(row, "key"),
        name=_read_column(row, "name"),
        has_header=has_header,
        selected={
            column: frozenset(_read_names(selected, column, f"trace.columns.only.{column}"))
            for column in selected
        },
    )


def _read_column(row: Table, key: str) -> str | None:
    """Read a column: its name in the header, or its number, which counts from 0. None if the key is absent."""
    value = row.get(key)
    if value is None:
        return None
    if not isinstance(value, str | int) or isinstance(value, bool) or not str(value):
        raise ConfigError.unmet(f"trace.columns.{key}", "must be a column's name or number")
    return str(value)
