"""Errors of a replica's store, one for each reaction: retry, leave the file unchanged, or create a new one."""

from __future__ import annotations

from pathlib import Path

from marlstep.errors import MarlstepError


class StoreError(MarlstepError):
    """The store can't be used at present: the disk is full, read-only or broken. Unsynced changes are lost."""

    def __init__(self, path: Path, reason: object) -> None:
        """Create the error; `reason` is the error of SQLite or of the operating system, or a description."""
        super().__init__(f"{path}: {reason}")


class StoreRefusedError(MarlstepError):
    """The file must not be used: it has a newer format, belongs to another node, is in use, or has unsuitable content.

    The file is left unchanged.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """Create the error; `reason` is the predicate of a sentence whose subject is the path."""
        super().__init__(f"{path} {reason}")


class ForeignStoreError(MarlstepError):
    """The file is not the store that this replica wrote: it is truncated, corrupt, or a copy.

    A replica that can't read its own store must rejoin with a new identity.
    """

    def __init__(self, path: Path, part: str, expected: object, found: object) -> None:
        """Create the error for `part` of the file, with its expected and its actual value."""
        self.reason = f"{part}: expected {expected}, found {found}"
        super().__init__(f"{path}: {self.reason}")
