"""Exit codes and reports of `marlstep drill`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from marlstep.cli.main import call


def test_drills_exit_0_1_or_2_and_print_one_object(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    words = ["drill", "leases", "--virtual", "--json", "--jobs", "1"]
    assert call([*words, "--seed", "5", "--for", "8s"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert told["verdict"] == "held" and told["plan"]["seed"] == 5 and told["acts"]
    assert {"seed", "plan", "faults", "acts", "overlaps", "late_accepted", "verdict"} <= told.keys()
    assert call([*words, "--seed", "0", "--broken", "token-reused"]) == 1
    told = json.loads(capsys.readouterr().out)
    path = tmp_path / "plan.json"
    path.write_text(json.dumps(told))
    assert told["verdict"] == "broken" and told["broken"][0]["why"]
    assert (
        call([*words, "--plan", str(path), "--broken", "token-reused"]) == 1
    )  # the printed report is replayed as a plan
    capsys.readouterr()
    assert call([*words, "--plan", str(path)]) == 0
    for wrong in (
        ["--for", "soon"],
        ["--broken", "nothing"],
        ["--voters", "5", "--nodes", "3"],
        ["--nodes", "x"],
    ):
        assert call([*words, *wrong]) == 2
    assert (
        call(["drill", "leases", "--broken", "vote-not-synced"]) == 2
    )  # this mutation needs the virtual network
