"""Merges a reloaded configuration into the running one, and describes how settings changed."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import fields, replace

from marlstep.admission.settings import ClassSettings, Settings, stored_key
from marlstep.config.readers import ConfigError
from marlstep.config.schema import Config, UwsgiConfig, config_key

# Keys that a reloaded platform file may lack although the running configuration has them, as the node does not read
# them: `aimStretch`, `passesDeadline` and `prices.fleet`. They are matched by name in any table.
OPTIONAL_KEYS = {"aimStretch", "passesDeadline", "fleet"}


def merge_reloaded(running: Config, loaded: Config) -> tuple[Config, list[str]]:
    """Return the configuration to put in force, and the keys whose change needs a restart.

    A reload changes the addresses of the kernel, the name service and the database, the shutdown timeout, the settings,
    the gauge names, and the pools and the request mapping of uwsgi. Two settings keep their values from the start, and
    a change of them is not reported: whether the node warms up, which concerns only its start, and the number of
    servers. A changed seed is stored without a report but has no effect, as its users read it only when they are
    created.

    Args:
        running: the configuration in force.
        loaded: the configuration that was loaded for the reload.

    Raises:
        ConfigError: a key of the running configuration is missing from the loaded one, which is rejected as a whole.
    """
    for path in _missing_keys(running.platform_table, loaded.platform_table, ""):
        raise ConfigError.found(loaded.source, f"{path} is missing, and the configuration in use has it")
    settings = replace(
        loaded.settings,
        warms_up=running.settings.warms_up,
        server_count=running.settings.server_count,
    )
    merged = replace(
        running,
        kernel=loaded.kernel,
        name_service=loaded.name_service,
        database=loaded.database,
        shutdown_timeout=loaded.shutdown_timeout,
        seed=loaded.seed,
        settings=settings,
        gauge_names=loaded.gauge_names,
        uwsgi=_merge_uwsgi(running.uwsgi, loaded.uwsgi),
        platform_table=loaded.platform_table,
        operator_table=loaded.operator_table,
    )
    requested = replace(loaded, settings=settings)
    restart_keys = [
        config_key(config_field)
        for config_field in fields(Config)
        if getattr(merged, config_field.name) != getattr(requested, config_field.name)
    ]
    return merged, restart_keys


def _merge_uwsgi(running: UwsgiConfig | None, loaded: UwsgiConfig | None) -> UwsgiConfig | None:
    if running is None or loaded is None:
        return running
    return replace(running, pools=loaded.pools, mapping=loaded.mapping)


def _missing_keys(running: object, loaded: object, path: str) -> Iterator[str]:
    """Yield the paths of keys that the running configuration has and the loaded one lacks.

    Tables in a list are not compared one by one: each loaded table must have the keys that all running tables share.
    """
    if isinstance(running, Mapping) and isinstance(loaded, Mapping):
        for key, value in running.items():
            key_path = f"{path}.{key}".lstrip(".")
            if loaded.get(key) is not None:
                yield from _missing_keys(value, loaded[key], key_path)
            elif value is not None and key not in OPTIONAL_KEYS:
                yield key_path
    elif isinstance(running, list) and isinstance(loaded, list):
        shared = _shared_keys([row for row in running if isinstance(row, Mapping)])
        for index, row in enumerate(loaded):
            if isinstance(row, Mapping):
                yield from (f"{path}[{index}].{key}" for key in shared if row.get(key) is None)


def _shared_keys(rows: list[Mapping[str, object]]) -> list[str]:
    if not rows:
        return []
    return [key for key in rows[0] if all(key in row for row in rows)]


def describe_changes(old: Settings, new: Settings) -> list[str]:
    """Return a line for the log for each difference between two settings; fields are named by their stored keys."""
    old_classes = {request_class.name: request_class for request_class in old.classes}
    new_names = {request_class.name for request_class in new.classes}
    lines = [f"class {name} is gone" for name in old_classes if name not in new_names]
    for request_class in new.classes:
        before = old_classes.get(request_class.name)
        if before is None:
            lines.append(f"class {request_class.name} is new")
        else:
            differences = _differing_fields(before, request_class)
            lines += [f"class {request_class.name}: {line}" for line in differences]
    return lines + [line for line in _differing_fields(old, new) if not line.startswith("classes ")]


def _differing_fields(old: Settings | ClassSettings, new: Settings | ClassSettings) -> Iterator[str]:
    for settings_field in fields(old):
        before, after = getattr(old, settings_field.name), getattr(new, settings_field.name)
        if before != after:
            yield f"{stored_key(settings_field)} {before} is now {after}"
