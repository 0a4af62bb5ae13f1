"""`marlstep trace`: inspect, compile, replay and report."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from marlstep.cli.main import call
from marlstep.traces.formats import format_by_name
from marlstep.traces.replay.machine_info import MachineInfo
from marlstep.traces.schedule import Schedule

EXAMPLES = Path(__file__).parent.parent.parent / "examples" / "traces"


def test_inspect_prints_one_object_and_writes_all_rejects(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source = str(EXAMPLES / "google-2011.csv")
    rejects = tmp_path / "rejects.csv"
    arguments = ["trace", "inspect", "--format", "google-2011", "--json", "--rejects", str(rejects)]
    assert call([*arguments, source]) == 0
    report = json.loads(capsys.readouterr().out)
    assert (report["rows"], report["good"], report["bad"]) == (833, 826, 7)
    assert report["bad_by_reason"]["open-quote"] == 1 and report["duplicates"] == 1
    assert set(report["classes"]) == {"temp-history", "schedule-save", "setpoint-cmd"}
    assert len(rejects.read_text("utf-8").splitlines()) == 8
    assert call([*arguments[:4], "--strict", source]) == 3
    assert call([*arguments[:4], str(tmp_path / "none")]) == 2
    empty = tmp_path / "empty"
    empty.write_text("")
    assert call([*arguments[:4], str(empty)]) == 2
    assert call([*arguments[:2], source]) == 2
    assert call([*arguments[:2], "--format", "none", source]) == 2


ROOT = Path(__file__).parent.parent.parent


def compile_example(
    folder: Path, capsys: pytest.CaptureFixture[str], *options: str
) -> tuple[str, dict[str, Any]]:
    out = str(folder / "a.sched")
    source = str(ROOT / "examples" / "traces" / "google-2011.csv")
    code = call(["trace", "compile", "--format", "google-2011", "--json", "--out", out, *options, source])
    assert code == 0
    return out, json.loads(capsys.readouterr().out)


def test_a_trace_is_compiled_replayed_and_compared(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out, report = compile_example(tmp_path, capsys, "--busiest", "10s", "--load", "1.2", "--cores", "6")
    [[start, length]] = report["sections"]
    assert 55 <= start <= 70 and length == 10 and report["dispersion_trace"] > 1.5
    assert report["work_s"] / report["seconds"] == pytest.approx(1.2 * 6, rel=1e-6)
    config = str(ROOT / "deploy" / "node.json")
    reports = []
    for number in (1, 2):
        path = tmp_path / f"{number}.json"
        arguments = [
            "trace",
            "replay",
            "--virtual",
            "--config",
            config,
            "--for",
            "6s",
            "--out",
            str(path),
            "--json",
            out,
        ]
        assert call(arguments) == 0
        reports.append(json.loads(capsys.readouterr().out))
    assert reports[0] == reports[1] and reports[0]["lost"] == 0 == reports[0]["ran_twice"]
    page = tmp_path / "change.html"
    assert (
        call(
            ["trace", "report", *(str(tmp_path / f"{number}.json") for number in (1, 2)), "--plot", str(page)]
        )
        == 0
    )
    assert "service" in capsys.readouterr().out and "data:image/png;base64," in page.read_text("utf-8")
    assert call(["trace", "report", out, out]) == 2
    assert call(["trace", "replay", str(ROOT / "README.md")]) == 2
    assert call(["trace", "replay", "--config", str(ROOT / "README.md"), out]) == 2


def test_only_the_requested_part_of_a_trace_is_compiled(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out, report = compile_example(
        tmp_path, capsys, "--from", "60s", "--for", "15s", "--rate", "4", "--compress", "2"
    )
    with Schedule(out) as schedule:
        rows = list(schedule.rows())
    assert report["requests"] == len(rows) and rows[-1].at_us < 7_500_000
    assert 0.1 < report["keep"] < 0.9 and report["seconds"] == 7.5
    assert call(["trace", "compile", "--format", "google-2011", "--out", out, "-"]) == 2
    assert format_by_name("google-2011").columns[0] == "time"


@pytest.mark.parametrize("machine", [MachineInfo(6, "3.12.1"), MachineInfo(None, "3.11.7")])
def test_a_replay_reports_the_machine_that_it_is_given(machine: MachineInfo, tmp_path: Path) -> None:
    # Guards against reports that read the machine themselves, which made a golden file hold for one machine only.
    schedule, out = str(tmp_path / "a.sched"), tmp_path / "a.json"
    source = str(EXAMPLES / "google-2011.csv")
    assert call(["trace", "compile", "--format", "google-2011", "--out", schedule, source]) == 0
    with patch("marlstep.traces.replay.machine_info.describe_this_machine", return_value=machine):
        options = ["--virtual", "--for", "1s", "--speed", "5", "--config", str(ROOT / "deploy" / "node.json")]
        assert call(["trace", "replay", *options, "--out", str(out), schedule]) == 0
    assert json.loads(out.read_text("utf-8"))["machine"] == machine.to_json()


def test_a_replay_whose_processes_time_out_ends_with_a_message(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    schedule, source = str(tmp_path / "a.sched"), str(EXAMPLES / "google-2011.csv")
    assert call(["trace", "compile", "--format", "google-2011", "--out", schedule, source]) == 0
    config = str(ROOT / "deploy" / "node.json")
    with patch("marlstep.traces.replay.loopback.Loopback.run", side_effect=TimeoutError):
        assert call(["trace", "replay", "--config", config, "--for", "1s", schedule]) == 2
    assert "did not get ready or exit in time" in capsys.readouterr().err
