"""How the content of documents comes to nodes that have no log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.net.codec import INTEGER, TEXT, wire


@dataclass(slots=True, frozen=True)
class FetchChunk:
    """From a node to the leader: the next piece of that version."""

    wire_tag: ClassVar[str] = "Fetch"

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))


@dataclass(slots=True, frozen=True)
class DocumentChunk:
    """`size` characters are the whole; -1: that version is not kept."""

    wire_tag: ClassVar[str] = "Piece"

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))
    size: int = field(metadata=wire("size", INTEGER))
    data: str = field(metadata=wire("data", TEXT))
