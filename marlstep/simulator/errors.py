"""Errors of the simulator's wire; all of them are the sender's fault."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class WireError(MarlstepError):
    """The input is malformed; the text is one line that names the line of input.

    Attributes:
        line: of the input, counted from 1; None for its end.
        problem: the fault.
    """

    def __init__(self, line: int | None, problem: str) -> None:
        """Name the line of the input and the fault."""
        super().__init__(problem if line is None else f"line {line}: {problem}")
        self.line = line
        self.problem = problem


class InvalidMessageError(MarlstepError):
    """A message has a field of the wrong type, lacks one, or has an unknown word in it."""


class MissingFieldError(InvalidMessageError):
    """A field of a message is missing, or has an unknown word.

    Attributes:
        field: the key that was looked for, or the word that is not known.
    """

    def __init__(self, field: str) -> None:
        """Name the key that was looked for, or the word that is not known."""
        super().__init__(f"missing or unknown {field!r}")
        self.field = field


class FieldTypeError(InvalidMessageError):
    """A field of a message has a value of the wrong type.

    Attributes:
        field: the key of the field.
        expected: what its value should be.
    """

    def __init__(self, field: str, expected: str) -> None:
        """Name the field, and say what was expected."""
        super().__init__(f"{field} must be {expected}")
        self.field = field
        self.expected = expected


class UnknownEventError(InvalidMessageError):
    """A message reports an event that the wire does not have.

    Attributes:
        event: its name.
    """

    def __init__(self, event: str) -> None:
        """Keep the name out of the text, which follows the name in the report of the input line."""
        super().__init__("unknown event")
        self.event = event


class UnknownInstanceError(InvalidMessageError):
    """A message is for an instance that was never created, or went down.

    Attributes:
        instance: its number.
    """

    def __init__(self, instance: int) -> None:
        """Name the instance by its number."""
        super().__init__(f"unknown instance {instance}")
        self.instance = instance
