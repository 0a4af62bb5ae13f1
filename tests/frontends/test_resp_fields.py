"""The table of RESP fields: values and bounds of request fields, and the fields of responses."""

from __future__ import annotations

import dataclasses

import pytest

from marlstep.core.interfaces import InboundRequest, Response, ResponseStatus
from marlstep.frontends.errors import InvalidFieldError
from marlstep.frontends.resp_fields import (
    REJECTION_FIELDS,
    REQUEST_FIELDS,
    STATUS_WORDS,
    read_request,
    response_fields,
)
from marlstep.units import EPOCH, MILLISECOND, SECOND

REQUIRED = b"id=0123456789abcdef,at=5,kb=1.5"


def test_each_request_field_maps_to_an_attribute_of_inbound_request() -> None:
    fields = {field.name for field in dataclasses.fields(InboundRequest)}
    assert {row.field for row in REQUEST_FIELDS} <= fields


def test_each_response_field_maps_to_an_attribute_of_response_and_each_status_has_a_word() -> None:
    fields = {field.name for field in dataclasses.fields(Response)}
    assert {row.field for row in REJECTION_FIELDS} <= fields
    assert set(STATUS_WORDS) == set(ResponseStatus)


def test_required_fields_alone_leave_the_others_at_their_defaults() -> None:
    assert read_request(b"class", REQUIRED, b"body") == InboundRequest(
        id="0123456789abcdef",
        request_class="class",
        body=b"body",
        arrived_at=EPOCH + 5 * MILLISECOND,
        memory_kb=1.5,
        id_chosen_by_client=True,
    )


def test_every_field_is_mapped_and_an_unknown_one_ignored() -> None:
    request = read_request(
        b"class", REQUIRED + b",from=4,retry=1,cost=12.5,rank=0.25,tenant=t,key=1801,once=k,new=x", b""
    )
    assert (request.caller, request.is_retry, request.cost_hint) == (4, True, 12.5 * MILLISECOND)
    assert (request.rank, request.tenant, request.entity) == (0.25, "t", 0x1801 >> 11)
    assert request.idempotency_key == "k" and request.digest


@pytest.mark.parametrize(
    ("fields", "name"),
    [
        (b"at=5,kb=1", "id"),
        (b"id=0123456789abcdeF,at=5,kb=1", "id"),
        (b"id=0123456789abcdef,kb=1", "at"),
        (b"id=0123456789abcdef,at=-5,kb=1", "at"),
        (b"id=0123456789abcdef,at=123456789012345,kb=1", "at"),
        (b"id=0123456789abcdef,at=5", "kb"),
        (b"id=0123456789abcdef,at=5,kb=0", "kb"),
        (b"id=0123456789abcdef,at=5,kb=2000", "kb"),
        (REQUIRED + b",from=-1", "from"),
        (REQUIRED + b",cost=inf", "cost"),
        (REQUIRED + b",rank=1", "rank"),
        (REQUIRED + b",rank=nan", "rank"),
        (REQUIRED + b",rank=", "rank"),
        (REQUIRED + b",key=x", "key"),
    ],
)
def test_a_field_that_is_missing_or_out_of_bounds_is_named(fields: bytes, name: str) -> None:
    with pytest.raises(InvalidFieldError) as raised:
        read_request(b"class", fields, b"")
    assert raised.value.name == name


@pytest.mark.parametrize("fields", [b"id", b"=1", b"a=1,a=2", b"a=1,", b"\xff=1"])
def test_fields_that_are_not_unique_names_with_values_are_rejected(fields: bytes) -> None:
    with pytest.raises(InvalidFieldError):
        read_request(b"class", fields, b"")


@pytest.mark.parametrize(
    ("response", "advertised", "expected"),
    [
        (Response(ResponseStatus.DONE, retry_after=SECOND, no_failover=True), None, {}),
        (Response(ResponseStatus.REJECTED), None, {}),
        (Response(ResponseStatus.REJECTED, retry_after=1.5 * MILLISECOND), None, {"after": "2"}),
        (Response(ResponseStatus.REJECTED, no_failover=True), 0.5, {"say": "0.5000", "last": "1"}),
    ],
)
def test_only_rejections_carry_retry_after_and_every_response_carries_the_advertised_value(
    response: Response, advertised: float | None, expected: dict[str, str]
) -> None:
    assert response_fields(response, advertised) == expected
