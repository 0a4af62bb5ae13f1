"""A node that reads its settings, tenants and servers from documents."""

from __future__ import annotations

import json
from typing import Any

import pytest

from marlstep.components.config_documents import NodeConfigDocuments
from marlstep.config import ConfigError, check
from marlstep.config.document_overrides import DocumentOverrides, local_content
from marlstep.core.interfaces import ResponseStatus
from marlstep.units import ZERO
from tests.support.node import SETTINGS, CoreDriver, raw_config


def test_new_work_is_rejected_while_suspended_and_requests_in_flight_complete() -> None:
    driver = CoreDriver()
    driver.core.accepts_work = lambda: True
    driver.submit(1)
    driver.core.accepts_work = lambda: False
    driver.submit(2)
    assert not driver.core.healthy
    assert driver.statuses(2) == [ResponseStatus.REJECTED] and driver.responses[2][0].retry_after > ZERO
    driver.end(1)
    assert driver.statuses(1) == [ResponseStatus.DONE] and driver.core.in_flight == 0


def test_a_document_is_validated_like_a_file_and_a_differing_file_is_reported() -> None:
    config = check(raw_config(settings=SETTINGS), {"tenants": {"a": {"share": 0.5, "allowance_per_s": 5.0}}})
    overrides = DocumentOverrides()
    assert overrides.apply_to(config) is config
    changed = {"tenants": {"a": {"share": 0.5, "allowance_per_s": 9.0}}}
    assert overrides.apply_to(config, tenants=changed).settings.tenants[0].quota_per_s == 9.0
    invalid_tenants: list[Any] = [{"tenants": {"a": {"share": 2}}}, {"more": 1}, []]
    for tenants in invalid_tenants:
        with pytest.raises(ConfigError):
            overrides.apply_to(config, tenants=tenants)
    with pytest.raises(ConfigError, match="there is no pool"):
        overrides.apply_to(config, servers={"p": []})
    assert local_content(config, "settings") == SETTINGS
    overrides.put("tenants", changed)
    assert "the files differ" in next(overrides.describe_differences(config)).replace("tenants of ", "")
    assert overrides.apply_to(config).settings.tenants[0].quota_per_s == 9.0


class NodeWithDocuments(CoreDriver):
    """A node as `NodeConfigDocuments` uses it: its configuration, its core, and the reload that SIGHUP triggers."""

    def __init__(self, tenants: dict[str, Any]) -> None:
        self.config = check(raw_config(settings=SETTINGS), tenants)
        self.governed: DocumentOverrides | None = None
        super().__init__()
        self.core.apply_settings(self.config.settings)
        self.documents = NodeConfigDocuments(self, self.core)

    def apply_config(self, config: Any) -> None:
        self.config = config
        self.core.apply_settings(config.settings)


def test_a_changed_allowance_applies_immediately_and_restricting_applies_the_smallest_known_one() -> None:
    def tenants(per_s: float) -> str:
        return json.dumps({"tenants": {"riad": {"share": 0.5, "allowance_per_s": per_s}}})

    node = NodeWithDocuments(json.loads(tenants(10.0)))
    assert not node.documents.check("tenants", tenants(5.0)) and node.documents.check("tenants", "[]")
    for number in range(12):
        node.submit(number, tenant="riad")
    node.documents.activate("tenants", 2, tenants(5.0))
    for number in range(12, 24):
        node.submit(number, tenant="riad")
    assert node.core.tenants["riad"].quota_per_s == 5.0 and node.core.config_versions == "tenants=2"
    node.documents.activate("tenants", 3, tenants(20.0))
    node.documents.restrict()  # the lease has expired: the smallest known allowance applies
    assert node.core.tenants["riad"].quota_per_s == 5.0
    for number in range(24):
        node.end(number)
    node.clock.advance(60_000)
    assert all(len(node.responses[number]) == 1 for number in range(24)) and not node.core.in_flight
    read, refused, failed = node.documents.request_counts()
    done = sum(node.statuses(number) == [ResponseStatus.DONE] for number in range(24))
    assert read == 24 and refused + failed == read - done
    # The core takes a quota as that of all servers together, so the quota of this node (a quarter of 8 per second) is
    # multiplied by their number.
    node.documents.activate("tenants", 4, tenants(8.0))
    node.documents.set_quota_share("riad", 0.25)
    assert node.core.tenants["riad"].quota_per_s == 2.0 * node.core.settings.server_count
    assert node.documents.tenant_counts() == {"riad": 24}


def test_a_request_class_can_be_removed_while_its_requests_are_in_flight() -> None:
    node = NodeWithDocuments({})
    for number in range(40):
        node.submit(number, "temp-history")
    for number in range(40, 60):
        node.submit(number, "setpoint-cmd")
    swapped = json.loads(json.dumps(SETTINGS))
    swapped["classes"][2].update(name="boiler-cmd", aimUs=400_000, hardLimitUs=2_000_000.0, worth=5.0)
    assert not node.documents.check("settings", json.dumps(swapped))
    node.core.serving_state.quiesce()
    node.documents.activate("settings", 2, json.dumps(swapped))
    assert not node.core.healthy and node.core.config_versions == "settings=2"
    assert node.core.in_flight > 50  # submitted under the version before, and continued
    node.core.serving_state.resume()
    node.submit(60, "boiler-cmd")
    node.submit(61, "setpoint-cmd")  # this class was removed, but the frontend does not know that yet
    for _ in range(3):
        for number in range(62):
            node.end(number)
        node.clock.advance(30_000)
    assert all(len(node.responses[number]) == 1 for number in range(62)) and not node.core.in_flight
    assert node.statuses(60) == [ResponseStatus.DONE]
