"""A complete section `[trace]` of an operator's file, and variants of it with one invalid key."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from marlstep.config.readers import ConfigError
from marlstep.config.traces import read_trace

COMPLETE: dict[str, Any] = {
    "format": "generic",
    "rest": "temp-history",
    "rules": [{"class": "setpoint-cmd", "kinds": ["a", 3], "tenants": ["t"], "hint_from": 0.5, "hint_under": 7}],
    "work": {"setpoint-cmd": {"least_ms": 1.5, "most_ms": 4}},
    "scale": {"low": 1, "high": 9},
    "tenants": {"mode": "named", "names": ["x", 7], "rest": "more"},
    "columns": {
        "time": "at",
        "unit": "ms",
        "tenant": "site",
        "kind": 3,
        "hint": "work",
        "key": "gateway",
        "name": "id",
        "header": False,
        "only": {"phase": ["start", 1]},
    },
}  # fmt: skip
TABLES: tuple[tuple[str | int, ...], ...] = (
    (),
    ("rules", 0),
    ("work", "setpoint-cmd"),
    ("scale",),
    ("tenants",),
    ("columns",),
)
WRONG_VALUES: tuple[object, ...] = (-1, "", "two words", None, True, 1.5, [], {}, [1.5])
KEYS_WITH_HASHED_VALUES = ("format", "columns.unit")  # an unhashable value raises a TypeError there


def with_value(path: tuple[str | int, ...], value: object) -> dict[str, Any]:
    """Return the complete section with another value at the path."""
    section = json.loads(json.dumps(COMPLETE))
    *outer, last = path
    table = section
    for key in outer:
        table = table[key]
    table[last] = value
    changed: dict[str, Any] = section
    return changed


def error_of(section: dict[str, Any]) -> str:
    """Return the text of the error, or an empty text if the section is accepted."""
    try:
        read_trace(section, "generic")
    except ConfigError as error:
        return str(error)
    return ""


def errors_of_wrong_values() -> dict[str, dict[str, str]]:
    """Return the error for each key and each wrong value, by the key's path and the value's JSON."""
    return {
        dotted(path): {
            json.dumps(value): error_of(with_value(path, value))
            for value in WRONG_VALUES
            if not (dotted(path) in KEYS_WITH_HASHED_VALUES and isinstance(value, list | dict))
        }
        for path in _paths(COMPLETE, ())
    }


def errors_of_unknown_keys() -> dict[str, str]:
    return {dotted(table): error_of(with_value((*table, "colour"), 1)) for table in TABLES}


def dotted(path: tuple[str | int, ...]) -> str:
    return ".".join(map(str, path))


def _paths(value: object, path: tuple[str | int, ...]) -> Iterator[tuple[str | int, ...]]:
    if path:
        yield path
    match value:
        case dict():
            for key, inner in value.items():
                yield from _paths(inner, (*path, key))
        case [dict() as first, *_]:
            yield from _paths(first, (*path, 0))
