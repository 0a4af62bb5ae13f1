"""Errors that end a command with exit code 2; click prints their message, and the usage for an `OptionError`."""

from __future__ import annotations

from collections.abc import Sequence

import click


class OptionError(click.UsageError):
    """The options of a call do not go together, or one of them names something unusable."""

    @classmethod
    def unmet(cls, option: str, requirement: str) -> OptionError:
        """Name the option and what it must be: `--voters can't be more than --nodes`."""
        return cls(f"{option} {requirement}")

    @classmethod
    def from_problem(cls, option: str, problem: object) -> OptionError:
        """Name the option or file and what is wrong with it: `--operator: n1.toml: no such file`."""
        return cls(f"{option}: {problem}")


class CommandError(click.ClickException):
    """The call was right, but the command could not do what it asked for."""


class NodeRequestError(CommandError):
    """A node could not be reached, or answered a request with an error.

    Attributes:
        address: the node's administration listener.
    """

    def __init__(self, address: str, problem: object) -> None:
        """Report the problem under the node's address."""
        super().__init__(f"{address}: {problem}")
        self.address = address


class MissingEndpointError(NodeRequestError):
    """The node's operator file does not turn on what was asked for.

    Attributes:
        path: the path that the node does not serve.
    """

    def __init__(self, address: str, path: str) -> None:
        """Name the path that the node does not serve."""
        super().__init__(address, f"no {path}: the operator's file of that node does not turn it on")
        self.path = path


class OrderTimeoutError(CommandError):
    """The group did not report the outcome of an order in time; the order may still take effect.

    Attributes:
        timeout_s: how long the command waited, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        """Say how long the command waited."""
        super().__init__(
            f"the group did not answer in {timeout_s:.0f} s: nothing is known of what became of it"
        )
        self.timeout_s = timeout_s


class OrderRejectedError(CommandError):
    """The group rejected an order."""


class NoVersionError(CommandError):
    """A document has no version yet.

    Attributes:
        document: its name.
    """

    def __init__(self, document: str) -> None:
        """Name the document."""
        super().__init__(f"{document} has no version yet")
        self.document = document


class VersionNotFoundError(CommandError):
    """A version of a document is not among those that the node keeps.

    Attributes:
        number: the version that was asked for.
        kept: the versions that are there.
    """

    def __init__(self, number: int, kept: Sequence[int]) -> None:
        """Name the version, and those that are there."""
        super().__init__(f"version {number} is not kept: {', '.join(map(str, kept))}")
        self.number = number
        self.kept = kept


class ChangeTimeoutError(CommandError):
    """A change is neither in force nor rejected yet; it goes on without the command.

    Attributes:
        document: name of the document.
        version: the version that is in preparation.
        timeout_s: how long the command waited, in seconds.
    """

    def __init__(self, document: str, version: int, timeout_s: float) -> None:
        """Say how long the command waited for which version."""
        super().__init__(
            f"version {version} is still on its way after {timeout_s:g} s: see `rules log {document}`"
        )
        self.document = document
        self.version = version
        self.timeout_s = timeout_s


class ChangeBlockedError(CommandError):
    """A change can't begin before others have come to their end.

    Attributes:
        waits_for: the nodes that it waits for.
    """

    def __init__(self, waits_for: Sequence[str]) -> None:
        """Name the nodes that the change waits for."""
        super().__init__(f"it waits for {', '.join(waits_for)}: try again")
        self.waits_for = waits_for
