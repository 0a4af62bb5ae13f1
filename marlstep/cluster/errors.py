"""Errors of operators' orders, whose texts are part of the administration API, and of datagrams."""

from __future__ import annotations

from collections.abc import Iterable

from marlstep.errors import MarlstepError
from marlstep.net.framing import CorruptError


class OrderError(MarlstepError, ValueError):
    """An order that can't be carried out as it stands; nothing was changed by it."""


class UnknownOrderError(OrderError):
    """An order of that name does not exist."""

    def __init__(self, name: str) -> None:
        """`name` is the last part of the order's path."""
        super().__init__(f"there is nothing like {name[:32]}")


class TooManyOrdersError(OrderError):
    """Too many commands wait for their results; the order may be repeated later."""

    def __init__(self) -> None:
        """The limit is that of the group client."""
        super().__init__("too much is asked for already")


class UnknownDocumentError(OrderError):
    """A document that the cluster's configuration does not define."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        """`known` are the names of the defined documents."""
        super().__init__(f"no document {name[:64]!r}: {', '.join(known)}")


class RejectedContentError(OrderError):
    """Content of a document that this node can't act on."""

    def __init__(self, reason: str) -> None:
        """`reason` is what the check of the content found."""
        super().__init__(reason)


class OversizedDatagramError(CorruptError):
    """A datagram that is larger than any this program sends."""

    def __init__(self, size: int) -> None:
        """`size` is in bytes."""
        super().__init__(f"a datagram of {size} bytes")


class TruncatedDatagramError(CorruptError):
    """A datagram that ends before its frame does."""

    def __init__(self) -> None:
        """What is missing is not known."""
        super().__init__("cut short")
