"""Errors of the benchmarks: what was to be measured did not happen."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class BenchmarkError(MarlstepError):
    """A figure could not be measured."""


class NoNewHolderError(BenchmarkError):
    """No other node acquired a lease after its holder was killed or terminated."""

    def __init__(self, holder: str, timeout_s: float) -> None:
        """`holder` is the node that held the lease before."""
        super().__init__(f"no node took the task over from {holder} in {timeout_s:g} s")


class VersionRejectedError(BenchmarkError):
    """A document's version was rejected by a node, and will not come into force."""

    def __init__(self, document: str, version: int, reason: str) -> None:
        """`reason` is that of the node which rejected the version."""
        super().__init__(f"version {version} of {document} was rejected: {reason}")
