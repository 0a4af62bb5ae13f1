"""Readers of single values of a configuration table.

Common parameters:
    raw: the table.
    key: key of the value in the table.
    path: full path of the value, for error messages.
    default: the value if the key is absent; without a default, an absent key is an error.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping

from marlstep.errors import MarlstepError

Address = tuple[str, int]
Table = Mapping[str, object]
MISSING = object()
MAX_PORT = 65_535


class ConfigError(MarlstepError):
    """The configuration is invalid. The message is one line that names the key."""

    @classmethod
    def unmet(cls, path: str, requirement: str) -> ConfigError:
        """Return an error with the key and its unmet requirement: `fleet.voters must name 1, 3, 5 or 7 nodes`."""
        return cls(f"{path} {requirement}")

    @classmethod
    def found(cls, path: str, problem: str) -> ConfigError:
        """Return an error with the key and the problem that was found: `fleet.voters: n9 is not in fleet.nodes`."""
        return cls(f"{path}: {problem}")


def read_file(path: str, named_by: str, parse: Callable[[str], object]) -> Table:
    """Read and parse a file that holds a table.

    Args:
        path: of the file.
        named_by: the option or variable that gave the path, for error messages.
        parse: converts the text of the file; it raises ValueError for invalid text.

    Raises:
        ConfigError: the file can't be read or parsed, or does not hold a table.
    """
    try:
        with open(path, encoding="utf-8") as file:
            raw = parse(file.read())
    except OSError as error:
        raise ConfigError.found(named_by, f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError.found(named_by, f"{path} can't be read: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError.found(named_by, f"{path} does not hold a table")
    return raw


def check_known_keys(raw: Table, path: str, keys: tuple[str, ...]) -> None:
    """Check that the table has no keys other than these. Raises ConfigError for the first unknown key."""
    for key in raw:
        if key not in keys:
            raise ConfigError.unmet(f"{path}.{key}".lstrip("."), "is not known")


def read_value(raw: Table, key: str, path: str, default: object = MISSING) -> object:
    """Read a value of any type. Raises ConfigError if it is absent and there is no default."""
    value = raw.get(key)
    if value is None:
        if default is MISSING:
            raise ConfigError.unmet(path, "is missing")
        return default
    return value


def read_table(raw: Table, key: str, path: str, default: object = MISSING) -> Table:
    """Read a table. Raises ConfigError if it is missing or of another type."""
    value = read_value(raw, key, path, default)
    if not isinstance(value, Mapping):
        raise ConfigError.unmet(path, "must be a table")
    return value


def read_word(raw: Table, key: str, path: str, default: object = MISSING) -> str:
    """Read a non-empty, printable string without spaces. Raises ConfigError if it is missing or invalid."""
    value = read_value(raw, key, path, default)
    if not isinstance(value, str) or not value or not value.isprintable() or " " in value:
        raise ConfigError.unmet(path, "must be a word")
    return value


def read_words(raw: Table, key: str, path: str, default: object = MISSING) -> list[str]:
    """Read a list of strings that are each valid for `read_word`. Raises ConfigError if it is missing or invalid."""
    value = read_value(raw, key, path, default)
    if not isinstance(value, list):
        raise ConfigError.unmet(path, "must be a list of words")
    return [read_word({"at": item}, "at", f"{path}[{index}]") for index, item in enumerate(value)]


def read_int(raw: Table, key: str, path: str, minimum: int, maximum: int, default: object = MISSING) -> int:
    """Read an integer from `minimum` to `maximum`. Raises ConfigError if it is missing, invalid or out of range."""
    value = read_value(raw, key, path, default)
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ConfigError.unmet(path, f"must be a whole number from {minimum} to {maximum}")
    return value


def read_number(
    raw: Table, key: str, path: str, minimum: float, maximum: float, default: object = MISSING
) -> float:
    """Read a number from `minimum` to `maximum`. Raises ConfigError if it is missing, invalid or out of range."""
    value = read_value(raw, key, path, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ConfigError.unmet(path, f"must be a number from {minimum} to {maximum}")
    return float(value)


def read_bool(raw: Table, key: str, path: str) -> bool:
    """Read a boolean, False by default. Raises ConfigError if it is of another type."""
    value = raw.get(key, False)
    if not isinstance(value, bool):
        raise ConfigError.unmet(path, "must be true or false")
    return value


def read_address(raw: Table, key: str, path: str, default: object = MISSING) -> Address:
    """Read a numeric IP address and a port, such as `1.2.3.4:90`. Raises ConfigError if it is missing or invalid."""
    host, _, port = str(read_value(raw, key, path, default)).rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        is_valid = port.isdigit() and int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ConfigError.unmet(path, "must be a numeric address and a port, as 127.0.0.1:9090")
    return host, int(port)
