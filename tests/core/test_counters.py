"""Counts of requests, in total and by tenant, under the names that operators know."""

from __future__ import annotations

from marlstep.core import counters
from marlstep.core.counters import RequestCounters
from marlstep.core.interfaces import InboundRequest, Request, ResponseStatus
from marlstep.simulator.configuration import read_settings
from tests.support.node import SETTINGS, START, Desk


def request_of(tenant: str | None) -> Request:
    desk = Desk()
    inbound = InboundRequest("r1", "temp-history", b"", START, 1.0, tenant=tenant)
    return Request(inbound, read_settings(SETTINGS).classes[0], desk, (0, 1), desk.backend, START)


def test_the_names_are_those_of_the_metrics_and_the_status_json() -> None:
    names = (
        counters.ACCEPTED_COUNT,
        counters.RUN_COUNT,
        counters.CALL_COUNT,
        counters.DISCONNECTED_COUNT,
        counters.NO_CONFIG_COUNT,
    )
    assert names == ("read", "runs", "calls", "gone", "without rules")
    assert [status.value for status in ResponseStatus] == ["done", "refused", "failed", "expired"]


def test_a_request_is_counted_in_total_and_for_its_tenant_where_the_settings_name_it() -> None:
    counted = RequestCounters(["north"])
    for tenant in ("north", "west", None):
        counted.count(request_of(tenant), "read")
    assert counted.totals == {"read": 3} and counted.by_tenant == {"north": {"read": 1}}


def test_a_tenant_that_stays_keeps_its_counts_and_one_that_goes_loses_them() -> None:
    counted = RequestCounters(["north", "south"])
    counted.count(request_of("north"), "read")
    counted.set_tenants(["north", "east"])
    assert counted.by_tenant == {"north": {"read": 1}, "east": {}}


def test_failed_and_expired_requests_count_together() -> None:
    counted = RequestCounters([])
    for name in ("read", "read", "read", "refused", "failed", "expired"):
        counted.count(request_of(None), name)
    assert counted.accepted_rejected_failed() == (3, 1, 2)
