"""Errors for input that does not follow the simulator's wire protocol."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class WireError(MarlstepError):
    """The input is malformed. The error text is a single line that names the input line.

    Attributes:
        line: number of the input line, counted from 1; None if the error is at the end of input.
        problem: description of the error.
    """

    def __init__(self, line: int | None, problem: str) -> None:
        """Initialize the error with the number of the input line, if any, and a description of the problem."""
        super().__init__(problem if line is None else f"line {line}: {problem}")
        self.line = line
        self.problem = problem


class InvalidMessageError(MarlstepError):
    """A message has a missing field, a field of the wrong type, or an unknown name in it."""


class MissingFieldError(InvalidMessageError):
    """A field of a message is missing, or its value is not a known name.

    Attributes:
        field: key of the missing field, or the unknown name.
    """

    def __init__(self, field: str) -> None:
        """Initialize the error with the key of the missing field, or the unknown name."""
        super().__init__(f"missing or unknown {field!r}")
        self.field = field


class FieldTypeError(InvalidMessageError):
    """A field of a message has a value of the wrong type.

    Attributes:
        field: key of the field.
        expected: expected type of the value, such as "a whole number".
    """

    def __init__(self, field: str, expected: str) -> None:
        """Initialize the error with the key of the field and the expected type of its value."""
        super().__init__(f"{field} must be {expected}")
        self.field = field
        self.expected = expected


class UnknownEventError(InvalidMessageError):
    """The name of a message is not an event of the protocol.

    Attributes:
        event: the unknown name.
    """

    def __init__(self, event: str) -> None:
        """Initialize the error with the unknown name.

        The error text does not contain the name, as the enclosing `WireError` has it already.
        """
        super().__init__("unknown event")
        self.event = event


class UnknownInstanceError(InvalidMessageError):
    """A message is for an instance that was never created or has gone down.

    Attributes:
        instance: `serverId` of the instance.
    """

    def __init__(self, instance: int) -> None:
        """Initialize the error with the `serverId` of the instance."""
        super().__init__(f"unknown instance {instance}")
        self.instance = instance
