"""Errors of operators' orders and of datagrams. The texts of the former are part of the administration API."""

from __future__ import annotations

from collections.abc import Iterable

from marlstep.errors import MarlstepError
from marlstep.net.framing import CorruptError


class OrderError(MarlstepError, ValueError):
    """An order that can't be carried out and has changed nothing."""


class UnknownOrderError(OrderError):
    """An order whose name is unknown."""

    def __init__(self, name: str) -> None:
        """Create the error for `name`, the last part of the order's path."""
        super().__init__(f"there is nothing like {name[:32]}")


class TooManyOrdersError(OrderError):
    """Too many commands are pending; the order may be repeated later."""

    def __init__(self) -> None:
        """Create the error. The group client limits the number of pending commands."""
        super().__init__("too much is asked for already")


class UnknownDocumentError(OrderError):
    """A document that is not defined in the cluster's configuration."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        """Create the error for `name`; `known` holds the names of all defined documents."""
        super().__init__(f"no document {name[:64]!r}: {', '.join(known)}")


class RejectedContentError(OrderError):
    """A document whose content this node can't act on."""

    def __init__(self, reason: str) -> None:
        """Create the error; `reason` is the result of checking the content."""
        super().__init__(reason)


class OversizedDatagramError(CorruptError):
    """A datagram that is larger than any that this program sends."""

    def __init__(self, size: int) -> None:
        """Create the error for a datagram of `size` bytes."""
        super().__init__(f"datagram too large: {size} bytes")


class TruncatedDatagramError(CorruptError):
    """A datagram that ends before its frame is complete."""

    def __init__(self) -> None:
        """Create the error. The number of missing bytes is unknown."""
        super().__init__("datagram truncated: expected a complete frame")
