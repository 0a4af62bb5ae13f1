"""Errors raised by the benchmarks."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class BenchmarkError(MarlstepError):
    """Base class: a benchmark could not complete a measurement."""


class NoNewHolderError(BenchmarkError):
    """No other node acquired a task's lease after its holder was killed or terminated."""

    def __init__(self, holder: str, timeout_s: float) -> None:
        """Build the message.

        Args:
            holder: The node that held the lease before.
            timeout_s: How long the benchmark waited for a new holder, in seconds.
        """
        super().__init__(f"expected another node to take over the task from {holder} within {timeout_s:g} s")


class VersionRejectedError(BenchmarkError):
    """A node rejected a version of a document, so the version will not come into force."""

    def __init__(self, document: str, version: int, reason: str) -> None:
        """Build the message.

        Args:
            document: The name of the document.
            version: The rejected version.
            reason: The reason that the rejecting node gave.
        """
        super().__init__(f"version {version} of {document} was rejected: {reason}")
