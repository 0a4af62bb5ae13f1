"""Readers of single values. Each takes a table, the key and the path that messages name."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping
from pathlib import Path

from marlstep.errors import MarlstepError

Address = tuple[str, int]
Table = Mapping[str, object]
MISSING = object()


class ConfigError(MarlstepError):
    """What is wrong with the configuration, in one line that names the key."""

    @classmethod
    def unmet(cls, path: str, requirement: str) -> ConfigError:
        """Name the key and what it must be: `fleet.voters must name 1, 3, 5 or 7 nodes`."""
        return cls(f"{path} {requirement}")

    @classmethod
    def found(cls, path: str, problem: str) -> ConfigError:
        """Name the key and what is wrong with its value: `fleet.voters: n9 is not in fleet.nodes`."""
        return cls(f"{path}: {problem}")


def read_file(path: str, named_by: str, parse: Callable[[str], object]) -> Table:
    try:
        raw = parse(Path(path).read_text("utf-8"))
    except OSError as fault:
        raise ConfigError(f"{named_by}: {path}: {fault.strerror}") from fault
    except ValueError as fault:
        raise ConfigError(f"{named_by}: {path} can't be read: {fault}") from fault
    if not isinstance(raw, dict):
        raise ConfigError(f"{named_by}: {path} does not hold a table")
    return raw


def known(raw: Table, path: str, keys: tuple[str, ...]) -> None:
    for key in raw:
        if key not in keys:
            raise ConfigError(f"{path}.{key} is not known".lstrip("."))


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


def words(raw: Table, key: str, path: str, default: object = MISSING) -> list[str]:
    value = take(raw, key, path, default)
    if not isinstance(value, list):
        raise ConfigError(f"{path} must be a list of words")
    return [word({"at": one}, "at", f"{path}[{index}]") for index, one in enumerate(value)]


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


def flag(raw: Table, key: str, path: str) -> bool:
    """Read a boolean, which is false by default."""
    value = raw.get(key, False)
    if not isinstance(value, bool):
        raise ConfigError.unmet(path, "must be true or false")
    return value


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
