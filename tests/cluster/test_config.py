"""Validation of the `[fleet]` section of the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from marlstep.config import ConfigError, check
from tests.support.node import SETTINGS, raw_config

VALID_SECTION: dict[str, Any] = {
    "name": "f",
    "voters": ["n1"],
    "nodes": {"n1": "127.0.0.1:7001", "n2": "127.0.0.1:7002"},
}


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"voters": ["n1", "n2"]}, "fleet.voters must name 1, 3, 5 or 7 nodes"),
        ({"voters": ["n9"]}, "fleet.voters: n9 is not in fleet.nodes"),
        ({"nodes": {"n2": "127.0.0.1:1"}}, "fleet.nodes must name this node, n1"),
        ({"nodes": {"n1": "localhost:1"}}, "fleet.nodes.n1 must be a numeric address"),
        ({"nodes": {"n1": "127.0.0.1:1", "a/b": "127.0.0.1:2"}}, "fleet.nodes.a/b: a node's name"),
        ({"key_file": "nowhere"}, "fleet.key_file: nowhere can't be read"),
        ({"drift": 0.5}, "fleet.drift must be a number"),
        ({"patience_ms": 100}, "fleet.patience_ms must be at least three times"),
        ({"term_ms": 900}, "fleet.term_ms must be at least twice"),
        ({"more": 1}, "fleet.more is not known"),
        ({"probes": True}, "fleet.probes needs [uwsgi]"),
        ({"tasks": {"t": {"every_ms": 1000, "class": "schedule-save"}}}, "fleet.tasks needs [uwsgi]"),
    ],
)
def test_the_error_for_an_invalid_cluster_section_names_the_key(
    changes: dict[str, Any], message: str, tmp_path: Path
) -> None:
    (tmp_path / "key").write_text("k" * 32)
    section = {**VALID_SECTION, "key_file": str(tmp_path / "key"), "store": str(tmp_path)}
    assert check(raw_config(settings=SETTINGS), {"fleet": section}).cluster is not None
    with pytest.raises(ConfigError, match=message.replace("[", r"\[")):
        check(raw_config(settings=SETTINGS), {"fleet": {**section, **changes}})


@pytest.mark.parametrize(
    ("task", "message"),
    [
        ({"class": "schedule-save"}, "must have either every_ms or at"),
        ({"every_ms": 1000, "at": "03:30", "class": "schedule-save"}, "must have either every_ms or at"),
        ({"at": "25:00", "class": "schedule-save"}, "must be a time of day"),
        ({"every_ms": 1000, "class": "none"}, "class must be one of"),
        ({"every_ms": 1000, "class": "schedule-save", "longest_ms": 2000}, "at most half of fleet.term_ms"),
        ({"every_ms": 1000, "class": "schedule-save", "missed": "all"}, "missed must be skip or once"),
        ({"every_ms": 1000, "class": "schedule-save", "vars": {"A": 1}}, "vars.A must be text"),
    ],
)
def test_the_error_for_an_invalid_task_names_the_key(
    task: dict[str, Any], message: str, tmp_path: Path
) -> None:
    (tmp_path / "key").write_text("k" * 32)
    fleet = {**VALID_SECTION, "key_file": str(tmp_path / "key"), "store": str(tmp_path), "tasks": {"t": task}}
    uwsgi = {"listen": "127.0.0.1:0", "upstream": "127.0.0.1:1", "vars": {"class": "X"}}
    with pytest.raises(ConfigError, match=message):
        check(raw_config(settings=SETTINGS), {"fleet": fleet, "uwsgi": uwsgi})
