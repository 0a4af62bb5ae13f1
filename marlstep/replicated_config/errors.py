"""Errors of malformed commands, and of commands that the state of a document does not permit.

The texts are part of replicated results: every replica, whatever its version, has to produce the same ones. So they
must never be reworded.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import ClassVar

from marlstep.consensus.state_machine import InvalidCommandError, ResultJson
from marlstep.errors import MarlstepError
from marlstep.replicated_config.comparison import PoolShrinkage


class MalformedConfigCommandError(InvalidCommandError):
    """A command with an invalid field, which no state of the document would permit."""

    text: ClassVar[str]

    def __init__(self) -> None:
        """Initialize the error with the message of its class."""
        super().__init__(self.text)


class InvalidChunkError(MalformedConfigCommandError):
    """The data of a chunk is not text, or the name of its upload is empty or too long."""

    text = "a piece of a document"


class InvalidDocumentNameError(MalformedConfigCommandError):
    """A document name is not text, is empty or is too long."""

    text = "a document's name"


class UnknownConfigCommandError(InvalidCommandError):
    """A command is unknown to this state machine."""

    def __init__(self, name: object) -> None:
        """Initialize the error with the unknown value of the command's `do` key."""
        super().__init__(f"nothing that is done to a document: {name!r}")


class InvalidRolloutShareError(MalformedConfigCommandError):
    """The share of the nodes for a rollout is not between 0 and 1 (exclusive)."""

    text = "a share is between 0 and 1"


class InvalidRolloutBoundsError(MalformedConfigCommandError):
    """The duration, the minimum number of requests or the permitted degradation of a rollout is out of bounds."""

    text = "a stage's time, least or worse"


class CommandRejectedError(MarlstepError):
    """A well-formed command is not permitted in the current state. The proposer may correct it and retry."""

    text: ClassVar[str]

    def __init__(self, text: str = "") -> None:
        """Initialize the error; an empty `text` selects the message of its class."""
        super().__init__(text or self.text)

    def to_json(self) -> ResultJson:
        """Return the result in the form that the log stores and the proposer receives."""
        return {"refused": str(self)}


class UnknownDocumentError(CommandRejectedError):
    """The command names a document that does not exist."""

    text = "no such document"


class ChunkOffsetError(CommandRejectedError):
    """A chunk does not continue its upload, of which the chunks received so far are discarded.

    The text names the offset at which the upload would have continued; the proposer has to start again at 0.
    """

    def __init__(self, expected_offset: int) -> None:
        """Initialize the error with the expected offset, in characters."""
        super().__init__(f"the next piece begins at {expected_offset}")


class DocumentTooLargeError(CommandRejectedError):
    """An upload exceeds the size limit of a document."""

    def __init__(self, max_bytes: int) -> None:
        """Initialize the error with the limit, in bytes."""
        super().__init__(f"a document has {max_bytes} bytes at the most")


class IncompleteUploadError(CommandRejectedError):
    """The uploaded content is missing, or its digest differs from the one in the command."""

    text = "its content did not come whole"


class VersionConflictError(CommandRejectedError):
    """The compare-and-set failed: the active version is not the one that the proposer expected."""

    def __init__(self, active: int, expected: int) -> None:
        """Initialize the error with the numbers of the active and the expected version."""
        super().__init__(f"version {active} is in force, and {expected} was expected")
        self.active = active

    def to_json(self) -> ResultJson:
        """Return the result, extended by the number of the active version."""
        return {**super().to_json(), "version": self.active}


class ChangeInProgressError(CommandRejectedError):
    """Another version of the document is already being prepared."""

    def __init__(self, active: int, waits_for: Sequence[str]) -> None:
        """Initialize the error.

        Args:
            active: Number of the active version.
            waits_for: Processes that have neither acknowledged nor rejected the prepared version.
        """
        super().__init__("a change is on its way")
        self.active, self.waits_for = active, waits_for

    def to_json(self) -> ResultJson:
        """Return the result, extended by the active version and the processes whose acknowledgement is missing."""
        return {**super().to_json(), "version": self.active, "waits_for": list(self.waits_for)}


class KindMismatchError(CommandRejectedError):
    """The document exists and is of another kind than the command says."""

    def __init__(self, kind: str) -> None:
        """Initialize the error with the kind of the existing document."""
        super().__init__(f"it is of kind {kind}")


class TooManyDocumentsError(CommandRejectedError):
    """The limit on the number of documents is reached."""

    def __init__(self, max_documents: int) -> None:
        """Initialize the error with the limit."""
        super().__init__(f"a fleet has {max_documents} documents at the most")


class UnsafeShrinkageError(CommandRejectedError):
    """A pool would lose too many servers; the proposer may force the change."""

    def __init__(self, shrinkage: PoolShrinkage) -> None:
        """Initialize the error with the pool that would shrink too much."""
        super().__init__(f"{shrinkage.describe()}: say so with force")


class RolloutRejectedError(CommandRejectedError):
    """A canary rollout is not possible for this document or with the live nodes."""


class StrictRolloutError(RolloutRejectedError):
    """A strict document can't have a rollout, as it never has two versions active at the same time."""

    text = "a strict document can't be staged: two versions of it never stand side by side"


class FirstVersionRolloutError(RolloutRejectedError):
    """The first version can't have a rollout, as there is no active version to compare it with."""

    text = "the first version can't be staged: there is nothing to compare it with"


class NodesNotActiveError(RolloutRejectedError):
    """Some of the requested nodes have no live configuration lease."""

    def __init__(self, nodes: Iterable[str]) -> None:
        """Initialize the error with the names of those nodes."""
        super().__init__(f"{', '.join(nodes)} does not act on documents now")


class NoControlGroupError(RolloutRejectedError):
    """The rollout covers all live nodes, so that none is left to compare with."""

    text = "a stage on all nodes is none: at least one has to stay as it is"


class NotPreparedError(CommandRejectedError):
    """The version in the command is not the prepared one."""

    text = "that change is not being prepared"


class DigestMismatchError(CommandRejectedError):
    """A process acknowledged a content other than the prepared one."""

    text = "the content is another"


class NoConfigLeaseError(CommandRejectedError):
    """The acknowledgement was sent by a process that has no live configuration lease."""

    text = "that process has no lease on the rules"


class RolloutInProgressError(CommandRejectedError):
    """The version is in canary rollout and can be committed only by promoting it."""

    text = "it is staged: it goes on once its time is over"
