"""Counts of requests, in total and by tenant, under the names that operators know."""

from __future__ import annotations

from marlstep.core import counters
from marlstep.core.counters import RequestCounters
from marlstep.core.interfaces import InboundRequest, Request, ResponseStatus
from marlstep.simulator.configuration import read_settings
from tests.support.node import SETTINGS, START, CoreDriver


def make_request(tenant: str | None) -> Request:
    driver = CoreDriver()
    inbound = InboundRequest("r1", "temp-history", b"", START, 1.0, tenant=tenant)
    return Request(inbound, read_settings(SETTINGS).classes[0], driver, (0, 1), driver.backend, START)


def test_the_names_are_those_of_the_metrics_and_the_status_json() -> None:
    names = (
        counters.ACCEPTED_COUNT,
        counters.RUN_COUNT,
        counters.CALL_COUNT,
        counters.DISCONNECTED_COUNT,
        counters.NO_CONFIG_COUNT,
        counters.NO_KEY_ROOM_COUNT,
    )
    assert names == ("read", "runs", "calls", "gone", "without rules", "no_key_room")
    assert [status.value for status in ResponseStatus] == ["done", "refused", "failed", "expired"]


def test_a_request_is_counted_in_total_and_for_its_tenant_where_the_settings_name_it() -> None:
    request_counters = RequestCounters(["north"])
    for tenant in ("north", "west", None):
        request_counters.count(make_request(tenant), "read")
    assert request_counters.totals == {"read": 3} and request_counters.by_tenant == {"north": {"read": 1}}


def test_a_remaining_tenant_keeps_its_counts_and_a_removed_one_loses_them() -> None:
    request_counters = RequestCounters(["north", "south"])
    request_counters.count(make_request("north"), "read")
    request_counters.set_tenants(["north", "east"])
    assert request_counters.by_tenant == {"north": {"read": 1}, "east": {}}


def test_failed_and_expired_requests_count_together() -> None:
    request_counters = RequestCounters([])
    for name in ("read", "read", "read", "refused", "failed", "expired"):
        request_counters.count(make_request(None), name)
    assert request_counters.accepted_rejected_failed() == (3, 1, 2)
