"""The rules that a request must meet at intake. They are pure, and raise typed errors.

A request that breaks one is rejected by its frontend at once: nothing ran, and the core never owes it a response.
"""

from __future__ import annotations

from datetime import datetime

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.errors import RejectionReason, RepeatedWorkError, RequestRejectedError
from marlstep.core.idempotency import IdempotencyKey, KeyRecord
from marlstep.core.interfaces import InboundRequest
from marlstep.core.served_settings import ServedSettings


def check_served(inbound: InboundRequest, served: ServedSettings, now: datetime) -> ClassSettings:
    """Return the settings of the request's class if the node serves its class and its tenant.

    Keyed work must name its idempotency key as well: without one, nothing could tell a repeat of it.

    Raises:
        RequestRejectedError: the class or the tenant is unknown, or the key is missing.
    """
    class_settings = served.accepted_class(inbound.request_class, now)
    if class_settings is None:
        raise RequestRejectedError(RejectionReason.UNKNOWN_CLASS, inbound)
    if not served.accepts_tenant(inbound.tenant or "", now):
        raise RequestRejectedError(RejectionReason.UNKNOWN_TENANT, inbound)
    if class_settings.effect is Effect.KEYED and not inbound.idempotency_key:
        raise RequestRejectedError(RejectionReason.MISSING_IDEMPOTENCY_KEY, inbound)
    return class_settings


def check_id_free(inbound: InboundRequest, in_flight: bool) -> None:
    """Check that no request with this id is in flight: the id is how backends name it. Raises RepeatedWorkError."""
    if in_flight:
        raise RepeatedWorkError(RejectionReason.ID_IN_FLIGHT, inbound)


def key_of(inbound: InboundRequest, class_settings: ClassSettings) -> IdempotencyKey | None:
    """Return the key of the work; None for idempotent work, which may run again, and where the client names none."""
    if not inbound.idempotency_key or class_settings.effect is Effect.IDEMPOTENT:
        return None
    return IdempotencyKey(inbound.request_class, inbound.idempotency_key)


def check_repeat(inbound: InboundRequest, class_settings: ClassSettings, prior: KeyRecord | None) -> None:
    """Check that a request may repeat the work that its key names. `prior` is None for new work.

    Work that runs at most once has no repeats: the first attempt ran or may have. A repeat of keyed work must carry
    the same body, else it would get the result of other work.

    Raises:
        RepeatedWorkError: it may not.
    """
    if prior is None:
        return
    if class_settings.effect is Effect.AT_MOST_ONCE:
        raise RepeatedWorkError(RejectionReason.WORK_REPEATED, inbound)
    if not prior.matches_body(inbound.digest):
        raise RepeatedWorkError(RejectionReason.KEY_BODY_MISMATCH, inbound)
