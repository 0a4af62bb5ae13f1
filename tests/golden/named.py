"""Names of the metrics on a metrics page, and names in the program's source that counters are made of."""

from __future__ import annotations

import ast
import re
from pathlib import Path

SAMPLE = re.compile(r"([a-zA-Z0-9_]+)(?:\{(.*)\})? \S+")
LABEL = re.compile(r'([a-z_]+)="')
PACKAGE = Path(__file__).parent.parent.parent / "marlstep"


def metric_names(page: str) -> list[str]:
    """Return the name, label names and type of each metric on a page in the Prometheus text format."""
    types, found = {}, set()
    for line in page.splitlines():
        if line.startswith("# TYPE "):
            _, _, name, metric_type = line.split(" ")
            types[name] = metric_type
        elif not line.startswith("#") and (match := SAMPLE.fullmatch(line)) is not None:
            name, labels = match.group(1), LABEL.findall(match.group(2) or "")
            found.add(f"{name}{{{','.join(labels)}}} {types[name]}")
    return sorted(found)


def counter_keys() -> set[str]:
    """Return the constant string keys of all counters that the source increments, as in `counts["read"] += 1`."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.AugAssign) and isinstance(node.target, ast.Subscript):
                key = node.target.slice
                if (
                    isinstance(node.op, ast.Add)
                    and isinstance(key, ast.Constant)
                    and isinstance(key.value, str)
                ):
                    found.add(key.value)
    return found


def counted_attributes() -> set[str]:
    """Return the names of all attributes that the source increments, as in `self.retries += 1`."""
    return {
        node.target.attr
        for path in PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text("utf-8")))
        if isinstance(node, ast.AugAssign)
        and isinstance(node.op, ast.Add)
        and isinstance(node.target, ast.Attribute)
    }


def string_constants() -> set[str]:
    """Return all string constants in the source."""
    found = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
    return found
