"""Commands that are malformed, and commands that the state of a document does not permit.

The texts are part of replicated results, so every replica has to produce the same ones, whatever its version.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import ClassVar

from marlstep.consensus.state_machine import InvalidCommandError, ResultJson
from marlstep.errors import MarlstepError
from marlstep.replicated_config.comparison import PoolShrinkage


class MalformedConfigCommandError(InvalidCommandError):
    """A command whose fields make no sense, whatever the state is."""

    text: ClassVar[str]

    def __init__(self) -> None:
        """Take the message from the class."""
        super().__init__(self.text)


class InvalidChunkError(MalformedConfigCommandError):
    """A chunk of an upload that is no text, or whose upload has no valid name."""

    text = "a piece of a document"


class InvalidDocumentNameError(MalformedConfigCommandError):
    """A document's name that is no text, or is empty or too long."""

    text = "a document's name"


class UnknownConfigCommandError(InvalidCommandError):
    """A command that this state machine does not have."""

    def __init__(self, name: object) -> None:
        """Name the command as the log has it."""
        super().__init__(f"nothing that is done to a document: {name!r}")


class InvalidRolloutShareError(MalformedConfigCommandError):
    """A share of the nodes that is not between 0 and 1."""

    text = "a share is between 0 and 1"


class InvalidRolloutBoundsError(MalformedConfigCommandError):
    """A rollout's duration, minimum of requests or permitted degradation that is out of bounds."""

    text = "a stage's time, least or worse"


class CommandRejectedError(MarlstepError):
    """A well-formed command that the current state does not permit. The proposer may correct it and try again."""

    text: ClassVar[str]

    def __init__(self, text: str = "") -> None:
        """Take the message from the class, unless it depends on the state."""
        super().__init__(text or self.text)

    def to_json(self) -> ResultJson:
        """Return the result as the log's clients read it."""
        return {"refused": str(self)}


class UnknownDocumentError(CommandRejectedError):
    """There is no document of that name."""

    text = "no such document"


class ChunkOffsetError(CommandRejectedError):
    """A chunk does not continue its upload; the proposer has to go on at the expected offset."""

    def __init__(self, expected_offset: int) -> None:
        """Name the offset at which the upload continues, in characters."""
        super().__init__(f"the next piece begins at {expected_offset}")


class DocumentTooLargeError(CommandRejectedError):
    """An upload exceeds the size limit of a document."""

    def __init__(self, max_bytes: int) -> None:
        """Name the limit."""
        super().__init__(f"a document has {max_bytes} bytes at the most")


class IncompleteUploadError(CommandRejectedError):
    """The uploaded content is missing, or does not have the digest that was announced."""

    text = "its content did not come whole"


class VersionConflictError(CommandRejectedError):
    """Compare-and-set failed: another version is active than the proposer expected."""

    def __init__(self, active: int, expected: int) -> None:
        """Name the active version and the expected one."""
        super().__init__(f"version {active} is in force, and {expected} was expected")
        self.active = active

    def to_json(self) -> ResultJson:
        """Return the result, with the number of the active version."""
        return {**super().to_json(), "version": self.active}


class ChangeInProgressError(CommandRejectedError):
    """Another version is being prepared already."""

    def __init__(self, active: int, waits_for: Sequence[str]) -> None:
        """Keep the active version and the processes that have not acknowledged the change."""
        super().__init__("a change is on its way")
        self.active, self.waits_for = active, waits_for

    def to_json(self) -> ResultJson:
        """Return the result, with the active version and the processes that the change waits for."""
        return {**super().to_json(), "version": self.active, "waits_for": list(self.waits_for)}


class KindMismatchError(CommandRejectedError):
    """The document exists with another kind."""

    def __init__(self, kind: str) -> None:
        """Name the document's kind."""
        super().__init__(f"it is of kind {kind}")


class TooManyDocumentsError(CommandRejectedError):
    """The limit on the number of documents is reached."""

    def __init__(self, max_documents: int) -> None:
        """Name the limit."""
        super().__init__(f"a fleet has {max_documents} documents at the most")


class UnsafeShrinkageError(CommandRejectedError):
    """A pool would lose too many servers; the proposer may force the change."""

    def __init__(self, shrinkage: PoolShrinkage) -> None:
        """Describe the pool that shrinks."""
        super().__init__(f"{shrinkage.describe()}: say so with force")


class RolloutRejectedError(CommandRejectedError):
    """A canary rollout that this document or the present nodes do not permit."""


class StrictRolloutError(RolloutRejectedError):
    """A strict document never has two versions active side by side."""

    text = "a strict document can't be staged: two versions of it never stand side by side"


class FirstVersionRolloutError(RolloutRejectedError):
    """A first version has no active one to be compared with."""

    text = "the first version can't be staged: there is nothing to compare it with"


class NodesNotActiveError(RolloutRejectedError):
    """Some of the requested nodes have no live configuration lease."""

    def __init__(self, nodes: Iterable[str]) -> None:
        """Name the nodes."""
        super().__init__(f"{', '.join(nodes)} does not act on documents now")


class NoControlGroupError(RolloutRejectedError):
    """The rollout covers all nodes, so that none is left to compare with."""

    text = "a stage on all nodes is none: at least one has to stay as it is"


class NotPreparedError(CommandRejectedError):
    """The version that the command names is not the one that is being prepared."""

    text = "that change is not being prepared"


class DigestMismatchError(CommandRejectedError):
    """A process acknowledged another content than the one that is being prepared."""

    text = "the content is another"


class NoConfigLeaseError(CommandRejectedError):
    """An acknowledgement of a process without a live configuration lease does not count."""

    text = "that process has no lease on the rules"


class RolloutInProgressError(CommandRejectedError):
    """A version in canary rollout can be committed only by promoting it."""

    text = "it is staged: it goes on once its time is over"
