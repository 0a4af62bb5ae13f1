"""The intake rules, and the typed errors for requests that break them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from marlstep.admission.settings import Effect, TenantSettings
from marlstep.core.errors import RejectionReason, RepeatedWorkError, RequestRejectedError
from marlstep.core.intake_checks import check_id_free, check_repeat, check_served, key_of
from marlstep.core.interfaces import InboundRequest
from marlstep.core.key_record import KeyRecord
from marlstep.core.served_settings import ServedSettings
from marlstep.core.work_identity import IdempotencyKey
from marlstep.simulator.configuration import read_settings
from tests.support.node import SETTINGS, START

IDEMPOTENT, KEYED, AT_MOST_ONCE = (
    replace(class_settings, effect=effect)
    for class_settings, effect in zip(
        read_settings(SETTINGS).classes, (Effect.IDEMPOTENT, Effect.KEYED, Effect.AT_MOST_ONCE), strict=True
    )
)
SERVED = ServedSettings(
    replace(
        read_settings(SETTINGS),
        classes=(IDEMPOTENT, KEYED, AT_MOST_ONCE),
        tenants=(TenantSettings("north", 1.0, 0.0),),
    )
)


def inbound(request_class: str = IDEMPOTENT.name, **fields: Any) -> InboundRequest:
    return InboundRequest("r1", request_class, b"body", START, 1.0, **fields)


def rejection(request: InboundRequest) -> RequestRejectedError:
    with pytest.raises(RequestRejectedError) as raised:
        check_served(request, SERVED, START)
    return raised.value


def test_a_request_of_a_served_class_and_tenant_gets_the_settings_of_its_class() -> None:
    assert check_served(inbound(tenant="north"), SERVED, START) == IDEMPOTENT
    assert check_served(inbound(KEYED.name, idempotency_key="k"), SERVED, START) == KEYED


def test_a_rejection_has_its_reason_and_fields_beside_the_text_that_frontends_send() -> None:
    error = rejection(inbound("x" * 100, tenant="north"))
    assert error.reason is RejectionReason.UNKNOWN_CLASS and str(error) == f"unknown class {'x' * 64!r}"
    assert (error.request_class, error.tenant, error.request_id) == ("x" * 100, "north", "r1")
    error = rejection(inbound(tenant="west"))
    assert error.reason is RejectionReason.UNKNOWN_TENANT and str(error) == "unknown tenant 'west'"
    error = rejection(inbound(KEYED.name))
    assert error.reason is RejectionReason.MISSING_IDEMPOTENCY_KEY
    assert str(error) == "work that must not run twice, without the name that its tries share"


def test_an_id_in_flight_is_rejected_as_repeated_work() -> None:
    check_id_free(inbound(), in_flight=False)
    with pytest.raises(RepeatedWorkError, match=r"^an id that is in hand already$") as raised:
        check_id_free(inbound(), in_flight=True)
    assert raised.value.reason is RejectionReason.ID_IN_FLIGHT


def test_work_has_a_key_if_the_client_names_one_and_the_work_is_not_idempotent() -> None:
    assert key_of(inbound(KEYED.name, idempotency_key="k"), KEYED) == IdempotencyKey(KEYED.name, "k")
    assert key_of(inbound(AT_MOST_ONCE.name), AT_MOST_ONCE) is None
    assert key_of(inbound(idempotency_key="k"), IDEMPOTENT) is None


def test_keyed_work_may_repeat_with_the_same_body_and_at_most_once_work_never() -> None:
    prior = KeyRecord("r0", digest="a")
    check_repeat(inbound(AT_MOST_ONCE.name), AT_MOST_ONCE, None)
    check_repeat(inbound(KEYED.name, digest="a"), KEYED, prior)
    with pytest.raises(RepeatedWorkError, match=r"^a repeat of work that must not run twice$") as raised:
        check_repeat(inbound(AT_MOST_ONCE.name, digest="a"), AT_MOST_ONCE, prior)
    assert raised.value.reason is RejectionReason.WORK_REPEATED
    with pytest.raises(RepeatedWorkError, match=r"^a name in use for work with another body$") as raised:
        check_repeat(inbound(KEYED.name, digest="b"), KEYED, prior)
    assert raised.value.reason is RejectionReason.KEY_BODY_MISMATCH
