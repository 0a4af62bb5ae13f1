"""Validation of the options of the `rules` and `drill rules` commands."""

from __future__ import annotations

from pathlib import Path

from marlstep.cli.main import call


def test_contradictory_options_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    path.write_text("{}")
    connection_options = ["--admin", "127.0.0.1:9", "--token-file", str(path)]
    assert call(["rules", "status", *connection_options]) == 2
    assert call(["rules", "put", "d", str(path), *connection_options]) == 2  # without --expect
    assert call(["rules", "fix", "d", str(path), *connection_options]) == 2  # without --yes
    assert call(["drill", "rules", "--voters", "5", "--nodes", "3"]) == 2
    assert call(["drill", "rules", "--virtual", "--seeds", "2", "--jobs", "1", "--for", "9s", "--json"]) == 0
