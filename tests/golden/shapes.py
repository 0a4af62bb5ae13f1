"""The shape of a JSON value: which keys there are, nested, and of which type each value is.

Where a value is one word of a closed list, as a state or a role, the word itself is part of the shape.
"""

from __future__ import annotations

from typing import Any

CLOSED_LIST_KEYS = (
    "state",
    "situation",
    "role",
    "kind",
    "cut_off",
    "heard",
    "now",
    "before",
    "outcome",
)  # of closed lists
TYPE_NAMES = {str: "text", int: "integer", float: "number", bool: "truth", type(None): "null"}


def shape_of(value: Any, path: str = "") -> set[str]:
    """One line for each place, as `voter.voters[]: text`. Keys that are numbers stand as `#`."""
    match value:
        case dict():
            found = {f"{path}: object"}
            for key, inner in value.items():
                name = "#" if key.isdigit() else key
                found |= shape_of(inner, f"{path}.{name}" if path else name)
            return found
        case list():
            found = {f"{path}: list"}
            return found.union(*(shape_of(inner, f"{path}[]") for inner in value))
        case str() if (
            path.endswith("acts[][]") and value.isidentifier()
        ):  # a row without keys: its words are held
            return {f"{path}: text {value!r}"}
        case str() if path.rpartition(".")[2] in CLOSED_LIST_KEYS:
            return {f"{path}: text {value!r}"}
        case _:
            return {f"{path}: {TYPE_NAMES[type(value)]}"}


def shape_lines(value: Any) -> list[str]:
    return sorted(shape_of(value))


def empty_paths(lines: list[str]) -> list[str]:
    """Lists and objects of which nothing that they hold is known."""
    paths = [line.partition(": ") for line in lines]
    return [
        path for path, _, kind in paths
        if kind in ("list", "object") and not any(other.startswith((f"{path}[]", f"{path}.")) for other, _, _ in paths)
    ]  # fmt: skip
