"""The `[trace]` tables of an operator's file: how rows become requests.

    [trace]
    format = "google-2011"
    rest = "temp-history"            # or left out: what no rule fits is dropped
    [[trace.rules]]                  # the first that fits counts
    class = "setpoint-cmd"
    kinds = ["2", "3"]
    [trace.work.setpoint-cmd]
    least_ms = 120
    most_ms = 210

Keys that are left out have the format's defaults.
"""

from __future__ import annotations

import tomllib
from dataclasses import replace

from marlstep.config.readers import ConfigError, Table, known, number, read_file, table, take, word
from marlstep.traces.formats import MODULES
from marlstep.traces.formats.generic import UNITS, Columns
from marlstep.traces.mapping import CLASS_WORK, DEFAULTS, MappingSettings, Rule, Scale, Tenants, Work

KEYS = ("format", "rest", "rules", "work", "scale", "tenants", "columns")
COLUMN_KEYS = ("time", "unit", "tenant", "kind", "hint", "key", "name", "header", "only")


def load_trace(path: str | None, format: str) -> tuple[MappingSettings, Columns | None]:
    """The mapping for a format, with what the operator's file says of it, and the columns of `generic`."""
    if path is None:
        return check_trace({}, format)
    raw = read_file(path, "--map", tomllib.loads)
    try:
        return check_trace(table(raw, "trace", "trace"), format)
    except ConfigError as fault:
        raise ConfigError(f"--map: {path}: {fault}") from fault


def check_trace(raw: Table, format: str) -> tuple[MappingSettings, Columns | None]:
    known(raw, "trace", KEYS)
    named = raw.get("format", format)
    if named not in MODULES:
        raise ConfigError(f"trace.format must be one of {', '.join(sorted(MODULES))}")
    if named != format:
        raise ConfigError(f"trace.format is {named}, but the call says {format}")
    settings = DEFAULTS[format]
    if "rules" in raw:
        settings = replace(settings, rules=_rules(raw), rest=None)
    if "rest" in raw:
        rest = word(raw, "rest", "trace.rest")
        settings = replace(settings, rest=_class(rest, "trace.rest"))
    if "work" in raw:
        settings = replace(settings, work={**CLASS_WORK, **_work(table(raw, "work", "trace.work"))})
    if "scale" in raw:
        scale = table(raw, "scale", "trace.scale")
        known(scale, "trace.scale", ("low", "high"))
        low = number(scale, "low", "trace.scale.low", 0, 1e18)
        high = number(scale, "high", "trace.scale.high", 0, 1e18)
        if high <= low:
            raise ConfigError("trace.scale.high must be above trace.scale.low")
        settings = replace(settings, scale=Scale(low, high))
    if "tenants" in raw:
        settings = _tenants(table(raw, "tenants", "trace.tenants"), settings)
    columns = _columns(table(raw, "columns", "trace.columns")) if "columns" in raw else None
    if format == "generic" and columns is None:
        raise ConfigError("trace.columns is missing: the format generic needs it")
    if format != "generic" and columns is not None:
        raise ConfigError(f"trace.columns is for the format generic; {format} has its own")
    return settings, columns


def _class(name: str, path: str) -> str:
    if name not in CLASS_WORK:
        raise ConfigError(f"{path} must be one of {', '.join(CLASS_WORK)}")
    return name


def _words(raw: Table, key: str, path: str) -> tuple[str, ...]:
    value = take(raw, key, path, [])
    if not isinstance(value, list) or not all(isinstance(one, str | int) for one in value):
        raise ConfigError(f"{path} must be a list of words")
    return tuple(str(one) for one in value)


def _rules(raw: Table) -> tuple[Rule, ...]:
    rows = raw["rules"]
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise ConfigError("trace.rules must be a list of tables")
    rules: list[Rule] = []
    for index, row in enumerate(rows):
        path = f"trace.rules[{index}]"
        known(row, path, ("class", "kinds", "tenants", "hint_from", "hint_under"))
        rule = Rule(
            _class(word(row, "class", f"{path}.class"), f"{path}.class"),
            frozenset(_words(row, "kinds", f"{path}.kinds")),
            frozenset(_words(row, "tenants", f"{path}.tenants")),
            number(row, "hint_from", f"{path}.hint_from", 0, 1e18, 0.0),
            number(row, "hint_under", f"{path}.hint_under", 0, 1e18, 1e18),
        )
        if any(_covers(other, rule) for other in rules):
            raise ConfigError(f"{path} is never reached: an earlier rule takes all that fits it")
        rules.append(rule)
    return tuple(rules)


def _covers(first: Rule, second: Rule) -> bool:
    """Does the first take all that would fit the second?"""
    return (
        (not first.kinds or (bool(second.kinds) and second.kinds <= first.kinds))
        and (not first.tenants or (bool(second.tenants) and second.tenants <= first.tenants))
        and first.hint_from <= second.hint_from
        and first.hint_under >= second.hint_under
    )


def _work(raw: Table) -> dict[str, Work]:
    found = {}
    for name in raw:
        path = f"trace.work.{name}"
        _class(name, path)
        row = table(raw, name, path)
        known(row, path, ("least_ms", "most_ms"))
        least = number(row, "least_ms", f"{path}.least_ms", 0.001, 1e6)
        most = number(row, "most_ms", f"{path}.most_ms", 0.001, 1e6)
        if most < least:
            raise ConfigError(f"{path}.most_ms must not be under {path}.least_ms")
        found[name] = Work(round(least * 1000), round(most * 1000))
    return found


def _tenants(raw: Table, settings: MappingSettings) -> MappingSettings:
    known(raw, "trace.tenants", ("mode", "names", "rest"))
    modes = [mode.value for mode in Tenants]
    mode = raw.get("mode", Tenants.BUCKETS.value)
    if mode not in modes:
        raise ConfigError(f"trace.tenants.mode must be one of {', '.join(modes)}")
    names = _words(raw, "names", "trace.tenants.names") or settings.tenant_names
    rest = word(raw, "rest", "trace.tenants.rest", "others")
    return replace(settings, tenants=Tenants(str(mode)), tenant_names=names, rest_tenant=rest)


def _columns(raw: Table) -> Columns:
    known(raw, "trace.columns", COLUMN_KEYS)

    def named(key: str) -> str | None:
        value = raw.get(key)
        if value is None:
            return None
        if not isinstance(value, str | int) or isinstance(value, bool) or not str(value):
            raise ConfigError(f"trace.columns.{key} must be a column's name or number")
        return str(value)

    time = named("time")
    if time is None:
        raise ConfigError("trace.columns.time is missing")
    unit = raw.get("unit")
    if unit not in UNITS:
        raise ConfigError(f"trace.columns.unit must be one of {', '.join(UNITS)}")
    header = raw.get("header", True)
    if not isinstance(header, bool):
        raise ConfigError("trace.columns.header must be true or false")
    only = table(raw, "only", "trace.columns.only", {})
    return Columns(
        time=time,
        unit_us=UNITS[str(unit)],
        tenant=named("tenant"),
        kind=named("kind"),
        hint=named("hint"),
        key=named("key"),
        name=named("name"),
        header=header,
        only={name: frozenset(_words(only, name, f"trace.columns.only.{name}")) for name in only},
    )
