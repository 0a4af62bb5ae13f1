"""Why a request is rejected at intake: one base error with a typed reason and the request's fields beside the text.

The core owes such a request no response; its frontend responds by a policy of its own (`RespConnection._exec`,
`UwsgiConnection._submit`).
"""

from __future__ import annotations

import enum

from marlstep.core.interfaces import InboundRequest
from marlstep.errors import MarlstepError

MAX_QUOTED_NAME_CHARS = 64  # characters of a name that a client chose, in a message


class RejectionReason(enum.Enum):
    """The intake rule that a request broke.

    All but PROCESS_AT_CAPACITY are faults of the request. That one says that this process has as many requests in
    flight as it may hold; frontends treat it like the others all the same.
    """

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
    """A request was rejected before the core owed it a response; the frontend responds itself.

    This attempt was not run. Whether the work ran is known only from the subclass: see `RepeatedWorkError`.

    Attributes:
        reason: the rule that the request broke.
        request_class: the class that it named.
        tenant: the tenant that it named; empty for none.
        request_id: its id.
    """

    def __init__(self, reason: RejectionReason, inbound: InboundRequest) -> None:
        """Reject a request, with the text that frontends may send to its client."""
        self.reason = reason
        self.request_class, self.tenant = inbound.request_class, inbound.tenant or ""
        self.request_id = inbound.id
        text = RESPONSE_TEXTS[reason].format(
            request_class=self.request_class[:MAX_QUOTED_NAME_CHARS],
            tenant=self.tenant[:MAX_QUOTED_NAME_CHARS],
        )
        super().__init__(text)


class RepeatedWorkError(RequestRejectedError):
    """The id or key of a request is in use by another, which may have run: it fails, and must not be retried."""
