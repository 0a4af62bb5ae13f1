"""Reads `[admin]` of the operator's file: the administration API."""

from __future__ import annotations

import ipaddress
from pathlib import Path

from marlstep.config.readers import ConfigError, Table, check_known_keys, read_address, read_table, read_word
from marlstep.config.schema import AdminConfig

KEYS = ("listen", "token_file")
MIN_TOKEN_LENGTH = 16  # characters


def read_admin(operator: Table) -> AdminConfig:
    """Read the section, and the token from the file that it names.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value, or the token file can't be read or used.
    """
    section = read_table(operator, "admin", "admin")
    check_known_keys(section, "admin", KEYS)
    listen = read_address(section, "listen", "admin.listen")
    if not ipaddress.ip_address(listen[0]).is_loopback:
        raise ConfigError.unmet("admin.listen", "must be a loopback address")
    return AdminConfig(listen, _read_token(read_word(section, "token_file", "admin.token_file")))


def _read_token(path: str) -> str:
    try:
        token = Path(path).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError.found("admin.token_file", f"{path} can't be read: {error}") from error
    if len(token) < MIN_TOKEN_LENGTH or not token.isascii() or not token.isprintable():
        requirement = f"must hold at least {MIN_TOKEN_LENGTH} printable ASCII characters"
        raise ConfigError.found("admin.token_file", f"{path} {requirement}")
    return token
