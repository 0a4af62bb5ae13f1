"""Rows of lease messages: lists on the wire, named tuples in the program."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.leases.messages import (
    DOCUMENT_STATES,
    LEASE_TOKENS,
    QUOTA_SHARES,
    REQUEST_COUNTS,
    TENANT_DEMAND,
    DocumentState,
    InvalidValueError,
    LeaseToken,
    QuotaShareRow,
    RequestCounts,
    TenantDemand,
)
from marlstep.net.codec import ValueType


@pytest.mark.parametrize(
    ("value_type", "value", "written"),
    [
        (LEASE_TOKENS, (LeaseToken("x", 7),), [["x", 7]]),
        (TENANT_DEMAND, (TenantDemand("acme", 1500),), [["acme", 1500]]),
        (DOCUMENT_STATES, (DocumentState("d", 2, "acting", 10, "why"),), [["d", 2, "acting", 10, "why"]]),
        (QUOTA_SHARES, (QuotaShareRow("acme", 9, 4),), [["acme", 9, 4]]),
        (REQUEST_COUNTS, RequestCounts(9, 2, 1), [9, 2, 1]),
    ],
)
def test_rows_are_plain_lists_on_the_wire_and_named_tuples_when_read(
    value_type: ValueType, value: Any, written: list[Any]
) -> None:
    assert value_type.write(value) == written
    assert all(type(row) in (list, int) for row in written)
    read: Any = value_type.read(written)
    assert read == value and type(read) is type(value)
    assert [type(row) for row in read] == [type(row) for row in value]


@pytest.mark.parametrize(
    ("value_type", "value"),
    [
        (LEASE_TOKENS, {"x": 7}),
        (LEASE_TOKENS, [["x", True]]),
        (LEASE_TOKENS, [["x"]]),
        (LEASE_TOKENS, ["ab"]),
        (TENANT_DEMAND, [["acme", 1.5]]),
        (DOCUMENT_STATES, [["d", 2, "acting", 10]]),
        (DOCUMENT_STATES, [["d", "2", "acting", 10, ""]]),
        (QUOTA_SHARES, [["acme", 9, None]]),
        (REQUEST_COUNTS, [9, 2]),
        (REQUEST_COUNTS, [9, 2, False]),
        (REQUEST_COUNTS, "921"),
    ],
)
def test_malformed_rows_are_rejected(value_type: ValueType, value: object) -> None:
    with pytest.raises(InvalidValueError):
        value_type.read(value)
