"""The registry of requests in flight: lookup by handle and id, release, and the capacity."""

from __future__ import annotations

import pytest

from marlstep.core.errors import RejectionReason, RequestRejectedError
from marlstep.core.interfaces import InboundRequest, Request
from marlstep.core.request_registry import RequestRegistry
from marlstep.simulator.configuration import read_settings
from tests.support.node import SETTINGS, START, CoreDriver


def make_request(number: int, driver: CoreDriver) -> Request:
    inbound = InboundRequest(f"r{number}", "temp-history", b"", START, 1.0)
    return Request(inbound, read_settings(SETTINGS).classes[0], driver, (0, number), driver.backend, START)


def test_a_released_request_is_found_by_neither_id_nor_handle_and_released_once() -> None:
    registry, request = RequestRegistry(2), make_request(1, CoreDriver())
    registry.add(request)
    assert registry.find("r1") is request is registry.get(request.handle) and "r1" in registry
    assert registry.release(request) and not registry.release(request)
    assert registry.find("r1") is None is registry.get(request.handle) and "r1" not in registry
    assert len(registry) == 0


@pytest.mark.parametrize(("capacity", "accepted"), [(1, 1), (5, 3)])
def test_a_request_beyond_the_capacity_is_rejected_and_no_capacity_exceeds_the_limit(
    capacity: int, accepted: int
) -> None:
    driver, registry = CoreDriver(), RequestRegistry(3)
    registry.set_capacity(capacity)
    for number in range(accepted):
        registry.add(make_request(number, driver))
    with pytest.raises(RequestRejectedError) as raised:
        registry.add(make_request(9, driver))
    assert raised.value.reason is RejectionReason.PROCESS_AT_CAPACITY
    assert str(raised.value) == "too many in hand for this process's part of the node"
    assert raised.value.request_id == "r9" and "r9" not in registry
