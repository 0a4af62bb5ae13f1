"""Errors of the measurement of two versions together."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class CannotRunError(MarlstepError):
    """The measurement could not be made. It says nothing about the versions."""

    def __init__(self, version_label: str, reason: str) -> None:
        """`reason` says what is wrong with the checkout of that version."""
        super().__init__(f"{version_label}: {reason}")


class CheckFailedError(MarlstepError):
    """Something that two versions must do together did not happen. The scenario can't go on."""


class WaitTimeoutError(CheckFailedError):
    """A condition did not come to hold in time."""

    def __init__(self, condition: str, timeout_s: float) -> None:
        """`condition` is a statement that was to become true."""
        super().__init__(f"not within {timeout_s:g} s: {condition}")


class StillRunningError(CheckFailedError):
    """A process did not end in time."""

    def __init__(self, process: str, timeout_s: float) -> None:
        """`process` names the process or its command."""
        super().__init__(f"{process} did not end in {timeout_s:g} s")


class NoResultError(CheckFailedError):
    """There was no result of a command in time."""

    def __init__(self, node: str, command: str, timeout_s: float) -> None:
        """`node` is where the command was submitted."""
        super().__init__(f"the group did not answer {command} asked of {node} in {timeout_s:g} s")


class ExitCodeError(CheckFailedError):
    """A process ended with another exit code than 0, or ended although it was to run."""

    def __init__(self, process: str, exit_code: int | None, details: str = "") -> None:
        """`details`: what the process wrote last, or when it ended."""
        super().__init__(f"{process} ended with {exit_code}" + (f": {details}" if details else ""))


class CommandRejectedError(CheckFailedError):
    """The cluster did not take a command that it had to take."""

    def __init__(self, node: str, command: str, response: object) -> None:
        """`response` is what the node gave instead of the expected result."""
        super().__init__(f"{node}: {command} was expected to be taken, and was not: {response}")


class NotElectedError(CheckFailedError):
    """A replica did not become leader although the leaders before it were killed."""

    def __init__(self, node: str, election_count: int) -> None:
        """`elections`: how many there were."""
        super().__init__(f"{node} did not come to lead in {election_count} elections")


class CallFailedError(MarlstepError):
    """A node did not answer an HTTP call, or answered with an error status."""

    def __init__(self, call: str, reason: str, status: int | None = None) -> None:
        """`call` is the method and path; `status` is None where there was no response."""
        super().__init__(f"{call}: {reason}")
        self.status = status
