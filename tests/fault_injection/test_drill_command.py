"""Exit codes and reports of `marlstep drill`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from marlstep.cli.main import call


def test_drills_exit_with_0_1_or_2_and_print_one_json_object(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    arguments = ["drill", "leases", "--virtual", "--json", "--jobs", "1"]
    assert call([*arguments, "--seed", "5", "--for", "8s"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["verdict"] == "held" and report["plan"]["seed"] == 5 and report["acts"]
    assert {"seed", "plan", "faults", "acts", "overlaps", "late_accepted", "verdict"} <= report.keys()
    assert call([*arguments, "--seed", "0", "--broken", "token-reused"]) == 1
    report = json.loads(capsys.readouterr().out)
    path = tmp_path / "plan.json"
    path.write_text(json.dumps(report))
    assert report["verdict"] == "broken" and report["broken"][0]["why"]
    assert (
        call([*arguments, "--plan", str(path), "--broken", "token-reused"]) == 1
    )  # the printed report is replayed as a plan
    capsys.readouterr()
    assert call([*arguments, "--plan", str(path)]) == 0
    for invalid_arguments in (
        ["--for", "soon"],
        ["--broken", "nothing"],
        ["--voters", "5", "--nodes", "3"],
        ["--nodes", "x"],
    ):
        assert call([*arguments, *invalid_arguments]) == 2
    assert (
        call(["drill", "leases", "--broken", "vote-not-synced"]) == 2
    )  # this mutation runs on the simulated network only
