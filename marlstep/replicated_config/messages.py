"""The messages by which nodes fetch the contents of documents from the leader in chunks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from marlstep.net.codec import INTEGER, TEXT, wire


@dataclass(slots=True, frozen=True)
class FetchChunk:
    """A node's request to the leader for the chunk of a version that starts at `offset`, in characters."""

    wire_tag: ClassVar[str] = "Fetch"

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))


@dataclass(slots=True, frozen=True)
class DocumentChunk:
    """The leader's response: a chunk of a version whose whole content has `size` characters.

    A size of -1 means that the leader does not keep the version.
    """

    wire_tag: ClassVar[str] = "Piece"

    name: str = field(metadata=wire("name", TEXT))
    version: int = field(metadata=wire("version", INTEGER))
    offset: int = field(metadata=wire("offset", INTEGER))
    size: int = field(metadata=wire("size", INTEGER))
    data: str = field(metadata=wire("data", TEXT))
