"""Reads `[uwsgi]` of the operator's file: the uwsgi frontend and its pools of servers."""

from __future__ import annotations

from collections import Counter

from marlstep.config.readers import (
    ConfigError,
    Table,
    check_known_keys,
    read_address,
    read_int,
    read_number,
    read_table,
    read_value,
    read_word,
    read_words,
)
from marlstep.config.schema import UwsgiConfig
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.load_balancing.pool_config import PoolConfig
from marlstep.units import MILLISECOND

MAX_SERVERS = 1_000
MAX_ATTEMPTS = 16
MIN_ERROR_STATUS = 400
MAX_ERROR_STATUS = 599
KEYS = (
    "listen",
    "upstream",
    "pool",
    "vars",
    "classes",
    "default_class",
    "held_kb",
    "max_body",
    "max_response",
    "max_connections",
    "read_timeout_ms",
)
VARIABLE_KEYS = ("class", "id", "retry", "cost", "tenant")
POOL_KEYS = ("servers", "classes", "refuses", "boot_header", "connect_timeout_ms", "tries")


def read_uwsgi(operator: Table, class_names: set[str], max_buffer_bytes: int) -> UwsgiConfig:
    """Read the section.

    Args:
        operator: the parsed operator file.
        class_names: names of the request classes in the platform's settings.
        max_buffer_bytes: limit of the bodies and responses that all connections together buffer.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value.
    """
    section = read_table(operator, "uwsgi", "uwsgi")
    check_known_keys(section, "uwsgi", KEYS)
    # The order of these calls decides which error is reported if there are several.
    variables = read_table(section, "vars", "uwsgi.vars")
    check_known_keys(variables, "uwsgi.vars", VARIABLE_KEYS)
    values = read_table(section, "classes", "uwsgi.classes", {})
    config = UwsgiConfig(
        listen=read_address(section, "listen", "uwsgi.listen"),
        pools=_read_pools(section, class_names),
        mapping=_read_mapping(section, variables, values, class_names),
        max_body_bytes=read_int(section, "max_body", "uwsgi.max_body", 0, 1 << 20, 64 * 1024),
        max_response_bytes=read_int(section, "max_response", "uwsgi.max_response", 256, 1 << 22, 256 * 1024),
        max_connections=read_int(section, "max_connections", "uwsgi.max_connections", 1, 1 << 16, 256),
        read_timeout=read_int(section, "read_timeout_ms", "uwsgi.read_timeout_ms", 10, 600_000, 2_000)
        * MILLISECOND,
    )
    bytes_per_connection = config.max_body_bytes + config.max_response_bytes
    if config.max_connections * bytes_per_connection > max_buffer_bytes:
        raise ConfigError.unmet(
            "uwsgi.max_connections",
            "times uwsgi.max_body and uwsgi.max_response together "
            f"must stay within {max_buffer_bytes >> 20} MiB, half of limits.memory_mb",
        )
    return config


def _read_mapping(section: Table, variables: Table, values: Table, class_names: set[str]) -> UwsgiMapping:
    def optional_variable(key: str) -> str | None:
        return read_word(variables, key, f"uwsgi.vars.{key}") if key in variables else None

    has_default = "default_class" in section
    return UwsgiMapping(
        class_variable=read_word(variables, "class", "uwsgi.vars.class"),
        class_names={
            value: _read_class(values, value, f"uwsgi.classes.{value}", class_names) for value in values
        },
        default_class=_read_class(section, "default_class", "uwsgi.default_class", class_names)
        if has_default
        else None,
        idempotency_key_variable=optional_variable("id"),
        retry_variable=optional_variable("retry"),
        cost_variable=optional_variable("cost"),
        tenant_variable=optional_variable("tenant"),
        memory_kb=read_number(section, "held_kb", "uwsgi.held_kb", 0.1, 2000, 16.0),
    )


def _read_class(parent: Table, key: str, path: str, class_names: set[str]) -> str:
    name = read_word(parent, key, path)
    if name not in class_names:
        raise ConfigError.unmet(path, f"must be one of {', '.join(sorted(class_names))}")
    return name


def _read_pools(section: Table, class_names: set[str]) -> tuple[PoolConfig, ...]:
    """Read the pools of servers. `upstream` defines a single pool of one server, without limits."""
    if "pool" not in section:
        return (PoolConfig("", (read_address(section, "upstream", "uwsgi.upstream"),), has_limits=False),)
    if "upstream" in section:
        raise ConfigError.unmet("uwsgi.upstream", "and uwsgi.pool can't both be there")
    rows = read_table(section, "pool", "uwsgi.pool")
    pools = tuple(_read_pool(rows, name, class_names) for name in rows)
    _check_classes(pools)
    return pools


def _check_classes(pools: tuple[PoolConfig, ...]) -> None:
    """Check that each class has exactly one pool: the one that lists it, else the pool that lists no classes."""
    defaults = [pool.name for pool in pools if not pool.request_classes]
    if len(defaults) != 1:
        raise ConfigError.found("uwsgi.pool", "exactly one pool must be without classes: it takes the rest")
    listed = Counter(name for pool in pools for name in pool.request_classes)
    for name, count in listed.items():
        if count > 1:
            raise ConfigError.found("uwsgi.pool", f"class {name} is listed twice")


def _read_pool(rows: Table, name: str, class_names: set[str]) -> PoolConfig:
    path = f"uwsgi.pool.{name}"
    row = read_table(rows, name, path)
    check_known_keys(row, path, POOL_KEYS)
    servers = read_words(row, "servers", f"{path}.servers")
    addresses = tuple(
        read_address({"at": text}, "at", f"{path}.servers[{index}]") for index, text in enumerate(servers)
    )
    if not 1 <= len(addresses) <= MAX_SERVERS or len(set(addresses)) < len(addresses):
        raise ConfigError.unmet(f"{path}.servers", f"must name 1 to {MAX_SERVERS} servers, each once")
    classes = read_words(row, "classes", f"{path}.classes", [])
    for request_class in classes:
        if request_class not in class_names:
            choices = ", ".join(sorted(class_names))
            raise ConfigError.found(f"{path}.classes", f"{request_class} must be one of {choices}")
    connect_timeout_ms = read_int(row, "connect_timeout_ms", f"{path}.connect_timeout_ms", 1, 60_000, 1000)
    return PoolConfig(
        name=name,
        servers=addresses,
        request_classes=tuple(classes),
        rejection_statuses=_read_rejecting_statuses(row, f"{path}.refuses"),
        boot_id_header=read_word(row, "boot_header", f"{path}.boot_header", "x-boot-id").lower(),
        connect_timeout=connect_timeout_ms * MILLISECOND,
        max_attempts=read_int(row, "tries", f"{path}.tries", 1, MAX_ATTEMPTS, 3),
    )


def _read_rejecting_statuses(row: Table, path: str) -> tuple[int, ...]:
    """Read the statuses with which a server rejects a request that it did not run."""
    statuses = read_value(row, "refuses", path, [])
    if not isinstance(statuses, list) or not all(_is_error_status(status) for status in statuses):
        raise ConfigError.unmet(
            path, f"must be a list of statuses from {MIN_ERROR_STATUS} to {MAX_ERROR_STATUS}"
        )
    return tuple(statuses)


def _is_error_status(status: object) -> bool:
    return type(status) is int and MIN_ERROR_STATUS <= status <= MAX_ERROR_STATUS
