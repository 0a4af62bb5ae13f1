"""Loads a node's configuration from the platform's JSON file, the environment and the operator's TOML file."""

from __future__ import annotations

import json
import os
import socket
import stat
from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from marlstep.config.checking import check
from marlstep.config.readers import ConfigError, Table, read_file
from marlstep.config.schema import Config

if TYPE_CHECKING:
    from pathlib import Path

CONFIG_VARIABLE = "PROXY_CONFIG"
PASSED_SOCKET_VARIABLE = "PROXY_PASSED_SOCKET"
RUNTIME_DIRECTORY_VARIABLE = "TMPDIR"
OVERRIDING_VARIABLES = {"name": "PROXY_NAME", "listen": "PROXY_LISTEN", "mgmt": "PROXY_MGMT"}
MAX_SHOWN_CHARACTERS = 32  # of an invalid value, in an error


def load(environ: Mapping[str, str] = os.environ, operator: str | None = None) -> Config:
    """Read and check the configuration of this process.

    Args:
        environ: the environment variables. PROXY_CONFIG is the path of the platform's file, PROXY_NAME, PROXY_LISTEN
            and PROXY_MGMT override keys of it, PROXY_PASSED_SOCKET is the descriptor of a listening socket, and TMPDIR
            is the runtime directory.
        operator: path of the operator's file, which turns on optional features; None without one.

    Raises:
        ConfigError: a file can't be read or a value is wrong; the message names the file and the key.
    """
    path = environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError.unmet(CONFIG_VARIABLE, "is not set: it must be the path of the configuration file")
    platform_table = _with_environment(read_file(path, CONFIG_VARIABLE, json.loads), environ)
    try:
        config = check(platform_table)
        passed_socket = _read_passed_socket(environ.get(PASSED_SOCKET_VARIABLE, ""))
    except ConfigError as error:
        raise ConfigError.found(path, str(error)) from error
    if operator:
        config = _check_with_operator(platform_table, operator)
    return replace(
        config, source=path, passed_socket=passed_socket, runtime_directory=_runtime_directory(environ)
    )


def _check_with_operator(platform_table: Table, operator: str) -> Config:
    import tomllib  # imported here to save memory on nodes without an operator file

    operator_table = read_file(operator, "--operator", tomllib.loads)
    try:
        return check(platform_table, operator_table)
    except ConfigError as error:
        raise ConfigError.found(operator, str(error)) from error


def _runtime_directory(environ: Mapping[str, str]) -> Path | None:
    directory = environ.get(RUNTIME_DIRECTORY_VARIABLE)
    if not directory:
        return None
    from pathlib import Path  # imported here to save memory on nodes without a runtime directory

    return Path(directory)


def _with_environment(platform_table: Table, environ: Mapping[str, str]) -> Table:
    overrides = {key: environ[name] for key, name in OVERRIDING_VARIABLES.items() if environ.get(name)}
    return {**platform_table, **overrides}


def _read_passed_socket(text: str) -> int | None:
    """Return the descriptor of the listening TCP socket that was passed; None if there is none."""
    if not text:
        return None
    descriptor = _open_socket_descriptor(text)
    if descriptor is None:
        shown = text[:MAX_SHOWN_CHARACTERS]
        raise ConfigError.unmet(
            PASSED_SOCKET_VARIABLE, f"must be the number of an open socket, not {shown!r}"
        )
    if not _is_listening_tcp(descriptor):
        raise ConfigError.found(
            PASSED_SOCKET_VARIABLE, f"descriptor {descriptor} is no TCP socket that listens"
        )
    return descriptor


def _open_socket_descriptor(text: str) -> int | None:
    """Parse the number of a descriptor; return None if it is not that of an open socket."""
    try:
        descriptor = int(text)
        is_socket = descriptor >= 0 and stat.S_ISSOCK(os.fstat(descriptor).st_mode)
    except (ValueError, OSError, OverflowError):
        return None
    return descriptor if is_socket else None


def _is_listening_tcp(descriptor: int) -> bool:
    with socket.socket(fileno=os.dup(descriptor)) as passed:
        if passed.family not in (socket.AF_INET, socket.AF_INET6) or passed.type != socket.SOCK_STREAM:
            return False
        return bool(passed.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
