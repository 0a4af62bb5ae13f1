"""Requests beyond a tenant's quota."""

from __future__ import annotations

from tests.support.node import CoreDriver

TENANTS = [{"name": "riad", "portion": 0.5, "allowancePerS": 2.0}]


def test_requests_beyond_a_tenants_quota_run_after_the_others() -> None:
    driver = CoreDriver(cores=1, realms=TENANTS, overShareWorth=0.1)
    for number in (1, 2, 3):  # the third request exceeds the quota
        driver.submit(number, tenant="riad")
    driver.submit(4)
    driver.end(1)
    driver.end(2)
    driver.end(4)
    assert [request_id for command, request_id in driver.backend.commands if command == "start"] == [
        "r1",
        "r2",
        "r4",
        "r3",
    ]
