"""Reads `[fleet.rules]`: the configuration documents that are replicated to all nodes of a cluster."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, TypeVar

from marlstep.config.cluster_settings import ReplicatedConfigSettings
from marlstep.config.readers import (
    ConfigError,
    Table,
    check_known_keys,
    read_bool,
    read_int,
    read_table,
    read_word,
)
from marlstep.replicated_config.documents import DisconnectPolicy, DocumentDefinition, Kind
from marlstep.units import MILLISECOND

PATH = "fleet.rules"
KEYS = ("lease_ms", "agree_within_ms", "documents", "shares")
DOCUMENT_KEYS = ("kind", "strict", "cut_off")
# Allowed for in `agree_within_ms`: the time from the arrival of a message until the node's event loop acts on it.
MAX_LOOP_DELAY = 500 * MILLISECOND
AnyEnum = TypeVar("AnyEnum", bound=Enum)


class DocumentsSection(NamedTuple):
    """The parsed section."""

    settings: ReplicatedConfigSettings
    lease_term: timedelta  # duration of the leases that allow a node to act on documents


def read_documents(raw: Table, heartbeat_interval: timedelta, has_uwsgi: bool) -> DocumentsSection:
    """Read the section, which must be present, from `[fleet]`.

    Args:
        raw: the table `[fleet]`.
        heartbeat_interval: interval of the leader's heartbeats.
        has_uwsgi: whether there is a uwsgi frontend, whose servers a document may list.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value.
    """
    section = read_table(raw, "rules", PATH)
    check_known_keys(section, PATH, KEYS)
    lease_term = read_int(section, "lease_ms", f"{PATH}.lease_ms", 500, 60_000, 2_000) * MILLISECOND
    agree_within = _read_agree_within(section, lease_term + 2 * heartbeat_interval + MAX_LOOP_DELAY)
    rows = read_table(section, "documents", f"{PATH}.documents")
    documents = tuple(_read_document(rows, name, has_uwsgi) for name in rows)
    if len({document.kind for document in documents}) < len(documents):
        raise ConfigError.found(f"{PATH}.documents", "expected at most one document of a kind")
    quotas_shared = _read_quotas_shared(section, documents)
    return DocumentsSection(ReplicatedConfigSettings(documents, agree_within, quotas_shared), lease_term)


def _read_agree_within(section: Table, minimum: timedelta) -> timedelta:
    path = f"{PATH}.agree_within_ms"
    agree_within = read_int(section, "agree_within_ms", path, 500, 120_000, 3_000) * MILLISECOND
    if agree_within < minimum:
        raise ConfigError.unmet(
            path,
            f"must be at least {minimum // MILLISECOND}: the lease, two heartbeats "
            f"and {MAX_LOOP_DELAY // MILLISECOND} ms of event loop delay",
        )
    return agree_within


def _read_document(rows: Table, name: str, has_uwsgi: bool) -> DocumentDefinition:
    path = f"{PATH}.documents.{name}"
    row = read_table(rows, name, path)
    check_known_keys(row, path, DOCUMENT_KEYS)
    kind = _read_enum_member(Kind, read_word(row, "kind", f"{path}.kind"), path)
    strict = row.get("strict", kind is Kind.TENANTS)
    policy_name = read_word(row, "cut_off", f"{path}.cut_off", "stop" if strict else "keep")
    policy = _read_enum_member(DisconnectPolicy, policy_name, path)
    if not isinstance(strict, bool):
        raise ConfigError.unmet(f"{path}.strict", "must be true or false")
    if policy is DisconnectPolicy.NARROW and kind is not Kind.TENANTS:
        raise ConfigError.found(f"{path}.cut_off", "narrow is for tenants alone")
    if kind is Kind.SERVERS and not has_uwsgi:
        raise ConfigError.found(f"{path}.kind", "servers needs [uwsgi]")
    return DocumentDefinition(name, kind, strict, policy)


def _read_enum_member(enumeration: type[AnyEnum], value: str, path: str) -> AnyEnum:
    try:
        return enumeration(value)
    except ValueError as error:
        raise ConfigError.found(path, str(error)) from error


def _read_quotas_shared(section: Table, documents: Iterable[DocumentDefinition]) -> bool:
    shared = read_bool(section, "shares", f"{PATH}.shares")
    if shared and not any(document.kind is Kind.TENANTS for document in documents):
        raise ConfigError.unmet(
            f"{PATH}.shares", "needs a document of kind tenants, which holds the allowances"
        )
    return shared
