"""Validates configuration tables and converts them to the typed `Config`, with its defaults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marlstep.admission.settings import Effect, Settings
from marlstep.config.operator_overrides import OVERRIDE_KEYS, apply_overrides
from marlstep.config.platform_settings import read_gauge_names, read_platform_settings, read_seed
from marlstep.config.readers import (
    Address,
    Table,
    check_known_keys,
    read_address,
    read_int,
    read_number,
    read_table,
    read_word,
)
from marlstep.config.schema import AdminConfig, Config, UwsgiConfig
from marlstep.units import MILLISECOND

if TYPE_CHECKING:  # the reader of an operator section is imported only if the section is present
    from marlstep.config.cluster_settings import ClusterConfig

BYTES_PER_MB = 1 << 20
MIN_MEMORY_MB = 24  # the interpreter and the program alone use 16 MB
MAX_MEMORY_MB = 1 << 20
DEFAULT_MEMORY_MB = 192
MIN_DESCRIPTORS = 64
MAX_DESCRIPTORS = 1 << 20
DEFAULT_DESCRIPTORS = 1024
MIN_CORES = 0.01
MAX_CORES = 1024
MAX_SHUTDOWN_MS = 600_000
DEFAULT_SHUTDOWN_MS = 3_000
OPERATOR_KEYS = ("uwsgi", "admin", "fleet", *OVERRIDE_KEYS)


def check(platform_table: Table, operator_table: Table | None = None) -> Config:
    """Validate the platform's configuration and, if there is one, the operator's.

    Args:
        platform_table: the parsed platform file.
        operator_table: the parsed operator file; None without one.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value; the message names it.
    """
    operator = operator_table or {}
    check_known_keys(operator, "", OPERATOR_KEYS)
    limits = read_table(platform_table, "limits", "limits", {})
    settings_table = read_table(platform_table, "settings", "settings")
    settings = apply_overrides(read_platform_settings(settings_table), operator)
    memory_mb = read_int(
        limits, "memory_mb", "limits.memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB, DEFAULT_MEMORY_MB
    )
    memory_bytes = memory_mb * BYTES_PER_MB
    name = read_word(platform_table, "name", "name")
    uwsgi = _read_uwsgi(operator, settings, memory_bytes)
    return Config(
        name=name,
        listen=read_address(platform_table, "listen", "listen"),
        kernel=read_address(platform_table, "kernel", "kernel"),
        name_service=_optional_address(platform_table, "naming"),
        database=_optional_address(platform_table, "db"),
        seed=read_seed(platform_table.get("seed", "0")),
        shutdown_timeout=read_int(
            platform_table, "stop_ms", "stop_ms", 1, MAX_SHUTDOWN_MS, DEFAULT_SHUTDOWN_MS
        )
        * MILLISECOND,
        max_descriptors=read_int(
            limits, "sockets", "limits.sockets", MIN_DESCRIPTORS, MAX_DESCRIPTORS, DEFAULT_DESCRIPTORS
        ),
        memory_bytes=memory_bytes,
        cores=read_number(limits, "cores", "limits.cores", MIN_CORES, MAX_CORES, 1.0),
        settings=settings,
        gauge_names=read_gauge_names(settings_table),
        uwsgi=uwsgi,
        admin=_read_admin(operator),
        cluster=_read_cluster(operator, name, settings, has_uwsgi=uwsgi is not None),
        health_listen=_optional_address(platform_table, "mgmt"),
        platform_table=platform_table,
        operator_table=operator,
    )


def _optional_address(platform_table: Table, key: str) -> Address | None:
    return read_address(platform_table, key, key) if platform_table.get(key) else None


def _read_uwsgi(operator: Table, settings: Settings, memory_bytes: int) -> UwsgiConfig | None:
    if "uwsgi" not in operator:
        return None
    from marlstep.config.uwsgi import read_uwsgi

    classes = {request_class.name for request_class in settings.classes}
    return read_uwsgi(operator, classes, max_buffer_bytes=memory_bytes // 2)


def _read_admin(operator: Table) -> AdminConfig | None:
    if "admin" not in operator:
        return None
    from marlstep.config.admin import read_admin

    return read_admin(operator)


def _read_cluster(operator: Table, name: str, settings: Settings, has_uwsgi: bool) -> ClusterConfig | None:
    if "fleet" not in operator:
        return None
    from marlstep.config.cluster import read_cluster

    idempotent_by_class = {
        request_class.name: request_class.effect is Effect.IDEMPOTENT for request_class in settings.classes
    }
    return read_cluster(operator, name, idempotent_by_class, has_uwsgi)
