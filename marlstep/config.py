"""The one place where configuration is read, checked and given its defaults.

What is wrong raises ConfigError with a message that names the key.
"""

from __future__ import annotations

import ipaddress
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from marlstep.units import MILLISECOND
from petrelcart.benchlink import read_settings
from petrelcart.interface import Settings

Address = tuple[str, int]
Table = Mapping[str, object]
MISSING = object()


class ConfigError(Exception):
    """What is wrong with the configuration, in one line that names the key."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    kernel: Address
    naming: Address | None
    db: Address | None
    seed: int
    stop: timedelta  # from the notice to leave to the end
    sockets: int
    settings: Settings
    gauges: tuple[str, ...]  # names of the kernel's readings, in its order


GAUGES = {"cpu_busy": "cpu", "runnable": "runq", "mem_used": "memory", "sockets": "conns"}


def load(environ: Mapping[str, str] = os.environ) -> Config:
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it names the configuration file")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as fault:
        raise ConfigError(f"PROXY_CONFIG: {path}: {fault.strerror}") from fault
    except ValueError as fault:
        raise ConfigError(f"PROXY_CONFIG: {path} is not JSON: {fault}") from fault
    if not isinstance(raw, dict):
        raise ConfigError(f"PROXY_CONFIG: {path} does not hold a table")
    named = {key: environ[variable] for key, variable in VARIABLES.items() if environ.get(variable)}
    return check({**raw, **named})


VARIABLES = {"name": "PROXY_NAME", "listen": "PROXY_LISTEN"}


def check(raw: Table) -> Config:
    limits = table(raw, "limits", "limits", {})
    settings = table(raw, "settings", "settings")
    return Config(
        name=word(raw, "name", "name"),
        listen=address(raw, "listen", "listen"),
        kernel=address(raw, "kernel", "kernel"),
        naming=address(raw, "naming", "naming") if raw.get("naming") else None,
        db=address(raw, "db", "db") if raw.get("db") else None,
        seed=_seed(raw.get("seed", "0")),
        stop=whole(raw, "stop_ms", "stop_ms", 1, 600_000, 3_000) * MILLISECOND,
        sockets=whole(limits, "sockets", "limits.sockets", 64, 1 << 20, 1024),
        settings=_settings(settings),
        gauges=_gauges(settings),
    )


def _settings(raw: Table) -> Settings:
    try:
        return read_settings(raw)
    except ValueError as fault:
        raise ConfigError(f"settings: {fault}") from fault
    except (TypeError, AttributeError) as fault:
        raise ConfigError(f"settings: a value of the wrong kind: {fault}") from fault


def _gauges(settings: Table) -> tuple[str, ...]:
    names = table(settings, "familyInfo", "settings.familyInfo").get("ownStats") or []
    if not isinstance(names, list):
        raise ConfigError("settings.familyInfo.ownStats must be a list")
    return tuple(GAUGES.get(str(name), str(name)) for name in names)


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError as fault:
        raise ConfigError("seed must be a hexadecimal number") from fault


# The readers: each takes a table, the key and the path that messages name.


def take(raw: Table, key: str, path: str, default: object = MISSING) -> object:
    value = raw.get(key)
    if value is None:
        if default is MISSING:
            raise ConfigError(f"{path} is missing")
        return default
    return value


def table(raw: Table, key: str, path: str, default: object = MISSING) -> Table:
    value = take(raw, key, path, default)
    if not isinstance(value, Mapping):
        raise ConfigError(f"{path} must be a table")
    return value


def word(raw: Table, key: str, path: str, default: object = MISSING) -> str:
    value = take(raw, key, path, default)
    if not isinstance(value, str) or not value or not value.isprintable() or " " in value:
        raise ConfigError(f"{path} must be a word")
    return value


def whole(raw: Table, key: str, path: str, least: int, most: int, default: object = MISSING) -> int:
    value = take(raw, key, path, default)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{path} must be a whole number from {least} to {most}")
    return value


def number(raw: Table, key: str, path: str, least: float, most: float, default: object = MISSING) -> float:
    value = take(raw, key, path, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{path} must be a number from {least} to {most}")
    return float(value)


def address(raw: Table, key: str, path: str, default: object = MISSING) -> Address:
    """`1.2.3.4:90`: there are no names to look up."""
    value = take(raw, key, path, default)
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not port.isdigit() or not 0 <= int(port) <= 65535:
            raise ValueError
    except ValueError as fault:
        raise ConfigError(f"{path} must be a numeric address and a port, as 127.0.0.1:9090") from fault
    return host.strip("[]"), int(port)
