"""Errors for requests rejected at intake: a base error with a typed reason and the request's fields.

The core sends no response to such a request; its frontend responds by its own policy (`RespConnection._exec`,
`UwsgiConnection._submit`).
"""

from __future__ import annotations

import enum

from marlstep.core.interfaces import InboundRequest
from marlstep.errors import MarlstepError

MAX_QUOTED_NAME_CHARS = 64  # names chosen by clients are cut to this length in error messages


class RejectionReason(enum.Enum):
    """The intake rule that a request broke.

    All reasons but PROCESS_AT_CAPACITY are faults of the request. PROCESS_AT_CAPACITY means that this process already
    holds its maximum number of requests in flight.
    """

    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_TENANT = "unknown_tenant"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    ID_IN_FLIGHT = "id_in_flight"
    WORK_REPEATED = "work_repeated"
    KEY_BODY_MISMATCH = "key_body_mismatch"
    PROCESS_AT_CAPACITY = "process_at_capacity"


# The uwsgi frontend sends these texts as the body of its error response, so the wording is part of the wire protocol.
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
    """A request was rejected at intake. The core sends no response; the frontend must respond itself.

    This attempt was not run. The subclass `RepeatedWorkError` says that another request may have run the work.

    Attributes:
        reason: the rule that the request broke.
        request_class: the class named by the request.
        tenant: the tenant named by the request; empty if it named none.
        request_id: the id of the request.
    """

    def __init__(self, reason: RejectionReason, inbound: InboundRequest) -> None:
        """Build the error; its message is a text that frontends may send to the client.

        Args:
            reason: the rule that the request broke.
            inbound: the rejected request.
        """
        self.reason = reason
        self.request_class, self.tenant = inbound.request_class, inbound.tenant or ""
        self.request_id = inbound.id
        text = RESPONSE_TEXTS[reason].format(
            request_class=self.request_class[:MAX_QUOTED_NAME_CHARS],
            tenant=self.tenant[:MAX_QUOTED_NAME_CHARS],
        )
        super().__init__(text)


class RepeatedWorkError(RequestRejectedError):
    """The id or key of a request belongs to another request, which may have run.

    Frontends respond with a failure, so that clients don't retry the request.
    """
