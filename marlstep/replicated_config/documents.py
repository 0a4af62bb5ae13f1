"""What documents there are, what is kept of each version, and what a change of one would change."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson

from marlstep.net.codec import INTEGER, TEXT, wire

MAX_DOCUMENT_BYTES = 1 << 20  # of one document
CHUNK_CHARACTERS = 6 * 1024  # characters of a document in one command or message


class Kind(enum.StrEnum):
    SETTINGS = "settings"  # the platform's `settings`
    TENANTS = "tenants"  # the operator's tenants and worths
    SERVERS = "servers"  # of each pool


class DisconnectPolicy(enum.StrEnum):
    """What a node does whose lease on the rules has run out."""

    STOP = "stop"  # health is bad, and new work is refused at once with a time to return
    NARROW = "narrow"  # of tenants: the lesser of the allowances that it knows of
    KEEP = "keep"  # goes on, and says that it may contradict


@dataclass(slots=True, frozen=True)
class DocumentDefinition:
    """A document, as the operator's file names it. The same on all nodes."""

    name: str
    kind: Kind
    strict: bool  # old stops everywhere before new begins anywhere
    disconnect_policy: DisconnectPolicy


@dataclass(slots=True, frozen=True)
class DocumentVersion:
    number: int = field(metadata=wire("version", INTEGER))
    content: str = field(metadata=wire("content", TEXT))  # canonical JSON
    author: str = field(metadata=wire("author", TEXT))
    note: str = field(metadata=wire("note", TEXT))
    at: str = field(metadata=wire("at", TEXT))  # the proposer's wall clock; nothing is decided by it

    @property
    def digest(self) -> str:
        return content_digest(self.content)


def content_digest(content: str) -> str:
    return hashlib.blake2b(content.encode(), digest_size=16).hexdigest()


def canonical_json(value: object) -> str:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS).decode()


def shrinks_too_much(before: str, after: str) -> str:
    """Why a list of servers may not be changed so without force; empty where it may."""
    old, new = orjson.loads(before), orjson.loads(after)
    for pool, servers in old.items():
        left = len(set(servers) & set(new.get(pool, ())))
        if not new.get(pool):
            return f"pool {pool} would be empty"
        if left * 2 < len(servers):
            return f"pool {pool} would lose {len(servers) - left} of {len(servers)} servers"
    return ""


def differences(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """A line for each figure or list that is another; rows with a name are told apart by it."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            yield from differences(before.get(key), after.get(key), f"{path}.{key}".lstrip("."))
    elif _rows(before) and _rows(after):
        yield from differences(
            {one["name"]: one for one in before}, {one["name"]: one for one in after}, path
        )
    elif before is None:
        yield f"{path} is new: {_short(after)}"
    elif after is None:
        yield f"{path} is gone, was {_short(before)}"
    elif isinstance(before, list) and isinstance(after, list) and before != after:
        come = [one for one in after if one not in before]
        gone = [one for one in before if one not in after]
        yield f"{path}: {len(come)} come ({_short(come)}), {len(gone)} go ({_short(gone)})"
    elif before != after:
        yield f"{path} {_short(before)} is now {_short(after)}"


def _rows(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(one, dict) and "name" in one for one in value)
    )


def _short(value: Any) -> str:
    text = canonical_json(value)
    return text if len(text) <= 60 else text[:57] + "..."
