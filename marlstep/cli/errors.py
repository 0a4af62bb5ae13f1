"""Errors that end a command. Click prints the message, for an `OptionError` after the usage."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

import click

from marlstep.cli import exit_codes


class OptionError(click.UsageError):
    """Options conflict, a required one is missing, or the value of one is unusable."""

    @classmethod
    def unmet(cls, option: str, requirement: str) -> OptionError:
        """Create the error for an option that fails a requirement: `--voters can't be more than --nodes`."""
        return cls(f"{option} {requirement}")

    @classmethod
    def from_problem(cls, option: str, problem: object) -> OptionError:
        """Create the error for a problem with an option or file: `--operator: n1.toml: no such file`."""
        return cls(f"{option}: {problem}")


class CommandError(click.ClickException):
    """The command line was valid, but the command failed."""

    exit_code = exit_codes.UNUSABLE


class NodeRequestError(CommandError):
    """A node could not be reached, or answered a request with an error.

    Attributes:
        address: the node's administration listener.
        status: HTTP status of the answer; None if there was no answer.
        may_have_been_received: whether the connection was lost after the request may have been received.
    """

    def __init__(
        self,
        address: str,
        problem: object,
        *,
        status: int | None = None,
        may_have_been_received: bool = False,
    ) -> None:
        """Initialize the error.

        Args:
            address: the node's administration listener.
            problem: what went wrong; its text follows the address in the message.
            status: HTTP status of the answer; None if there was no answer.
            may_have_been_received: whether the connection was lost after the request may have been received.
        """
        super().__init__(f"{address}: {problem}")
        self.address, self.status = address, status
        self.may_have_been_received = may_have_been_received


class MissingEndpointError(NodeRequestError):
    """The node does not serve a path, since its operator file does not enable that feature.

    Attributes:
        path: the path that the node does not serve.
    """

    def __init__(self, address: str, path: str) -> None:
        """Initialize the error.

        Args:
            address: the node's administration listener.
            path: the path that the node does not serve.
        """
        problem = f"no {path}: the operator's file of that node does not turn it on"
        super().__init__(address, problem, status=HTTPStatus.NOT_FOUND)
        self.path = path


class OrderUnknownError(CommandError):
    """An order was sent, and whether it had an effect is not known."""

    exit_code = exit_codes.OUTCOME_UNKNOWN

    def __init__(self, reason: str) -> None:
        """Initialize the error; `reason` says why the outcome is not known."""
        super().__init__(f"the outcome is unknown: {reason}")


class OrderTimeoutError(CommandError):
    """The group did not report the outcome of an order before the timeout; the order may still take effect.

    Attributes:
        timeout_s: how long the command waited, in seconds.
    """

    exit_code = exit_codes.OUTCOME_UNKNOWN

    def __init__(self, timeout_s: float) -> None:
        """Initialize the error.

        Args:
            timeout_s: how long the command waited, in seconds.
        """
        super().__init__(
            f"the group did not answer in {timeout_s:.0f} s: nothing is known of what became of it"
        )
        self.timeout_s = timeout_s


class OrderRejectedError(CommandError):
    """The group rejected an order."""


class NoVersionError(CommandError):
    """A document has no version yet.

    Attributes:
        document: name of the document.
    """

    def __init__(self, document: str) -> None:
        """Initialize the error with the name of the document."""
        super().__init__(f"{document} has no version yet")
        self.document = document


class VersionNotFoundError(CommandError):
    """The node does not keep the requested version of a document.

    Attributes:
        number: the requested version.
        kept: the versions that the node keeps.
    """

    def __init__(self, number: int, kept: Sequence[int]) -> None:
        """Initialize the error.

        Args:
            number: the requested version.
            kept: the versions that the node keeps.
        """
        super().__init__(f"version {number} is not kept: {', '.join(map(str, kept))}")
        self.number = number
        self.kept = kept


class ChangeTimeoutError(CommandError):
    """A change was neither in force nor rejected before the timeout; it continues after the command has ended.

    Attributes:
        document: name of the document.
        version: the version that is being prepared.
        timeout_s: how long the command waited, in seconds.
    """

    def __init__(self, document: str, version: int, timeout_s: float) -> None:
        """Initialize the error.

        Args:
            document: name of the document.
            version: the version that is being prepared.
            timeout_s: how long the command waited, in seconds.
        """
        super().__init__(
            f"version {version} is still on its way after {timeout_s:g} s: see `rules log {document}`"
        )
        self.document = document
        self.version = version
        self.timeout_s = timeout_s


class ChangeBlockedError(CommandError):
    """A change can't be committed yet, since processes have not acknowledged it.

    Attributes:
        waits_for: the processes whose acknowledgement is missing.
    """

    def __init__(self, waits_for: Sequence[str]) -> None:
        """Initialize the error with the processes whose acknowledgement is missing."""
        super().__init__(f"it waits for {', '.join(waits_for)}: try again")
        self.waits_for = waits_for
