"""Errors of a replica's store, told apart by what the caller can do: retry, leave the file alone, or start anew."""

from __future__ import annotations

from pathlib import Path

from marlstep.errors import MarlstepError


class StoreError(MarlstepError):
    """The store can't be used now: the disk is full, read-only or broken. What was not synced before is lost."""

    def __init__(self, path: Path, reason: object) -> None:
        """`reason` is the fault of SQLite or of the operating system, or says which state was expected."""
        super().__init__(f"{path}: {reason}")


class StoreRefusedError(MarlstepError):
    """The file is not for this program to open: it has a newer format, another owner, or is in use.

    The file is left as it is.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """`reason` continues a sentence that begins with the path."""
        super().__init__(f"{path} {reason}")


class ForeignStoreError(MarlstepError):
    """The file is not the store that this replica wrote: it is truncated, corrupt, or a copy.

    A replica that can't read its own store must come back under a new identity.
    """

    def __init__(self, path: Path, part: str, expected: object, found: object) -> None:
        """`part` of the file was expected to be one thing and was found to be another."""
        self.reason = f"{part}: expected {expected}, found {found}"
        super().__init__(f"{path}: {self.reason}")
