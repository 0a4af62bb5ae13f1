"""Comparison of two contents of a document: differences as text, and detection of pools that shrink too much."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import orjson

from marlstep.replicated_config.documents import canonical_json

MAX_SHOWN_CHARACTERS = 60  # of the JSON of a value in a line of differences


@dataclass(slots=True, frozen=True)
class PoolShrinkage:
    """A pool that a change would leave empty, or from which it would remove over half of the servers."""

    pool: str
    before: int  # number of servers before the change
    kept: int  # how many of those the change keeps
    emptied: bool  # whether no server at all would be left

    def describe(self) -> str:
        """Return a text for operators. It is part of replicated results, so it must stay the same in all versions."""
        if self.emptied:
            return f"pool {self.pool} would be empty"
        return f"pool {self.pool} would lose {self.before - self.kept} of {self.before} servers"


def find_unsafe_shrinkage(before: str, after: str) -> PoolShrinkage | None:
    """Return the first pool that shrinks too much for a change without force, or None.

    Args:
        before: JSON object of the active version: the servers of each pool.
        after: The same of the new version.
    """
    old, new = orjson.loads(before), orjson.loads(after)
    for pool, servers in old.items():
        kept = len(set(servers) & set(new.get(pool, ())))
        emptied = not new.get(pool)
        if emptied or kept * 2 < len(servers):
            return PoolShrinkage(pool, len(servers), kept, emptied)
    return None


def differences(before: object, after: object, path: str = "") -> Iterator[str]:
    """Yield a line for each value or list that differs; list items that have a `name` are matched by it.

    Args:
        before: Parsed JSON value.
        after: Parsed JSON value to compare it with.
        path: Path of both values in the document, as keys separated by dots.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            yield from differences(before.get(key), after.get(key), f"{path}.{key}".lstrip("."))
        return
    rows_before, rows_after = _rows_by_name(before), _rows_by_name(after)
    if rows_before is not None and rows_after is not None:
        yield from differences(rows_before, rows_after, path)
    elif before is None:
        yield f"{path} is new: {_abbreviate(after)}"
    elif after is None:
        yield f"{path} is gone, was {_abbreviate(before)}"
    elif before != after:
        yield _describe_change(before, after, path)


def _describe_change(before: object, after: object, path: str) -> str:
    if not isinstance(before, list) or not isinstance(after, list):
        return f"{path} {_abbreviate(before)} is now {_abbreviate(after)}"
    added = [item for item in after if item not in before]
    removed = [item for item in before if item not in after]
    return f"{path}: {len(added)} come ({_abbreviate(added)}), {len(removed)} go ({_abbreviate(removed)})"


def _rows_by_name(value: object) -> dict[str, object] | None:
    """Return the items of a non-empty list of named objects by their names; None for any other value."""
    if not isinstance(value, list) or not value:
        return None
    if not all(isinstance(row, dict) and "name" in row for row in value):
        return None
    return {row["name"]: row for row in value}


def _abbreviate(value: object) -> str:
    text = canonical_json(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."
