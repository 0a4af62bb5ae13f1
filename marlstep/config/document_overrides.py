"""Replicated configuration documents, which override the corresponding parts of a node's own files."""

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

JsonContent = Any  # content of a document; it is not validated before it is applied


class DocumentKind(enum.StrEnum):
    """The part of the configuration that a document replaces."""

    SETTINGS = "settings"  # the platform's settings
    TENANTS = "tenants"  # the operator's tenants and priority weights
    SERVERS = "servers"  # the servers of each pool, by the name of the pool


def local_content(config: Config, kind: str) -> JsonContent:
    """Return the part of a node's own configuration that a document of this kind replaces, in document form."""
    if kind == DocumentKind.SETTINGS:
        return config.platform_table.get("settings")
    if kind == DocumentKind.TENANTS:
        return {key: config.operator_table[key] for key in OVERRIDE_KEYS if key in config.operator_table}
    uwsgi: JsonContent = config.operator_table.get("uwsgi", {})
    return {name: row["servers"] for name, row in uwsgi.get("pool", {}).items()}


class DocumentOverrides:
    """The documents in force on this node, by kind."""

    def __init__(self) -> None:
        """Initialize the overrides with no document in force."""
        self._contents: dict[str, JsonContent] = {}

    def apply_to(self, config: Config, **added: JsonContent) -> Config:
        """Return the configuration with the contents of documents in place of its own; unchanged if there are none.

        Args:
            config: the configuration from the node's own files.
            **added: contents by kind, which take precedence over the documents in force.

        Raises:
            ConfigError: the result is not a valid configuration.
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
        """Put a document in force; it replaces the previous one of its kind."""
        self._contents[kind] = content

    def describe_differences(self, config: Config) -> Iterator[str]:
        """Yield a log line for each document in force that differs from the node's own files."""
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
    """Return the value as JSON with sorted keys, to compare two values regardless of the order of their keys."""
    return json.dumps(value, sort_keys=True)
