"""Encodes typed messages as JSON, with wire names that are declared apart from the Python names.

A message is written as `[tag, {key: value, ...}]`. The tag is the class's `wire_tag`. The field's metadata declares its
key and how its value is validated and written:

    @dataclass(slots=True, frozen=True)
    class TimeoutNow:
        wire_tag: ClassVar[str] = "ElectNow"

        term: int = field(metadata=wire("term", INTEGER))

Classes and fields can therefore be renamed without a change on the wire. Parts of messages and of snapshots are written
the same way, without a tag (`write_fields`, `read_fields`).

For invalid values the functions here raise ValueError and TypeError themselves, not subclasses of them: state machines
read commands with these functions, and the `repr` of the error is part of a command's replicated result. Only `Codec`
converts the errors to MalformedMessageError.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, fields
from types import MappingProxyType
from typing import Any, ClassVar, Generic, Protocol, TypeVar, cast

import orjson

from marlstep.errors import MarlstepError
from marlstep.net.framing import CorruptError

METADATA_KEY = "wire"

Reader = Callable[[object], object]
Part = TypeVar("Part")
MessageT = TypeVar("MessageT")


class MalformedMessageError(CorruptError):
    """A message cannot be read: it is not JSON, has an unknown tag, or a field is missing, unknown or invalid."""

    def __init__(self, part: str, problem: object) -> None:
        """`part` names what cannot be read; `problem` is a text, or the error that was raised on reading it."""
        super().__init__(f"malformed {part}: {problem if isinstance(problem, str) else repr(problem)}")


class MissingWireNameError(MarlstepError, TypeError):
    """A message class is declared with a field that has no wire name."""

    def __init__(self, message_class: type, field_name: str) -> None:
        """`field_name` is the Python name of the field of `message_class`."""
        super().__init__(f"{message_class.__name__}.{field_name} has no wire name")


class DuplicateTagError(MarlstepError, TypeError):
    """Two message classes of one codec are declared with the same wire tag."""

    def __init__(self, tag: str) -> None:
        """`tag` is the wire tag of both classes."""
        super().__init__(f"two message classes have the wire tag {tag!r}")


class Message(Protocol):
    """A dataclass whose fields all have `wire` metadata."""

    wire_tag: ClassVar[str]
    __dataclass_fields__: ClassVar[dict[str, Any]]


def unchanged(value: object) -> object:
    """Return the value itself; the writer for types that JSON can represent."""
    return value


@dataclass(slots=True, frozen=True)
class ValueType:
    """How the values of a field are converted from and to JSON.

    `read` raises ValueError, KeyError, TypeError or AttributeError for a value that is not of this type.
    """

    read: Reader
    write: Callable[[Any], object] = unchanged


@dataclass(slots=True, frozen=True)
class WireField:
    """The key of a field on the wire, and the type of its values."""

    key: str
    value_type: ValueType


def wire(key: str, value_type: ValueType) -> Mapping[str, WireField]:
    """Return the `metadata` for a dataclass field that is written under `key`."""
    return {METADATA_KEY: WireField(key, value_type)}


def _mismatch(expected: str, value: object) -> str:
    return f"expected {expected}, got {type(value).__name__}"


def _instance_reader(expected: str, *types: type) -> Reader:
    def read(value: object) -> object:
        is_unexpected_bool = isinstance(value, bool) and bool not in types
        if is_unexpected_bool or not isinstance(value, types):
            raise ValueError(_mismatch(expected, value))
        return value

    return read


INTEGER = ValueType(_instance_reader("an integer", int))
BOOLEAN = ValueType(_instance_reader("a boolean", bool))
NUMBER = ValueType(_instance_reader("a number", int, float))
TEXT = ValueType(_instance_reader("a string", str))
OPTIONAL_TEXT = ValueType(_instance_reader("a string or null", str, type(None)))
OBJECT = ValueType(_instance_reader("an object", dict), dict)


def list_of(item_type: ValueType) -> ValueType:
    """Return the type of lists whose items are all of `item_type`."""

    def read(value: object) -> list[object]:
        if not isinstance(value, list):
            raise TypeError(_mismatch("a list", value))
        return [item_type.read(item) for item in value]

    return ValueType(read, lambda items: [item_type.write(item) for item in items])


def optional(value_type: ValueType) -> ValueType:
    """Return the type whose values are null or of `value_type`."""
    return ValueType(
        lambda value: None if value is None else value_type.read(value),
        lambda value: None if value is None else value_type.write(value),
    )


def member_of(enum_class: type[enum.Enum]) -> ValueType:
    """Return the type of an enumeration's members, written as their values."""
    return ValueType(enum_class, lambda member: member.value)


def nested(part_class: type) -> ValueType:
    """Return the type of a dataclass with `wire` metadata, written as an object with wire keys."""
    return ValueType(lambda value: read_fields(part_class, value), write_fields)


_wire_fields: dict[type, dict[str, WireField]] = {}  # cache: class to its wire fields by Python name


def wire_fields(message_class: type) -> dict[str, WireField]:
    """Return the wire field of each field by its Python name. Raises MissingWireNameError if a field has none."""
    by_name = _wire_fields.get(message_class)
    if by_name is None:
        by_name = {}
        for dataclass_field in fields(message_class):
            wire_field = dataclass_field.metadata.get(METADATA_KEY)
            if not isinstance(wire_field, WireField):
                raise MissingWireNameError(message_class, dataclass_field.name)
            by_name[dataclass_field.name] = wire_field
        _wire_fields[message_class] = by_name
    return by_name


def write_fields(message: object) -> dict[str, object]:
    """Return the fields of a message, or of a part of a message, as JSON values by wire key."""
    return {
        wire_field.key: wire_field.value_type.write(getattr(message, name))
        for name, wire_field in wire_fields(type(message)).items()
    }


def read_fields(part_class: type[Part], values: object) -> Part:
    """Create a message, or a part of a message, from JSON values by wire key; the inverse of `write_fields`.

    A field whose key is missing gets its default. Raises ValueError, KeyError, TypeError or AttributeError for an
    invalid value, an unknown key, or a missing key whose field has no default.
    """
    keyed_values = cast(Mapping[str, object], values)  # otherwise the code below raises
    known_keys = {wire_field.key for wire_field in wire_fields(part_class).values()}
    if unknown := dict(keyed_values).keys() - known_keys:
        message = f"{part_class.__name__} has no {sorted(unknown)}"
        raise ValueError(message)
    return _build(part_class, keyed_values)


def _build(part_class: type[Part], values: Mapping[str, object]) -> Part:
    # The constructor raises TypeError for a missing field without a default.
    arguments = {
        name: _read_value(part_class, wire_field, values[wire_field.key])
        for name, wire_field in wire_fields(part_class).items()
        if wire_field.key in values
    }
    return part_class(**arguments)


class Codec(Generic[MessageT]):
    """Reads and writes a fixed set of message classes, and validates every value that is read."""

    def __init__(self, message_classes: Iterable[type[MessageT]], ignore_unknown_keys: bool = False) -> None:
        """Initialize the codec.

        Args:
            message_classes: the classes, each with a `wire_tag` of its own.
            ignore_unknown_keys: ignore unknown fields, which a newer version of the program may send.

        Raises:
            DuplicateTagError: two classes have the same tag.
            MissingWireNameError: a field has no wire name.
        """
        self._ignore_unknown_keys = ignore_unknown_keys
        self._classes: dict[str, type[MessageT]] = {}
        for message_class in message_classes:
            tag = cast(type[Message], message_class).wire_tag
            if tag in self._classes:
                raise DuplicateTagError(tag)
            self._classes[tag] = message_class
            wire_fields(message_class)  # raises at import instead of at the first message

    @property
    def message_classes(self) -> Mapping[str, type[MessageT]]:
        """The message classes of this codec by wire tag."""
        return MappingProxyType(self._classes)

    def dump(self, message: MessageT) -> list[object]:
        """Return a message as JSON values: its tag and an object with its fields."""
        return [cast(Message, message).wire_tag, write_fields(message)]

    def write(self, message: MessageT) -> bytes:
        """Return a message as JSON text."""
        return orjson.dumps(self.dump(message))

    def read(self, body: bytes) -> MessageT:
        """Parse a message from JSON text. Raises MalformedMessageError if it is malformed."""
        try:
            dumped = orjson.loads(body)
        except ValueError as fault:
            raise MalformedMessageError("message", fault) from fault
        return self.load(dumped)

    def load(self, dumped: object) -> MessageT:
        """Parse a message from JSON values. Raises MalformedMessageError if it is malformed."""
        try:
            # Values of any other structure raise one of the errors that are caught below.
            tag, values = cast(tuple[str, Mapping[str, object]], dumped)
            message_class = self._classes[tag]
            if self._ignore_unknown_keys:
                return _build(message_class, values)
            return read_fields(message_class, values)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            raise MalformedMessageError("message", fault) from fault


def _read_value(message_class: type, wire_field: WireField, value: object) -> object:
    try:
        return wire_field.value_type.read(value)
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        message = f"{message_class.__name__}.{wire_field.key}: {fault!r}"
        raise ValueError(message) from fault
