"""Collect the help texts and the output of commands, and compare or record them as golden files."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import io
import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

import click

from marlstep.cli.main import call, marlstep
from marlstep.config.traces import read_trace
from marlstep.traces.default_mappings import DEFAULT_MAPPINGS
from marlstep.traces.replay.machine_info import MachineInfo
from marlstep.traces.settings_digest import settings_digest
from tests.cli.trace_sections import COMPLETE, errors_of_unknown_keys, errors_of_wrong_values
from tests.golden.everything import deterministic_tokens
from tests.golden.shown import PLATFORM, AdminHarness, FakeHttpConnection, command_lines

ROOT = Path(__file__).parent.parent.parent
TRACE = str(ROOT / "examples" / "traces" / "google-2011.csv")
GOLDEN = ROOT / "tests" / "golden" / "data" / "cli"
HELP_WIDTH = 100  # characters
DESCRIBE_MACHINE = "marlstep.traces.replay.machine_info.describe_this_machine"
RECORDED_MACHINE = MachineInfo(cores=10, python="3.11.7")  # stated in the golden reports of replays


def read_golden(name: str) -> Any:
    return json.loads((GOLDEN / name).read_text("utf-8"))


def help_texts() -> dict[str, str]:
    """Return the help text of every command by its command path."""
    texts = {}
    for context in _walk_commands(_root_context()):
        texts[context.command_path] = context.get_help()
    return texts


def _root_context() -> click.Context:
    """Create the root context with the program's names of the help option; click keeps the first ones that it sees."""
    return click.Context(marlstep, info_name="marlstep", **marlstep.context_settings, **_width())


def _walk_commands(context: click.Context) -> Iterator[click.Context]:
    yield context
    command = context.command
    if isinstance(command, click.Group):
        for name in command.list_commands(context):
            inner = command.get_command(context, name)
            assert inner is not None
            yield from _walk_commands(click.Context(inner, parent=context, info_name=name, **_width()))


def _width() -> dict[str, Any]:
    return {"terminal_width": HELP_WIDTH, "max_content_width": HELP_WIDTH}


def parameters() -> dict[str, list[dict[str, Any]]]:
    """Return the names, types and defaults of the options and arguments of every command, in order."""
    return {
        context.command_path: [
            _describe_parameter(parameter) for parameter in context.command.get_params(context)
        ]
        for context in _walk_commands(_root_context())
    }


def _describe_parameter(parameter: click.Parameter) -> dict[str, Any]:
    info = parameter.to_info_dict()
    keys = (
        "param_type_name",
        "opts",
        "secondary_opts",
        "required",
        "nargs",
        "multiple",
        "default",
        "is_flag",
    )
    return {"type": parameter.type.name, **{key: _to_json_value(info[key]) for key in keys if key in info}}


def _to_json_value(value: object) -> Any:
    return value if isinstance(value, str | int | float | bool | list | None) else str(value)


def run_cli(words: list[str]) -> dict[str, Any]:
    """Run one command line, and return its exit code and its output on each stream."""
    out, err = io.StringIO(), io.StringIO()
    streams = contextlib.redirect_stdout(out), contextlib.redirect_stderr(err)
    with patch.dict("os.environ", COLUMNS=str(HELP_WIDTH)), streams[0], streams[1]:
        code = call(words)
    return {"code": code, "out": out.getvalue(), "err": _remove_log_lines(err.getvalue())}


def _remove_log_lines(text: str) -> str:
    """Remove log lines: they begin with the time, and their texts are not part of the output of commands."""
    return "".join(line for line in text.splitlines(keepends=True) if not line.startswith("timestamp="))


def node_reports(folder: Path) -> dict[str, Any]:
    """Return the text output of the commands of `fleet` and `rules`, run against a node without sockets."""

    async def run_all() -> dict[str, Any]:
        with deterministic_tokens(), patch("http.client.HTTPConnection", FakeHttpConnection):
            FakeHttpConnection.harness = harness = AdminHarness(folder)
            harness.run_scenario()
            client_options = ["--admin", "127.0.0.1:1", "--token-file", str(folder / "token")]
            return {" ".join(words): run_cli([*words, *client_options]) for words in command_lines(folder)}

    return _replace_paths(folder, asyncio.run(run_all()))


def _replace_paths(folder: Path, reports: dict[str, Any]) -> dict[str, Any]:
    """Replace paths, which differ between runs and machines, by placeholders."""
    text = json.dumps(reports).replace(str(folder), "FOLDER").replace(str(ROOT), "ROOT")
    replaced: dict[str, Any] = json.loads(text)
    return replaced


def config_reports(folder: Path) -> dict[str, Any]:
    """Return the text output of `config check`."""
    invalid_file = folder / "wrong.toml"
    invalid_file.write_text("colour = 1\n")
    missing_file_options = ["--operator", str(folder / "none.toml")]
    return _replace_paths(
        folder,
        {
            "good": run_cli(["config", "check", *PLATFORM]),
            "wrong": run_cli(["config", "check", *PLATFORM, "--operator", str(invalid_file)]),
            "missing": run_cli(["config", "check", *PLATFORM, *missing_file_options]),
        },
    )


def wrong_calls(folder: Path) -> dict[str, Any]:
    """Return the exit code and message of invalid command lines."""
    (folder / "x.json").write_text("{}")
    (folder / "bad.json").write_text("{")
    (folder / "bad.toml").write_text("= 1")
    path, token_file = str(folder / "x.json"), str(folder / "x.json")
    client_options = ["--admin", "127.0.0.1:9", "--token-file", token_file]
    calls: tuple[list[str], ...] = (
        [],
        ["nothing"],
        ["fleet", "status"],
        ["fleet", "status", "--operator", str(folder / "none.toml")],
        ["fleet", "status", "--operator", str(folder / "bad.toml")],
        ["fleet", "status", "--admin", "127.0.0.1:x", "--token-file", token_file],
        ["fleet", "status", "--admin", "127.0.0.1:9", "--token-file", str(folder / "none")],
        ["fleet", "init", *PLATFORM, "--operator", str(folder / "bad.toml")],
        ["fleet", "recover", *PLATFORM, "--operator", path, "--epoch", "2"],
        ["rules", "put", "d", path, *client_options],
        ["rules", "put", "d", str(folder / "bad.json"), "--expect", "1", *client_options],
        ["rules", "fix", "d", path, *client_options],
        ["rules", "stage", "d", path, "--expect", "1", *client_options],
        ["rules", "stage", "d", path, "--expect", "1", "--for", "3x", "--node", "n", *client_options],
        ["drill", "rules", "--voters", "5", "--nodes", "3"],
        ["drill", "leases", "--for", "1s"],
        ["drill", "leases", "--broken", "vote-not-synced"],
        ["drill", "leases", "--plan", path],
        ["trace", "inspect", TRACE],
        ["trace", "inspect", "--format", "google-2011", str(folder / "none")],
        ["trace", "compile", "--format", "google-2011", "--out", str(folder / "a"), "-"],
        ["trace", "compile", "--format", "google-2011", "--out", str(folder / "a"), "--busiest", "9s",
         "--from", "1s", TRACE],
        ["trace", "tenants", "--format", "google-2011", "--as", "x", TRACE],
        ["trace", "replay", path],
        ["trace", "report", path, path],
    )  # fmt: skip
    return _replace_paths(folder, {" ".join(words): run_cli(list(words)) for words in calls})


def trace_reports(folder: Path) -> dict[str, Any]:
    """Return the text and JSON output of the commands of `trace`, and the digests of the files that they write."""
    # In the folder paths are short: the table of `report` shows only the end of long ones.
    with contextlib.chdir(folder), patch(DESCRIBE_MACHINE, return_value=RECORDED_MACHINE):
        return _trace_reports(folder)


def _trace_reports(folder: Path) -> dict[str, Any]:
    schedule, first, rejects = Path("a.sched"), Path("a.json"), Path("rejects.csv")
    format_options = ["--format", "google-2011"]
    quiet_options = ["--log-level", "error"]
    compile_command = [*quiet_options, "trace", "compile", *format_options, "--out", str(schedule)]
    replay_command = ["trace", "replay", "--virtual", "--config", PLATFORM[1], "--for", "4s", "--speed", "5"]
    reports = {
        "inspect": run_cli(
            [*quiet_options, "trace", "inspect", *format_options, "--rejects", str(rejects), TRACE]
        ),
        "inspect, as JSON": run_cli([*quiet_options, "trace", "inspect", *format_options, "--json", TRACE]),
        "tenants": run_cli(
            [*quiet_options, "trace", "tenants", *format_options, "--as", "0=temp-history", TRACE]
        ),
        "compile": run_cli([*compile_command, TRACE]),
        "compile, cut": run_cli(
            [*compile_command, "--from", "60s", "--for", "15s", "--rate", "4", "--json", TRACE]
        ),
        "compile, loaded": run_cli(
            [*compile_command, "--busiest", "10s", "--peaks", "2", "--load", "1.2", "--json", TRACE]
        ),
        "replay": run_cli([*replay_command, "--out", str(first), str(schedule)]),
        "replay, as JSON": run_cli([*replay_command, "--retries", "polite", "--json", str(schedule)]),
        "report": run_cli(["trace", "report", str(first), str(first)]),
        "report, as JSON": run_cli(["trace", "report", str(first), str(first), "--json"]),
    }
    digests = {path.name: _digest(path) for path in (schedule, first, rejects)}
    return {**_replace_paths(folder, reports), "digests": digests}


def _digest(path: Path) -> str:
    text = path.read_bytes().replace(str(ROOT).encode(), b"ROOT")
    return hashlib.sha256(text).hexdigest()


def trace_settings() -> dict[str, Any]:
    """Return the errors of invalid `[trace]` sections, and the digests of settings that schedules store."""
    settings = {**DEFAULT_MAPPINGS, "complete": read_trace(COMPLETE, "generic").mapping}
    return {
        "digests": {name: settings_digest(value) for name, value in settings.items()},
        "unknown": errors_of_unknown_keys(),
        "wrong": errors_of_wrong_values(),
    }


def record() -> None:
    """Write the golden files from the current program. No test calls this."""
    GOLDEN.mkdir(parents=True, exist_ok=True)
    golden: dict[str, Any] = {"help.json": help_texts(), "parameters.json": parameters()}
    golden["trace_settings.json"] = trace_settings()
    for name, create_report in REPORTS.items():
        with tempfile.TemporaryDirectory() as folder:
            golden[f"{name}.json"] = create_report(Path(folder))
    for name, value in golden.items():
        (GOLDEN / name).write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n", "utf-8")


REPORTS = {
    "node_reports": node_reports,
    "config_reports": config_reports,
    "wrong_calls": wrong_calls,
    "trace_reports": trace_reports,
}

if __name__ == "__main__":
    record()
