"""Converts uwsgi packets to requests, and responses to HTTP. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from datetime import datetime, timedelta

from marlstep.core.interfaces import InboundRequest, Response, ResponseStatus
from marlstep.core.work_identity import digest_of_parts, scope_of_tenant
from marlstep.frontends.errors import IdempotencyKeyTooLongError
from marlstep.frontends.uwsgi_mapping import UwsgiMapping
from marlstep.frontends.uwsgi_wire import Packet, write_response
from marlstep.units import MILLISECOND, SECOND

MAX_IDEMPOTENCY_KEY_CHARACTERS = 256  # bounded because keys are stored and sent to other processes
MAX_COST_MS = 3_600_000.0
# The variables that say, with the body, what a request does. All others may differ between two attempts of its work: a
# gateway changes the client's port, the retry flag and trace headers.
WORK_VARIABLES = ("REQUEST_METHOD", "REQUEST_URI", "SCRIPT_NAME", "PATH_INFO", "QUERY_STRING")
FALSE_VALUES = ("", "0", "no", "false", "off")
BYTES_PER_KB = 1024


def variables_of_requests(mapping: UwsgiMapping) -> set[str]:
    """Return the names of the variables that requests are read from."""
    return mapping.variable_names.union(WORK_VARIABLES)


def read_request(
    packet: Packet,
    mapping: UwsgiMapping,
    class_names: Collection[str],
    pool_of: Callable[[str], str],
    id: str,
    arrived_at: datetime,
) -> InboundRequest:
    """Return the request of a packet.

    Args:
        packet: the packet, whose bytes are forwarded to the upstream unchanged.
        mapping: which variables carry which fields of the request.
        class_names: the configured classes.
        pool_of: returns the name of the upstream pool for a class.
        id: identifies this attempt; the client's idempotency key identifies the work.
        arrived_at: when the packet was complete.

    Raises:
        IdempotencyKeyTooLongError: the idempotency key is too long.
    """
    variables = packet.variables
    request_class = _class_of(variables, mapping, class_names)
    tenant = _variable(variables, mapping.tenant_variable)
    idempotency_key = _read_idempotency_key(variables, mapping)
    return InboundRequest(
        id=id,
        request_class=request_class,
        body=packet.raw,
        arrived_at=arrived_at,
        memory_kb=max(mapping.memory_kb, len(packet.raw) / BYTES_PER_KB),
        is_retry=_read_flag(_variable(variables, mapping.retry_variable)),
        cost_hint=read_cost(_variable(variables, mapping.cost_variable)),
        tenant=tenant or None,
        pool=pool_of(request_class),
        idempotency_key=idempotency_key or None,
        key_scope=scope_of_tenant(tenant) if idempotency_key else "",
        digest=work_digest(packet) if idempotency_key else "",
    )


def work_digest(packet: Packet) -> str:
    """Return the digest of what a packet asks for: its `WORK_VARIABLES` and its body.

    The order of the variables does not matter, and a variable that is missing counts as empty.
    """
    variables = [packet.variables.get(name, "").encode("latin-1") for name in WORK_VARIABLES]
    return digest_of_parts((*variables, packet.body))


def _class_of(variables: Mapping[str, str], mapping: UwsgiMapping, class_names: Collection[str]) -> str:
    """Return the class that the client names, or the default class if one is configured and the name is unknown."""
    value = variables.get(mapping.class_variable, "")
    class_name = mapping.class_names.get(value, value)
    if mapping.default_class and class_name not in class_names:
        return mapping.default_class
    return class_name


def _variable(variables: Mapping[str, str], name: str | None) -> str:
    return variables.get(name or "", "")


def _read_idempotency_key(variables: Mapping[str, str], mapping: UwsgiMapping) -> str:
    key = _variable(variables, mapping.idempotency_key_variable)
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        name = str(mapping.idempotency_key_variable)
        raise IdempotencyKeyTooLongError(name, MAX_IDEMPOTENCY_KEY_CHARACTERS)
    return key


def _read_flag(text: str) -> bool:
    return text.lower() not in FALSE_VALUES


def read_cost(text: str) -> timedelta | None:
    """Return the run time that the client expects; None if the text is not a valid number of milliseconds.

    The cost is only a hint, so an invalid one is ignored instead of rejecting the request.
    """
    try:
        value = float(text)
    except ValueError:
        return None
    return value * MILLISECOND if 0 <= value <= MAX_COST_MS else None  # false for NaN


def retry_after_seconds(retry_after: timedelta, max_retry_after: timedelta) -> int:
    """Return the Retry-After of a rejection in whole seconds.

    It is rounded up, so that the client does not retry too early, but never above the maximum that callers respect.
    """
    return min(-(-retry_after // SECOND), max_retry_after // SECOND)


def http_response(response: Response, max_retry_after: timedelta) -> bytes:
    """Return the bytes of a response: the upstream's response if the work was done, else a status and a short text."""
    match response.status:
        case ResponseStatus.DONE:
            return response.body
        case ResponseStatus.REJECTED:
            seconds = str(retry_after_seconds(response.retry_after, max_retry_after))
            return write_response(503, {"Retry-After": seconds}, "refused, it never ran")
        case ResponseStatus.EXPIRED:
            return write_response(504, {}, "out of time")
        case ResponseStatus.FAILED:
            return write_response(502, {}, "failed")
