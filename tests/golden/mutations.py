"""Mutations of the JSON of a message that a reader must refuse."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

Path = tuple[int | str, ...]
FREE_FORM = "learnt"  # holds any object: only its own type is checked
NULLABLE: Path = (
    1,
    "result",
)  # `result` of a `Name` message between processes of a node, the only field that may be null


def replaced(document: Any, path: Path, value: object) -> Any:
    """Return a copy with another value at `path`."""
    if not path:
        return value
    result = copy.deepcopy(document)
    place = result
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return result


def wrong_values(value: object, may_be_null: bool) -> list[object]:
    """Return values of other types than that of `value`."""
    null: list[object] = [] if may_be_null else [None]
    match value:
        case bool():
            return [*null, 1, "true"]
        case int():
            return [*null, "7", True, 7.5]
        case float():
            return [*null, "0.5", True]
        case str():
            return [*null, 7, ["text"]]
    return [*null, 7]  # a list or an object


def wrong_types(document: Any, path: Path = ()) -> Iterator[tuple[Path, object]]:
    """Yield each path in the JSON with each value of a wrong type for it."""
    for value in wrong_values(document, may_be_null=path == NULLABLE):
        yield path, value
    if path and path[-1] == FREE_FORM:
        yield path, ["text"]
        return
    steps: list[Any] = []
    if isinstance(document, dict):
        steps = list(document)
    elif isinstance(document, list):
        steps = list(range(len(document)))
    for step in steps:
        yield from wrong_types(document[step], (*path, step))
