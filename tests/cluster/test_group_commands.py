"""Commands that create and recover a group without a running node."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from marlstep.cli.main import call
from tests.cluster.support import CONFIG


def test_a_group_is_created_and_recovered_by_commands(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "key").write_text("k" * 32)
    operator = tmp_path / "n1.toml"
    operator.write_text(
        f'[fleet]\nname = "f"\nvoters = ["n1"]\nkey_file = "{tmp_path}/key"\nstore = "{tmp_path}/store"\n'
        '[fleet.nodes]\nn1 = "127.0.0.1:7001"\n'
    )
    arguments = ["--config", str(CONFIG), "--operator", str(operator)]
    assert call(["fleet", "init", *arguments]) == 0
    assert "n1 votes alone" in capsys.readouterr().out
    assert call(["fleet", "init", *arguments]) == 2 and "already exists" in capsys.readouterr().err
    assert call(["fleet", "recover", *arguments, "--epoch", "2"]) == 2 and "--yes" in capsys.readouterr().err
    assert call(["fleet", "recover", *arguments, "--epoch", "2", "--yes"]) == 0
    assert json.loads(capsys.readouterr().out)["group"].startswith("2.")
    assert call(["fleet", "status", "--operator", str(operator)]) == 2
    assert call(["fleet", "status", "--admin", "127.0.0.1:9", "--token-file", str(tmp_path / "key")]) == 2
