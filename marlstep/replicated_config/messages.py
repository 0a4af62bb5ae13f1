"""The messages by which nodes fetch the contents of documents from the leader, chunk by chunk."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.net.codec import INTEGER, TEXT, wire


@dataclass(slots=True, frozen=True)
class FetchChunk:
    """A request of a node to the leader: the chunk of a version that begins at `offset` characters."""

    wire_tag: ClassVar[str] = "Fetch"

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))


@dataclass(slots=True, frozen=True)
class DocumentChunk:
    """A chunk of a version whose content has `size` characters; a size of -1 says that the version is not kept."""

    wire_tag: ClassVar[str] = "Piece"

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))
    size: int = field(metadata=wire("size", INTEGER))
    data: str = field(metadata=wire("data", TEXT))
