"""Conversion of `conf`, the server settings in the simulator's `create` message and the platform's configuration.

There is one tuple of `WireKey` entries for each table of `conf`; each entry maps a wire key to a settings field.
This module translates names, and converts a few values that the wire writes differently. All values are validated
by `marlstep.admission.settings`; its errors are raised again with the path of the key in `conf`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields

from marlstep.admission.settings import (
    ClassSettings,
    Downstream,
    Effect,
    InvalidSettingError,
    LoadSignal,
    PreemptionMode,
    Settings,
    TenantSettings,
    stored_key,
)

EFFECTS: Mapping[str, str] = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.AT_MOST_ONCE,
}
PREEMPTION_MODES: Mapping[str, str] = {
    "none": PreemptionMode.NONE,
    "abort": PreemptionMode.DROP,
    "suspend": PreemptionMode.PAUSE,
}
LOAD_SIGNALS: Mapping[str, str] = {
    "none": LoadSignal.NONE,
    "threshold": LoadSignal.LEVEL,
    "window": LoadSignal.CREDIT,
    "share_of": LoadSignal.WEIGHT,
}
ROOT_PATH = "conf"
CLASSES_PATH = "conf.classes"
TENANTS_PATH = "conf.realms"

STORED_KEYS: dict[type, dict[str, str]] = {
    owner: {field.name: stored_key(field) for field in fields(owner)}
    for owner in (Settings, ClassSettings, TenantSettings)
}


def _unchanged(value: object) -> object:
    """Return the value unchanged."""
    return value


def _whole_number(value: object) -> object:
    """Convert a float without a fraction to an int, as the wire may write whole numbers with a decimal point."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


def _count_this_server(value: object) -> object:
    """Return a server count of at least 1: if the endpoint list is empty, this server itself is missing from it."""
    return max(1, value) if isinstance(value, int | float) else value


@dataclass(slots=True, frozen=True)
class WireKey:
    """How one setting is stored in a table of `conf`.

    Attributes:
        field: name of the field in `Settings`, `ClassSettings` or `TenantSettings`.
        key: key in the table.
        default: value of the setting if the key is absent or null; None if the key is required. Where
            `translations` is set, null is an error instead.
        translations: value of the setting by its name on the wire; None if the value is not an enumeration.
        convert: applied to the value in `conf`. Not applied to a default, and not used with `translations`.
    """

    field: str
    key: str
    default: object = None
    translations: Mapping[str, str] | None = None
    convert: Callable[[object], object] = _unchanged


# Settings of the whole server, by the path of their table in `conf`.
SERVER_KEYS: dict[str, tuple[WireKey, ...]] = {
    ROOT_PATH: (
        WireKey("over_quota_factor", "overShareWorth", default=1.0),
        WireKey("server_count", "peersTotal", default=1, convert=_count_this_server),
        WireKey("tick_us", "resolutionUs"),
    ),
    "conf.familyInfo": (
        WireKey("cores", "cpus"),
        WireKey("memory_kb", "ramKb"),
        WireKey("running_memory_factor", "runMemFactor"),
        WireKey("idempotency_key_kb", "keyKb", default=0.0),
        WireKey("cacheable_us", "freshUs", default=0),
        WireKey("caller_count", "upstreams", default=0),
        WireKey("warms_up", "cold", default=False),
        WireKey("preemption_mode", "halt", default=PreemptionMode.NONE, translations=PREEMPTION_MODES),
        WireKey("load_signal", "say", default=LoadSignal.NONE, translations=LOAD_SIGNALS),
        WireKey("load_signal_lifetime_us", "heededUs", default=0),
        WireKey("dependency", "below", default=Downstream.NONE),
        WireKey("mean_calls_in_flight", "callsOut", default=0.0),
        WireKey("call_averaging_us", "callsOverUs", default=0),
        WireKey("abandoned_call_us", "lingersUs", default=0),
        WireKey("idle_timeout_us", "keepaliveMaxUs", default=0),
        WireKey("endpoint_list_follows_health", "listFollows", default=False),
        WireKey("deep_health_checks", "deepChecks", default=False),
    ),
    "conf.rules": (
        WireKey("initial_capacity_share", "coldShare", default=1.0),
        WireKey("warm_up_us", "warmAfterUs", default=0),
        WireKey("overload_concurrency_factor", "fallMultiple"),
        WireKey("overload_duration_us", "fallUs"),
        WireKey("drain_grace_us", "drainGraceUs"),
        WireKey("response_margin_us", "answerSlackUs"),
    ),
    "conf.caps": (
        WireKey("sends_retry_after", "retryAfter", default=False),
        WireKey("max_retry_after_us", "maxRetryAfterUs", default=0),
    ),
}
CALLER_KEYS = (WireKey("marks_retries", "marksRetry", default=False),)  # in the optional table `conf.callers`
CLASS_KEYS = (
    WireKey("name", "name"),
    WireKey("effect", "semantics", translations=EFFECTS),
    WireKey("latency_objective_us", "aimUs", convert=_whole_number),
    WireKey("deadline_us", "hardLimitUs", convert=_whole_number),
    WireKey("idempotency_window_us", "repeatWindowUs", default=0),
    WireKey("priority_weight", "worth"),
    WireKey("late_response_factor", "lateShare", default=0.0),
)
# Lists in `conf.familyInfo` with one value for each class, in the order of `conf.classes`.
PER_CLASS_KEYS = (
    WireKey("makes_calls", "callsByClass", default=False),
    WireKey("skipped_call_factor", "degradedWorth", default=0.0),
)
TENANT_KEYS = (
    WireKey("name", "name"),
    WireKey("portion", "portion"),
    WireKey("quota_per_s", "allowancePerS"),
)


def read_settings(raw: object) -> Settings:
    """Convert `conf` to settings.

    Raises:
        InvalidSettingError: a value is missing, of the wrong type or out of range. The error has the path of the
            key in `conf`.
    """
    reader = _Reader(_Table(raw, ROOT_PATH))
    return reader.read()


class _Table:
    """A table of `conf` and its path, which error messages start with."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, Mapping):
            raise InvalidSettingError(path, "must be a table of settings")
        self._raw: Mapping[str, object] = raw
        self.path = path

    def __contains__(self, key: str) -> bool:
        return key in self._raw

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}"

    def required(self, key: str) -> object:
        value = self._raw.get(key)
        if value is None:
            raise InvalidSettingError(self.path_of(key), "is missing")
        return value

    def value(self, wire_key: WireKey) -> object:
        """Read one setting.

        Raises:
            InvalidSettingError: the key is required and missing, or its value is not one of the allowed names.
        """
        if wire_key.translations is not None:
            return self._translate(wire_key, wire_key.translations)
        if wire_key.default is None:
            return wire_key.convert(self.required(wire_key.key))
        raw_value = self._raw.get(wire_key.key)
        return wire_key.default if raw_value is None else wire_key.convert(raw_value)

    def _translate(self, wire_key: WireKey, translations: Mapping[str, str]) -> object:
        if wire_key.default is not None and wire_key.key not in self._raw:
            return wire_key.default
        raw_value = self.required(wire_key.key)
        if not isinstance(raw_value, str) or raw_value not in translations:
            raise InvalidSettingError(self.path_of(wire_key.key), f"must be one of {', '.join(translations)}")
        return translations[raw_value]

    def table(self, key: str) -> _Table:
        return _Table(self.required(key), self.path_of(key))

    def rows(self, key: str) -> list[_Table]:
        items = self.required(key)
        if not isinstance(items, list):
            raise InvalidSettingError(self.path_of(key), "must be a list")
        return [_Table(item, f"{self.path_of(key)}[{index}]") for index, item in enumerate(items)]

    def optional_rows(self, key: str) -> list[_Table]:
        return [] if self._raw.get(key) is None else self.rows(key)

    def per_class(self, wire_key: WireKey, class_count: int) -> list[object]:
        """Read a list of one value for each class.

        Raises:
            InvalidSettingError: the value is not a list, or its length is not `class_count`.
        """
        values = self._raw.get(wire_key.key)
        if values is None:
            return [wire_key.default] * class_count
        if not isinstance(values, list) or len(values) != class_count:
            raise InvalidSettingError(self.path_of(wire_key.key), "must have one value for each class")
        return values


class _Reader:
    """Collects the values of `conf` by stored key, and the path of each in `conf` for error messages."""

    def __init__(self, conf: _Table) -> None:
        self._conf = conf
        self._conf_paths: dict[str, str] = {}

    def read(self) -> Settings:
        tables = {path: self._find_table(path) for path in SERVER_KEYS}
        values: dict[str, object] = {}
        for path, keys in SERVER_KEYS.items():
            values |= self._read_row(Settings, tables[path], keys, "")
        values |= self._read_caller_behaviour()
        values["classes"] = self._read_classes(tables["conf.familyInfo"])
        values["tenants"] = self._read_tenants()
        try:
            return Settings.from_mapping(values)
        except InvalidSettingError as error:
            raise InvalidSettingError(self._conf_paths[error.path], error.problem) from error

    def _find_table(self, path: str) -> _Table:
        if path == ROOT_PATH:
            return self._conf
        return self._conf.table(path.removeprefix(f"{ROOT_PATH}."))

    def _read_caller_behaviour(self) -> dict[str, object]:
        if "callers" in self._conf:
            return self._read_row(Settings, self._conf.table("callers"), CALLER_KEYS, "")
        return {STORED_KEYS[Settings][wire_key.field]: wire_key.default for wire_key in CALLER_KEYS}

    def _read_classes(self, family_info: _Table) -> list[dict[str, object]]:
        rows = self._conf.rows("classes")
        self._conf_paths["classes"] = CLASSES_PATH
        classes = []
        for index, row in enumerate(rows):
            classes.append(self._read_row(ClassSettings, row, CLASS_KEYS, f"classes[{index}]."))
        for wire_key in PER_CLASS_KEYS:
            stored = STORED_KEYS[ClassSettings][wire_key.field]
            for index, value in enumerate(family_info.per_class(wire_key, len(rows))):
                classes[index][stored] = value
                self._conf_paths[f"classes[{index}].{stored}"] = (
                    f"{family_info.path_of(wire_key.key)}[{index}]"
                )
        return classes

    def _read_tenants(self) -> list[dict[str, object]]:
        self._conf_paths["tenants"] = TENANTS_PATH
        rows = self._conf.optional_rows("realms")
        return [
            self._read_row(TenantSettings, row, TENANT_KEYS, f"tenants[{index}].")
            for index, row in enumerate(rows)
        ]

    def _read_row(
        self, owner: type, table: _Table, keys: tuple[WireKey, ...], stored_prefix: str
    ) -> dict[str, object]:
        values: dict[str, object] = {}
        for wire_key in keys:
            stored = STORED_KEYS[owner][wire_key.field]
            self._conf_paths[stored_prefix + stored] = table.path_of(wire_key.key)
            values[stored] = table.value(wire_key)
        return values
