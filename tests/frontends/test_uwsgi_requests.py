"""Conversion of uwsgi packets to requests, and of responses to HTTP."""

from __future__ import annotations

from datetime import timedelta

import pytest

from marlstep.core.interfaces import InboundRequest, Response, ResponseStatus
from marlstep.frontends.errors import IdempotencyKeyTooLongError
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.frontends.uwsgi_requests import (
    MAX_IDEMPOTENCY_KEY_CHARACTERS,
    http_response,
    read_cost,
    read_request,
    retry_after_seconds,
)
from marlstep.frontends.uwsgi_wire import Packet
from marlstep.units import MILLISECOND, SECOND
from tests.support.node import START


def read(mapping: UwsgiMapping, **variables: str) -> InboundRequest:
    return read_request(
        Packet(b"raw", variables), mapping, {"fast", "slow"}, lambda name: f"pool-{name}", "id", START
    )


@pytest.mark.parametrize(
    ("value", "default_class", "expected"),
    [
        ("fast", None, "fast"),
        ("mapped", None, "slow"),
        ("other", None, "other"),
        ("other", "slow", "slow"),
        ("", "slow", "slow"),
        ("", None, ""),
    ],
)
def test_an_unknown_class_becomes_the_default_class_if_one_is_configured(
    value: str, default_class: str | None, expected: str
) -> None:
    mapping = UwsgiMapping("CLASS", {"mapped": "slow"}, default_class)
    request = read(mapping, CLASS=value)
    assert (request.request_class, request.pool) == (expected, f"pool-{expected}")


def test_an_idempotency_key_over_the_limit_is_rejected() -> None:
    mapping = UwsgiMapping("CLASS", idempotency_key_variable="KEY")
    longest = "k" * MAX_IDEMPOTENCY_KEY_CHARACTERS
    assert read(mapping, KEY=longest).idempotency_key == longest
    with pytest.raises(IdempotencyKeyTooLongError) as raised:
        read(mapping, KEY=longest + "k")
    assert (raised.value.status, str(raised.value)) == (400, "KEY is over 256 characters")


@pytest.mark.parametrize(("text", "expected"), [("", False), ("0", False), ("Off", False), ("1", True)])
def test_the_retry_variable_marks_a_retry_unless_its_text_means_false(text: str, expected: bool) -> None:
    assert read(UwsgiMapping("CLASS", retry_variable="RETRY"), RETRY=text).is_retry is expected


@pytest.mark.parametrize(
    ("text", "expected"),
    [("12.5", 12.5 * MILLISECOND), ("", None), ("x", None), ("-1", None), ("nan", None), ("3600001", None)],
)
def test_a_cost_that_is_not_a_valid_number_of_milliseconds_is_none(
    text: str, expected: timedelta | None
) -> None:
    assert read_cost(text) == expected


@pytest.mark.parametrize(
    ("retry_after", "maximum", "expected"),
    [(0.2 * SECOND, 5 * SECOND, 1), (1.2 * SECOND, 5 * SECOND, 2), (9 * SECOND, 5.5 * SECOND, 5)],
)
def test_retry_after_is_rounded_up_to_seconds_and_bounded(
    retry_after: timedelta, maximum: timedelta, expected: int
) -> None:
    assert retry_after_seconds(retry_after, maximum) == expected


@pytest.mark.parametrize(
    ("status", "line"),
    [
        (ResponseStatus.REJECTED, b"HTTP/1.1 503 Service Unavailable"),
        (ResponseStatus.EXPIRED, b"HTTP/1.1 504 Gateway Timeout"),
        (ResponseStatus.FAILED, b"HTTP/1.1 502 Bad Gateway"),
    ],
)
def test_a_request_without_a_result_gets_a_status_by_its_outcome(status: ResponseStatus, line: bytes) -> None:
    assert http_response(Response(status), SECOND).startswith(line + b"\r\n")


def test_a_result_is_sent_unchanged() -> None:
    assert (
        http_response(Response(ResponseStatus.DONE, b"HTTP/1.1 200 OK\r\n\r\n"), SECOND)
        == b"HTTP/1.1 200 OK\r\n\r\n"
    )
