"""Reads `[fleet]` of the operator's file: the nodes, voters, timings, leases and scheduled tasks of a cluster.

Optional subsections have modules of their own, which are imported only if the subsection is present.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path

from marlstep.config.cluster_settings import (
    ClusterConfig,
    MembershipConfig,
    ReplicatedConfigSettings,
    TaskConfig,
)
from marlstep.config.readers import (
    Address,
    ConfigError,
    Table,
    check_known_keys,
    read_address,
    read_bool,
    read_int,
    read_number,
    read_table,
    read_word,
    read_words,
)
from marlstep.leases.settings import LeaseSettings
from marlstep.units import MILLISECOND

__all__ = ["ClusterConfig", "MembershipConfig", "ReplicatedConfigSettings", "TaskConfig", "read_cluster"]

MAX_NODES = 500
VOTER_COUNTS = (1, 3, 5, 7)
MIN_KEY_LENGTH = 32  # bytes
MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3
MIN_ELECTION_TIMEOUTS_PER_LEASE = 2
KEYS = (
    "name", "listen", "voters", "key_file", "store", "term_ms", "drift", "most_leases", "beat_ms",
    "patience_ms", "nodes", "tasks", "probes", "rules", "members",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Timings:
    """Timings whose ratios are checked: a late heartbeat must not cause an election, nor an election end a lease."""

    lease_term: timedelta
    heartbeat_interval: timedelta
    election_timeout: timedelta


def read_cluster(
    operator: Table, node: str, idempotent_by_class: Mapping[str, bool], has_uwsgi: bool
) -> ClusterConfig | None:
    """Read the section; return None if it is absent.

    Args:
        operator: the parsed operator file.
        node: the name of this node.
        idempotent_by_class: for each request class, whether its requests are safe to repeat.
        has_uwsgi: whether the file turns on the uwsgi frontend, which some keys of the section require.

    Raises:
        ConfigError: a key is missing, unknown or has a wrong value, or the key file can't be read or is too short.
    """
    if "fleet" not in operator:
        return None
    raw = read_table(operator, "fleet", "fleet")
    check_known_keys(raw, "fleet", KEYS)
    name = read_word(raw, "name", "fleet.name")
    nodes = _read_nodes(raw, node)
    voters = _read_voters(raw, nodes)
    store = Path(read_word(raw, "store", "fleet.store")) if node in voters else None
    timings = _read_timings(raw)
    leases = _read_leases(raw, timings)
    replicated_config = None
    if "rules" in raw:
        from marlstep.config.cluster_documents import read_documents

        replicated_config, config_term = read_documents(raw, timings.heartbeat_interval, has_uwsgi)
        leases = _with_config_term(leases, config_term, timings)
    # The order of these calls decides which error is reported if there are several.
    listen = read_address(raw, "listen", "fleet.listen") if "listen" in raw else nodes[node]
    tasks = _read_tasks(raw, idempotent_by_class, has_uwsgi, timings)
    shared_health_checks = _read_shared_health_checks(raw, has_uwsgi)
    key = _read_key(raw)
    return ClusterConfig(
        name=name,
        node=node,
        listen=listen,
        nodes=nodes,
        voters=voters,
        key=key,
        store=store,
        leases=leases,
        heartbeat_interval=timings.heartbeat_interval,
        election_timeout=timings.election_timeout,
        tasks=tasks,
        replicated_config=replicated_config,
        membership=_read_membership(raw, nodes, voters),
        shared_health_checks=shared_health_checks,
    )


def _read_nodes(raw: Table, this_node: str) -> dict[str, Address]:
    rows = read_table(raw, "nodes", "fleet.nodes")
    if not 1 <= len(rows) <= MAX_NODES:
        raise ConfigError.unmet("fleet.nodes", f"must name 1 to {MAX_NODES} nodes")
    for name in rows:
        if any(mark in name for mark in "#/ ") or not name.isprintable():
            raise ConfigError.found(
                f"fleet.nodes.{name}", "a node's name must be printable, without #, / or spaces"
            )
    nodes = {name: read_address(rows, name, f"fleet.nodes.{name}") for name in rows}
    if this_node not in nodes:
        raise ConfigError.unmet("fleet.nodes", f"must name this node, {this_node}")
    return nodes


def _read_voters(raw: Table, nodes: Mapping[str, Address]) -> tuple[str, ...]:
    voters = tuple(read_words(raw, "voters", "fleet.voters"))
    if len(voters) not in VOTER_COUNTS or len(set(voters)) < len(voters):
        raise ConfigError.unmet("fleet.voters", "must name 1, 3, 5 or 7 nodes, each once")
    for name in voters:
        if name not in nodes:
            raise ConfigError.found("fleet.voters", f"{name} is not in fleet.nodes")
    return voters


def _read_timings(raw: Table) -> Timings:
    timings = Timings(
        lease_term=read_int(raw, "term_ms", "fleet.term_ms", 500, 600_000, 3_000) * MILLISECOND,
        heartbeat_interval=read_int(raw, "beat_ms", "fleet.beat_ms", 10, 10_000, 100) * MILLISECOND,
        election_timeout=read_int(raw, "patience_ms", "fleet.patience_ms", 50, 60_000, 500) * MILLISECOND,
    )
    if timings.election_timeout < MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * timings.heartbeat_interval:
        raise ConfigError.unmet("fleet.patience_ms", "must be at least three times fleet.beat_ms")
    if timings.lease_term < MIN_ELECTION_TIMEOUTS_PER_LEASE * timings.election_timeout:
        raise ConfigError.unmet(
            "fleet.term_ms", "must be at least twice fleet.patience_ms: a lease must outlast an election"
        )
    return timings


def _read_leases(raw: Table, timings: Timings) -> LeaseSettings:
    return LeaseSettings(
        term=timings.lease_term,
        drift=read_number(raw, "drift", "fleet.drift", 0.0001, 0.2, 0.01),
        max_per_node=read_int(raw, "most_leases", "fleet.most_leases", 0, 10_000, 0),
    )


def _with_config_term(leases: LeaseSettings, config_term: timedelta, timings: Timings) -> LeaseSettings:
    if config_term < MIN_ELECTION_TIMEOUTS_PER_LEASE * timings.election_timeout:
        raise ConfigError.unmet("fleet.rules.lease_ms", "must be at least twice fleet.patience_ms")
    return replace(leases, config_term=config_term)


def _read_tasks(
    raw: Table, idempotent_by_class: Mapping[str, bool], has_uwsgi: bool, timings: Timings
) -> tuple[TaskConfig, ...]:
    rows = read_table(raw, "tasks", "fleet.tasks", {})
    if not rows:
        return ()
    if not has_uwsgi:
        raise ConfigError.unmet("fleet.tasks", "needs [uwsgi], to whose servers tasks are sent")
    from marlstep.config.cluster_tasks import read_task

    return tuple(read_task(rows, name, idempotent_by_class, timings.lease_term) for name in rows)


def _read_shared_health_checks(raw: Table, has_uwsgi: bool) -> bool:
    shared = read_bool(raw, "probes", "fleet.probes")
    if shared and not has_uwsgi:
        raise ConfigError.unmet("fleet.probes", "needs [uwsgi], whose servers are checked")
    return shared


def _read_key(raw: Table) -> bytes:
    path = read_word(raw, "key_file", "fleet.key_file")
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError.found("fleet.key_file", f"{path} can't be read: {error.strerror}") from error
    if len(key) < MIN_KEY_LENGTH:
        raise ConfigError.found("fleet.key_file", f"{path} must hold at least {MIN_KEY_LENGTH} bytes")
    return key


def _read_membership(
    raw: Table, nodes: Mapping[str, Address], voters: tuple[str, ...]
) -> MembershipConfig | None:
    if "members" not in raw:
        return None
    from marlstep.config.cluster_membership import read_membership

    return read_membership(raw, nodes, voters)
