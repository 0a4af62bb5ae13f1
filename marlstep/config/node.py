"""The node's configuration: the platform's JSON and the operator's file."""

from __future__ import annotations

import ipaddress
import json
import os
import socket
import stat
import tomllib
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, fields, replace
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from marlstep.admission.settings import ClassSettings, Effect, Settings, TenantSettings, stored_key
from marlstep.config.readers import (
    Address,
    ConfigError,
    Table,
    address,
    known,
    number,
    read_file,
    table,
    take,
    whole,
    word,
    words,
)
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.simulator.configuration import read_settings
from marlstep.units import MILLISECOND

if TYPE_CHECKING:
    from marlstep.config.cluster import ClusterConfig
    from marlstep.load_balancing.pool_plan import PoolPlan

LEAST_MEMORY_MB = 24  # the interpreter and the program alone take 16


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
    memory: int  # bytes
    cores: float
    settings: Settings
    gauges: tuple[str, ...]  # names of the kernel's readings, in its order
    uwsgi: UwsgiConfig | None = None
    admin: AdminConfig | None = None
    fleet: ClusterConfig | None = None
    mgmt: Address | None = None  # the operators' door
    passed: int | None = None  # the descriptor of the listening socket that the platform holds
    folder: Path | None = None  # what the processes of this node have in common
    raw: Table = field(default_factory=dict, compare=False, repr=False)  # as it was read
    operator: Table = field(default_factory=dict, compare=False, repr=False)  # and the operator's file
    source: str = field(default="", compare=False)  # the file that it was read from


@dataclass(slots=True, frozen=True)
class AdminConfig:
    """The administration API, from the operator's file."""

    listen: Address
    token: str


@dataclass(slots=True, frozen=True)
class UwsgiConfig:
    """The second front, from the operator's file."""

    listen: Address
    pools: tuple[PoolPlan, ...]
    mapped: UwsgiMapping
    body_limit: int
    response_limit: int
    connections: int
    read_timeout: timedelta


GAUGES = {"cpu_busy": "cpu", "runnable": "runq", "mem_used": "memory", "sockets": "conns"}


VARIABLES = {"name": "PROXY_NAME", "listen": "PROXY_LISTEN", "mgmt": "PROXY_MGMT"}


def load(environ: Mapping[str, str] = os.environ, operator: str | None = None) -> Config:
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it names the configuration file")
    raw = read_file(path, "PROXY_CONFIG", json.loads)
    raw = {**raw, **{key: environ[name] for key, name in VARIABLES.items() if environ.get(name)}}
    try:
        config = check(raw)
        passed = _passed(environ.get("PROXY_PASSED_SOCKET", ""))
        folder = Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None
    except ConfigError as fault:
        raise ConfigError(f"{path}: {fault}") from fault
    if not operator:
        return replace(config, source=path, passed=passed, folder=folder)
    theirs = read_file(operator, "--operator", tomllib.loads)
    try:
        return replace(check(raw, theirs), source=path, passed=passed, folder=folder)
    except ConfigError as fault:
        raise ConfigError(f"{operator}: {fault}") from fault


def _passed(text: str) -> int | None:
    """The descriptor of a TCP socket that listens; None where none is passed."""
    if not text:
        return None
    try:
        number = int(text)
        is_socket = number >= 0 and stat.S_ISSOCK(os.fstat(number).st_mode)
    except (ValueError, OSError, OverflowError):
        is_socket = False
    if not is_socket:
        raise ConfigError(f"PROXY_PASSED_SOCKET must be the number of an open socket, not {text[:32]!r}")
    with socket.socket(fileno=os.dup(number)) as one:
        inet = one.family in (socket.AF_INET, socket.AF_INET6) and one.type == socket.SOCK_STREAM
        if not inet or not one.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"PROXY_PASSED_SOCKET: descriptor {number} is no TCP socket that listens")
    return number


def check(raw: Table, operator: Table | None = None) -> Config:
    operator = operator or {}
    known(operator, "", ("uwsgi", "admin", "tenants", "classes", "over_share_worth", "fleet"))
    limits = table(raw, "limits", "limits", {})
    told = table(raw, "settings", "settings")
    settings = _hosted(_settings(told), operator)
    memory = whole(limits, "memory_mb", "limits.memory_mb", LEAST_MEMORY_MB, 1 << 20, 192) << 20
    name = word(raw, "name", "name")
    uwsgi = _uwsgi(operator, {kind.name for kind in settings.classes}, memory // 2)
    return Config(
        name=name,
        listen=address(raw, "listen", "listen"),
        kernel=address(raw, "kernel", "kernel"),
        naming=address(raw, "naming", "naming") if raw.get("naming") else None,
        db=address(raw, "db", "db") if raw.get("db") else None,
        seed=_seed(raw.get("seed", "0")),
        stop=whole(raw, "stop_ms", "stop_ms", 1, 600_000, 3_000) * MILLISECOND,
        sockets=whole(limits, "sockets", "limits.sockets", 64, 1 << 20, 1024),
        memory=memory,
        cores=number(limits, "cores", "limits.cores", 0.01, 1024, 1.0),
        settings=settings,
        gauges=_gauges(told),
        uwsgi=uwsgi,
        admin=_admin(operator),
        fleet=_fleet(operator, name, settings, uwsgi is not None),
        mgmt=address(raw, "mgmt", "mgmt") if raw.get("mgmt") else None,
        raw=raw,
        operator=operator,
    )


def renewed(old: Config, told: Config) -> tuple[Config, list[str]]:
    """What a running node takes over of a new configuration, and the keys that would take a new start.

    It is taken whole or not at all: where a key is missing that was there, this raises ConfigError.
    """
    for path in _missing(old.raw, told.raw, ""):
        raise ConfigError(f"{told.source}: {path} is missing, and the configuration in use has it")
    # What was told of the moment of the start does not change with a file that is read later.
    settings = replace(told.settings, warms_up=old.settings.warms_up, server_count=old.settings.server_count)
    told = replace(told, settings=settings)
    uwsgi = old.uwsgi
    if uwsgi is not None and told.uwsgi is not None:
        uwsgi = replace(uwsgi, pools=told.uwsgi.pools, mapped=told.uwsgi.mapped)
    config = replace(
        old,
        kernel=told.kernel,
        naming=told.naming,
        db=told.db,
        stop=told.stop,
        seed=told.seed,
        settings=told.settings,
        gauges=told.gauges,
        uwsgi=uwsgi,
        raw=told.raw,
        operator=told.operator,
    )
    return config, [one.name for one in fields(old) if getattr(config, one.name) != getattr(told, one.name)]


MAY_BE_ABSENT = {"aimStretch", "passesDeadline", "fleet"}  # as the platform's pages have it


def _missing(old: object, told: object, path: str) -> Iterator[str]:
    """Keys that are gone. Rows of a list are held to the keys that all the old rows share."""
    if isinstance(old, Mapping) and isinstance(told, Mapping):
        for key, value in old.items():
            if told.get(key) is not None:
                yield from _missing(value, told[key], f"{path}.{key}".lstrip("."))
            elif value is not None and key not in MAY_BE_ABSENT:
                yield f"{path}.{key}".lstrip(".")
    elif isinstance(old, list) and isinstance(told, list):
        rows = [row for row in old if isinstance(row, Mapping)]
        shared = {key: None for key in rows[0] if all(key in row for row in rows)} if rows else {}
        for index, row in enumerate(told):
            if isinstance(row, Mapping):
                yield from (f"{path}[{index}].{key}" for key in shared if row.get(key) is None)


def changes(old: Settings, told: Settings) -> list[str]:
    """What is different between two settings, a line each, for the log."""
    before = {kind.name: kind for kind in old.classes}
    lines = [f"class {name} is gone" for name in before if name not in {kind.name for kind in told.classes}]
    for kind in told.classes:
        if (was := before.get(kind.name)) is None:
            lines.append(f"class {kind.name} is new")
        else:
            lines += [f"class {kind.name}: {line}" for line in _differences(was, kind)]
    return lines + [line for line in _differences(old, told) if not line.startswith("classes ")]


def _differences(old: Settings | ClassSettings, told: Settings | ClassSettings) -> Iterator[str]:
    for part in fields(old):
        was, now = getattr(old, part.name), getattr(told, part.name)
        if was != now:
            yield f"{stored_key(part)} {was} is now {now}"


def _hosted(settings: Settings, operator: Table) -> Settings:
    """The settings with the operator's tenants and worths in the place of the platform's."""
    if "over_share_worth" in operator:
        worth = number(operator, "over_share_worth", "over_share_worth", 0, 1)
        settings = replace(settings, over_quota_factor=worth)
    if "tenants" in operator:
        rows = table(operator, "tenants", "tenants")
        settings = replace(settings, tenants=tuple(_tenant(rows, name) for name in rows))
        if sum(tenant.portion for tenant in settings.tenants) > 1.001:
            raise ConfigError("tenants: their shares come to more than 1")
    worths = table(operator, "classes", "classes", {})
    names = {kind.name for kind in settings.classes}
    for name in worths:
        if name not in names:
            raise ConfigError(f"classes.{name} must be one of {', '.join(sorted(names))}")
        row = table(worths, name, f"classes.{name}")
        known(row, f"classes.{name}", ("worth",))
        worth = number(row, "worth", f"classes.{name}.worth", 0, 1e6)
        kinds = (
            replace(kind, priority_weight=worth) if kind.name == name else kind for kind in settings.classes
        )
        settings = replace(settings, classes=tuple(kinds))
    return settings


def _tenant(rows: Table, name: str) -> TenantSettings:
    path = f"tenants.{name}"
    row = table(rows, name, path)
    known(row, path, ("share", "allowance_per_s"))
    share = number(row, "share", f"{path}.share", 0, 1)
    return TenantSettings(name, share, number(row, "allowance_per_s", f"{path}.allowance_per_s", 0, 1e6))


def _admin(operator: Table) -> AdminConfig | None:
    if "admin" not in operator:
        return None
    raw = table(operator, "admin", "admin")
    known(raw, "admin", ("listen", "token_file"))
    listen = address(raw, "listen", "admin.listen")
    if not ipaddress.ip_address(listen[0]).is_loopback:
        raise ConfigError("admin.listen must be a loopback address")
    path = word(raw, "token_file", "admin.token_file")
    try:
        token = Path(path).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigError(f"admin.token_file: {path} can't be read: {fault}") from fault
    if len(token) < LEAST_TOKEN or not token.isascii() or not token.isprintable():
        raise ConfigError(f"admin.token_file: {path} must hold at least {LEAST_TOKEN} plain characters")
    return AdminConfig(listen, token)


def _fleet(operator: Table, name: str, settings: Settings, uwsgi: bool) -> ClusterConfig | None:
    if "fleet" not in operator:
        return None
    from marlstep.config.cluster import read_cluster  # not loaded unless it is there

    safe = {kind.name: kind.effect is Effect.SAFE for kind in settings.classes}
    return read_cluster(operator, name, safe, uwsgi)


LEAST_TOKEN = 16
LONGEST_US = 1e12  # a deadline of eleven days


def _uwsgi(operator: Table, kinds: set[str], most_held: int) -> UwsgiConfig | None:
    if "uwsgi" not in operator:
        return None
    raw = table(operator, "uwsgi", "uwsgi")
    known(raw, "uwsgi", UWSGI_KEYS)
    names = table(raw, "vars", "uwsgi.vars")
    known(names, "uwsgi.vars", ("class", "id", "retry", "cost", "tenant"))
    classes = table(raw, "classes", "uwsgi.classes", {})

    def kind(holder: Table, key: str, path: str) -> str:
        name = word(holder, key, path)
        if name not in kinds:
            raise ConfigError(f"{path} must be one of {', '.join(sorted(kinds))}")
        return name

    def named(key: str) -> str | None:
        return word(names, key, f"uwsgi.vars.{key}") if key in names else None

    sizes = UwsgiConfig(
        listen=address(raw, "listen", "uwsgi.listen"),
        pools=_pools(raw, kinds),
        mapped=UwsgiMapping(
            class_variable=word(names, "class", "uwsgi.vars.class"),
            class_names={said: kind(classes, said, f"uwsgi.classes.{said}") for said in classes},
            default_class=kind(raw, "default_class", "uwsgi.default_class")
            if "default_class" in raw
            else None,
            idempotency_key_variable=named("id"),
            retry_variable=named("retry"),
            cost_variable=named("cost"),
            tenant_variable=named("tenant"),
            memory_kb=number(raw, "held_kb", "uwsgi.held_kb", 0.1, 2000, 16.0),
        ),
        body_limit=whole(raw, "max_body", "uwsgi.max_body", 0, 1 << 20, 64 * 1024),
        response_limit=whole(raw, "max_response", "uwsgi.max_response", 256, 1 << 22, 256 * 1024),
        connections=whole(raw, "max_connections", "uwsgi.max_connections", 1, 1 << 16, 256),
        read_timeout=whole(raw, "read_timeout_ms", "uwsgi.read_timeout_ms", 10, 600_000, 2_000) * MILLISECOND,
    )
    if sizes.connections * (sizes.body_limit + sizes.response_limit) > most_held:
        raise ConfigError(
            "uwsgi.max_connections times uwsgi.max_body and uwsgi.max_response together "
            f"must stay within {most_held >> 20} MiB, half of limits.memory_mb"
        )
    return sizes


def _pools(raw: Table, kinds: set[str]) -> tuple[PoolPlan, ...]:
    """The pools of servers; `upstream` is a pool of one, without limits."""
    from marlstep.load_balancing.pool_plan import PoolPlan  # a node without the front does not load it

    if "pool" not in raw:
        return (PoolPlan("", (address(raw, "upstream", "uwsgi.upstream"),), limited=False),)
    if "upstream" in raw:
        raise ConfigError("uwsgi.upstream and uwsgi.pool can't both be there")
    rows = table(raw, "pool", "uwsgi.pool")
    plans = tuple(_pool(rows, name, kinds) for name in rows)
    open_to_all = [plan.name for plan in plans if not plan.classes]
    if len(open_to_all) != 1:
        raise ConfigError("uwsgi.pool: exactly one pool must be without classes: it takes the rest")
    listed = Counter(kind for plan in plans for kind in plan.classes)
    for kind, count in listed.items():
        if count > 1:
            raise ConfigError(f"uwsgi.pool: class {kind} is listed twice")
    return plans


def _pool(rows: Table, name: str, kinds: set[str]) -> PoolPlan:
    from marlstep.load_balancing.pool_plan import PoolPlan

    path = f"uwsgi.pool.{name}"
    row = table(rows, name, path)
    known(row, path, POOL_KEYS)
    servers = words(row, "servers", f"{path}.servers")
    addresses = tuple(
        address({"at": text}, "at", f"{path}.servers[{index}]") for index, text in enumerate(servers)
    )
    if not 1 <= len(addresses) <= MOST_SERVERS or len(set(addresses)) < len(addresses):
        raise ConfigError(f"{path}.servers must name 1 to {MOST_SERVERS} servers, each once")
    classes = words(row, "classes", f"{path}.classes", [])
    for kind in classes:
        if kind not in kinds:
            raise ConfigError(f"{path}.classes: {kind} must be one of {', '.join(sorted(kinds))}")
    refuses = take(row, "refuses", f"{path}.refuses", [])
    if not isinstance(refuses, list) or not all(type(one) is int and 400 <= one <= 599 for one in refuses):
        raise ConfigError(f"{path}.refuses must be a list of statuses from 400 to 599")
    return PoolPlan(
        name=name,
        servers=addresses,
        classes=tuple(classes),
        refuses=tuple(refuses),
        boot_header=word(row, "boot_header", f"{path}.boot_header", "x-boot-id").lower(),
        connect_timeout=whole(row, "connect_timeout_ms", f"{path}.connect_timeout_ms", 1, 60_000, 1000)
        * MILLISECOND,
        max_attempts=whole(row, "tries", f"{path}.tries", 1, 16, 3),
    )


MOST_SERVERS = 1_000
POOL_KEYS = ("servers", "classes", "refuses", "boot_header", "connect_timeout_ms", "tries")
UWSGI_KEYS = (
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


def _settings(raw: Table) -> Settings:
    rows = raw.get("classes")
    for index, row in enumerate(rows if isinstance(rows, list) else []):
        for key in ("aimUs", "hardLimitUs"):
            value = row.get(key) if isinstance(row, Mapping) else None
            good = isinstance(value, int | float) and not isinstance(value, bool) and 0 < value < LONGEST_US
            if value is not None and not good:
                raise ConfigError(f"settings.classes[{index}].{key} must be a number above 0, not {value!r}")
    try:
        return read_settings(raw)
    except ValueError as fault:
        raise ConfigError(f"settings: {str(fault).removeprefix('conf.')}") from fault
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
