"""Why a request is rejected at intake: one base error with a typed reason and the request's fields beside the text."""

from __future__ import annotations

import enum
from typing import Self

from marlstep.errors import MarlstepError

MAX_QUOTED_NAME = 64  # characters of a name that a client chose, in a message


class RejectionReason(enum.Enum):
    """The intake rule that a request broke."""

    UNREADABLE_FIELD = "unreadable_field"  # a frontend could not read it
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_TENANT = "unknown_tenant"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    ID_IN_FLIGHT = "id_in_flight"
    WORK_REPEATED = "work_repeated"
    KEY_BODY_MISMATCH = "key_body_mismatch"
    PROCESS_AT_CAPACITY = "process_at_capacity"


# The uwsgi frontend sends this text as the body of its error response: the wording belongs to the wire.
RESPONSE_TEXTS = {
    RejectionReason.UNKNOWN_CLASS: "unknown class {request_class!r}",
    RejectionReason.UNKNOWN_TENANT: "unknown tenant {tenant!r}",
    RejectionReason.MISSING_IDEMPOTENCY_KEY: (
        "work that must not run twice, without the name that its tries share"
    ),
    RejectionReason.ID_IN_FLIGHT: "an id that is in hand already",
    RejectionReason.WORK_REPEATED: "a repeat of work that must not run twice",
    RejectionReason.KEY_BODY_MISMATCH: "a name in use for work with another body",
    RejectionReason.PROCESS_AT_CAPACITY: "too many in hand for this process's part of the node",
}


class RequestRejectedError(MarlstepError):
    """A request was rejected at intake: nothing ran, and no response follows.

    Attributes:
        reason: the rule that the request broke.
        request_class: the class that it named; empty where it was not read.
        tenant: the tenant that it named; empty for none.
        request_id: its id; empty where it was not read.
    """

    def __init__(
        self,
        text: str,
        reason: RejectionReason = RejectionReason.UNREADABLE_FIELD,
        *,
        request_class: str = "",
        tenant: str = "",
        request_id: str = "",
    ) -> None:
        """Reject with this text, which frontends may send to the client."""
        super().__init__(text)
        self.reason = reason
        self.request_class, self.tenant, self.request_id = request_class, tenant, request_id

    @classmethod
    def because(
        cls,
        reason: RejectionReason,
        *,
        request_class: str = "",
        tenant: str = "",
        request_id: str = "",
    ) -> Self:
        """Make the error for a rule of the core, with the text that the rule has on the wire."""
        text = RESPONSE_TEXTS[reason].format(
            request_class=request_class[:MAX_QUOTED_NAME], tenant=tenant[:MAX_QUOTED_NAME]
        )
        return cls(text, reason, request_class=request_class, tenant=tenant, request_id=request_id)


class RepeatedWorkError(RequestRejectedError):
    """A request repeats work that ran or may have run: it has failed, and the client must not retry it."""
