"""The configuration that the program reads from a complete operator's file, as plain JSON."""

from __future__ import annotations

from copy import deepcopy
from datetime import timedelta
from pathlib import Path
from typing import Any

from marlstep.config import ConfigError, check
from marlstep.units import MILLISECOND
from tests.golden.everything import KEY, fleet_section, operator_config, platform_config


def to_ms(span: timedelta) -> float:
    return span / MILLISECOND


def read_section(folder: Path, minimal: bool = False) -> dict[str, Any]:
    """Read `[fleet]` and return each value by the key in the operator's file."""
    operator = operator_config(folder)
    if minimal:
        operator["fleet"] = minimal_section(folder)
    fleet = check(platform_config(), operator).cluster
    assert fleet is not None
    members, rules = fleet.membership, fleet.replicated_config
    return {
        "name": fleet.name,
        "node": fleet.node,
        "listen": list(fleet.listen),
        "voters": list(fleet.voters),
        "votes": fleet.votes,
        "key_file is read": fleet.key == KEY.encode(),
        "store": None if fleet.store is None else fleet.store.relative_to(folder).as_posix(),
        "term_ms": to_ms(fleet.leases.term),
        "drift": fleet.leases.drift,
        "most_leases": fleet.leases.max_per_node,
        "beat_ms": to_ms(fleet.heartbeat_interval),
        "patience_ms": to_ms(fleet.election_timeout),
        "probes": fleet.shared_health_checks,
        "nodes": {name: list(address) for name, address in fleet.nodes.items()},
        "members": None
        if members is None
        else {
            "period_ms": to_ms(members.detector.probe_interval),
            "answer_ms": to_ms(members.detector.probe_timeout),
            "probation_ms": to_ms(members.roster.probation),
            "guard": members.roster.max_failed_share,
            "zone": members.zone,
            "seeds": list(members.seeds),
        },
        "rules": None
        if rules is None
        else {
            "lease_ms": to_ms(fleet.leases.config_term),
            "agree_within_ms": to_ms(rules.agree_within),
            "shares": rules.quotas_shared,
            "documents": {
                item.name: {
                    "kind": item.kind.value,
                    "strict": item.strict,
                    "cut_off": item.disconnect_policy.value,
                }
                for item in rules.documents
            },
        },
        "tasks": {
            item.plan.name: {
                "every_ms": to_ms(item.plan.schedule.interval),
                "at_ms": to_ms(item.plan.schedule.offset),
                "missed": item.plan.schedule.missed.value,
                "class": item.plan.request_class,
                "safe": item.plan.idempotent,
                "longest_ms": to_ms(item.plan.timeout),
                "vars": dict(item.variables),
            }
            for item in fleet.tasks
        },
    }


def with_key(operator: dict[str, Any], path: str, key: str, value: object) -> dict[str, Any]:
    """Return a copy in which a key of the table at `path`, separated by dots, has this value."""
    copy: dict[str, Any] = deepcopy(operator)
    table = copy
    for name in path.split("."):
        table = table[name]
    table[key] = value
    return copy


def config_error(operator: dict[str, Any]) -> str:
    """Return the error message for a configuration; empty if it is valid."""
    try:
        check(platform_config(), operator)
    except ConfigError as error:
        return str(error)
    return ""


def minimal_section(folder: Path) -> dict[str, Any]:
    """Return a section with only the required keys, whose optional tables are empty as far as possible."""
    section = fleet_section(folder)
    required = {key: section[key] for key in ("name", "voters", "key_file", "store", "nodes")}
    documents = {kind: {"kind": kind} for kind in ("settings", "tenants", "servers")}
    task = {"every_ms": 1000, "class": "schedule-save"}
    return {**required, "members": {}, "rules": {"documents": documents}, "tasks": {"sweep": task}}
