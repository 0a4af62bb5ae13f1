"""Validation of the `members` section in the configuration file of the cluster."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from marlstep.config import ConfigError, check
from tests.support.node import SETTINGS, raw_config


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"answer_ms": 400}, "answer_ms must be at most a third"),
        ({"seeds": ["n9"]}, "seeds: n9 is not in"),
        ({"guard": 2}, "guard must be a number"),
        ({"more": 1}, "more is not known"),
        ({"zone": "z" * 65}, "zone has 64 characters"),
    ],
)
def test_an_invalid_members_section_is_reported_by_its_key(
    changes: dict[str, Any], message: str, tmp_path: Path
) -> None:
    (tmp_path / "key").write_text("k" * 32)
    section = {
        "name": "f",
        "voters": ["n1"],
        "nodes": {"n1": "127.0.0.1:1"},
        "key_file": str(tmp_path / "key"),
    }
    section |= {"store": str(tmp_path), "members": {"zone": "north"}}
    cluster = check(raw_config(settings=SETTINGS), {"fleet": section}).cluster
    assert cluster is not None and cluster.membership is not None and cluster.membership.seeds == ("n1",)
    with pytest.raises(ConfigError, match=message):
        check(raw_config(settings=SETTINGS), {"fleet": {**section, "members": changes}})
