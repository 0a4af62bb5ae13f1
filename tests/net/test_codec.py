"""The message codec: wire names, and errors in declarations and in messages."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import ClassVar

import pytest

from marlstep.net.codec import (
    BOOLEAN,
    INTEGER,
    TEXT,
    Codec,
    list_of,
    member_of,
    nested,
    optional,
    read_fields,
    wire,
    write_fields,
)
from marlstep.net.framing import CorruptError


class Colour(enum.Enum):
    RED = "r"


@dataclass(slots=True, frozen=True)
class Point:
    x: int = field(metadata=wire("a", INTEGER))
    label: str = field(metadata=wire("b", TEXT), default="")


@dataclass(slots=True, frozen=True)
class Drawing:
    wire_tag: ClassVar[str] = "Draw"

    points: list[Point] = field(metadata=wire("p", list_of(nested(Point))))
    colour: Colour = field(metadata=wire("c", member_of(Colour)))
    origin: Point | None = field(metadata=wire("o", optional(nested(Point))), default=None)
    filled: bool = field(metadata=wire("f", BOOLEAN), default=False)


DRAWING = Drawing([Point(1), Point(2, "two")], Colour.RED, Point(0, "zero"), True)
WRITTEN = b'["Draw",{"p":[{"a":1,"b":""},{"a":2,"b":"two"}],"c":"r","o":{"a":0,"b":"zero"},"f":true}]'


def test_tags_and_keys_follow_the_wire_names_not_the_python_names() -> None:
    codec = Codec((Drawing,))
    assert codec.write(DRAWING) == WRITTEN
    assert codec.read(WRITTEN) == DRAWING
    assert codec.message_classes == {"Draw": Drawing}


def test_a_field_without_a_wire_name_is_rejected_when_the_codec_is_created() -> None:
    @dataclass(slots=True, frozen=True)
    class Nameless:
        wire_tag: ClassVar[str] = "Nameless"

        number: int

    with pytest.raises(TypeError, match=r"Nameless\.number has no wire name"):
        Codec((Nameless,))
    with pytest.raises(TypeError, match=r"Nameless\.number has no wire name"):
        Codec((Nameless,))  # the failed first attempt left no incomplete cache entry


def test_a_tag_shared_by_two_classes_is_rejected_when_the_codec_is_created() -> None:
    @dataclass(slots=True, frozen=True)
    class Twin:
        wire_tag: ClassVar[str] = "Draw"

    with pytest.raises(TypeError, match="'Draw'"):
        Codec((Drawing, Twin))


def test_a_class_without_a_tag_is_rejected_when_the_codec_is_created() -> None:
    with pytest.raises(AttributeError, match="wire_tag"):
        Codec((Point,))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'["Draw"]',
        b'["Sketch",{"p":[],"c":"r"}]',
        b'["Draw",{"p":[]}]',
        b'["Draw",{"p":{},"c":"r"}]',
        b'["Draw",{"p":[],"c":"b"}]',
        b'["Draw",{"p":[{"a":true}],"c":"r"}]',
        b'["Draw",{"p":[{"a":1,"z":1}],"c":"r"}]',
        b'["Draw",{"p":[],"c":"r","f":1}]',
        b'["Draw",{"p":[],"c":"r","o":0}]',
    ],
)
@pytest.mark.parametrize("ignore_unknown_keys", [True, False])
def test_a_malformed_message_raises_a_corrupt_error(body: bytes, ignore_unknown_keys: bool) -> None:
    with pytest.raises(CorruptError):
        Codec((Drawing,), ignore_unknown_keys).read(body)


def test_unknown_keys_are_rejected_unless_the_codec_ignores_them() -> None:
    body = b'["Draw",{"p":[],"c":"r","new":1}]'
    assert Codec((Drawing,), ignore_unknown_keys=True).read(body) == Drawing([], Colour.RED)
    with pytest.raises(CorruptError, match="new"):
        Codec((Drawing,)).read(body)


def test_parts_are_written_and_read_without_a_tag() -> None:
    assert write_fields(Point(3, "three")) == {"a": 3, "b": "three"}
    assert read_fields(Point, {"a": 3}) == Point(3)
    with pytest.raises(TypeError):
        read_fields(Point, {"b": "no x"})
