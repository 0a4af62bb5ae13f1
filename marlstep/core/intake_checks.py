"""The rules that a request must meet at intake, as pure functions that raise typed errors.

The frontend rejects a request that breaks a rule at once: this attempt has not run, and the core sends no response.
"""

from __future__ import annotations

from datetime import datetime

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.errors import RejectionReason, RepeatedWorkError, RequestRejectedError
from marlstep.core.interfaces import InboundRequest
from marlstep.core.key_record import KeyRecord
from marlstep.core.served_settings import ServedSettings
from marlstep.core.work_identity import IdempotencyKey

ID_KEY_PREFIX = "id,"  # no key of a RESP client has a comma


def check_served(inbound: InboundRequest, served: ServedSettings, now: datetime) -> ClassSettings:
    """Return the settings of the request's class if the node serves its class and its tenant.

    Keyed work must carry an idempotency key, as its repeats can't be recognised otherwise.

    Raises:
        RequestRejectedError: the class or the tenant is unknown, or the key of keyed work is missing.
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
    """Check that no request with this id is in flight, as backends identify requests by id.

    Raises:
        RepeatedWorkError: the id is in flight.
    """
    if in_flight:
        raise RepeatedWorkError(RejectionReason.ID_IN_FLIGHT, inbound)


def key_of(inbound: InboundRequest, class_settings: ClassSettings) -> IdempotencyKey | None:
    """Return the key that identifies the work; None if nothing does, or for idempotent work, which may rerun.

    It is the client's idempotency key. At-most-once work without one is identified by the id that its client chose: a
    request that comes again under its id must not run again.
    """
    if class_settings.effect is Effect.IDEMPOTENT:
        return None
    if inbound.idempotency_key:
        return IdempotencyKey(inbound.request_class, inbound.idempotency_key, inbound.key_scope)
    if class_settings.effect is Effect.AT_MOST_ONCE and inbound.id_chosen_by_client:
        return IdempotencyKey(inbound.request_class, ID_KEY_PREFIX + inbound.id)
    return None


def check_repeat(inbound: InboundRequest, class_settings: ClassSettings, prior: KeyRecord | None) -> None:
    """Check that a request may repeat the work that its key identifies.

    At-most-once work must not be repeated, as the first attempt ran or may have run. A repeat of keyed work must
    have the same digest, or it would get the result of other work.

    Args:
        inbound: the request.
        class_settings: the settings of its class.
        prior: the record of the work that the request repeats; None for new work.

    Raises:
        RepeatedWorkError: the request repeats at-most-once work, or it does other work than the first attempt.
    """
    if prior is None:
        return
    if class_settings.effect is Effect.AT_MOST_ONCE:
        raise RepeatedWorkError(RejectionReason.WORK_REPEATED, inbound)
    if not prior.is_same_work(inbound.digest):
        raise RepeatedWorkError(RejectionReason.KEY_BODY_MISMATCH, inbound)
