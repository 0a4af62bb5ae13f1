"""The shape of a JSON value: its nested keys and the type of each value.

If a value is from a closed list, such as a state or a role, the value itself is part of the shape.
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
)  # keys whose values are from a closed list
TYPE_NAMES = {str: "text", int: "integer", float: "number", bool: "truth", type(None): "null"}


def shape_of(value: Any, path: str = "") -> set[str]:
    """Return a line per path, such as `voter.voters[]: text`. Numeric keys are replaced by `#`."""
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
        ):  # a row without keys, whose words are part of the shape
            return {f"{path}: text {value!r}"}
        case str() if path.rpartition(".")[2] in CLOSED_LIST_KEYS:
            return {f"{path}: text {value!r}"}
        case _:
            return {f"{path}: {TYPE_NAMES[type(value)]}"}


def shape_lines(value: Any) -> list[str]:
    return sorted(shape_of(value))


def empty_paths(lines: list[str]) -> list[str]:
    """Return the paths of lists and objects that are always empty, so that the shape of their content is unknown."""
    paths = [line.partition(": ") for line in lines]
    return [
        path for path, _, kind in paths
        if kind in ("list", "object") and not any(other.startswith((f"{path}[]", f"{path}.")) for other, _, _ in paths)
    ]  # fmt: skip
