"""Why the core rejects a request at intake: typed errors with the fields that a log line or a test may read."""

from __future__ import annotations

from marlstep.errors import MarlstepError


class RequestRejectedError(MarlstepError):
    """The request was rejected at intake: nothing ran, and no response will follow."""


class RepeatedWorkError(RequestRejectedError):
    """The request repeats work that ran or may have run: it has failed and must not be retried."""
