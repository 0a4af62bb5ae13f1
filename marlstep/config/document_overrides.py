"""Documents on which the cluster agreed, in the place of what a node's own files say."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import Any

from marlstep.config.checking import check
from marlstep.config.operator_overrides import OVERRIDE_KEYS
from marlstep.config.readers import ConfigError
from marlstep.config.schema import Config

JsonContent = Any  # of a document: what its author wrote, checked only when it is applied


class DocumentKind(enum.StrEnum):
    """Which part of the configuration a document replaces."""

    SETTINGS = "settings"  # the platform's settings
    TENANTS = "tenants"  # the operator's tenants and priority weights
    SERVERS = "servers"  # the servers of the pools, by pool


def local_content(config: Config, kind: str) -> JsonContent:
    """Return the part of the configuration that a document of this kind replaces, in the form of a document."""
    if kind == DocumentKind.SETTINGS:
        return config.platform_table.get("settings")
    if kind == DocumentKind.TENANTS:
        return {key: config.operator_table[key] for key in OVERRIDE_KEYS if key in config.operator_table}
    uwsgi: JsonContent = config.operator_table.get("uwsgi", {})
    return {name: row["servers"] for name, row in uwsgi.get("pool", {}).items()}


class DocumentOverrides:
    """The documents in force on this node, by kind. Without any, configurations stay as they are."""

    def __init__(self) -> None:
        """Start without a document."""
        self._contents: dict[str, JsonContent] = {}

    def apply_to(self, config: Config, **added: JsonContent) -> Config:
        """Return the configuration with the documents in force, and those added, in the place of its own.

        Raises:
            ConfigError: the result is no valid configuration.
        """
        contents = {**self._contents, **added}
        if not contents:
            return config
        platform_table, operator_table = dict(config.platform_table), dict(config.operator_table)
        for kind, content in contents.items():
            if not isinstance(content, Mapping):
                raise _not_a_table(kind)
            if kind == DocumentKind.SETTINGS:
                platform_table["settings"] = content
            elif kind == DocumentKind.TENANTS:
                operator_table = _with_tenants(operator_table, content)
            else:
                operator_table["uwsgi"] = _with_servers(operator_table.get("uwsgi"), content)
        checked = check(platform_table, operator_table)
        return replace(
            checked,
            source=config.source,
            passed_socket=config.passed_socket,
            runtime_directory=config.runtime_directory,
        )

    def put(self, kind: str, content: JsonContent) -> None:
        """Have a document in force from now on."""
        self._contents[kind] = content

    def describe_differences(self, config: Config) -> Iterator[str]:
        """Yield a line for each kind in which a file says something else than the document in force."""
        for kind, content in self._contents.items():
            local = local_content(config, kind) or {}
            differing = sorted(
                key
                for key in {*local, *content}
                if _canonical_json(local.get(key)) != _canonical_json(content.get(key))
            )
            if _canonical_json(local_content(config, kind)) != _canonical_json(content):
                keys = ", ".join(differing)
                yield f"{kind} of the files differ from the document in force, which stays: {keys}"


def _not_a_table(kind: str) -> ConfigError:
    return ConfigError.unmet(f"a document of kind {kind}", "must be a table")


def _with_tenants(operator_table: dict[str, Any], content: Mapping[str, JsonContent]) -> dict[str, Any]:
    unknown = set(content) - set(OVERRIDE_KEYS)
    if unknown:
        raise ConfigError.found("tenants", f"{min(unknown)} is not known")
    others = {key: value for key, value in operator_table.items() if key not in OVERRIDE_KEYS}
    return {**others, **content}


def _with_servers(uwsgi: JsonContent, content: Mapping[str, JsonContent]) -> dict[str, Any]:
    pools = uwsgi.get("pool", {}) if isinstance(uwsgi, Mapping) else {}
    for name in content:
        if name not in pools:
            raise ConfigError.found("servers", f"there is no pool {name} here")
    rows = {name: {**row, "servers": content.get(name, row["servers"])} for name, row in pools.items()}
    return {**uwsgi, "pool": rows}


def _canonical_json(value: JsonContent) -> str:
    """Return a text by which two contents are equal or not, whatever the order of their keys."""
    return json.dumps(value, sort_keys=True)
