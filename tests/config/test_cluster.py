"""Tests of the exact error texts for invalid values, and values that contradict each other, in `[fleet]`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from marlstep.config import ConfigError, check
from tests.golden.everything import NODES, operator_config, platform_config

LONG_NAME = "z" * 65
NODE_ADDRESSES = {name: f"127.0.0.1:{7000 + number}" for number, name in enumerate(NODES, 1)}


def error_message(folder: Path, path: str, value: object) -> str:
    """Return the error text for a complete `[fleet]` section with this value at this path."""
    operator = operator_config(folder)
    table: dict[str, Any] = operator["fleet"]
    *parents, key = path.split(".")
    for name in parents:
        table = table[name]
    table[key] = value
    with pytest.raises(ConfigError) as raised:
        check(platform_config(), operator)
    return str(raised.value)


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("nodes", {}, "fleet.nodes must name 1 to 500 nodes"),
        (
            "nodes",
            {"n1": "127.0.0.1:1", "a/b": "127.0.0.1:2"},
            "fleet.nodes.a/b: a node's name must be printable, without #, / or spaces",
        ),
        ("nodes", {"n2": "127.0.0.1:1"}, "fleet.nodes must name this node, n1"),
        ("voters", ["n1", "n2"], "fleet.voters must name 1, 3, 5 or 7 nodes, each once"),
        ("voters", ["n1", "n2", "n2"], "fleet.voters must name 1, 3, 5 or 7 nodes, each once"),
        ("voters", ["n1", "n2", "n9"], "fleet.voters: n9 is not in fleet.nodes"),
        ("patience_ms", 269, "fleet.patience_ms must be at least three times fleet.beat_ms"),
        (
            "term_ms",
            899,
            "fleet.term_ms must be at least twice fleet.patience_ms: a lease must outlast an election",
        ),
        ("rules.lease_ms", 899, "fleet.rules.lease_ms must be at least twice fleet.patience_ms"),
        (
            "rules.agree_within_ms",
            2479,
            "fleet.rules.agree_within_ms must be at least 2480: the lease, two heartbeats "
            "and 500 ms of event loop delay",
        ),
        (
            "rules.documents.settings.kind",
            "colour",
            "fleet.rules.documents.settings: 'colour' is not a valid Kind",
        ),
        (
            "rules.documents.settings.kind",
            "tenants",
            "fleet.rules.documents: expected at most one document of a kind",
        ),
        (
            "rules.documents.settings.cut_off",
            "narrow",
            "fleet.rules.documents.settings.cut_off: narrow is for tenants alone",
        ),
        (
            "rules.documents.tenants.strict",
            "yes",
            "fleet.rules.documents.tenants.strict must be true or false",
        ),
        (
            "rules.documents",
            {},
            "fleet.rules.shares needs a document of kind tenants, which holds the allowances",
        ),
        (
            "members.answer_ms",
            201,
            "fleet.members.answer_ms must be at most a third of period_ms: the rest is for indirect probes",
        ),
        ("members.seeds", ["n9"], "fleet.members.seeds: n9 is not in fleet.nodes"),
        ("members.zone", LONG_NAME, "fleet.members.zone has 64 characters at most"),
        (
            "nodes",
            {**NODE_ADDRESSES, LONG_NAME: "127.0.0.1:1"},
            f"fleet.nodes.{LONG_NAME}: with fleet.members a node's name must have at most 64 characters",
        ),
        (
            "tasks.sweep.class",
            "colour",
            "fleet.tasks.sweep.class must be one of schedule-save, setpoint-cmd, temp-history",
        ),
        ("tasks.sweep.at", "03:30", "fleet.tasks.sweep must have either every_ms or at"),
        ("tasks.nightly.at", "24:00", "fleet.tasks.nightly.at must be a time of day in UTC, such as 03:30"),
        (
            "tasks.sweep.longest_ms",
            1001,
            "fleet.tasks.sweep.longest_ms must be at most half of fleet.term_ms: a run must end within its lease",
        ),
        ("tasks.sweep.missed", "late", "fleet.tasks.sweep.missed must be skip or once"),
        ("tasks.sweep.vars", {"A": 1}, "fleet.tasks.sweep.vars.A must be text"),
    ],
)
def test_the_error_for_a_wrong_value_names_its_key(
    path: str, value: object, message: str, tmp_path: Path
) -> None:
    assert error_message(tmp_path, path, value) == message


@pytest.mark.parametrize(
    ("section", "message"),
    [
        (
            {"rules": {"documents": {"pools": {"kind": "servers"}}}},
            "fleet.rules.documents.pools.kind: servers needs [uwsgi]",
        ),
        (
            {"tasks": {"sweep": {"every_ms": 1000, "class": "schedule-save"}}},
            "fleet.tasks needs [uwsgi], to whose servers tasks are sent",
        ),
        ({"probes": True}, "fleet.probes needs [uwsgi], whose servers are checked"),
    ],
)
def test_sections_that_need_servers_are_rejected_without_the_uwsgi_frontend(
    section: dict[str, Any], message: str, tmp_path: Path
) -> None:
    sections: dict[str, Any] = {"rules": {"documents": {}}, "tasks": {}, "probes": False}
    operator = operator_config(tmp_path, **sections)
    del operator["uwsgi"]
    check(platform_config(), operator)
    operator["fleet"] |= section
    with pytest.raises(ConfigError) as raised:
        check(platform_config(), operator)
    assert str(raised.value) == message


def test_a_cluster_key_that_is_too_short_is_rejected(tmp_path: Path) -> None:
    short = tmp_path / "short"
    short.write_text(" 31 bytes and blanks around them ")
    assert (
        error_message(tmp_path, "key_file", str(short))
        == f"fleet.key_file: {short} must hold at least 32 bytes"
    )


def test_the_error_for_an_unreadable_cluster_key_names_its_file_and_the_reason(tmp_path: Path) -> None:
    path = tmp_path / "none"
    assert (
        error_message(tmp_path, "key_file", str(path))
        == f"fleet.key_file: {path} can't be read: No such file or directory"
    )
