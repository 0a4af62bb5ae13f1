"""The configuration of a node that has every optional part and every key of `[fleet]`."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from typing import Any
from unittest.mock import patch

from tests.support.node import SETTINGS, raw_config

TOKEN = "0123456789abcdef"
KEY = "k" * 32
VOTERS = ["n1", "n2", "n3"]
NODES = ("n1", "n2", "n3", "n4", "n5", "n6")
POOLS: dict[str, Any] = {
    "main": {"servers": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]},
    "more": {"servers": ["127.0.0.1:4"], "classes": ["temp-history"]},
}
TENANTS: dict[str, Any] = {
    "riad": {"share": 0.5, "allowance_per_s": 20.0},
    "sade": {"share": 0.25, "allowance_per_s": 10.0},
}


def platform_config(node: str = "n1", **other: Any) -> dict[str, Any]:
    return raw_config(name=node, settings=SETTINGS, mgmt="127.0.0.1:0", db="127.0.0.1:1", **other)


def fleet_section(folder: Path, **other: Any) -> dict[str, Any]:
    """Return a `[fleet]` section with every key, and write the key file to the folder."""
    (folder / "key").write_text(KEY)
    return {
        "name": "golden",
        "listen": "127.0.0.1:7101",
        "voters": VOTERS,
        "key_file": str(folder / "key"),
        "store": str(folder / "store"),
        "term_ms": 2000,
        "drift": 0.02,
        "most_leases": 7,
        "beat_ms": 90,
        "patience_ms": 450,
        "probes": True,
        "nodes": {name: f"127.0.0.1:{7000 + number}" for number, name in enumerate(NODES, 1)},
        "members": {
            "period_ms": 600,
            "answer_ms": 160,
            "probation_ms": 300,
            "guard": 0.4,
            "zone": "north",
            "seeds": ["n2", "n3"],
        },
        "rules": {
            "lease_ms": 1800,
            "agree_within_ms": 4000,
            "shares": True,
            "documents": {
                "settings": {"kind": "settings", "strict": False, "cut_off": "keep"},
                "tenants": {"kind": "tenants", "strict": True, "cut_off": "narrow"},
                "servers": {"kind": "servers", "strict": False, "cut_off": "stop"},
            },
        },
        "tasks": {
            "sweep": {
                "every_ms": 1000,
                "class": "schedule-save",
                "longest_ms": 250,
                "missed": "once",
                "vars": {"PATH_INFO": "/sweep"},
            },
            "nightly": {"at": "03:30", "class": "setpoint-cmd", "longest_ms": 300, "missed": "skip"},
        },
        **other,
    }


def operator_config(folder: Path, **fleet: Any) -> dict[str, Any]:
    (folder / "token").write_text(TOKEN)
    return {
        "admin": {"listen": "127.0.0.1:0", "token_file": str(folder / "token")},
        "uwsgi": {"listen": "127.0.0.1:0", "pool": POOLS, "vars": {"class": "HTTP_X_CLASS"}},
        "tenants": TENANTS,
        "over_share_worth": 0.2,
        "fleet": fleet_section(folder, **fleet),
    }


@contextmanager
def deterministic_tokens() -> Iterator[None]:
    """Replace random tokens by consecutive numbers, so that every run of a scenario gives the same bytes."""
    numbers = count(1)
    with patch("secrets.token_hex", lambda size=8: f"{next(numbers):0{2 * size}x}"):
        yield
