"""One kind of traffic between processes: how its messages are written, framed and read, and its golden file."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marlstep.net.codec import Codec
from marlstep.net.framing import Framing
from marlstep.net.ring import Ring

DATA = Path(__file__).parent / "data"
RING_SIZE = 128 * 1024
KEY = bytes(range(32))  # the fleet key that authenticates every golden frame


@dataclass(slots=True, frozen=True)
class Sample:
    """A message to write, and the result of reading it if that differs from the message."""

    written: object
    read: object = None

    @property
    def expected(self) -> object:
        return self.written if self.read is None else self.read


@dataclass(slots=True, frozen=True)
class Golden:
    """One stored message. `head` is the part of the frame before the body, in hexadecimal."""

    head: str
    body: str
    required: list[str]  # keys without which the message is refused
    optional: list[str]  # keys that have a default when missing

    @property
    def frame(self) -> bytes:
        return bytes.fromhex(self.head) + self.body.encode()


@dataclass(slots=True, frozen=True)
class Conversation:
    """The format of one conversation, with its samples and golden file.

    `message_path` leads from the JSON of a body to the pair of the message's tag and fields.
    """

    file: str
    samples: Mapping[str, Sample]  # by "Tag/form"
    framing: Framing
    write: Callable[[Any], bytes]
    write_frame: Callable[[Any], bytes]
    read: Callable[[bytes], object]
    message_path: tuple[int, ...]

    @property
    def path(self) -> Path:
        return DATA / self.file

    def message_in(self, document: Any) -> Any:
        """Return the pair of tag and fields within the JSON of a body."""
        for step in self.message_path:
            document = document[step]
        return document

    def load(self) -> dict[str, Golden]:
        return {name: Golden(**row) for name, row in json.loads(self.path.read_text("utf-8")).items()}

    def read_frame(self, frame: bytes) -> object:
        """Return the message of a frame that holds exactly one."""
        ring = Ring(RING_SIZE)
        ring.put(frame)
        body = self.framing.read(ring)
        assert body is not None and ring.used == 0
        return self.read(body)


def classes_of(codec: Codec[Any]) -> set[type]:
    return set(codec.message_classes.values())


def tags_of(codec: Codec[Any]) -> set[str]:
    return set(codec.message_classes)
