"""What a user of the command line sees: help texts, and the reports that commands print."""

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
from marlstep.traces.settings_digest import settings_digest
from tests.cli.trace_sections import COMPLETE, errors_of_unknown_keys, errors_of_wrong_values
from tests.golden.everything import counted_names
from tests.golden.shown import PLATFORM, Connection, Shown, lines

ROOT = Path(__file__).parent.parent.parent
TRACE = str(ROOT / "examples" / "traces" / "google-2011.csv")
GOLDEN = ROOT / "tests" / "golden" / "data" / "cli"
HELP_WIDTH = 100  # characters


def read_golden(name: str) -> Any:
    return json.loads((GOLDEN / name).read_text("utf-8"))


def help_texts() -> dict[str, str]:
    """The help text of every command, by its words."""
    found = {}
    for context in _walk(_root_context()):
        found[context.command_path] = context.get_help()
    return found


def _root_context() -> click.Context:
    """Make the context of the program itself, with its names of the help option: click keeps the first that it sees."""
    return click.Context(marlstep, info_name="marlstep", **marlstep.context_settings, **_width())


def _walk(context: click.Context) -> Iterator[click.Context]:
    yield context
    command = context.command
    if isinstance(command, click.Group):
        for name in command.list_commands(context):
            inner = command.get_command(context, name)
            assert inner is not None
            yield from _walk(click.Context(inner, parent=context, info_name=name, **_width()))


def _width() -> dict[str, Any]:
    return {"terminal_width": HELP_WIDTH, "max_content_width": HELP_WIDTH}


def parameters() -> dict[str, list[dict[str, Any]]]:
    """Names, types and defaults of every command's options and arguments, in order."""
    return {
        context.command_path: [_described(parameter) for parameter in context.command.get_params(context)]
        for context in _walk(_root_context())
    }


def _described(parameter: click.Parameter) -> dict[str, Any]:
    described = parameter.to_info_dict()
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
    return {"type": parameter.type.name, **{key: _plain(described[key]) for key in keys if key in described}}


def _plain(value: object) -> Any:
    return value if isinstance(value, str | int | float | bool | list | None) else str(value)


def run(words: list[str]) -> dict[str, Any]:
    """Run one command line; return its exit code and what it wrote to each stream."""
    out, err = io.StringIO(), io.StringIO()
    streams = contextlib.redirect_stdout(out), contextlib.redirect_stderr(err)
    with patch.dict("os.environ", COLUMNS=str(HELP_WIDTH)), streams[0], streams[1]:
        code = call(words)
    return {"code": code, "out": out.getvalue(), "err": _without_log(err.getvalue())}


def _without_log(text: str) -> str:
    """Leave out log lines: they begin with the time, and their words are not the command line's."""
    return "".join(line for line in text.splitlines(keepends=True) if not line.startswith("timestamp="))


def node_reports(folder: Path) -> dict[str, Any]:
    """What the commands of `fleet` and `rules` print for a reader, asked of a node without sockets."""

    async def course() -> dict[str, Any]:
        with counted_names(), patch("http.client.HTTPConnection", Connection):
            Connection.shown = shown = Shown(folder)
            shown.live()
            where = ["--admin", "127.0.0.1:1", "--token-file", str(folder / "token")]
            return {" ".join(words): run([*words, *where]) for words in lines(folder)}

    return _without(folder, asyncio.run(course()))


def _without(folder: Path, reports: dict[str, Any]) -> dict[str, Any]:
    """Put words in the place of paths, which differ from run to run and from machine to machine."""
    text = json.dumps(reports).replace(str(folder), "FOLDER").replace(str(ROOT), "ROOT")
    found: dict[str, Any] = json.loads(text)
    return found


def config_reports(folder: Path) -> dict[str, Any]:
    """What `config check` prints for a reader."""
    wrong = folder / "wrong.toml"
    wrong.write_text("colour = 1\n")
    missing = ["--operator", str(folder / "none.toml")]
    return _without(
        folder,
        {
            "good": run(["config", "check", *PLATFORM]),
            "wrong": run(["config", "check", *PLATFORM, "--operator", str(wrong)]),
            "missing": run(["config", "check", *PLATFORM, *missing]),
        },
    )


def wrong_calls(folder: Path) -> dict[str, Any]:
    """Wrong calls, each with its exit code and its message."""
    (folder / "x.json").write_text("{}")
    (folder / "bad.json").write_text("{")
    (folder / "bad.toml").write_text("= 1")
    path, key = str(folder / "x.json"), str(folder / "x.json")
    where = ["--admin", "127.0.0.1:9", "--token-file", key]
    calls: tuple[list[str], ...] = (
        [],
        ["nothing"],
        ["fleet", "status"],
        ["fleet", "status", "--operator", str(folder / "none.toml")],
        ["fleet", "status", "--operator", str(folder / "bad.toml")],
        ["fleet", "status", "--admin", "127.0.0.1:x", "--token-file", key],
        ["fleet", "status", "--admin", "127.0.0.1:9", "--token-file", str(folder / "none")],
        ["fleet", "init", *PLATFORM, "--operator", str(folder / "bad.toml")],
        ["fleet", "recover", *PLATFORM, "--operator", path, "--epoch", "2"],
        ["rules", "put", "d", path, *where],
        ["rules", "put", "d", str(folder / "bad.json"), "--expect", "1", *where],
        ["rules", "fix", "d", path, *where],
        ["rules", "stage", "d", path, "--expect", "1", *where],
        ["rules", "stage", "d", path, "--expect", "1", "--for", "3x", "--node", "n", *where],
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
    return _without(folder, {" ".join(words): run(list(words)) for words in calls})


def trace_reports(folder: Path) -> dict[str, Any]:
    """What the commands of `trace` print, for a reader and as JSON, and the digests of what they write."""
    with contextlib.chdir(folder):  # a report shows the ends of long paths
        return _trace_reports(folder)


def _trace_reports(folder: Path) -> dict[str, Any]:
    schedule, first, rejects = Path("a.sched"), Path("a.json"), Path("rejects.csv")
    reading = ["--format", "google-2011"]
    quiet = ["--log-level", "error"]
    compiling = [*quiet, "trace", "compile", *reading, "--out", str(schedule)]
    replaying = ["trace", "replay", "--virtual", "--config", PLATFORM[1], "--for", "4s", "--speed", "5"]
    found = {
        "inspect": run([*quiet, "trace", "inspect", *reading, "--rejects", str(rejects), TRACE]),
        "inspect, as JSON": run([*quiet, "trace", "inspect", *reading, "--json", TRACE]),
        "tenants": run([*quiet, "trace", "tenants", *reading, "--as", "0=temp-history", TRACE]),
        "compile": run([*compiling, TRACE]),
        "compile, cut": run([*compiling, "--from", "60s", "--for", "15s", "--rate", "4", "--json", TRACE]),
        "compile, loaded": run(
            [*compiling, "--busiest", "10s", "--peaks", "2", "--load", "1.2", "--json", TRACE]
        ),
        "replay": run([*replaying, "--out", str(first), str(schedule)]),
        "replay, as JSON": run([*replaying, "--retries", "polite", "--json", str(schedule)]),
        "report": run(["trace", "report", str(first), str(first)]),
        "report, as JSON": run(["trace", "report", str(first), str(first), "--json"]),
    }
    digests = {path.name: _digest(path) for path in (schedule, first, rejects)}
    return {**_without(folder, found), "digests": digests}


def _digest(path: Path) -> str:
    text = path.read_bytes().replace(str(ROOT).encode(), b"ROOT")
    return hashlib.sha256(text).hexdigest()


def trace_settings() -> dict[str, Any]:
    """How `[trace]` is read: the errors of wrong sections, and the digests that schedules store of settings."""
    settings = {**DEFAULT_MAPPINGS, "complete": read_trace(COMPLETE, "generic").mapping}
    return {
        "digests": {name: settings_digest(value) for name, value in settings.items()},
        "unknown": errors_of_unknown_keys(),
        "wrong": errors_of_wrong_values(),
    }


def record() -> None:
    """Write the golden files anew, from the program as it stands. No test runs it."""
    GOLDEN.mkdir(parents=True, exist_ok=True)
    described: dict[str, Any] = {"help.json": help_texts(), "parameters.json": parameters()}
    described["trace_settings.json"] = trace_settings()
    for name, make in REPORTS.items():
        with tempfile.TemporaryDirectory() as folder:
            described[f"{name}.json"] = make(Path(folder))
    for name, value in described.items():
        (GOLDEN / name).write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n", "utf-8")


REPORTS = {
    "node_reports": node_reports,
    "config_reports": config_reports,
    "wrong_calls": wrong_calls,
    "trace_reports": trace_reports,
}

if __name__ == "__main__":
    record()
