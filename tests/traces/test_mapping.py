"""Tests of the mapping of a trace's rows to requests."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marlstep.config.traces import read_trace
from marlstep.traces.default_mappings import DEFAULT_MAPPINGS
from marlstep.traces.mapping import Mapper, TenantMode
from marlstep.traces.rows import Arrival
from tests.frontends.test_parsers import FIXED


def arrival(category: str = "0", tenant: str = "u", hint: float = 0.0) -> Arrival:
    return Arrival(1_000, "job", "", tenant, category, hint, 1)


def test_the_first_matching_rule_decides_and_unmatched_rows_are_dropped() -> None:
    settings = read_trace(
        {
            "rules": [
                {"class": "setpoint-cmd", "kinds": [3], "hint_under": 0.5},
                {"class": "schedule-save", "kinds": [3]},
            ]
        },
        "google-2011",
    ).mapping
    mapper = Mapper(settings, 1)
    requests = [
        mapper.map(arrival("3", hint=0.1)),
        mapper.map(arrival("3", hint=0.7)),
        mapper.map(arrival("1")),
    ]
    assert [request and request.request_class for request in requests] == [
        "setpoint-cmd",
        "schedule-save",
        None,
    ]
    assert dict(mapper.dropped) == {"1": 1}


@FIXED
@given(st.floats(0, 1e12))
def test_work_stays_within_its_class_and_grows_with_the_hint(hint: float) -> None:
    mapper = Mapper(DEFAULT_MAPPINGS["google-2011"], 1)
    small, large = mapper.map(arrival(hint=hint)), mapper.map(arrival(hint=hint * 2 + 1e-9))
    assert small is not None and large is not None
    assert 280_000 <= small.work_us <= 500_000
    assert hint == 0 or small.work_us <= large.work_us


@pytest.mark.parametrize("mode", list(TenantMode))
def test_tenants_are_mapped_according_to_the_mode(mode: TenantMode) -> None:
    settings = replace(DEFAULT_MAPPINGS["google-2011"], tenant_mode=mode, tenant_names=("a", "b"))
    found = {row.tenant for name in "abcdefgh" if (row := Mapper(settings, 1).map(arrival(tenant=name)))}
    expected = {
        "as-is": set("abcdefgh"),
        "named": {"a", "b", "others"},
        "buckets": {"a", "b"},
        "one": {"others"},
    }
    assert found == expected[mode.value]
