"""The table of RESP frame fields: for each its name on the wire, the attribute it maps to, its reader and bounds.

Names of the wire are used in this module only: callers of `read_request` and `response_fields` see the attributes of
`InboundRequest` and `Response`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from marlstep.core.interfaces import InboundRequest, Response, ResponseStatus
from marlstep.core.work_identity import body_digest
from marlstep.frontends.errors import InvalidFieldError
from marlstep.frontends.resp_wire import read_fields
from marlstep.units import EPOCH, MILLISECOND, whole_ms

MAX_TIME_DIGITS = 14  # digits of a time in milliseconds since the Unix epoch
MAX_MEMORY_KB = 2000.0  # exclusive
MAX_COST_MS = 1e9  # exclusive
MAX_CALLER = 1e9  # exclusive
MAX_RANK = 1.0  # exclusive
ENTITY_SHIFT_BITS = 11  # the lower 11 bits of a key number the parts of one entity
REQUEST_ID = re.compile("[0-9a-f]{16}")

# Converts the wire name and the text of a field to its value. Raises InvalidFieldError.
FieldReader = Callable[[str, str], object]


def _read_id(name: str, text: str) -> str:
    if REQUEST_ID.fullmatch(text) is None:
        raise InvalidFieldError(name, "16 hexadecimal digits", text)
    return text


def _read_time(name: str, text: str) -> datetime:
    if not text.isdigit() or len(text) > MAX_TIME_DIGITS:
        raise InvalidFieldError(name, "a time in milliseconds", text)
    return EPOCH + int(text) * MILLISECOND


def _number_reader(below: float, above: float = -1.0) -> Callable[[str, str], float]:
    """Return a reader of numbers that are at least 0, greater than `above` and less than `below`."""
    expected = f"a number from {max(above, 0.0):g} to {below:g}"

    def read(name: str, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise InvalidFieldError(name, "a number", text) from None
        if above < value < below and value >= 0:  # false for NaN
            return value
        raise InvalidFieldError(name, expected, text)

    return read


_read_caller_number = _number_reader(below=MAX_CALLER)
_read_cost_ms = _number_reader(below=MAX_COST_MS)


def _read_caller(name: str, text: str) -> int:
    return int(_read_caller_number(name, text))


def _read_cost(name: str, text: str) -> timedelta:
    return _read_cost_ms(name, text) * MILLISECOND


def _read_flag(_name: str, text: str) -> bool:
    return text == "1"


def _read_text(_name: str, text: str) -> str:
    return text


def _read_entity(name: str, text: str) -> int | None:
    """Return the entity that a hexadecimal key belongs to; None for an empty key."""
    try:
        return int(text, 16) >> ENTITY_SHIFT_BITS if text else None
    except ValueError:
        raise InvalidFieldError(name, "a hexadecimal number", text) from None


@dataclass(slots=True, frozen=True)
class RequestField:
    """A field of a request on the wire."""

    wire_name: str
    field: str  # name of the attribute of InboundRequest
    read: FieldReader
    required: bool = False


REQUEST_FIELDS = (
    RequestField("id", "id", _read_id, required=True),
    RequestField("at", "arrived_at", _read_time, required=True),
    RequestField("kb", "memory_kb", _number_reader(below=MAX_MEMORY_KB, above=0.0), required=True),
    RequestField("from", "caller", _read_caller),
    RequestField("retry", "is_retry", _read_flag),
    RequestField("cost", "cost_hint", _read_cost),
    RequestField("rank", "rank", _number_reader(below=MAX_RANK)),
    RequestField("tenant", "tenant", _read_text),
    RequestField("key", "entity", _read_entity),
    RequestField("once", "idempotency_key", _read_text),
)
FIELD_READERS = {row.wire_name: (row.field, row.read) for row in REQUEST_FIELDS}
REQUIRED_FIELDS = tuple((row.field, row.wire_name) for row in REQUEST_FIELDS if row.required)


def _write_milliseconds(delay: timedelta) -> str:
    return str(whole_ms(delay))  # rounded up, so that no client retries too early


def _write_flag(_flag: bool) -> str:
    return "1"


@dataclass(slots=True, frozen=True)
class ResponseField:
    """A field of a response on the wire. It is left out if the value is zero or false."""

    wire_name: str
    field: str  # name of the attribute of Response
    write: Callable[[Any], str]


REJECTION_FIELDS = (
    ResponseField("after", "retry_after", _write_milliseconds),
    ResponseField("last", "no_failover", _write_flag),
)
ADVERTISED_VALUE_FIELD = "say"  # carries Core.advertised_value on every response

STATUS_WORDS = {
    ResponseStatus.DONE: b"done",
    ResponseStatus.REJECTED: b"later",
    ResponseStatus.FAILED: b"error",
    ResponseStatus.EXPIRED: b"error",
}
HEALTHY_WORD, UNHEALTHY_WORD = b"healthy", b"sick"


def read_request(request_class: bytes, fields: bytes, body: bytes) -> InboundRequest:
    """Return the request of an EXEC command. Fields that are not in the table are ignored.

    Raises:
        InvalidFieldError: the class or a field is malformed or out of bounds, or a required field is missing.
    """
    values: dict[str, Any] = {}  # by attribute of InboundRequest
    for name, text in read_fields(fields).items():
        row = FIELD_READERS.get(name)
        if row is not None:
            field, read = row
            values[field] = read(name, text)
    for field, wire_name in REQUIRED_FIELDS:
        if field not in values:
            raise InvalidFieldError(wire_name, "a value", None)
    try:
        class_name = request_class.decode("ascii")
    except UnicodeDecodeError:
        raise InvalidFieldError("class", "a name in ASCII", request_class) from None
    digest = body_digest(body) if values.get("idempotency_key") else ""
    return InboundRequest(
        request_class=class_name, body=body, digest=digest, id_chosen_by_client=True, **values
    )


def response_fields(response: Response, advertised_value: float | None) -> Mapping[str, str]:
    """Return the fields of a response frame. Only rejections have the fields in REJECTION_FIELDS."""
    fields = advertised_fields(advertised_value)
    if response.status is ResponseStatus.REJECTED:
        for row in REJECTION_FIELDS:
            value = getattr(response, row.field)
            if value:
                fields[row.wire_name] = row.write(value)
    return fields


def advertised_fields(advertised_value: float | None) -> dict[str, str]:
    """Return the field with the advertised value, which every response carries; no field if the value is None."""
    return {} if advertised_value is None else {ADVERTISED_VALUE_FIELD: f"{advertised_value:.4f}"}
