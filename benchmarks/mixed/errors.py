"""Errors of the mixed-version scenarios."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class CannotRunError(MarlstepError):
    """The scenarios can't be run. This is not a result about either version."""

    def __init__(self, version_label: str, reason: str) -> None:
        """Build the message.

        Args:
            version_label: The version that can't be run: `old` or `new`.
            reason: What is wrong with its checkout.
        """
        super().__init__(f"{version_label}: {reason}")


class CheckFailedError(MarlstepError):
    """A required step did not succeed, so the scenario can't continue."""


class WaitTimeoutError(CheckFailedError):
    """A condition did not become true in time."""

    def __init__(self, condition: str, timeout_s: float) -> None:
        """Build the message.

        Args:
            condition: The condition, as a statement.
            timeout_s: How long it was waited for, in seconds.
        """
        super().__init__(f"condition not met within {timeout_s:g} s: {condition}")


class StillRunningError(CheckFailedError):
    """A process did not exit in time."""

    def __init__(self, process: str, timeout_s: float) -> None:
        """Build the message.

        Args:
            process: The process or its command.
            timeout_s: How long its exit was waited for, in seconds.
        """
        super().__init__(f"{process} did not exit within {timeout_s:g} s")


class NoResultError(CheckFailedError):
    """A command had no result in time."""

    def __init__(self, node: str, command: str, timeout_s: float) -> None:
        """Build the message.

        Args:
            node: The node to which the command was submitted.
            command: The name of the command.
            timeout_s: How long the result was waited for, in seconds.
        """
        super().__init__(f"no result of {command} submitted to {node} within {timeout_s:g} s")


class ExitCodeError(CheckFailedError):
    """A process exited with a code other than 0, or exited while it was expected to run."""

    def __init__(self, process: str, exit_code: int | None, details: str = "") -> None:
        """Build the message.

        Args:
            process: The process or its command.
            exit_code: The exit code; None if the process was not started.
            details: The end of the process's error output, or when it exited.
        """
        super().__init__(f"{process} exited with code {exit_code}" + (f": {details}" if details else ""))


class CommandRejectedError(CheckFailedError):
    """The cluster rejected a command that it was expected to accept."""

    def __init__(self, node: str, command: str, response: object) -> None:
        """Build the message.

        Args:
            node: The node to which the command was submitted.
            command: The command.
            response: What the node returned instead of the expected result.
        """
        super().__init__(f"{node}: expected {command} to be accepted, got {response}")


class NotElectedError(CheckFailedError):
    """A node did not become leader although each other leader was killed."""

    def __init__(self, node: str, election_count: int) -> None:
        """Build the message.

        Args:
            node: The node that was expected to become leader.
            election_count: How many leaders were elected in the meantime.
        """
        super().__init__(f"{node} did not become leader in {election_count} elections")


class CallFailedError(MarlstepError):
    """A node did not answer an HTTP request, or answered with an error status."""

    def __init__(self, call: str, reason: str, status: int | None = None) -> None:
        """Build the message.

        Args:
            call: The method and the path.
            reason: The error, or the status and the start of the response.
            status: The HTTP status; None if there was no response.
        """
        super().__init__(f"{call}: {reason}")
        self.status = status
