"""The settings of a server as the simulator's wire and the platform's configuration write them (`conf`).

Only names are translated here; the values are checked by `marlstep.admission.settings`.
"""

from __future__ import annotations

import typing
from collections.abc import Mapping

from marlstep.admission.settings import InvalidSettingError, Settings

EFFECTS = {"idempotent": "safe", "deduplicated": "keyed", "at_most_once": "unsafe"}
HALTS = {"none": "none", "abort": "drop", "suspend": "pause"}
SAYINGS = {"none": "none", "threshold": "level", "window": "credit", "share_of": "weight"}


def read_settings(raw: object) -> Settings:
    """Translate `conf`.

    Raises:
        InvalidSettingError: a value is missing, of the wrong type or impossible; the text names it by its
            path.
    """
    conf = _Table(raw, "conf")
    info, rules, capabilities = conf.table("familyInfo"), conf.table("rules"), conf.table("caps")
    return Settings.from_mapping(
        {
            "classes": _read_classes(conf.rows("classes"), info),
            "tenants": [_read_tenant(row) for row in conf.rows("realms", [])],
            "over_share_worth": conf.optional("overShareWorth", 1.0),
            "cores": info.required("cpus"),
            "memory_kb": info.required("ramKb"),
            "run_factor": info.required("runMemFactor"),
            "key_kb": info.optional("keyKb", 0.0),
            "fresh_us": info.optional("freshUs", 0),
            "peers": max(1, typing.cast(int, conf.optional("peersTotal", 1))),
            "callers": info.optional("upstreams", 0),
            "cold": info.optional("cold", False),
            "cold_share": rules.optional("coldShare", 1.0),
            "warm_after_us": rules.optional("warmAfterUs", 0),
            "fall_multiple": rules.required("fallMultiple"),
            "fall_us": rules.required("fallUs"),
            "drain_grace_us": rules.required("drainGraceUs"),
            "answer_slack_us": rules.required("answerSlackUs"),
            "tick_us": conf.required("resolutionUs"),
            "halt": info.word("halt", HALTS) if "halt" in info.raw else "none",
            "say": info.word("say", SAYINGS) if "say" in info.raw else "none",
            "heeded_us": info.optional("heededUs", 0),
            "below": info.optional("below", "none"),
            "calls_out": info.optional("callsOut", 0.0),
            "calls_over_us": info.optional("callsOverUs", 0),
            "linger_us": info.optional("lingersUs", 0),
            "idle_us": info.optional("keepaliveMaxUs", 0),
            "list_follows_health": info.optional("listFollows", False),
            "deep_checks": info.optional("deepChecks", False),
            "retry_after": capabilities.optional("retryAfter", False),
            "max_retry_after_us": capabilities.optional("maxRetryAfterUs", 0),
            "marks_retry": _marks_retry(conf),
        }
    )


class _Table:
    """A table of settings that knows its path for error messages."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, Mapping):
            raise InvalidSettingError(path, "must be a table of settings")
        self.raw, self.path = raw, path

    def required(self, key: str) -> object:
        if self.raw.get(key) is None:
            raise InvalidSettingError(f"{self.path}.{key}", "is missing")
        value: object = self.raw[key]
        return value

    def duration_us(self, key: str) -> object:
        """Read microseconds; a whole number may be written with a point."""
        value = self.required(key)
        return int(value) if isinstance(value, float) and value.is_integer() else value

    def optional(self, key: str, default: object) -> object:
        value = self.raw.get(key)
        return default if value is None else value

    def table(self, key: str) -> _Table:
        return _Table(self.required(key), f"{self.path}.{key}")

    def rows(self, key: str, default: object = None) -> list[_Table]:
        items = self.required(key) if default is None else self.optional(key, default)
        if not isinstance(items, list):
            raise InvalidSettingError(f"{self.path}.{key}", "must be a list")
        return [_Table(item, f"{self.path}.{key}[{index}]") for index, item in enumerate(items)]

    def per_class(self, key: str, count: int, default: object) -> list[object]:
        values = self.optional(key, [default] * count)
        if not isinstance(values, list) or len(values) != count:
            raise InvalidSettingError(f"{self.path}.{key}", "must have one value for each class")
        return values

    def word(self, key: str, words: Mapping[str, str]) -> str:
        value = self.required(key)
        if value not in words:
            raise InvalidSettingError(f"{self.path}.{key}", f"must be one of {', '.join(words)}")
        return words[typing.cast(str, value)]


def _read_classes(rows: list[_Table], info: _Table) -> list[dict[str, object]]:
    calls = info.per_class("callsByClass", len(rows), False)
    skips = info.per_class("degradedWorth", len(rows), 0.0)
    return [
        {
            "name": row.required("name"),
            "effect": row.word("semantics", EFFECTS),
            "aim_us": row.duration_us("aimUs"),
            "deadline_us": row.duration_us("hardLimitUs"),
            "window_us": row.optional("repeatWindowUs", 0),
            "worth": row.required("worth"),
            "late_share": row.optional("lateShare", 0.0),
            "calls": calls[index],
            "skip_worth": skips[index],
        }
        for index, row in enumerate(rows)
    ]


def _read_tenant(row: _Table) -> dict[str, object]:
    return {
        "name": row.required("name"),
        "portion": row.required("portion"),
        "allowance_per_s": row.required("allowancePerS"),
    }


def _marks_retry(conf: _Table) -> object:
    return conf.table("callers").optional("marksRetry", False) if "callers" in conf.raw else False
