"""Rewrites the golden files of stored data and outward JSON with the output of the current program.

Run as `python -m tests.golden.record_state`, only after a deliberate change of a format. No test runs it.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from tests.golden.commands import LIMITS, record_commands
from tests.golden.everything import operator_config
from tests.golden.files import FOLDER, read_golden, write_golden
from tests.golden.machines import machines, run_limit
from tests.golden.named import counter_keys, metric_names
from tests.golden.sections import config_error, read_section, with_key
from tests.golden.shapes import empty_paths, shape_lines
from tests.golden.shown import commands, every_counter, metrics, other_commands, pages
from tests.golden.stored import FILE, dump, read_store, write_store

SNAPSHOT_EVERY = 60  # commands


def record_log() -> None:
    with tempfile.TemporaryDirectory() as folder:
        rows, last = record_commands(Path(folder))
    write_golden("log_commands.json", [{"body": row.body, "result": row.result} for row in rows])
    snapshots = []
    fresh = machines()
    for number, row in enumerate(rows, 1):
        fresh.apply(row.body)
        if number % SNAPSHOT_EVERY == 0 or number == len(rows):
            snapshots.append({"after": number, "data": fresh.snapshot()})
    assert snapshots[-1]["data"] == last
    write_golden("snapshots.json", snapshots)


def record_limits() -> None:
    rows = {}
    for name, (before, pattern, times) in LIMITS.items():
        last, digest = run_limit(before, pattern, times)
        rows[name] = {"last": last, "snapshot": digest}
    write_golden("limits.json", rows)


def record_store() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_store(folder)
        write_golden("store.json", {"state": read_store(folder), "file": dump(folder / FILE)})
        (FOLDER / FILE).write_bytes((folder / FILE).read_bytes())


def record_shapes() -> None:
    rows = {}
    for name, make in (("pages", pages), ("commands", commands), ("other commands", other_commands)):
        with tempfile.TemporaryDirectory() as folder:
            rows[name] = {title: shape_lines(value) for title, value in make(Path(folder)).items()}
    write_golden("shapes.json", rows)
    empty = [f"{title} {path}" for title, lines in rows["pages"].items() for path in empty_paths(lines)]
    write_golden("empty.json", sorted(empty))


def record_metrics() -> None:
    """Rewrite `metrics.json`. `counters.json`, the keys of each counter that metrics are made of, is edited by hand."""
    found = {}
    for name, make in (("seen", metrics), ("every counter", every_counter)):
        with tempfile.TemporaryDirectory() as folder:
            found[name] = metric_names(make(Path(folder)))
    found["words"] = sorted(counter_keys())
    known = {key for keys in read_golden("counters.json").values() for key in keys}
    found["words of drills and traces"] = sorted(counter_keys() - known)
    write_golden("metrics.json", found)


def record_sections() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        operator = operator_config(folder)
        fleet = operator["fleet"]
        tables = {
            "fleet": fleet,
            "fleet.members": fleet["members"],
            "fleet.rules": fleet["rules"],
            "fleet.rules.documents.settings": fleet["rules"]["documents"]["settings"],
            "fleet.tasks.sweep": {**fleet["tasks"]["nightly"], **fleet["tasks"]["sweep"]},
        }
        keys = {path: sorted(table) for path, table in tables.items()}
        unknown = {path: config_error(with_key(operator, path, "colour", 1)) for path in keys}
        wrong = {
            f"{path}.{key}": config_error(with_key(operator, path, key, []))
            for path, names in keys.items()
            for key in names
        }
        sections = {
            "keys": keys,
            "complete": read_section(folder),
            "least": read_section(folder, minimal=True),
        }
        write_golden("sections.json", {**sections, "unknown": unknown, "wrong": wrong})


def main() -> None:
    record_log()
    record_limits()
    record_store()
    record_shapes()
    record_metrics()
    record_sections()


if __name__ == "__main__":
    main()
